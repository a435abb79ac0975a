//! Messages between gates.

use std::net::SocketAddr;

use ggs_follow::{ChangeSet, FleetDigest};
use ggs_member::{GateRecord, GateState};
use ggs_model::{DocumentRevision, GateId, ServerEntry, ServerId};

/// Version of the protocol; gates of different versions do not talk.
pub const PROTOCOL_VERSION: u32 = 1;

/// First message in each direction.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerHello {
    /// Version that the gate speaks.
    pub version: u32,
    /// Who the gate is.
    pub record: GateRecord,
}

/// Sent about once a second; renews the sender's lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerHeartbeat {
    /// Counts the sender's heartbeats; the echo repeats it.
    pub sequence: u64,
    /// Whether the sender wants new callers.
    pub state: GateState,
    /// How far the sender's documents reach.
    pub digest: FleetDigest,
    /// Servers that the sender learned of late to be leaving.
    pub leaving: Vec<ServerId>,
}

/// Asks for what the sender lacks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PullRequest {
    /// The sender holds all changes up to this revision.
    pub after: DocumentRevision,
    /// The sender has no host list.
    pub servers: bool,
}

/// A message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PeerMessage {
    /// Introduces the sender.
    Hello(PeerHello),
    /// Renews the sender's lease.
    Heartbeat(PeerHeartbeat),
    /// Answers the heartbeat with this number.
    Echo(u64),
    /// These servers are leaving.
    Leaving(Vec<ServerId>),
    /// Accepted changes of documents.
    Changes(ChangeSet),
    /// Asks for changes and servers.
    Pull(PullRequest),
    /// The sender's host list.
    Servers(Vec<ServerEntry>),
    /// Peer addresses of the gates that the sender knows.
    Roster(Vec<SocketAddr>),
    /// The last message of a run of a gate.
    Goodbye(GateId),
}
