//! Attempts of one request until it has an answer or a final failure.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::HeaderMap;
use ggs_limit::{ChainBudget, ChainPosition};
use ggs_model::{Clock, HeaderNames, LoadReport, Moment, RequestClass, RunVerdict};
use ggs_pick::{
    AttemptEnd, AttemptOutcome, ChoiceRefusal, ChoiceRequest, ServerChooser, ServerSlot,
};

use crate::plan::MAX_ATTEMPTS;
use crate::transport::{AttemptPlan, ServerAnswer, ServerTransport};
use crate::{
    AttemptFacts, AttemptFailure, FailureKind, NextStep, RelayFailure, RelayRequest, next_step,
};

/// Time after which a caller may ask again when nothing better is known.
const RETRY_AFTER: Duration = Duration::from_millis(200);

/// Part of the time left that an attempt may use before it is abandoned for another, in percent.
const ATTEMPT_SHARE_PERCENT: u32 = 40;

/// A bounded supply of retries.
pub trait RetrySource {
    /// Takes one retry if one is left for requests at this position in their call chain.
    fn try_take(&mut self, position: ChainPosition) -> bool;

    /// Notes an answered request, which earns part of a retry.
    fn answered(&mut self, position: ChainPosition);
}

impl RetrySource for ChainBudget {
    fn try_take(&mut self, position: ChainPosition) -> bool {
        self.take(position)
    }

    fn answered(&mut self, position: ChainPosition) {
        Self::record_success(self, position);
    }
}

/// An attempt that the chooser counts as in flight; ends when dropped.
#[derive(Debug)]
pub struct AttemptHold<C: ServerChooser, K: Clock> {
    chooser: Rc<RefCell<C>>,
    clock: K,
    slot: ServerSlot,
    class: RequestClass,
    started: Moment,
    first_byte: Option<Duration>,
    outcome: AttemptOutcome,
}

impl<C: ServerChooser, K: Clock> AttemptHold<C, K> {
    /// Notes that the answer's first byte has come.
    fn head_came(&mut self) {
        self.first_byte = Some(self.clock.now().since(self.started));
    }

    /// Sets how the attempt ends when the hold is dropped.
    pub fn set_outcome(&mut self, outcome: AttemptOutcome) {
        self.outcome = outcome;
    }
}

impl<C: ServerChooser, K: Clock> Drop for AttemptHold<C, K> {
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
    pub hold: AttemptHold<C, K>,
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
    again: Option<ServerSlot>,
    may_have_run: bool,
}

impl LoopState {
    /// State before the first attempt.
    fn new() -> Self {
        let unused = ServerSlot {
            index: u32::MAX,
            generation: u32::MAX,
        };
        Self {
            tried: [unused; MAX_ATTEMPTS as usize],
            attempts: 0,
            again: None,
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
            let mut hold = self.start(request, &mut state)?;
            let Some(server) = self.chooser.borrow().server(hold.slot) else {
                return Err(state.failure(FailureKind::NoServer, RETRY_AFTER));
            };
            let plan = self.plan(request, &state);
            let result = self.transport.attempt(server, request, plan).await;
            let failure = match result {
                Ok(answer) => match self.take_answer(request, answer, hold, &state) {
                    Ok(answer) => return Ok(answer),
                    Err(failure) => failure,
                },
                Err(failure) => {
                    hold.set_outcome(outcome_of(failure));
                    drop(hold);
                    failure
                }
            };
            self.after_failure(request, &mut state, failure)?;
        }
    }

    /// Chooses the server of the next attempt and counts it as in flight.
    fn start(
        &self,
        request: &RelayRequest,
        state: &mut LoopState,
    ) -> Result<AttemptHold<C, K>, RelayFailure> {
        let now = self.clock.now();
        if now >= request.deadline {
            return Err(state.failure(FailureKind::DeadlinePassed, RETRY_AFTER));
        }
        let tried = &state.tried[..state.attempts as usize];
        let choice = ChoiceRequest {
            class: request.class,
            tried,
            deadline: request.deadline,
        };
        let mut chooser = self.chooser.borrow_mut();
        let again = state
            .again
            .take()
            .filter(|&slot| chooser.start_on(slot, request.class, now));
        let slot = match again {
            Some(slot) => slot,
            None => chooser
                .choose(&choice, now)
                .map_err(|refusal| match refusal {
                    ChoiceRefusal::NoServer => state.failure(FailureKind::NoServer, RETRY_AFTER),
                    ChoiceRefusal::NoCapacity { retry_after } => {
                        state.failure(FailureKind::NoCapacity, retry_after)
                    }
                })?,
        };
        drop(chooser);
        state.tried[state.attempts as usize] = slot;
        state.attempts += 1;
        Ok(AttemptHold {
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
    fn plan(&self, request: &RelayRequest, state: &LoopState) -> AttemptPlan {
        let repeatable = request.idempotent && request.may_retry();
        let last = !repeatable || state.attempts >= MAX_ATTEMPTS;
        let now = self.clock.now();
        let remaining = request.deadline.since(now);
        let limit = if last {
            remaining
        } else {
            remaining * ATTEMPT_SHARE_PERCENT / 100
        };
        let earlier = u32::from(request.position == ChainPosition::Retried);
        let retry = earlier + state.attempts - 1;
        // A request that may not be repeated never risks a connection that the path has lost, and a
        // retry does not either.
        let fresh = !request.idempotent || state.attempts > 1;
        AttemptPlan {
            fresh,
            answer_by: now + limit,
            retry,
        }
    }

    /// Accepts an answer, or turns a refusal or a server error into a failure that may be retried.
    fn take_answer(
        &self,
        request: &RelayRequest,
        answer: ServerAnswer<T::Body>,
        mut hold: AttemptHold<C, K>,
        state: &LoopState,
    ) -> Result<RelayAnswer<T::Body, C, K>, AttemptFailure> {
        let now = self.clock.now();
        hold.head_came();
        if let Some(report) = load_report(&answer.head.headers) {
            self.chooser.borrow_mut().report(hold.slot, report, now);
        }
        let refused = answer.head.headers.contains_key(HeaderNames::REFUSED);
        if refused && request.trust_refusals {
            hold.set_outcome(AttemptOutcome::Failed);
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
            hold.set_outcome(AttemptOutcome::Failed);
            if self.may_replace(request, state) {
                let kind = FailureKind::ServerError;
                return Err(AttemptFailure {
                    kind,
                    sent: true,
                    reused: false,
                });
            }
            return Ok(RelayAnswer { answer, hold });
        }
        self.retries.borrow_mut().answered(request.position);
        hold.set_outcome(AttemptOutcome::Answered);
        Ok(RelayAnswer { answer, hold })
    }

    /// Whether an error answer may be replaced by another attempt; takes the retry.
    fn may_replace(&self, request: &RelayRequest, state: &LoopState) -> bool {
        let repeatable = request.idempotent && request.may_retry();
        let now = self.clock.now();
        let open = state.attempts < MAX_ATTEMPTS && now < request.deadline;
        repeatable && open && self.retries.borrow_mut().try_take(request.position)
    }

    /// Decides whether another attempt follows.
    fn after_failure(
        &self,
        request: &RelayRequest,
        state: &mut LoopState,
        failure: AttemptFailure,
    ) -> Result<(), RelayFailure> {
        let now = self.clock.now();
        state.may_have_run |= failure.verdict() != RunVerdict::NotRun;
        let facts = AttemptFacts {
            failure,
            attempts: state.attempts,
            idempotent: request.idempotent,
            may_retry: request.may_retry(),
            late: now >= request.deadline,
        };
        let final_failure = state.failure(failure.kind, RETRY_AFTER);
        let (same, costs_retry) = match next_step(&facts) {
            NextStep::GiveUp => return Err(final_failure),
            NextStep::SameServer { costs_retry } => (true, costs_retry),
            NextStep::OtherServer { costs_retry } => (false, costs_retry),
        };
        // The retry for an error answer was taken when the answer was turned down.
        let paid = failure.kind == FailureKind::ServerError;
        if costs_retry && !paid && !self.retries.borrow_mut().try_take(request.position) {
            return Err(final_failure);
        }
        if same {
            state.again = Some(state.tried[state.attempts as usize - 1]);
        }
        Ok(())
    }
}

/// How a failed attempt counts for its server.
fn outcome_of(failure: AttemptFailure) -> AttemptOutcome {
    if failure.suspects_path() {
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
