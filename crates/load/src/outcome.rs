//! How calls end.

use std::time::Duration;

use ggs_model::RunVerdict;
use serde::Serialize;
use strum::{Display, EnumCount, EnumIter};

/// How a call ended, after its retries.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Display, EnumCount, EnumIter,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum CallOutcome {
    /// The whole answer came, and it was the caller's own.
    Answered,
    /// The server answered with an error; the request ran.
    Failed,
    /// The request did not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The answer broke off, and the caller could tell.
    Cut,
    /// The answer was another's or not whole, and nothing said so.
    Wrong,
}

/// Why an attempt gave no whole answer of the caller's own.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct AttemptFailure {
    /// How the call ends if this was its last attempt.
    pub(crate) outcome: CallOutcome,
    /// Short reason.
    pub(crate) reason: String,
    /// Time to wait before another attempt.
    pub(crate) wait: Duration,
}

impl AttemptFailure {
    /// A failure after which no wait is asked for.
    pub(crate) fn new(outcome: CallOutcome, reason: &str) -> Self {
        Self {
            outcome,
            reason: reason.to_owned(),
            wait: Duration::ZERO,
        }
    }

    /// Whether the call may be sent again: it did not run, or running twice does no harm.
    pub(crate) fn may_send_again(&self, idempotent: bool) -> bool {
        match self.outcome {
            CallOutcome::NotRun => RunVerdict::NotRun.may_send_again(),
            CallOutcome::Unknown | CallOutcome::Cut => idempotent,
            CallOutcome::Answered | CallOutcome::Failed | CallOutcome::Wrong => false,
        }
    }
}

/// How a call ended and what it took.
#[derive(Clone, Debug)]
pub(crate) struct CallResult {
    /// How it ended.
    pub(crate) outcome: CallOutcome,
    /// Reason of the last failure, if any.
    pub(crate) reason: Option<String>,
    /// Retries made.
    pub(crate) retries: u32,
}
