//! What follows a failed attempt: a pure decision.
//!
//! A request that may have run is sent again only if it is idempotent, this hop may retry, and the
//! retry budget grants it. A failure that proves that nothing ran may be followed by another
//! server for any request. The number of attempts is bounded in every case.

use ggs_model::RunVerdict;

use crate::{AttemptFailure, FailureKind};

/// Attempts of one request at one hop, the first included.
pub(crate) const MAX_ATTEMPTS: u32 = 3;

/// What is known when an attempt has failed.
#[derive(Clone, Copy, Debug)]
pub struct AttemptFacts {
    /// The failure.
    pub failure: AttemptFailure,
    /// Attempts made so far, the failed one included.
    pub attempts: u32,
    /// Whether the request may be sent again after it may have run.
    pub idempotent: bool,
    /// Whether this hop may retry after a server may have worked on the request.
    pub may_retry: bool,
    /// Whether the deadline has passed.
    pub late: bool,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextStep {
    /// Send to the same server on a new connection; the path is suspected, not the server.
    SameServer {
        /// Whether the retry budget must grant it.
        costs_retry: bool,
    },
    /// Send to another server.
    OtherServer {
        /// Whether the retry budget must grant it.
        costs_retry: bool,
    },
    /// Tell the caller.
    GiveUp,
}

/// Decides what follows a failed attempt.
///
/// ```
/// use ggs_relay::{AttemptFacts, AttemptFailure, FailureKind, NextStep, next_step};
///
/// let failure = AttemptFailure { kind: FailureKind::AnswerTimeout, sent: true, reused: true };
/// let mut facts =
///     AttemptFacts { failure, attempts: 1, idempotent: true, may_retry: true, late: false };
/// assert_eq!(next_step(&facts), NextStep::SameServer { costs_retry: true });
/// facts.idempotent = false;
/// assert_eq!(next_step(&facts), NextStep::GiveUp);
/// ```
pub fn next_step(facts: &AttemptFacts) -> NextStep {
    let failure = facts.failure;
    if facts.late || facts.attempts >= MAX_ATTEMPTS {
        return NextStep::GiveUp;
    }
    if failure.verdict() == RunVerdict::NotRun {
        // A refusal made a server work; a failed connect did not. A leaving server gets no new work
        // after its first refusal, so only the requests that met it in that moment go on for free;
        // a gate with few requests has no retries saved up for them.
        let costs_retry = failure.kind == FailureKind::Refused;
        if costs_retry && !facts.may_retry {
            return NextStep::GiveUp;
        }
        return NextStep::OtherServer { costs_retry };
    }
    if !facts.idempotent || !facts.may_retry {
        return NextStep::GiveUp;
    }
    if failure.suspects_path() {
        return NextStep::SameServer { costs_retry: true };
    }
    NextStep::OtherServer { costs_retry: true }
}
