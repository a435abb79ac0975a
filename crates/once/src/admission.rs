//! The decision on a request with an idempotency key, and the outcome of running it.
//!
//! A request runs when a server processes it. A caller has to learn whether its request ran and
//! whether it may be sent again, so each case that differs in this has its own variant.

use bytes::Bytes;
use ggs_model::{GateId, RunVerdict};

/// Permission to run a keyed request once. It cannot be cloned.
#[derive(Debug, PartialEq, Eq)]
pub struct RunPermit {
    /// Sequence number of the key.
    pub(crate) number: u64,
}

/// A complete answer, kept to be replayed when its key is sent again.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeptAnswer {
    /// HTTP status code.
    pub status: u16,
    /// Header names and values.
    pub headers: Vec<(String, Bytes)>,
    /// The complete body.
    pub body: Bytes,
}

/// The decision on a keyed request.
#[derive(Debug, PartialEq, Eq)]
pub enum KeyAdmission {
    /// Run the request, then report its outcome with the permit.
    Run(RunPermit),
    /// The same request is running; wait for its end or try again later.
    Running,
    /// The request ran, and this is its answer.
    Replay(KeptAnswer),
    /// The request ran or may have run; no answer is kept.
    Finished(RunVerdict),
    /// The key was used for a different request.
    Conflict,
    /// This other gate issued the key, and only it may run the request.
    OtherIssuer(GateId),
    /// The key has expired; no request with it runs any more.
    Expired,
    /// This gate never issued the key, or the key was altered.
    NotIssued,
    /// The limit on remembered keys is reached; the request did not run.
    Full,
}

/// How the run of a keyed request ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyOutcome {
    /// The request did not run; the key may be used again.
    NotRun,
    /// The request ran, with this answer.
    Answered(KeptAnswer),
    /// The request ran, and its answer is not kept.
    AnswerNotKept,
    /// The request may have run.
    Unknown,
}
