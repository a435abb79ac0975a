//! Tests the relay loop over a scripted transport, with random sequences of refusals, lost
//! connections and answers.
//!
//! Guards against requests that run twice although they may not be repeated, against wrong
//! "not run" verdicts, and against attempts that stay counted as in flight.

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
use ggs_pick::{LeastInFlight, ServerChooser, ServerSpec};
use ggs_relay::{
    AnswerBody, AttemptFailure, AttemptPlan, BodyError, BodyTimeout, FailureKind, RelayLoop,
    RelayRequest, RetryBudget, ServerAnswer, ServerTransport,
};
use proptest::prelude::*;

/// Result of one attempt over the scripted transport.
#[derive(Clone, Copy, Debug)]
enum ScriptStep {
    Answer,
    ServerError,
    Refuse,
    ConnectFails,
    LostAfterRun { reused: bool },
    LostBeforeRun { reused: bool },
}

/// Body type for streamed answers, which the scripted transport never returns.
#[derive(Debug)]
struct EmptyBody;

impl MessageBody for EmptyBody {
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

/// Makes attempts end as scripted and counts how often the request ran.
struct ScriptTransport {
    script: Vec<ScriptStep>,
    step: Cell<usize>,
    runs: Cell<u32>,
    reuse_allowed: Cell<bool>,
    clock: ManualClock,
}

/// Creates an answer with an empty body.
fn answer(status: StatusCode, refused: bool) -> ServerAnswer<EmptyBody> {
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
    type Body = EmptyBody;

    async fn attempt(
        &self,
        _server: ServerId,
        _request: &RelayRequest,
        plan: AttemptPlan,
    ) -> Result<ServerAnswer<EmptyBody>, AttemptFailure> {
        self.reuse_allowed
            .set(self.reuse_allowed.get() || !plan.new_connection);
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

/// A retry budget of a fixed number of retries.
struct FixedRetries(u32);

impl RetryBudget for FixedRetries {
    fn try_take(&mut self, _position: ChainPosition) -> bool {
        let left = self.0.checked_sub(1);
        self.0 = left.unwrap_or(0);
        left.is_some()
    }

    fn record_answer(&mut self, _position: ChainPosition) {}
}

/// The result of one request and its effects.
struct RunRecord {
    verdict: Option<RunVerdict>,
    runs: u32,
    attempts: usize,
    in_flight_after: u32,
    reuse_allowed: bool,
}

/// Specifications of three servers.
fn specs() -> Vec<ServerSpec> {
    let address = |port: u16| ([127, 0, 0, 1], 9_000 + port).into();
    let server = |port| ServerId {
        address: address(port),
        incarnation: Incarnation(1),
    };
    (0..3)
        .map(|port| ServerSpec {
            server: server(port),
            slots: 3,
            near: true,
        })
        .collect()
}

/// Sends one request over a scripted transport with a budget of `retries`.
fn run_script(script: &[ScriptStep], idempotent: bool, retries: u32) -> RunRecord {
    let clock = ManualClock::default();
    let transport = ScriptTransport {
        script: script.to_vec(),
        step: Cell::new(0),
        runs: Cell::new(0),
        reuse_allowed: Cell::new(false),
        clock: clock.clone(),
    };
    let mut chooser = LeastInFlight::new();
    chooser.replace_servers(&specs(), clock.now());
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
        body_timeout: BodyTimeout::Deadline,
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
        in_flight_after: counts.iter().map(|(_, count)| count).sum(),
        reuse_allowed: transport.reuse_allowed.get(),
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
    // A lost connection may hide a run, and a reused connection is more likely to be lost.
    #[test]
    fn non_idempotent_request_runs_at_most_once_and_not_run_is_correct(
        script in prop::collection::vec(any_step(), 1..5),
        retries in 0_u32..4,
    ) {
        let record = run_script(&script, false, retries);
        prop_assert!(record.runs <= 1);
        prop_assert!(!record.reuse_allowed);
        if record.verdict == Some(RunVerdict::NotRun) {
            prop_assert_eq!(record.runs, 0);
        }
    }

    // An attempt that is never finished would distort the choice of servers from then on.
    #[test]
    fn every_attempt_is_finished_and_retries_stay_within_the_budget(
        script in prop::collection::vec(any_step(), 1..5),
        idempotent: bool,
        retries in 0_u32..4,
    ) {
        let record = run_script(&script, idempotent, retries);
        prop_assert_eq!(record.in_flight_after, 0);
        prop_assert!(record.attempts <= 3);
        prop_assert!(record.runs <= 1 + retries);
        if record.verdict == Some(RunVerdict::NotRun) {
            prop_assert_eq!(record.runs, 0);
        }
    }
}

// The properties above rely on the run count; this shows that it would reveal a repeated request.
#[test]
fn run_count_reveals_a_repeated_write() {
    // The server runs the request and loses the connection. If the loop treated every request as
    // idempotent, the run count would be 2 for both requests.
    let script = [
        ScriptStep::LostAfterRun { reused: false },
        ScriptStep::Answer,
    ];
    assert_eq!(run_script(&script, true, 3).runs, 2);
    assert_eq!(run_script(&script, false, 3).runs, 1);
}
