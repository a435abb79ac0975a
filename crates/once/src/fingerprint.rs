//! Digests that tell a repeated request from a key used for something else.
//!
//! A digest is compared only inside the process that made it, so the hash needs no output that is
//! stable between versions. Both lanes are seeded at random when the process starts; 128 bits of an
//! ideal hash keep the chance that two of 10^9 requests share a digest below 10^-20. The hash is not
//! a cryptographic one: a caller that forges a collision only deceives itself, because it has to own
//! the key.

use std::hash::{BuildHasher, Hasher};

use foldhash::quality::RandomState;

/// Digest of service, method, path and body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestFingerprint(pub u128);

/// Parts of a request that a repeat must have in common with its first use.
#[derive(Clone, Copy, Debug)]
pub struct RequestParts<'a> {
    /// The service.
    pub service: &'a str,
    /// The method.
    pub method: &'a str,
    /// Path and query after `/s/{service}`.
    pub path: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

/// Makes fingerprints; two hashers do not agree with each other.
///
/// ```
/// use ggs_once::{FingerprintHasher, RequestParts};
///
/// let hasher = FingerprintHasher::default();
/// let parts = RequestParts { service: "ledger", method: "POST", path: "/credit", body: b"12 kg" };
/// let changed = RequestParts { body: b"13 kg", ..parts };
/// assert_eq!(hasher.fingerprint(&parts), hasher.fingerprint(&parts));
/// assert_ne!(hasher.fingerprint(&parts), hasher.fingerprint(&changed));
/// ```
#[derive(Clone, Debug, Default)]
pub struct FingerprintHasher {
    low: RandomState,
    high: RandomState,
}

impl FingerprintHasher {
    /// The fingerprint of a request.
    pub fn fingerprint(&self, parts: &RequestParts<'_>) -> RequestFingerprint {
        let low = digest(&self.low, parts);
        let high = digest(&self.high, parts);
        RequestFingerprint(u128::from(high) << 64 | u128::from(low))
    }
}

/// One lane of a fingerprint. Each part is led by its length, so that no two requests share a stream.
fn digest(state: &RandomState, parts: &RequestParts<'_>) -> u64 {
    let mut hasher = state.build_hasher();
    for part in [
        parts.service.as_bytes(),
        parts.method.as_bytes(),
        parts.path.as_bytes(),
        parts.body,
    ] {
        hasher.write_u64(part.len() as u64);
        hasher.write(part);
    }
    hasher.finish()
}
