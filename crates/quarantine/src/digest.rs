//! Digests that identify requests and server runs at all gates of a fleet.

use std::error::Error;
use std::fmt;
use std::net::IpAddr;
use std::str::FromStr;

use sha2::{Digest, Sha256};

/// Identifies a request, or a set of similar ones, however often they are sent: the first half of a
/// SHA-256 hash, so that a caller cannot forge the digest of another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestDigest(pub [u8; 16]);

impl fmt::Display for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", u128::from_be_bytes(self.0))
    }
}

/// Length of a digest as text.
const DIGEST_TEXT_LENGTH: usize = 32;

/// Why a text is no digest of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DigestError {
    /// It has another number of bytes.
    Length(usize),
    /// It has other characters than hexadecimal digits.
    Digits,
}

impl fmt::Display for DigestError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Length(found) => write!(
                formatter,
                "digest: {found} bytes, expected {DIGEST_TEXT_LENGTH} hexadecimal digits"
            ),
            Self::Digits => formatter.write_str("digest: not all of it is hexadecimal digits"),
        }
    }
}

impl Error for DigestError {}

/// Reads what [`Display`](fmt::Display) writes.
///
/// ```
/// use ggs_quarantine::RequestDigest;
///
/// let digest = RequestDigest([7; 16]);
/// assert_eq!(digest.to_string().parse(), Ok(digest));
/// assert!("7".parse::<RequestDigest>().is_err());
/// ```
impl FromStr for RequestDigest {
    type Err = DigestError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.len() != DIGEST_TEXT_LENGTH {
            return Err(DigestError::Length(text.len()));
        }
        // A number may have a sign.
        if !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(DigestError::Digits);
        }
        let number = u128::from_str_radix(text, 16).map_err(|_| DigestError::Digits)?;
        Ok(Self(number.to_be_bytes()))
    }
}

/// Number of identities that a request has.
pub const IDENTITY_COUNT: usize = 4;

/// The parts of a request that its repeats may have in common.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// Address of the caller; `None` if it is not known.
    pub caller: Option<IpAddr>,
    /// Host name that the request is for.
    pub host: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path without the query.
    pub path: &'a str,
    /// Query; empty if there is none.
    pub query: &'a str,
    /// The complete body.
    pub body: &'a [u8],
}

impl RequestIdentity<'_> {
    /// Computes the identities of the request: without query and caller, with either, and with both.
    /// The first are shared by more requests. They find repeats that vary, and they are harmless
    /// where other requests that share them are answered.
    ///
    /// ```
    /// use ggs_quarantine::RequestIdentity;
    ///
    /// let request = RequestIdentity {
    ///     caller: None,
    ///     host: "a.example",
    ///     method: "POST",
    ///     path: "/credit",
    ///     query: "page=1",
    ///     body: b"12 kg",
    /// };
    /// let next_page = RequestIdentity { query: "page=2", ..request };
    /// let other_body = RequestIdentity { body: b"13 kg", ..request };
    /// assert_eq!(request.digests()[0], next_page.digests()[0]);
    /// assert_ne!(request.digests()[3], next_page.digests()[3]);
    /// assert_ne!(request.digests()[0], other_body.digests()[0]);
    /// ```
    pub fn digests(&self) -> [RequestDigest; IDENTITY_COUNT] {
        let caller = self.caller.map(|caller| caller.to_string());
        let caller = caller.unwrap_or_default();
        let body: [u8; 32] = Sha256::digest(self.body).into();
        let common = [
            self.host.as_bytes(),
            self.method.as_bytes(),
            self.path.as_bytes(),
            &body,
        ];
        let variants = [(false, false), (false, true), (true, false), (true, true)];
        variants.map(|(has_query, has_caller)| {
            let [host, method, path, body] = common;
            let query = if has_query { self.query } else { "" };
            let caller = if has_caller { caller.as_str() } else { "" };
            // Tells an identity without a query from one whose query is empty.
            let kind = [u8::from(has_query), u8::from(has_caller)];
            let hash = hash_parts([
                &kind,
                host,
                method,
                path,
                body,
                query.as_bytes(),
                caller.as_bytes(),
            ]);
            let mut digest = [0; 16];
            digest.copy_from_slice(&hash[..16]);
            RequestDigest(digest)
        })
    }
}

/// Identifies one run of a server process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerRun(pub u64);

impl ServerRun {
    /// The run of a server instance that started at a wall-clock time in milliseconds, if that is
    /// known.
    ///
    /// ```
    /// use ggs_quarantine::ServerRun;
    ///
    /// assert_eq!(ServerRun::new("i-1", Some(7)), ServerRun::new("i-1", Some(7)));
    /// assert_ne!(ServerRun::new("i-1", Some(7)), ServerRun::new("i-1", Some(8)));
    /// ```
    pub fn new(instance: &str, started_ms: Option<u64>) -> Self {
        let started = started_ms.map(u64::to_be_bytes);
        let started = started.as_ref().map_or(&[][..], |bytes| bytes);
        let hash = hash_parts([instance.as_bytes(), started]);
        let mut run = [0; 8];
        run.copy_from_slice(&hash[..8]);
        Self(u64::from_be_bytes(run))
    }
}

/// Hashes parts, each after its length, so that no two lists of parts hash the same bytes.
fn hash_parts<const COUNT: usize>(parts: [&[u8]; COUNT]) -> [u8; 32] {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}
