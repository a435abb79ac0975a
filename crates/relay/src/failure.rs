//! Failures of attempts and of whole requests.

use std::time::Duration;

use ggs_model::RunVerdict;
use strum::{Display, IntoStaticStr};

/// What went wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum FailureKind {
    /// The service has no server that takes new work.
    NoServer,
    /// No server is expected to answer in time.
    NoCapacity,
    /// The gate's share of the server's connections is in use.
    NoConnection,
    /// The deadline passed before anything was sent.
    DeadlinePassed,
    /// No connection could be opened.
    ConnectFailed,
    /// The connection broke before the answer was whole.
    ConnectionLost,
    /// No answer, or no progress of it, in time.
    AnswerTimeout,
    /// The answer broke the protocol or belongs to another request.
    BadAnswer,
    /// The server answered with an error status, and the answer was turned down for a retry.
    ServerError,
    /// The server refused the request without running it.
    Refused,
    /// The server refused the request without running it because it is leaving.
    Leaving,
}

/// Why one attempt has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptFailure {
    /// What went wrong.
    pub kind: FailureKind,
    /// Whether any byte of the request may have reached the server.
    pub sent: bool,
    /// Whether the attempt used a connection that had carried an earlier request.
    pub reused: bool,
}

impl AttemptFailure {
    /// A failure before anything was sent.
    pub const fn unsent(kind: FailureKind) -> Self {
        Self {
            kind,
            sent: false,
            reused: false,
        }
    }

    /// Whether the connection and not the server is the likely cause: it had been kept from an earlier
    /// request and then broke or went silent.
    pub const fn suggests_stale_connection(&self) -> bool {
        let path = matches!(
            self.kind,
            FailureKind::ConnectionLost | FailureKind::AnswerTimeout
        );
        self.reused && path
    }

    /// What is known of the attempt's effect.
    pub const fn verdict(&self) -> RunVerdict {
        match self.kind {
            FailureKind::Refused | FailureKind::Leaving => RunVerdict::NotRun,
            _ if self.sent => RunVerdict::Unknown,
            _ => RunVerdict::NotRun,
        }
    }
}

/// Why a request has no answer; final, told to the caller at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayFailure {
    /// What is known of the request's effect over all attempts.
    pub verdict: RunVerdict,
    /// What went wrong last.
    pub kind: FailureKind,
    /// Time after which the caller may ask again.
    pub retry_after: Duration,
}
