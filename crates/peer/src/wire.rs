//! Converts messages to and from the bytes of a frame.
//!
//! Decoding rejects missing fields and values out of range, so the rest of the gate sees only valid
//! messages.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use ggs_follow::{AcceptedDocument, ChangeSet, DocumentRow, FleetDigest};
use ggs_member::{GateRecord, GateState};
use ggs_model::{
    DataCentre, DocumentRevision, GateId, HostName, Incarnation, ServerEntry, ServerId,
    ServerState, ServiceName,
};
use prost::Message;

use crate::frames::{
    AddressBody, ChangesBody, EntriesBody, EntryBody, Frame, FrameBody, GateBody, HeartbeatBody,
    HelloBody, PeerAddressesBody, PullBody, ServerBody, ServersBody,
};
use crate::{PeerHeartbeat, PeerHello, PeerMessage, PullRequest, WireError};

/// Longest frame, in bytes: enough for a change set with the documents of 61 services, at 64 KiB
/// each.
pub const MAX_FRAME_BYTES: usize = 4 << 20;

/// Encodes a message as the content of one frame, without its length.
pub fn encode_message(message: &PeerMessage) -> Vec<u8> {
    let body = match message {
        PeerMessage::Hello(hello) => FrameBody::Hello(hello.into()),
        PeerMessage::Heartbeat(heartbeat) => FrameBody::Heartbeat(heartbeat.into()),
        PeerMessage::Echo(sequence) => FrameBody::Echo(*sequence),
        PeerMessage::Leaving(servers) => FrameBody::Leaving(ServersBody {
            servers: collect(servers),
        }),
        PeerMessage::Changes(set) => FrameBody::Changes(set.into()),
        PeerMessage::Pull(request) => FrameBody::Pull(PullBody {
            after: request.after.0,
            servers: request.servers,
        }),
        PeerMessage::Servers(entries) => FrameBody::Servers(EntriesBody {
            entries: collect(entries),
        }),
        PeerMessage::PeerAddresses(addresses) => FrameBody::PeerAddresses(PeerAddressesBody {
            addresses: collect(addresses),
        }),
        PeerMessage::Goodbye(gate) => FrameBody::Goodbye(gate.into()),
    };
    Frame { body: Some(body) }.encode_to_vec()
}

/// Decodes the content of one frame.
///
/// # Errors
///
/// The bytes are not a valid message of this protocol.
///
/// ```
/// use ggs_peer::{PeerMessage, decode_message, encode_message};
///
/// let bytes = encode_message(&PeerMessage::Echo(7));
/// assert_eq!(decode_message(&bytes), Ok(PeerMessage::Echo(7)));
/// assert!(decode_message(b"GET / HTTP/1.1").is_err());
/// ```
pub fn decode_message(bytes: &[u8]) -> Result<PeerMessage, WireError> {
    let frame = Frame::decode(bytes).map_err(|error| WireError::Malformed {
        cause: error.to_string(),
    })?;
    let body = frame.body.ok_or(WireError::BadField { field: "body" })?;
    Ok(match body {
        FrameBody::Hello(hello) => PeerMessage::Hello(hello.try_into()?),
        FrameBody::Heartbeat(heartbeat) => PeerMessage::Heartbeat(heartbeat.try_into()?),
        FrameBody::Echo(sequence) => PeerMessage::Echo(sequence),
        FrameBody::Leaving(servers) => PeerMessage::Leaving(try_collect(servers.servers)?),
        FrameBody::Changes(changes) => PeerMessage::Changes(changes.try_into()?),
        FrameBody::Pull(pull) => PeerMessage::Pull(PullRequest {
            after: DocumentRevision(pull.after),
            servers: pull.servers,
        }),
        FrameBody::Servers(entries) => PeerMessage::Servers(try_collect(entries.entries)?),
        FrameBody::PeerAddresses(peer_addresses) => {
            PeerMessage::PeerAddresses(try_collect(peer_addresses.addresses)?)
        }
        FrameBody::Goodbye(gate) => PeerMessage::Goodbye(gate.into()),
    })
}

/// Converts each item.
fn collect<'a, T, U: From<&'a T>>(items: &'a [T]) -> Vec<U> {
    items.iter().map(U::from).collect()
}

/// Converts each item; fails with the error of the first one that cannot be converted.
fn try_collect<T, U: TryFrom<T, Error = WireError>>(items: Vec<T>) -> Result<Vec<U>, WireError> {
    items.into_iter().map(U::try_from).collect()
}

/// Returns the value of a mandatory field.
fn required<T>(value: Option<T>, field: &'static str) -> Result<T, WireError> {
    value.ok_or(WireError::BadField { field })
}

/// Returns the gate state for the flag in a frame.
fn gate_state(draining: bool) -> GateState {
    if draining {
        return GateState::Draining;
    }
    GateState::Live
}

impl From<&SocketAddr> for AddressBody {
    fn from(address: &SocketAddr) -> Self {
        let ip = match address.ip() {
            IpAddr::V4(ip) => ip.octets().to_vec(),
            IpAddr::V6(ip) => ip.octets().to_vec(),
        };
        Self {
            ip,
            port: u32::from(address.port()),
        }
    }
}

impl TryFrom<AddressBody> for SocketAddr {
    type Error = WireError;

    fn try_from(body: AddressBody) -> Result<Self, Self::Error> {
        let field = "address";
        let ip = if let Ok(octets) = <[u8; 4]>::try_from(body.ip.as_slice()) {
            IpAddr::from(octets)
        } else if let Ok(octets) = <[u8; 16]>::try_from(body.ip.as_slice()) {
            IpAddr::from(octets)
        } else {
            return Err(WireError::BadField { field });
        };
        let port = u16::try_from(body.port).map_err(|_| WireError::BadField { field })?;
        Ok(Self::new(ip, port))
    }
}

impl From<&GateId> for GateBody {
    fn from(gate: &GateId) -> Self {
        Self {
            host: gate.host.to_string(),
            incarnation: gate.incarnation.0,
        }
    }
}

impl From<GateBody> for GateId {
    fn from(body: GateBody) -> Self {
        Self {
            host: HostName::new(&body.host),
            incarnation: Incarnation(body.incarnation),
        }
    }
}

impl From<&ServerId> for ServerBody {
    fn from(server: &ServerId) -> Self {
        Self {
            address: Some((&server.address).into()),
            incarnation: server.incarnation.0,
        }
    }
}

impl TryFrom<ServerBody> for ServerId {
    type Error = WireError;

    fn try_from(body: ServerBody) -> Result<Self, Self::Error> {
        Ok(Self {
            address: required(body.address, "server.address")?.try_into()?,
            incarnation: Incarnation(body.incarnation),
        })
    }
}

impl From<&PeerHello> for HelloBody {
    fn from(hello: &PeerHello) -> Self {
        let record = &hello.record;
        Self {
            version: hello.version,
            gate: Some((&record.gate).into()),
            data_centre: record.data_centre.to_string(),
            callers: Some((&record.callers).into()),
            peers: Some((&record.peers).into()),
            draining: record.state == GateState::Draining,
        }
    }
}

impl TryFrom<HelloBody> for PeerHello {
    type Error = WireError;

    fn try_from(body: HelloBody) -> Result<Self, Self::Error> {
        let record = GateRecord {
            gate: required(body.gate, "hello.gate")?.into(),
            data_centre: DataCentre::new(&body.data_centre),
            callers: required(body.callers, "hello.callers")?.try_into()?,
            peers: required(body.peers, "hello.peers")?.try_into()?,
            state: gate_state(body.draining),
        };
        Ok(Self {
            version: body.version,
            record,
        })
    }
}

impl From<&PeerHeartbeat> for HeartbeatBody {
    fn from(heartbeat: &PeerHeartbeat) -> Self {
        Self {
            sequence: heartbeat.sequence,
            draining: heartbeat.state == GateState::Draining,
            fleet: heartbeat.digest.fleet.0,
            age_ms: heartbeat.digest.age.map(|age| age.as_millis() as u64),
            leaving: collect(&heartbeat.leaving),
        }
    }
}

impl TryFrom<HeartbeatBody> for PeerHeartbeat {
    type Error = WireError;

    fn try_from(body: HeartbeatBody) -> Result<Self, Self::Error> {
        Ok(Self {
            sequence: body.sequence,
            state: gate_state(body.draining),
            digest: FleetDigest {
                fleet: DocumentRevision(body.fleet),
                age: body.age_ms.map(Duration::from_millis),
            },
            leaving: try_collect(body.leaving)?,
        })
    }
}

impl From<&ChangeSet> for ChangesBody {
    fn from(set: &ChangeSet) -> Self {
        // Every document was decoded from JSON, so encoding it as JSON does not fail.
        let json = |document| serde_json::to_vec(&DocumentRow::from(document)).unwrap_or_default();
        Self {
            after: set.after.0,
            up_to: set.up_to.0,
            documents: set.documents.iter().map(json).collect(),
        }
    }
}

impl TryFrom<ChangesBody> for ChangeSet {
    type Error = WireError;

    fn try_from(body: ChangesBody) -> Result<Self, Self::Error> {
        let decode = |bytes: &Vec<u8>| -> Result<AcceptedDocument, WireError> {
            let row = serde_json::from_slice::<DocumentRow>(bytes);
            let row = row.map_err(|error| WireError::BadDocument {
                cause: error.to_string(),
            })?;
            row.try_into()
                .map_err(|error: ggs_follow::DocumentError| WireError::BadDocument {
                    cause: error.to_string(),
                })
        };
        let documents: Result<Vec<_>, _> = body.documents.iter().map(decode).collect();
        Ok(Self {
            after: DocumentRevision(body.after),
            up_to: DocumentRevision(body.up_to),
            documents: documents?,
        })
    }
}

impl From<&ServerEntry> for EntryBody {
    fn from(entry: &ServerEntry) -> Self {
        Self {
            service: entry.service.to_string(),
            server: Some((&entry.server).into()),
            data_centre: entry.data_centre.to_string(),
            leaving: entry.state == ServerState::Leaving,
        }
    }
}

impl TryFrom<EntryBody> for ServerEntry {
    type Error = WireError;

    fn try_from(body: EntryBody) -> Result<Self, Self::Error> {
        let state = if body.leaving {
            ServerState::Leaving
        } else {
            ServerState::Live
        };
        Ok(Self {
            service: ServiceName::new(&body.service),
            server: required(body.server, "entry.server")?.try_into()?,
            data_centre: DataCentre::new(&body.data_centre),
            state,
        })
    }
}
