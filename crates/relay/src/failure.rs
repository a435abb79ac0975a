//! Failures of single attempts and of requests after their last attempt.
//!
//! A failure says whether the request may have run, because that decides whether it may be retried
//! and what the caller is told.

use std::time::Duration;

use ggs_model::RunVerdict;
use strum::{Display, IntoStaticStr};

/// Reason of a failure; its kebab-case name is the value in metrics and in answers to callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum FailureKind {
    /// The service has no server that accepts new requests.
    NoServer,
    /// No server is expected to answer in time.
    NoCapacity,
    /// All connections that this gate may open to the server are in use.
    NoConnection,
    /// The deadline passed before anything was sent.
    DeadlinePassed,
    /// No connection could be opened in time.
    ConnectFailed,
    /// The connection broke before the answer was complete.
    ConnectionLost,
    /// The answer, or the next part of its body, did not arrive in time.
    AnswerTimeout,
    /// The answer violates the protocol, is too long, has no certain end, or belongs to another
    /// attempt.
    BadAnswer,
    /// The server answered with a 5xx status, and the answer was discarded in favour of a retry.
    ServerError,
    /// The server refused the request without running it.
    Refused,
    /// The server refused the request without running it because it is shutting down.
    Leaving,
}

/// Failure of one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptFailure {
    /// Reason.
    pub kind: FailureKind,
    /// Whether any byte of the request may have reached the server.
    pub sent: bool,
    /// Whether the connection had carried an earlier request.
    pub reused: bool,
}

impl AttemptFailure {
    /// Creates a failure of an attempt of which nothing was sent.
    pub const fn unsent(kind: FailureKind) -> Self {
        Self {
            kind,
            sent: false,
            reused: false,
        }
    }

    /// Whether the likely cause is a stale connection and not the server: a reused connection
    /// broke, or no answer came over it in time.
    pub const fn suggests_stale_connection(&self) -> bool {
        let broken_or_silent = matches!(
            self.kind,
            FailureKind::ConnectionLost | FailureKind::AnswerTimeout
        );
        self.reused && broken_or_silent
    }

    /// Whether the request may have run in this attempt.
    pub const fn verdict(&self) -> RunVerdict {
        match self.kind {
            FailureKind::Refused | FailureKind::Leaving => RunVerdict::NotRun,
            _ if self.sent => RunVerdict::Unknown,
            _ => RunVerdict::NotRun,
        }
    }
}

/// Failure of a request after its last attempt, reported to the caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayFailure {
    /// Whether the request may have run in any attempt.
    pub verdict: RunVerdict,
    /// Reason of the last failure.
    pub kind: FailureKind,
    /// Delay after which the caller may send the request again.
    pub retry_after: Duration,
}
