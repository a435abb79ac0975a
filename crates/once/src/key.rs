//! Idempotency keys and their text form.
//!
//! The text names the issuing gate and the expiry, so any gate can tell where to forward a request,
//! and the issuer needs no memory for a key that has not been used.

use std::fmt;
use std::str::FromStr;

use ggs_model::{GateId, HostName, Incarnation, Moment};

/// An idempotency key that a gate issued for one non-idempotent request.
///
/// ```
/// use ggs_once::IdempotencyKey;
///
/// let text = "k1.entry-3.00000000000000ff.7.90000";
/// let key: IdempotencyKey = text.parse().unwrap();
/// assert_eq!(key.issuer.host.as_str(), "entry-3");
/// assert_eq!(key.to_string(), text);
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct IdempotencyKey {
    /// The gate, with its incarnation, that issued the key. Only it may run the request.
    pub issuer: GateId,
    /// Sequence number among the keys of the issuer.
    pub number: u64,
    /// Time on the issuer's boot clock at which the key expires, in whole milliseconds.
    pub expires: Moment,
}

/// A text that is not an idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseKeyError;

impl fmt::Display for ParseKeyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("malformed idempotency key; request one with POST /v1/keys/{service}")
    }
}

impl std::error::Error for ParseKeyError {}

impl fmt::Display for IdempotencyKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let GateId { host, incarnation } = &self.issuer;
        let expires = self.expires.as_millis();
        write!(
            formatter,
            "k1.{host}.{incarnation}.{}.{expires}",
            self.number
        )
    }
}

impl FromStr for IdempotencyKey {
    type Err = ParseKeyError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let rest = text.strip_prefix("k1.").ok_or(ParseKeyError)?;
        // A host name may contain dots; the other parts cannot.
        let mut parts = rest.rsplitn(4, '.');
        let mut next = || {
            parts
                .next()
                .filter(|part| !part.is_empty())
                .ok_or(ParseKeyError)
        };
        let expires = next()?.parse().map_err(|_| ParseKeyError)?;
        let number = next()?.parse().map_err(|_| ParseKeyError)?;
        let incarnation: Incarnation = next()?.parse().map_err(|_| ParseKeyError)?;
        let host = HostName::new(next()?);
        // `Moment` counts nanoseconds in a `u64`; a larger value would overflow.
        if expires > u64::MAX / 1_000_000 {
            return Err(ParseKeyError);
        }
        let issuer = GateId { host, incarnation };
        Ok(Self {
            issuer,
            number,
            expires: Moment::from_millis(expires),
        })
    }
}
