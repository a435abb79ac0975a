//! Load probes: debits them from each service's budget, sends them, and serves the bill
//! that states for each partner how many were allowed, granted and sent.
//!
//! A probe is one `GET /load` over a connection of the relay's pool, so that the gate opens no
//! connection that it would not use for requests. A gate debits probes only for services that it
//! received requests for lately, so that probes for a service without callers cost nothing.

use std::rc::Rc;
use std::time::Duration;

use actix_http::{Method, Response, StatusCode, Uri};
use ggs_budget::{
    BudgetAction, BudgetRow, ClockReading, DebitOutcome, DebitPlan, PROBE_TIMEOUT, ProbeBudget,
    RowReading, bill_rows,
};
use ggs_follow::{document_key, read_document_row};
use ggs_model::{BillAnswer, BillRow, Clock, HeaderNames, LoadReport, RunVerdict, ServiceName};
use ggs_observe::LogEvent;
use ggs_pick::ServerChooser;
use ggs_relay::{AnswerBody, AttemptPlan, RelayBody, ServerAnswer};
use ggs_store::{
    HttpPlatform, RowCheck, RowPut, RowVersion, StoreError, TableStore, TableWrite, WriteOutcome,
};

use crate::answer;
use crate::body::GateBody;
use crate::core::{GateCore, ServiceCore};
use crate::request;

/// Time between two checks for services that have no probe task yet.
const SERVICE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Time after a service's last request for which its servers are probed.
const ACTIVE_PERIOD: Duration = Duration::from_secs(10);

/// Retry delay for a request for the bill while the platform is unavailable.
const BILL_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Path at which servers report their load.
const LOAD_PATH: &str = "/load";

/// Starts a probe task for each service, until the gate ends.
pub(crate) async fn probe_services(core: Rc<GateCore>) {
    let mut started: Vec<ServiceName> = Vec::new();
    loop {
        for (name, service) in core.services() {
            if !started.contains(&name) {
                started.push(name.clone());
                let core = Rc::clone(&core);
                actix_rt::spawn(probe_service(core, name, service));
            }
        }
        tokio::time::sleep(SERVICE_CHECK_INTERVAL).await;
    }
}

/// Probes the servers of one service until the gate drains.
async fn probe_service(core: Rc<GateCore>, name: ServiceName, service: Rc<ServiceCore>) {
    let mut budget = ProbeBudget::new(core.id.clone(), rand::random());
    while !core.is_draining() {
        let reading = read_clocks(&core);
        let allowed = service.document().document.measuring;
        service.metrics().set_probes_allowed(allowed.probes);
        match budget.poll(reading, allowed, is_probe_useful(&service, reading)) {
            BudgetAction::Wait(delay) => tokio::time::sleep(delay).await,
            BudgetAction::Read => debit(&core, &name, &service, &mut budget).await,
            BudgetAction::Probe => {
                service.metrics().count_probes_spent(1);
                probe(&core, &service, reading).await;
            }
        }
    }
}

/// Reads the boot clock and the wall clock.
fn read_clocks(core: &GateCore) -> ClockReading {
    ClockReading {
        now: core.clock.now(),
        wall: core.clock.wall(),
    }
}

/// Whether the service had a request lately and its chooser has a server to probe.
fn is_probe_useful(service: &ServiceCore, reading: ClockReading) -> bool {
    let active = service
        .last_request()
        .is_some_and(|last| reading.now.since(last) < ACTIVE_PERIOD);
    active
        && service
            .chooser
            .borrow()
            .probe_candidate(reading.now)
            .is_some()
}

/// What a debit depends on, with the versions of the rows that it was read from.
struct BudgetRows {
    reading: RowReading,
    budget_version: RowVersion,
    document_version: RowVersion,
}

/// Debits probes for the current window.
async fn debit(
    core: &GateCore,
    name: &ServiceName,
    service: &ServiceCore,
    budget: &mut ProbeBudget,
) {
    let rows = match read_rows(&core.platform, name).await {
        Ok(rows) => Some(rows),
        Err(cause) => {
            log_debit_failure(core, name, cause);
            None
        }
    };
    let reading = rows.as_ref().map(|rows| &rows.reading);
    let plan = budget.handle_read(read_clocks(core), reading);
    if let (Some(plan), Some(rows)) = (plan, rows) {
        let outcome = write_debit(core, name, &rows, plan).await;
        budget.handle_write(read_clocks(core), outcome);
    }
    // The rows may show a grant from an earlier write whose answer was lost.
    let granted = u64::from(budget.granted());
    service.metrics().count_probes_granted(granted);
}

/// Writes a debit, on the condition that the rows have not changed since they were read.
async fn write_debit(
    core: &GateCore,
    name: &ServiceName,
    rows: &BudgetRows,
    plan: DebitPlan,
) -> DebitOutcome {
    let write = match table_write(name, rows, plan) {
        Ok(write) => write,
        Err(error) => {
            log_debit_failure(core, name, error.to_string());
            return DebitOutcome::Refused;
        }
    };
    match core.platform.write(&write).await {
        Ok(WriteOutcome::Written) => DebitOutcome::Written,
        Ok(WriteOutcome::Conflict { .. }) => DebitOutcome::Conflict,
        Err(error) => {
            log_debit_failure(core, name, error.to_string());
            match error {
                StoreError::Unavailable { .. } => DebitOutcome::Refused,
                StoreError::Unanswered { .. } | StoreError::BadAnswer { .. } => {
                    DebitOutcome::Unanswered
                }
            }
        }
    }
}

/// Reads the budget row and the document row.
async fn read_rows(platform: &HttpPlatform, name: &ServiceName) -> Result<BudgetRows, String> {
    let budget = platform.get(&BudgetRow::key(name.as_str())).await;
    let budget = budget.map_err(|error| error.to_string())?;
    let document = platform.get(&document_key(name)).await;
    let document = document.map_err(|error| error.to_string())?;
    let document = document.ok_or_else(|| format!("service \"{name}\" has no document row"))?;
    let accepted = read_document_row(&document).map_err(|error| error.to_string())?;
    let budget_version = budget.as_ref().map_or(RowVersion(0), |row| row.version);
    let row = budget
        .map(|row| serde_json::from_value(row.value))
        .transpose();
    let row = row.map_err(|error| format!("budget row of service \"{name}\": {error}"))?;
    let document_in_table = accepted.versioned.document;
    Ok(BudgetRows {
        reading: RowReading {
            row,
            budget: document_in_table.measuring,
            partner: document_in_table.partner.clone(),
        },
        budget_version,
        document_version: document.version,
    })
}

/// The table write for a debit, with checks that neither row has changed since it was read.
fn table_write(
    name: &ServiceName,
    rows: &BudgetRows,
    plan: DebitPlan,
) -> Result<TableWrite, serde_json::Error> {
    let key = BudgetRow::key(name.as_str());
    let checks = vec![
        RowCheck {
            key: key.clone(),
            version: rows.budget_version,
        },
        RowCheck {
            key: document_key(name),
            version: rows.document_version,
        },
    ];
    let mut puts = vec![RowPut {
        key,
        value: serde_json::to_value(&plan.row)?,
    }];
    if let Some(archive) = plan.archive
        && let Some(key) = archive.row_key(name.as_str())
    {
        let value = serde_json::to_value(&archive)?;
        puts.push(RowPut { key, value });
    }
    Ok(TableWrite { checks, puts })
}

/// Logs a failed debit; without a debit, no probes are sent.
fn log_debit_failure(core: &GateCore, name: &ServiceName, cause: String) {
    core.metrics.count_platform_failure("budget");
    let pairs = slog::o!("service" => name.to_string(), "cause" => cause);
    core.log.emit(
        LogEvent::PlatformFailed,
        "cannot debit load probes; none are sent without a debit",
        pairs,
    );
}

/// Sends one probe and records the load report of its answer.
///
/// The deadline counts from the clock reading that allowed the probe, and the transport checks it
/// again before it sends, so that a gate that is paused in between sends nothing.
async fn probe(core: &GateCore, service: &ServiceCore, reading: ClockReading) {
    let chooser = &service.chooser;
    let candidate = chooser.borrow().probe_candidate(reading.now);
    let Some(handle) = candidate else { return };
    let Some(server) = chooser.borrow().server(handle) else {
        return;
    };
    let deadline = reading.now + PROBE_TIMEOUT;
    let target = Uri::from_static(LOAD_PATH);
    let request = request::own_request(Method::GET, server.address, target, deadline);
    let plan = AttemptPlan {
        new_connection: false,
        answer_deadline: deadline,
        retry_count: 0,
    };
    if let Ok(answer) = core.transport.attempt(server, &request, plan).await
        && let Some(report) = load_report(&answer)
    {
        chooser
            .borrow_mut()
            .record_report(handle, report, core.clock.now());
    }
}

/// The load report of an answer: from its header, or else from its body.
fn load_report(answer: &ServerAnswer<RelayBody>) -> Option<LoadReport> {
    let header = answer.head.headers.get(HeaderNames::LOAD);
    if let Some(value) = header {
        return value.to_str().ok()?.parse().ok();
    }
    let AnswerBody::Whole(body) = &answer.body else {
        return None;
    };
    std::str::from_utf8(body).ok()?.trim().parse().ok()
}

/// Serves `GET /v1/bill`.
pub(crate) async fn serve_bill(core: &GateCore) -> Response<GateBody> {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let Ok(table_rows) = core.platform.list("budget/").await else {
        let wait = Some(BILL_RETRY_AFTER);
        return answer::failure(status, RunVerdict::NotRun, "platform-unavailable", wait);
    };
    let mut rows = Vec::new();
    for row in table_rows {
        match bill_rows(&row.key, &row.value) {
            Ok(found) => rows.extend(found),
            Err(error) => {
                let pairs = slog::o!("cause" => error.to_string());
                let message = "cannot read a budget row; the bill is not served";
                core.log.emit(LogEvent::PlatformFailed, message, pairs);
                // A bill without this row would state fewer probes than the servers received.
                return answer::failure(status, RunVerdict::NotRun, "bill-unreadable", None);
            }
        }
    }
    rows.sort_by(|one, other| {
        let order = |row: &BillRow| {
            (
                row.partner.clone(),
                row.service.clone(),
                row.window_start_ms,
            )
        };
        order(one).cmp(&order(other))
    });
    answer::json(StatusCode::OK, &BillAnswer { rows })
}
