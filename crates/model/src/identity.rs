//! Identities that tell a restarted process from its earlier self.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::HostName;

/// A number drawn anew at each start of a process.
///
/// ```
/// use ggs_model::Incarnation;
///
/// let incarnation: Incarnation = "00000000000000ff".parse().unwrap();
/// assert_eq!(incarnation, Incarnation(255));
/// assert_eq!(incarnation.to_string(), "00000000000000ff");
/// ```
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Incarnation(pub u64);

impl fmt::Display for Incarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:016x}", self.0)
    }
}

impl FromStr for Incarnation {
    type Err = std::num::ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        u64::from_str_radix(text, 16).map(Self)
    }
}

/// One run of a gate on a host.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GateId {
    /// The host that the gate runs on.
    pub host: HostName,
    /// The run of the gate.
    pub incarnation: Incarnation,
}

impl fmt::Display for GateId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.host, self.incarnation)
    }
}

/// One run of a server at an address.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerId {
    /// The address that the server answers at.
    pub address: SocketAddr,
    /// The run of the server.
    pub incarnation: Incarnation,
}

impl fmt::Display for ServerId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}#{}", self.address, self.incarnation)
    }
}
