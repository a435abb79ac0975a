//! How calls end.

use std::time::Duration;

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
    /// Whether a gate or a server said so; else the caller concluded it of this attempt alone.
    pub(crate) told: bool,
}

impl AttemptFailure {
    /// A failure after which no wait is asked for.
    pub(crate) fn new(outcome: CallOutcome, reason: &str) -> Self {
        Self {
            outcome,
            reason: reason.to_owned(),
            wait: Duration::ZERO,
            told: false,
        }
    }

    /// The failure as it stands for the whole call, given whether an earlier attempt under the same
    /// key may have run: that this attempt was not sent then says nothing of the call.
    pub(crate) fn of_call(mut self, unresolved: bool) -> Self {
        if unresolved && !self.told && self.outcome == CallOutcome::NotRun {
            self.outcome = CallOutcome::Unknown;
        }
        self
    }

    /// Whether the call may be sent again: it did not run, running twice does no harm, or it goes
    /// under its old key, which lets it run once at most.
    pub(crate) fn may_send_again(&self, idempotent: bool) -> bool {
        match self.outcome {
            CallOutcome::NotRun => true,
            CallOutcome::Unknown => idempotent || !self.told || !self.wait.is_zero(),
            CallOutcome::Cut => idempotent,
            CallOutcome::Answered | CallOutcome::Failed | CallOutcome::Wrong => false,
        }
    }
}

/// How a call ended and what it took.
#[derive(Clone, Debug)]
pub(crate) struct CallResult {
    /// How it ended.
    pub(crate) outcome: CallOutcome,
    /// Reasons of the failed attempts.
    pub(crate) reasons: Vec<String>,
    /// Retries made.
    pub(crate) retries: u32,
}
