//! At-most-once admission of non-idempotent requests by idempotency keys that gates issue.
//!
//! A key names the gate that issued it, including the gate's incarnation. Only that gate process
//! may send a request with the key to a server, and it remembers each used key until the key
//! expires; other gates forward the request to it. Once that process is gone, the outcome of the
//! key is reported as unknown, and the request is never run a second time.

mod admission;
mod fingerprint;
mod key;
mod registry;

pub use admission::{KeptAnswer, KeyAdmission, KeyOutcome, RunPermit};
pub use fingerprint::{FingerprintHasher, RequestFingerprint, RequestParts};
pub use key::{IdempotencyKey, ParseKeyError};
pub use registry::{KeyLimits, KeyRegistry};
