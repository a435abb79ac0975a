//! Changing a document.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use ggs_model::{DocumentRevision, EditId, EditRequest, ServiceName};

use crate::ExitKind;
use crate::client::{EditOutcome, GateClient, GateError};
use crate::fleet::{FleetView, GateLag};

/// Times that all gates are asked while the edit may have been written.
const EDIT_ROUNDS: usize = 3;

/// Pause before all gates are asked again.
const ROUND_PAUSE: Duration = Duration::from_millis(500);

/// Pause between two looks at what is in force.
const POLL_PAUSE: Duration = Duration::from_millis(200);

/// Longest time of one look at a gate.
const LOOK_TIME: Duration = Duration::from_secs(1);

/// An edit that no gate decided on.
#[derive(Debug)]
pub(crate) struct UndecidedEdit {
    /// What is known of it.
    pub(crate) exit: ExitKind,
    /// What each gate said, in order.
    pub(crate) errors: Vec<GateError>,
}

impl UndecidedEdit {
    /// Decides what the gates' errors say together.
    ///
    /// One gate that may have taken the edit is enough to make it unknown, whatever the others said.
    pub(crate) fn new(errors: Vec<GateError>) -> Self {
        let exit = if errors.iter().any(may_be_written) {
            ExitKind::Unknown
        } else {
            read_failure(&errors)
        };
        Self { exit, errors }
    }
}

/// Whether an edit that failed so may have been written.
const fn may_be_written(error: &GateError) -> bool {
    matches!(error, GateError::Silent { .. } | GateError::Unknown { .. })
}

/// How a command ends whose question no gate answered and that wrote nothing.
pub(crate) fn read_failure(errors: &[GateError]) -> ExitKind {
    let is_down = |error: &GateError| {
        matches!(
            error,
            GateError::PlatformDown { .. } | GateError::Unknown { .. }
        )
    };
    let is_refused = |error: &GateError| matches!(error, GateError::Refused { .. });
    if errors.iter().any(is_down) {
        ExitKind::PlatformDown
    } else if errors.iter().any(is_refused) {
        ExitKind::Refused
    } else {
        ExitKind::NoGate
    }
}

/// An identity for a new edit.
pub(crate) fn new_edit_id() -> EditId {
    EditId(rand::random())
}

/// Sends an edit to one gate after the other until one decides.
pub(crate) async fn send_edit(
    client: &GateClient,
    gates: &[SocketAddr],
    service: &ServiceName,
    request: &EditRequest,
) -> Result<EditOutcome, UndecidedEdit> {
    let mut errors = Vec::new();
    for round in 0..EDIT_ROUNDS {
        if round > 0 {
            actix_rt::time::sleep(ROUND_PAUSE).await;
        }
        for gate in gates {
            match client.edit(*gate, service, request).await {
                Ok(outcome) => return Ok(outcome),
                Err(error) => errors.push(error),
            }
        }
        if !errors.iter().any(may_be_written) {
            break;
        }
    }
    Err(UndecidedEdit::new(errors))
}

/// How far an accepted edit has come.
#[derive(Debug)]
pub(crate) struct ForceReport {
    /// Number of live gates.
    pub(crate) live: usize,
    /// Live gates without the revision.
    pub(crate) missing: Vec<GateLag>,
}

/// Looks at all gates until each live one has `revision` in force, for at most `wait`.
///
/// The last look begins when the wait is over: while a silent gate held up an earlier look, the
/// others may have caught up.
pub(crate) async fn wait_in_force(
    client: &GateClient,
    gates: &[SocketAddr],
    service: &ServiceName,
    revision: DocumentRevision,
    wait: Duration,
) -> ForceReport {
    let started = Instant::now();
    // A frozen gate must not hold up the look at the others for long.
    let client = client.at_most(LOOK_TIME);
    loop {
        let is_last = started.elapsed() >= wait;
        let fleet = FleetView::ask(&client, gates).await;
        let missing = fleet.missing(service, revision);
        let live = fleet.live_count();
        if missing.is_empty() || is_last {
            return ForceReport { live, missing };
        }
        let left = wait.saturating_sub(started.elapsed());
        actix_rt::time::sleep(left.min(POLL_PAUSE)).await;
    }
}
