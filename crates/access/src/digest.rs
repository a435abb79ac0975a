//! Digests of callers' keys.

use std::fmt::{self, Write};

use sha2::{Digest, Sha256};

/// Bytes of a digest that its debug form shows: enough to tell keys apart, and far too few to find one.
const FINGERPRINT_BYTES: usize = 4;

/// The SHA-256 digest of a caller's key.
///
/// Who knows the digest cannot compute the key, but gates accept a digest from one another in its
/// place. So its debug form shows only the first bytes.
///
/// ```
/// use ggs_access::KeyDigest;
///
/// let digest = KeyDigest::of(b"example");
/// assert_eq!(format!("{digest:?}"), "KeyDigest(50d858e0..)");
/// ```
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }

    /// A digest that another gate sent; `None` if it does not have 32 bytes.
    pub fn from_bytes(bytes: &[u8]) -> Option<Self> {
        bytes.try_into().ok().map(Self)
    }

    /// The bytes of the digest, to send them to another gate.
    pub const fn as_bytes(&self) -> &[u8; 32] {
        &self.0
    }

    /// The first bytes in hexadecimal, by which operators tell keys apart.
    pub fn fingerprint(&self) -> String {
        let mut text = String::new();
        for byte in &self.0[..FINGERPRINT_BYTES] {
            // Writing to a text does not fail.
            let _written = write!(text, "{byte:02x}");
        }
        text
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "KeyDigest({}..)", self.fingerprint())
    }
}
