//! Makes attempts of a request until it has an answer or fails for good.
//!
//! For each attempt the loop asks the chooser for a server, sets the attempt's deadline and decides
//! whether the answer is final. It takes retries from the retry budget and reports the start and
//! end of each attempt to the chooser, which counts the requests in flight.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::HeaderMap;
use ggs_limit::{ChainPosition, ChainRetries};
use ggs_model::{Clock, HeaderNames, LoadReport, Moment, RequestClass, RunVerdict};
use ggs_pick::{
    AttemptEnd, AttemptOutcome, ChoiceRefusal, ChoiceRequest, ServerChooser, ServerHandle,
};

use crate::retry::MAX_ATTEMPTS;
use crate::transport::{AttemptPlan, ServerAnswer, ServerTransport};
use crate::{
    AttemptFailure, FailureKind, NextStep, RelayFailure, RelayRequest, RetryContext, next_step,
};

/// Delay before a caller may try again, used when the chooser gives no better estimate.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Part of the remaining time after which an attempt is given up in favour of a retry.
///
/// Does not apply if no retry may follow: such an attempt may use all of the remaining time.
const ATTEMPT_TIME_PERCENT: u32 = 40;

/// The retry budget of a service, as [`RelayLoop`] uses it.
pub trait RetryBudget {
    /// Takes one retry from the budget, if one is left for requests at this position in their
    /// call chain.
    fn try_take(&mut self, position: ChainPosition) -> bool;

    /// Records an answered request, which adds a fraction of a retry to the budget.
    fn record_answer(&mut self, position: ChainPosition);
}

impl RetryBudget for ChainRetries {
    fn try_take(&mut self, position: ChainPosition) -> bool {
        self.take(position)
    }

    fn record_answer(&mut self, position: ChainPosition) {
        Self::record_success(self, position);
    }
}

/// Keeps an attempt counted as in flight; when dropped, reports its end to the chooser.
#[derive(Debug)]
pub struct AttemptGuard<C: ServerChooser, K: Clock> {
    chooser: Rc<RefCell<C>>,
    clock: K,
    handle: ServerHandle,
    class: RequestClass,
    started: Moment,
    first_byte: Option<Duration>,
    outcome: AttemptOutcome,
}

impl<C: ServerChooser, K: Clock> AttemptGuard<C, K> {
    /// Records the time until the head of the answer; without it, the time until the drop counts.
    fn record_first_byte(&mut self) {
        self.first_byte = Some(self.clock.now().since(self.started));
    }

    /// Sets the outcome that is reported when the guard is dropped.
    pub fn set_outcome(&mut self, outcome: AttemptOutcome) {
        self.outcome = outcome;
    }
}

impl<C: ServerChooser, K: Clock> Drop for AttemptGuard<C, K> {
    fn drop(&mut self) {
        let now = self.clock.now();
        let elapsed = self.first_byte.unwrap_or_else(|| now.since(self.started));
        let end = AttemptEnd {
            handle: self.handle,
            class: self.class,
            outcome: self.outcome,
            elapsed,
        };
        self.chooser.borrow_mut().finish(&end, now);
    }
}

/// An answer to forward to the caller.
#[derive(Debug)]
pub struct RelayAnswer<B, C: ServerChooser, K: Clock> {
    /// The server's answer.
    pub answer: ServerAnswer<B>,
    /// Keeps the attempt counted as in flight; drop it when the body has ended.
    pub guard: AttemptGuard<C, K>,
}

/// Sends the requests of one service to its servers, with retries.
#[derive(Debug)]
pub struct RelayLoop<'a, T, C, R, K> {
    /// Makes attempts.
    pub transport: &'a T,
    /// Chooses servers.
    pub chooser: &'a Rc<RefCell<C>>,
    /// The retry budget of the service.
    pub retries: &'a RefCell<R>,
    /// Clock for deadlines and elapsed times.
    pub clock: K,
}

/// State of one request between its attempts.
#[derive(Debug)]
struct LoopState {
    /// Servers of the attempts so far, in the first `attempts` places.
    tried: [ServerHandle; MAX_ATTEMPTS as usize],
    attempts: u32,
    /// Server to retry on, after a failure that suggests a stale connection.
    retry_handle: Option<ServerHandle>,
    may_have_run: bool,
}

impl LoopState {
    /// State before the first attempt.
    fn new() -> Self {
        let no_handle = ServerHandle {
            index: u32::MAX,
            generation: u32::MAX,
        };
        Self {
            tried: [no_handle; MAX_ATTEMPTS as usize],
            attempts: 0,
            retry_handle: None,
            may_have_run: false,
        }
    }

    /// Creates the final failure of the request.
    fn failure(&self, kind: FailureKind, retry_after: Duration) -> RelayFailure {
        let verdict = if self.may_have_run {
            RunVerdict::Unknown
        } else {
            RunVerdict::NotRun
        };
        RelayFailure {
            verdict,
            kind,
            retry_after,
        }
    }
}

impl<T, C, R, K> RelayLoop<'_, T, C, R, K>
where
    T: ServerTransport,
    C: ServerChooser,
    R: RetryBudget,
    K: Clock + Clone,
{
    /// Makes attempts until one is answered or no further one is allowed.
    ///
    /// # Errors
    ///
    /// Returns the reason of the last failure, and whether the request may have run.
    pub async fn run(
        &self,
        request: &RelayRequest,
    ) -> Result<RelayAnswer<T::Body, C, K>, RelayFailure> {
        let mut state = LoopState::new();
        loop {
            let mut guard = self.start_attempt(request, &mut state)?;
            let Some(server) = self.chooser.borrow().server(guard.handle) else {
                return Err(state.failure(FailureKind::NoServer, DEFAULT_RETRY_AFTER));
            };
            let plan = self.plan_attempt(request, &state);
            let result = self.transport.attempt(server, request, plan).await;
            let failure = match result {
                Ok(answer) => match self.accept_answer(request, answer, guard, &state) {
                    Ok(answer) => return Ok(answer),
                    Err(failure) => failure,
                },
                Err(failure) => {
                    guard.set_outcome(outcome_of(failure));
                    drop(guard);
                    failure
                }
            };
            self.prepare_retry(request, &mut state, failure)?;
        }
    }

    /// Chooses the server of the next attempt and counts it as in flight.
    fn start_attempt(
        &self,
        request: &RelayRequest,
        state: &mut LoopState,
    ) -> Result<AttemptGuard<C, K>, RelayFailure> {
        let now = self.clock.now();
        if now >= request.deadline {
            return Err(state.failure(FailureKind::DeadlinePassed, DEFAULT_RETRY_AFTER));
        }
        let tried = &state.tried[..state.attempts as usize];
        let choice = ChoiceRequest {
            class: request.class,
            tried,
            deadline: request.deadline,
        };
        let mut chooser = self.chooser.borrow_mut();
        let retry_handle = state
            .retry_handle
            .take()
            .filter(|&handle| chooser.start_on(handle, request.class, now));
        let handle = match retry_handle {
            Some(handle) => handle,
            None => chooser
                .choose(&choice, now)
                .map_err(|refusal| match refusal {
                    ChoiceRefusal::NoServer => {
                        state.failure(FailureKind::NoServer, DEFAULT_RETRY_AFTER)
                    }
                    ChoiceRefusal::NoCapacity { retry_after } => {
                        state.failure(FailureKind::NoCapacity, retry_after)
                    }
                })?,
        };
        drop(chooser);
        state.tried[state.attempts as usize] = handle;
        state.attempts += 1;
        Ok(AttemptGuard {
            chooser: Rc::clone(self.chooser),
            clock: self.clock.clone(),
            handle,
            class: request.class,
            started: now,
            first_byte: None,
            outcome: AttemptOutcome::Abandoned,
        })
    }

    /// Sets the deadline and connection of an attempt, leaving time for a retry if one may follow.
    fn plan_attempt(&self, request: &RelayRequest, state: &LoopState) -> AttemptPlan {
        let repeatable = request.idempotent && request.may_retry();
        let is_last = !repeatable || state.attempts >= MAX_ATTEMPTS;
        let now = self.clock.now();
        let remaining = request.deadline.since(now);
        let limit = if is_last {
            remaining
        } else {
            remaining * ATTEMPT_TIME_PERCENT / 100
        };
        let earlier_retries = u32::from(request.position == ChainPosition::Retried);
        let retry_count = earlier_retries + state.attempts - 1;
        // A reused connection may be stale. A request that may not be repeated can't be retried
        // after such a failure, and a retry should not fail for the same reason again.
        let new_connection = !request.idempotent || state.attempts > 1;
        AttemptPlan {
            new_connection,
            answer_deadline: now + limit,
            retry_count,
        }
    }

    /// Accepts an answer, or turns a refusal or an error status into a failure that may be retried.
    fn accept_answer(
        &self,
        request: &RelayRequest,
        answer: ServerAnswer<T::Body>,
        mut guard: AttemptGuard<C, K>,
        state: &LoopState,
    ) -> Result<RelayAnswer<T::Body, C, K>, AttemptFailure> {
        let now = self.clock.now();
        guard.record_first_byte();
        if let Some(report) = load_report(&answer.head.headers) {
            self.chooser
                .borrow_mut()
                .record_report(guard.handle, report, now);
        }
        let refused = answer.head.headers.contains_key(HeaderNames::REFUSED);
        if refused && request.trust_refusals {
            guard.set_outcome(AttemptOutcome::Failed);
            let leaving = answer.head.headers.contains_key(HeaderNames::LEAVING);
            let kind = if leaving {
                FailureKind::Leaving
            } else {
                FailureKind::Refused
            };
            return Err(AttemptFailure {
                kind,
                sent: true,
                reused: false,
            });
        }
        if answer.head.status.is_server_error() {
            guard.set_outcome(AttemptOutcome::Failed);
            if self.take_error_retry(request, state) {
                let kind = FailureKind::ServerError;
                return Err(AttemptFailure {
                    kind,
                    sent: true,
                    reused: false,
                });
            }
            return Ok(RelayAnswer { answer, guard });
        }
        self.retries.borrow_mut().record_answer(request.position);
        guard.set_outcome(AttemptOutcome::Answered);
        Ok(RelayAnswer { answer, guard })
    }

    /// Takes a retry from the budget to replace an answer with an error status; false if the answer
    /// must be forwarded instead.
    fn take_error_retry(&self, request: &RelayRequest, state: &LoopState) -> bool {
        let repeatable = request.idempotent && request.may_retry();
        let now = self.clock.now();
        let attempt_allowed = state.attempts < MAX_ATTEMPTS && now < request.deadline;
        repeatable && attempt_allowed && self.retries.borrow_mut().try_take(request.position)
    }

    /// Prepares the next attempt after a failure.
    ///
    /// # Errors
    ///
    /// Returns the final failure if no attempt may follow.
    fn prepare_retry(
        &self,
        request: &RelayRequest,
        state: &mut LoopState,
        failure: AttemptFailure,
    ) -> Result<(), RelayFailure> {
        let now = self.clock.now();
        state.may_have_run |= failure.verdict() != RunVerdict::NotRun;
        let context = RetryContext {
            failure,
            attempts: state.attempts,
            idempotent: request.idempotent,
            may_retry: request.may_retry(),
            deadline_passed: now >= request.deadline,
        };
        let final_failure = state.failure(failure.kind, DEFAULT_RETRY_AFTER);
        let (same_server, costs_retry) = match next_step(&context) {
            NextStep::GiveUp => return Err(final_failure),
            NextStep::SameServer { costs_retry } => (true, costs_retry),
            NextStep::OtherServer { costs_retry } => (false, costs_retry),
        };
        // `accept_answer` has already taken the retry for an answer with an error status.
        let retry_taken = failure.kind == FailureKind::ServerError;
        if costs_retry && !retry_taken && !self.retries.borrow_mut().try_take(request.position) {
            return Err(final_failure);
        }
        if same_server {
            state.retry_handle = Some(state.tried[state.attempts as usize - 1]);
        }
        Ok(())
    }
}

/// The outcome of a failed attempt that is reported to the chooser.
fn outcome_of(failure: AttemptFailure) -> AttemptOutcome {
    if failure.suggests_stale_connection() {
        return AttemptOutcome::PathLost;
    }
    match failure.kind {
        FailureKind::NoConnection | FailureKind::DeadlinePassed => AttemptOutcome::Abandoned,
        _ => AttemptOutcome::Failed,
    }
}

/// The load report in an answer's headers; `None` if it is missing or invalid.
fn load_report(headers: &HeaderMap) -> Option<LoadReport> {
    let value = headers.get(HeaderNames::LOAD)?;
    value.to_str().ok()?.parse().ok()
}
