//! Digests that identify requests and server runs at all gates of a fleet.

use std::fmt;
use std::net::IpAddr;

use sha2::{Digest, Sha256};

/// Identifies a request however often it is sent: the first half of a SHA-256 hash, so that a caller
/// cannot forge the digest of another request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct RequestDigest(pub [u8; 16]);

impl fmt::Display for RequestDigest {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", u128::from_be_bytes(self.0))
    }
}

/// The parts of a request that are the same each time it is sent.
#[derive(Clone, Copy, Debug)]
pub struct RequestIdentity<'a> {
    /// Address of the caller; `None` if it is not known.
    pub caller: Option<IpAddr>,
    /// Host name that the request is for.
    pub host: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// The complete body.
    pub body: &'a [u8],
}

impl RequestIdentity<'_> {
    /// Computes the digest.
    ///
    /// ```
    /// use ggs_quarantine::RequestIdentity;
    ///
    /// let request = RequestIdentity {
    ///     caller: None,
    ///     host: "a.example",
    ///     method: "POST",
    ///     target: "/credit",
    ///     body: b"12 kg",
    /// };
    /// let changed = RequestIdentity { body: b"13 kg", ..request };
    /// assert_eq!(request.digest(), request.digest());
    /// assert_ne!(request.digest(), changed.digest());
    /// ```
    pub fn digest(&self) -> RequestDigest {
        let caller = self.caller.map(|caller| caller.to_string());
        let hash = hash_parts([
            caller.unwrap_or_default().as_bytes(),
            self.host.as_bytes(),
            self.method.as_bytes(),
            self.target.as_bytes(),
            self.body,
        ]);
        let mut digest = [0; 16];
        digest.copy_from_slice(&hash[..16]);
        RequestDigest(digest)
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
