//! The relay loop over a scripted transport: any interleaving of refusals, losses and answers.

use std::cell::{Cell, RefCell};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_http::body::{BodySize, MessageBody};
use actix_http::header::{HeaderMap, HeaderName};
use actix_http::{Method, ResponseHead, StatusCode};
use bytes::Bytes;
use ggs_limit::ChainPosition;
use ggs_model::{Clock, HeaderNames, Incarnation, ManualClock, RequestClass, RunVerdict, ServerId};
use ggs_pick::{LeastInFlight, ServerChooser, ServerSeed};
use ggs_relay::{
    AnswerBody, AttemptFailure, AttemptPlan, BodyError, BodyWatch, FailureKind, RelayLoop,
    RelayRequest, RetrySource, ServerAnswer, ServerTransport,
};
use proptest::prelude::*;

/// What the transport does with one attempt.
#[derive(Clone, Copy, Debug)]
enum ScriptStep {
    Answer,
    ServerError,
    Refuse,
    ConnectFails,
    LostAfterRun { reused: bool },
    LostBeforeRun { reused: bool },
}

/// A body that never comes; the script answers with whole bodies only.
#[derive(Debug)]
struct NoBody;

impl MessageBody for NoBody {
    type Error = BodyError;

    fn size(&self) -> BodySize {
        BodySize::None
    }

    fn poll_next(
        self: Pin<&mut Self>,
        _context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyError>>> {
        Poll::Ready(None)
    }
}

/// Follows a script and counts runs.
struct ScriptTransport {
    script: Vec<ScriptStep>,
    step: Cell<usize>,
    runs: Cell<u32>,
    kept_used: Cell<bool>,
    clock: ManualClock,
}

/// An answer with an empty body.
fn answer(status: StatusCode, refused: bool) -> ServerAnswer<NoBody> {
    let mut head = ResponseHead::new(status);
    if refused {
        head.headers
            .insert(HeaderName::from_static(HeaderNames::REFUSED), 1_u32.into());
    }
    ServerAnswer {
        head,
        body: AnswerBody::Whole(Bytes::new()),
    }
}

impl ServerTransport for ScriptTransport {
    type Body = NoBody;

    async fn attempt(
        &self,
        _server: ServerId,
        _request: &RelayRequest,
        plan: AttemptPlan,
    ) -> Result<ServerAnswer<NoBody>, AttemptFailure> {
        self.kept_used.set(self.kept_used.get() || !plan.fresh);
        let step = self.script[self.step.get() % self.script.len()];
        self.step.set(self.step.get() + 1);
        self.clock.advance(Duration::from_millis(1));
        let run = || self.runs.set(self.runs.get() + 1);
        let lost = |reused| AttemptFailure {
            kind: FailureKind::ConnectionLost,
            sent: true,
            reused,
        };
        match step {
            ScriptStep::Answer => {
                run();
                Ok(answer(StatusCode::OK, false))
            }
            ScriptStep::ServerError => {
                run();
                Ok(answer(StatusCode::INTERNAL_SERVER_ERROR, false))
            }
            ScriptStep::Refuse => Ok(answer(StatusCode::SERVICE_UNAVAILABLE, true)),
            ScriptStep::ConnectFails => Err(AttemptFailure::unsent(FailureKind::ConnectFailed)),
            ScriptStep::LostAfterRun { reused } => {
                run();
                Err(lost(reused))
            }
            ScriptStep::LostBeforeRun { reused } => Err(lost(reused)),
        }
    }
}

/// Grants a fixed number of retries.
struct FixedRetries(u32);

impl RetrySource for FixedRetries {
    fn try_take(&mut self, _position: ChainPosition) -> bool {
        let left = self.0.checked_sub(1);
        self.0 = left.unwrap_or(0);
        left.is_some()
    }

    fn answered(&mut self, _position: ChainPosition) {}
}

/// What became of one request.
struct RunRecord {
    verdict: Option<RunVerdict>,
    runs: u32,
    attempts: usize,
    open_after: u32,
    kept_used: bool,
}

/// Three servers.
fn seeds() -> Vec<ServerSeed> {
    let address = |port: u16| ([127, 0, 0, 1], 9_000 + port).into();
    let server = |port| ServerId {
        address: address(port),
        incarnation: Incarnation(1),
    };
    (0..3)
        .map(|port| ServerSeed {
            server: server(port),
            slots: 3,
            near: true,
        })
        .collect()
}

/// Relays one request over a script with `retries` granted.
fn run_script(script: &[ScriptStep], idempotent: bool, retries: u32) -> RunRecord {
    let clock = ManualClock::default();
    let transport = ScriptTransport {
        script: script.to_vec(),
        step: Cell::new(0),
        runs: Cell::new(0),
        kept_used: Cell::new(false),
        clock: clock.clone(),
    };
    let mut chooser = LeastInFlight::new();
    chooser.replace_servers(&seeds(), clock.now());
    let chooser = Rc::new(RefCell::new(chooser));
    let retries = RefCell::new(FixedRetries(retries));
    let request = RelayRequest {
        method: Method::GET,
        target: "/tare".parse().unwrap(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        class: RequestClass::Urgent,
        idempotent,
        position: ChainPosition::FirstHop,
        deadline: clock.now() + Duration::from_secs(1),
        watch: BodyWatch::Deadline,
        trust_refusals: true,
    };
    let relay = RelayLoop {
        transport: &transport,
        chooser: &chooser,
        retries: &retries,
        clock,
    };
    let result = actix_rt::System::new().block_on(relay.run(&request));
    let verdict = result.as_ref().err().map(|failure| failure.verdict);
    drop(result);
    let mut counts = Vec::new();
    chooser.borrow().own_counts(&mut counts);
    RunRecord {
        verdict,
        runs: transport.runs.get(),
        attempts: transport.step.get(),
        open_after: counts.iter().map(|(_, count)| count).sum(),
        kept_used: transport.kept_used.get(),
    }
}

/// Any step of a script.
fn any_step() -> impl Strategy<Value = ScriptStep> {
    prop_oneof![
        Just(ScriptStep::Answer),
        Just(ScriptStep::ServerError),
        Just(ScriptStep::Refuse),
        Just(ScriptStep::ConnectFails),
        any::<bool>().prop_map(|reused| ScriptStep::LostAfterRun { reused }),
        any::<bool>().prop_map(|reused| ScriptStep::LostBeforeRun { reused }),
    ]
}

proptest! {
    #[test]
    fn a_write_runs_at_most_once_and_not_run_is_true(
        script in prop::collection::vec(any_step(), 1..5),
        retries in 0_u32..4,
    ) {
        let record = run_script(&script, false, retries);
        prop_assert!(record.runs <= 1);
        prop_assert!(!record.kept_used);
        if record.verdict == Some(RunVerdict::NotRun) {
            prop_assert_eq!(record.runs, 0);
        }
    }

    #[test]
    fn every_attempt_is_ended_and_retries_are_paid(
        script in prop::collection::vec(any_step(), 1..5),
        idempotent: bool,
        retries in 0_u32..4,
    ) {
        let record = run_script(&script, idempotent, retries);
        prop_assert_eq!(record.open_after, 0);
        prop_assert!(record.attempts <= 3);
        prop_assert!(record.runs <= 1 + retries);
        if record.verdict == Some(RunVerdict::NotRun) {
            prop_assert_eq!(record.runs, 0);
        }
    }
}

#[test]
fn the_check_fails_for_a_loop_that_repeats_writes() {
    // A loop that takes every request for idempotent runs this script twice.
    let script = [
        ScriptStep::LostAfterRun { reused: false },
        ScriptStep::Answer,
    ];
    assert_eq!(run_script(&script, true, 3).runs, 2);
    assert_eq!(run_script(&script, false, 3).runs, 1);
}
