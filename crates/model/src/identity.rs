//! Identities of gate and server processes.
//!
//! Each contains an incarnation, which distinguishes a restarted process from the one before it.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::HostName;

/// Random number that a process draws at each start; its text form has 16 hexadecimal digits.
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

/// One gate process: a host and the incarnation of the gate on it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GateId {
    /// Host that the gate runs on.
    pub host: HostName,
    /// Incarnation of the gate process.
    pub incarnation: Incarnation,
}

impl fmt::Display for GateId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.host, self.incarnation)
    }
}

/// One server process: an address and the incarnation of the server at it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ServerId {
    /// Address that the server listens on.
    pub address: SocketAddr,
    /// Incarnation of the server process.
    pub incarnation: Incarnation,
}

impl fmt::Display for ServerId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}#{}", self.address, self.incarnation)
    }
}
