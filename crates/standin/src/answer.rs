//! Answer bodies from which a caller can tell that it got its own answer, whole.
//!
//! A body of `N` bytes repeats its token, a space after each, and ends with 16 hexadecimal digits
//! that depend on the token and `N`. A body cut short, continued with another's bytes or answered
//! to another caller differs from the expected one.

use bytes::{Bytes, BytesMut};

/// Length of the closing digest in bytes.
pub const DIGEST_BYTES: u64 = 16;

/// Length up to which the token is repeated in memory, in bytes.
const PATTERN_BYTES: u64 = 4096;

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
        let unit = format!("{token} ");
        let repeats = length.min(PATTERN_BYTES) as usize / unit.len() + 1;
        Self {
            pattern: Bytes::from(unit.repeat(repeats)),
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
        let mut bytes = BytesMut::with_capacity(end.saturating_sub(offset) as usize);
        let mut at = offset;
        while at < end {
            let run = self.run_at(at, (end - at) as usize);
            bytes.extend_from_slice(run);
            at += run.len() as u64;
        }
        bytes.freeze()
    }

    /// Whether the body has these bytes at `offset`.
    pub fn matches_at(&self, offset: u64, bytes: &[u8]) -> bool {
        let mut at = offset;
        let mut rest = bytes;
        while !rest.is_empty() {
            if at >= self.length {
                return false;
            }
            let run = self.run_at(at, rest.len());
            if !rest.starts_with(run) {
                return false;
            }
            at += run.len() as u64;
            rest = &rest[run.len()..];
        }
        true
    }

    /// The longest run of at most `limit` bytes from an offset before the end that is stored in one
    /// piece; never empty.
    fn run_at(&self, at: u64, limit: usize) -> &[u8] {
        let digest_start = self.length - DIGEST_BYTES;
        if at >= digest_start {
            let run = &self.digest[(at - digest_start) as usize..];
            return &run[..run.len().min(limit)];
        }
        let run = &self.pattern[(at % self.pattern.len() as u64) as usize..];
        let left = usize::try_from(digest_start - at).unwrap_or(usize::MAX);
        &run[..run.len().min(limit).min(left)]
    }
}

/// Continues a 64-bit FNV-1a hash.
fn fnv(hash: u64, bytes: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    bytes.iter().fold(hash, step)
}
