//! What follows a failed attempt: a pure decision.
//!
//! A request that may have run is sent again only if it is idempotent, this hop may retry, and the
//! retry allowance grants it. A failure that proves that nothing ran may be followed by another
//! server for any request. The number of attempts is bounded in every case.

use ggs_model::RunVerdict;

use crate::{AttemptFailure, FailureKind};

/// Attempts of one request at one hop, the first included.
pub(crate) const MAX_ATTEMPTS: u32 = 3;

/// What is known when an attempt has failed.
#[derive(Clone, Copy, Debug)]
pub struct RetryContext {
    /// The failure.
    pub failure: AttemptFailure,
    /// Attempts made so far, the failed one included.
    pub attempts: u32,
    /// Whether the request may be sent again after it may have run.
    pub idempotent: bool,
    /// Whether this hop may retry after a server may have worked on the request.
    pub may_retry: bool,
    /// Whether the deadline has passed.
    pub deadline_passed: bool,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send to the same server on a new connection; the path is suspected, not the server.
    SameServer {
        /// Whether the retry allowance must grant it.
        costs_retry: bool,
    },
    /// Send to another server.
    OtherServer {
        /// Whether the retry allowance must grant it.
        costs_retry: bool,
    },
    /// Tell the caller.
    GiveUp,
}

/// Decides what follows a failed attempt.
///
/// ```
/// use ggs_relay::{RetryContext, AttemptFailure, FailureKind, NextStep, next_step};
///
/// let failure = AttemptFailure { kind: FailureKind::AnswerTimeout, sent: true, reused: true };
/// let mut context =
///     RetryContext { failure, attempts: 1, idempotent: true, may_retry: true, deadline_passed: false };
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
        // A refusal made a server work; a failed connect did not. A leaving server gets no new work
        // after its first refusal, so only the requests that met it in that moment go on for free;
        // a gate with few requests has no retries saved up for them.
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
