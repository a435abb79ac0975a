//! Protocol buffer encoding of the messages between gates.
//!
//! Each frame on a connection holds one [`Frame`]. Tag numbers and types are the protocol; the
//! names here are not sent.

use prost::Message;

/// The content of one frame.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Frame {
    #[prost(oneof = "FrameBody", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9")]
    pub(crate) body: Option<FrameBody>,
}

/// The message in a frame, by kind.
#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum FrameBody {
    #[prost(message, tag = "1")]
    Hello(HelloBody),
    #[prost(message, tag = "2")]
    Heartbeat(HeartbeatBody),
    #[prost(uint64, tag = "3")]
    Echo(u64),
    #[prost(message, tag = "4")]
    Leaving(ServersBody),
    #[prost(message, tag = "5")]
    Changes(ChangesBody),
    #[prost(message, tag = "6")]
    Pull(PullBody),
    #[prost(message, tag = "7")]
    Servers(EntriesBody),
    #[prost(message, tag = "8")]
    PeerAddresses(PeerAddressesBody),
    #[prost(message, tag = "9")]
    Goodbye(GateBody),
}

/// An IP address, of 4 or 16 bytes in network order, and a port.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct AddressBody {
    #[prost(bytes = "vec", tag = "1")]
    pub(crate) ip: Vec<u8>,
    #[prost(uint32, tag = "2")]
    pub(crate) port: u32,
}

/// See [`GateId`](ggs_model::GateId).
#[derive(Clone, PartialEq, Message)]
pub(crate) struct GateBody {
    #[prost(string, tag = "1")]
    pub(crate) host: String,
    #[prost(fixed64, tag = "2")]
    pub(crate) incarnation: u64,
}

/// See [`ServerId`](ggs_model::ServerId).
#[derive(Clone, PartialEq, Message)]
pub(crate) struct ServerBody {
    #[prost(message, optional, tag = "1")]
    pub(crate) address: Option<AddressBody>,
    #[prost(fixed64, tag = "2")]
    pub(crate) incarnation: u64,
}

/// Servers that are leaving.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct ServersBody {
    #[prost(message, repeated, tag = "1")]
    pub(crate) servers: Vec<ServerBody>,
}

/// See [`PeerHello`](crate::PeerHello).
#[derive(Clone, PartialEq, Message)]
pub(crate) struct HelloBody {
    #[prost(uint32, tag = "1")]
    pub(crate) version: u32,
    #[prost(message, optional, tag = "2")]
    pub(crate) gate: Option<GateBody>,
    #[prost(string, tag = "3")]
    pub(crate) data_centre: String,
    #[prost(message, optional, tag = "4")]
    pub(crate) callers: Option<AddressBody>,
    #[prost(message, optional, tag = "5")]
    pub(crate) peers: Option<AddressBody>,
    #[prost(bool, tag = "6")]
    pub(crate) draining: bool,
}

/// See [`PeerHeartbeat`](crate::PeerHeartbeat).
#[derive(Clone, PartialEq, Message)]
pub(crate) struct HeartbeatBody {
    #[prost(uint64, tag = "1")]
    pub(crate) sequence: u64,
    #[prost(bool, tag = "2")]
    pub(crate) draining: bool,
    #[prost(uint64, tag = "3")]
    pub(crate) fleet: u64,
    #[prost(uint64, optional, tag = "4")]
    pub(crate) age_ms: Option<u64>,
    #[prost(message, repeated, tag = "5")]
    pub(crate) leaving: Vec<ServerBody>,
}

/// See [`ChangeSet`](ggs_follow::ChangeSet); each document is the JSON of its table row.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct ChangesBody {
    #[prost(uint64, tag = "1")]
    pub(crate) after: u64,
    #[prost(uint64, tag = "2")]
    pub(crate) up_to: u64,
    #[prost(bytes = "vec", repeated, tag = "3")]
    pub(crate) documents: Vec<Vec<u8>>,
}

/// See [`PullRequest`](crate::PullRequest).
#[derive(Clone, PartialEq, Message)]
pub(crate) struct PullBody {
    #[prost(uint64, tag = "1")]
    pub(crate) after: u64,
    #[prost(bool, tag = "2")]
    pub(crate) servers: bool,
}

/// The entries of a host list.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct EntriesBody {
    #[prost(message, repeated, tag = "1")]
    pub(crate) entries: Vec<EntryBody>,
}

/// See [`ServerEntry`](ggs_model::ServerEntry).
#[derive(Clone, PartialEq, Message)]
pub(crate) struct EntryBody {
    #[prost(string, tag = "1")]
    pub(crate) service: String,
    #[prost(message, optional, tag = "2")]
    pub(crate) server: Option<ServerBody>,
    #[prost(string, tag = "3")]
    pub(crate) data_centre: String,
    #[prost(bool, tag = "4")]
    pub(crate) leaving: bool,
}

/// Addresses at which gates accept connections from other gates.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct PeerAddressesBody {
    #[prost(message, repeated, tag = "1")]
    pub(crate) addresses: Vec<AddressBody>,
}
