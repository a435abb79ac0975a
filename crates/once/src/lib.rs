//! At-most-once admission of non-idempotent requests by issued keys.
//!
//! A key names the run of the gate that issued it. Only that run may send a request with the key to
//! a server, and it remembers each key it has used until the key can no longer be used; other gates
//! pass the request on to it. When that run is gone, the answer is "unknown" and never a second run.

mod admission;
mod fingerprint;
mod key;
mod registry;

pub use admission::{KeptAnswer, KeyAdmission, KeyOutcome, RunPermit};
pub use fingerprint::{FingerprintHasher, RequestFingerprint, RequestParts};
pub use key::{IdempotencyKey, ParseKeyError};
pub use registry::{KeyLimits, KeyRegistry};
