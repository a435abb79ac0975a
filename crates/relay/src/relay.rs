//! Attempts of one request until it has an answer or a final failure.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::HeaderMap;
use ggs_limit::{CallPlace, RetryAllowance};
use ggs_model::{Clock, HeaderNames, LoadReport, Moment, RequestClass, RunVerdict};
use ggs_pick::{
    AttemptEnd, AttemptOutcome, ChoiceRefusal, ChoiceRequest, ServerChooser, ServerSlot,
};

use crate::retry::MAX_ATTEMPTS;
use crate::transport::{AttemptPlan, ServerAnswer, ServerTransport};
use crate::{
    AttemptFailure, FailureKind, NextStep, RelayFailure, RelayRequest, RetryContext, next_step,
};

/// Time after which a caller may ask again when nothing better is known.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(200);

/// Part of the time left that an attempt may use before it is abandoned for another, in percent.
const ATTEMPT_TIME_PERCENT: u32 = 40;

/// A bounded supply of retries.
pub trait RetrySource {
    /// Takes one retry if one is left for requests that came to this place.
    fn try_take(&mut self, place: CallPlace) -> bool;

    /// Notes an answered request, which earns part of a retry.
    fn record_answer(&mut self, place: CallPlace);
}

impl RetrySource for RetryAllowance {
    fn try_take(&mut self, place: CallPlace) -> bool {
        self.take(place)
    }

    fn record_answer(&mut self, place: CallPlace) {
        Self::answered(self, place);
    }
}

/// An attempt that the chooser counts as in flight; ends when dropped.
#[derive(Debug)]
pub struct AttemptGuard<C: ServerChooser, K: Clock> {
    chooser: Rc<RefCell<C>>,
    clock: K,
    slot: ServerSlot,
    class: RequestClass,
    started: Moment,
    first_byte: Option<Duration>,
    outcome: AttemptOutcome,
}

impl<C: ServerChooser, K: Clock> AttemptGuard<C, K> {
    /// Notes that the answer's first byte has come.
    fn record_first_byte(&mut self) {
        self.first_byte = Some(self.clock.now().since(self.started));
    }

    /// Sets how the attempt ends when the hold is dropped.
    pub fn set_outcome(&mut self, outcome: AttemptOutcome) {
        self.outcome = outcome;
    }
}

impl<C: ServerChooser, K: Clock> Drop for AttemptGuard<C, K> {
    fn drop(&mut self) {
        let now = self.clock.now();
        let elapsed = self.first_byte.unwrap_or_else(|| now.since(self.started));
        let end = AttemptEnd {
            slot: self.slot,
            class: self.class,
            outcome: self.outcome,
            elapsed,
        };
        self.chooser.borrow_mut().finish(&end, now);
    }
}

/// An answer for the caller.
#[derive(Debug)]
pub struct RelayAnswer<B, C: ServerChooser, K: Clock> {
    /// The server's answer.
    pub answer: ServerAnswer<B>,
    /// Keeps the attempt counted until the body has ended.
    pub guard: AttemptGuard<C, K>,
}

/// Runs requests of one service against its servers.
#[derive(Debug)]
pub struct RelayLoop<'a, T, C, R, K> {
    /// Makes attempts.
    pub transport: &'a T,
    /// Chooses servers.
    pub chooser: &'a Rc<RefCell<C>>,
    /// Grants retries.
    pub retries: &'a RefCell<R>,
    /// Tells the time.
    pub clock: K,
}

/// What the loop remembers between attempts.
#[derive(Debug)]
struct LoopState {
    tried: [ServerSlot; MAX_ATTEMPTS as usize],
    attempts: u32,
    /// Server to use again, after a suspected path.
    retry_slot: Option<ServerSlot>,
    may_have_run: bool,
}

impl LoopState {
    /// State before the first attempt.
    fn new() -> Self {
        let no_slot = ServerSlot {
            index: u32::MAX,
            generation: u32::MAX,
        };
        Self {
            tried: [no_slot; MAX_ATTEMPTS as usize],
            attempts: 0,
            retry_slot: None,
            may_have_run: false,
        }
    }

    /// The final failure for `kind`.
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
    R: RetrySource,
    K: Clock + Clone,
{
    /// Makes attempts until one is answered or none may follow.
    ///
    /// # Errors
    ///
    /// Returns the final failure with its verdict.
    pub async fn run(
        &self,
        request: &RelayRequest,
    ) -> Result<RelayAnswer<T::Body, C, K>, RelayFailure> {
        let mut state = LoopState::new();
        loop {
            let mut guard = self.start_attempt(request, &mut state)?;
            let Some(server) = self.chooser.borrow().server(guard.slot) else {
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
        let retry_slot = state
            .retry_slot
            .take()
            .filter(|&slot| chooser.start_on(slot, request.class, now));
        let slot = match retry_slot {
            Some(slot) => slot,
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
        state.tried[state.attempts as usize] = slot;
        state.attempts += 1;
        Ok(AttemptGuard {
            chooser: Rc::clone(self.chooser),
            clock: self.clock.clone(),
            slot,
            class: request.class,
            started: now,
            first_byte: None,
            outcome: AttemptOutcome::Abandoned,
        })
    }

    /// Plans the next attempt: all but the last possible one leave time for another.
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
        let earlier_retries = u32::from(request.place == CallPlace::Retried);
        let retry_count = earlier_retries + state.attempts - 1;
        // A request that may not be repeated never risks a connection that the path has lost, and a
        // retry does not either.
        let new_connection = !request.idempotent || state.attempts > 1;
        AttemptPlan {
            new_connection,
            answer_deadline: now + limit,
            retry_count,
        }
    }

    /// Accepts an answer, or turns a refusal or a server error into a failure that may be retried.
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
            self.chooser.borrow_mut().report(guard.slot, report, now);
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
        self.retries.borrow_mut().record_answer(request.place);
        guard.set_outcome(AttemptOutcome::Answered);
        Ok(RelayAnswer { answer, guard })
    }

    /// Whether an error answer may be replaced by another attempt; takes the retry.
    fn take_error_retry(&self, request: &RelayRequest, state: &LoopState) -> bool {
        let repeatable = request.idempotent && request.may_retry();
        let now = self.clock.now();
        let attempt_allowed = state.attempts < MAX_ATTEMPTS && now < request.deadline;
        repeatable && attempt_allowed && self.retries.borrow_mut().try_take(request.place)
    }

    /// Decides whether another attempt follows.
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
        // The retry for an error answer was taken when the answer was turned down.
        let retry_taken = failure.kind == FailureKind::ServerError;
        if costs_retry && !retry_taken && !self.retries.borrow_mut().try_take(request.place) {
            return Err(final_failure);
        }
        if same_server {
            state.retry_slot = Some(state.tried[state.attempts as usize - 1]);
        }
        Ok(())
    }
}

/// How a failed attempt counts for its server.
fn outcome_of(failure: AttemptFailure) -> AttemptOutcome {
    if failure.suggests_stale_connection() {
        return AttemptOutcome::PathLost;
    }
    match failure.kind {
        FailureKind::NoConnection | FailureKind::DeadlinePassed => AttemptOutcome::Abandoned,
        _ => AttemptOutcome::Failed,
    }
}

/// The load report of an answer.
fn load_report(headers: &HeaderMap) -> Option<LoadReport> {
    let value = headers.get(HeaderNames::LOAD)?;
    value.to_str().ok()?.parse().ok()
}
