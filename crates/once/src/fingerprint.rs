//! Fingerprints that tell a repeated request from a different request with the same key.
//!
//! A fingerprint is compared only within the process that computed it, so the hash need not be
//! stable between versions. Its two halves have independent random seeds, chosen when the process
//! starts. With 128 bits of an ideal hash, the chance that two of 10^9 requests share a fingerprint
//! is below 10^-20. The hash is not cryptographic: a caller that forges a collision harms only
//! itself, because it has to own the key.

use std::hash::{BuildHasher, Hasher};

use foldhash::quality::RandomState;

/// Hash of the service, method, path and body of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestFingerprint(pub u128);

/// Parts of a request that must be the same each time its key is sent.
#[derive(Clone, Copy, Debug)]
pub struct RequestParts<'a> {
    /// Name of the service.
    pub service: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path and query after `/s/{service}`.
    pub path: &'a str,
    /// The complete body.
    pub body: &'a [u8],
}

/// Computes fingerprints. Two hashers have different seeds, so their fingerprints are not
/// comparable.
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
    /// Computes the fingerprint of a request.
    pub fn fingerprint(&self, parts: &RequestParts<'_>) -> RequestFingerprint {
        let low = hash_half(&self.low, parts);
        let high = hash_half(&self.high, parts);
        RequestFingerprint(u128::from(high) << 64 | u128::from(low))
    }
}

/// Computes one half of a fingerprint. The length of each part is hashed before it, so that no two
/// different requests hash the same bytes.
fn hash_half(state: &RandomState, parts: &RequestParts<'_>) -> u64 {
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
