//! What a keyed request may do, and what is kept of its answer.

use bytes::Bytes;
use ggs_model::{GateId, RunVerdict};

/// Right to run a keyed request once; not cloneable.
#[derive(Debug, PartialEq, Eq)]
pub struct RunPermit {
    /// Position of the key among those of this gate's run.
    pub(crate) number: u64,
}

/// A whole answer kept for repeats of its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KeptAnswer {
    /// HTTP status.
    pub status: u16,
    /// Header names and values.
    pub headers: Vec<(String, Bytes)>,
    /// The whole body.
    pub body: Bytes,
}

/// What a keyed request may do.
#[derive(Debug, PartialEq, Eq)]
pub enum KeyAdmission {
    /// Run it; end the permit with an outcome.
    Run(RunPermit),
    /// The same request is running; ask again soon or wait for its end.
    Running,
    /// The request ran; this is its answer.
    Replay(KeptAnswer),
    /// The request ran, or may have; no answer is kept.
    Finished(RunVerdict),
    /// The key was used for another request.
    Conflict,
    /// Only this other gate may run it.
    OtherIssuer(GateId),
    /// The key's life has ended; nothing more runs under it.
    Expired,
    /// This gate never issued the key.
    NotIssued,
    /// No memory is left for another key; the request did not run.
    Full,
}

/// How a keyed run ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum KeyOutcome {
    /// It did not run; the key may be used again.
    NotRun,
    /// It ran with this answer.
    Answered(KeptAnswer),
    /// It ran, and its answer is not kept.
    AnswerNotKept,
    /// It may have run.
    Unknown,
}
