//! Decides what follows a failed attempt: the same server again, another server, or an error.
//!
//! A request that may have run is retried only if it is idempotent, this gate may retry it, and the
//! retry budget grants it. After a failure which proves that the request did not run, any request
//! may go to another server. The number of attempts is bounded in every case.
//!
//! The decision is a pure function, so that tests can cover all combinations of its inputs.

use ggs_model::RunVerdict;

use crate::{AttemptFailure, FailureKind};

/// Most attempts of one request by one gate, including the first.
pub(crate) const MAX_ATTEMPTS: u32 = 3;

/// The inputs of the retry decision after a failed attempt.
#[derive(Clone, Copy, Debug)]
pub struct RetryContext {
    /// The failure of the latest attempt.
    pub failure: AttemptFailure,
    /// Attempts made so far, including the failed one.
    pub attempts: u32,
    /// Whether the request may be repeated after it may have run.
    pub idempotent: bool,
    /// Whether this gate may retry after a server has spent work on the request.
    pub may_retry: bool,
    /// Whether the request's deadline has passed.
    pub deadline_passed: bool,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Retry on the same server over a new connection: the old connection was probably stale.
    SameServer {
        /// Whether the retry must be granted by the retry budget.
        costs_retry: bool,
    },
    /// Retry on another server.
    OtherServer {
        /// Whether the retry must be granted by the retry budget.
        costs_retry: bool,
    },
    /// Report the failure to the caller.
    GiveUp,
}

/// Decides what follows a failed attempt.
///
/// ```
/// use ggs_relay::{AttemptFailure, FailureKind, NextStep, RetryContext, next_step};
///
/// let failure = AttemptFailure { kind: FailureKind::AnswerTimeout, sent: true, reused: true };
/// let mut context = RetryContext {
///     failure,
///     attempts: 1,
///     idempotent: true,
///     may_retry: true,
///     deadline_passed: false,
/// };
/// assert_eq!(next_step(&context), NextStep::SameServer { costs_retry: true });
/// context.idempotent = false;
/// assert_eq!(next_step(&context), NextStep::GiveUp);
/// ```
pub fn next_step(context: &RetryContext) -> NextStep {
    let failure = context.failure;
    if context.deadline_passed || context.attempts >= MAX_ATTEMPTS {
        return NextStep::GiveUp;
    }
    if failure.verdict() == RunVerdict::NotRun {
        // A refusal costs the server work, so its retry is taken from the retry budget; a failed
        // connect costs the server nothing. A refusal by a leaving server is not charged either: a
        // gate with few requests has not saved up enough retries for the replacement of a whole
        // fleet of servers. The number of such retries stays small: the server gets no new requests
        // after its first such refusal, so only those already in flight to it are retried for free.
        let costs_retry = failure.kind == FailureKind::Refused;
        if costs_retry && !context.may_retry {
            return NextStep::GiveUp;
        }
        return NextStep::OtherServer { costs_retry };
    }
    if !context.idempotent || !context.may_retry {
        return NextStep::GiveUp;
    }
    if failure.suggests_stale_connection() {
        return NextStep::SameServer { costs_retry: true };
    }
    NextStep::OtherServer { costs_retry: true }
}
