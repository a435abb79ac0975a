//! Answer bodies from which a caller can tell that it got its own answer, whole.
//!
//! A body of `N` bytes repeats its token, a space after each, and ends with 16 hexadecimal digits
//! that depend on the token and `N`. A body cut short, continued with another's bytes or answered
//! to another caller differs from the expected one.

use bytes::Bytes;

/// Length of the closing digest in bytes.
pub const DIGEST_BYTES: u64 = 16;

/// Offset basis of the 64-bit FNV-1a hash.
const FNV_BASIS: u64 = 0xcbf2_9ce4_8422_2325;

/// Prime of the 64-bit FNV-1a hash.
const FNV_PRIME: u64 = 0x0100_0000_01b3;

/// The body that answers a token at a length.
///
/// ```
/// use ggs_standin::AnswerBody;
///
/// let body = AnswerBody::new("basket-7", 40);
/// let whole = body.slice(0, 40);
/// assert!(body.matches_at(0, &whole));
/// assert!(!AnswerBody::new("basket-8", 40).matches_at(0, &whole));
/// ```
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerBody {
    pattern: Bytes,
    digest: [u8; DIGEST_BYTES as usize],
    length: u64,
}

impl AnswerBody {
    /// The body for a token; at least as long as its digest.
    pub fn new(token: &str, length: u64) -> Self {
        let length = length.max(DIGEST_BYTES);
        let hash = fnv(fnv(FNV_BASIS, token.as_bytes()), &length.to_be_bytes());
        let mut digest = [0; DIGEST_BYTES as usize];
        digest.copy_from_slice(format!("{hash:016x}").as_bytes());
        Self {
            pattern: Bytes::from(format!("{token} ")),
            digest,
            length,
        }
    }

    /// Length in bytes.
    pub fn length(&self) -> u64 {
        self.length
    }

    /// At most `count` bytes from `offset`; fewer at the end.
    pub fn slice(&self, offset: u64, count: usize) -> Bytes {
        let end = self.length.min(offset.saturating_add(count as u64));
        (offset..end).map(|at| self.byte(at)).collect()
    }

    /// Whether the body has these bytes at `offset`.
    pub fn matches_at(&self, offset: u64, bytes: &[u8]) -> bool {
        let fits = offset + bytes.len() as u64 <= self.length;
        fits && bytes
            .iter()
            .zip(offset..)
            .all(|(byte, at)| *byte == self.byte(at))
    }

    /// The byte at an offset before the end.
    fn byte(&self, at: u64) -> u8 {
        let digest_start = self.length - DIGEST_BYTES;
        if at >= digest_start {
            return self.digest[(at - digest_start) as usize];
        }
        self.pattern[(at % self.pattern.len() as u64) as usize]
    }
}

/// Continues a 64-bit FNV-1a hash.
fn fnv(hash: u64, bytes: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    bytes.iter().fold(hash, step)
}
