//! The messages that gates exchange, independent of their encoding.

use std::net::SocketAddr;

use ggs_follow::{ChangeSet, FleetDigest};
use ggs_member::{GateRecord, GateState};
use ggs_model::{DocumentRevision, GateId, ServerEntry, ServerId};

/// Version of the protocol; a connection between gates of different versions is closed.
pub const PROTOCOL_VERSION: u32 = 1;

/// First message in each direction of a connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerHello {
    /// Protocol version of the sender.
    pub version: u32,
    /// Identity, addresses and state of the sender.
    pub record: GateRecord,
}

/// Sent about once a second; renews the lease of the sender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerHeartbeat {
    /// Sequence number of the heartbeat, which its echo returns.
    pub sequence: u64,
    /// Whether the sender accepts new callers or drains.
    pub state: GateState,
    /// Fleet revision of the sender's documents, and its age.
    pub digest: FleetDigest,
    /// Servers of which the sender recently learned that they are leaving.
    pub leaving: Vec<ServerId>,
}

/// Asks another gate for state that the sender lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PullRequest {
    /// The sender has all changes up to this fleet revision and asks for those after it.
    pub after: DocumentRevision,
    /// Whether the sender also asks for the host list.
    pub servers: bool,
}

/// A message between two gates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerMessage {
    /// Identifies the sender; the first message of a connection.
    Hello(PeerHello),
    /// Renews the sender's lease.
    Heartbeat(PeerHeartbeat),
    /// Acknowledges the heartbeat with this sequence number.
    Echo(u64),
    /// These servers are leaving.
    Leaving(Vec<ServerId>),
    /// Accepted document changes.
    Changes(ChangeSet),
    /// Requests document changes and the host list.
    Pull(PullRequest),
    /// The sender's host list.
    Servers(Vec<ServerEntry>),
    /// Addresses at which the live gates that the sender knows accept connections from other gates.
    PeerAddresses(Vec<SocketAddr>),
    /// The gate stops; the last message of this incarnation.
    Goodbye(GateId),
}
