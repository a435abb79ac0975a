//! Keys and their text form.

use std::fmt;
use std::str::FromStr;

use ggs_model::{GateId, HostName, Incarnation, Moment};

/// A key issued for one non-idempotent request.
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
    /// The run of the gate that issued the key and alone may run its request.
    pub issuer: GateId,
    /// Position among the keys of that run.
    pub number: u64,
    /// End of the key's life on the issuer's boot clock; whole milliseconds.
    pub expires: Moment,
}

/// A key that could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseKeyError;

impl fmt::Display for ParseKeyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("key was not issued by a gate; ask for one at POST /v1/keys/{service}")
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
        // A host name may hold dots; the other parts do not.
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
