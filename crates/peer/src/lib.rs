//! Messages between gates and the framed connections that carry them.
//!
//! Each gate dials every other gate and keeps that connection up; it sends its own state on the
//! connections that it dialled, and answers on those that it accepted. Every heartbeat is answered
//! by an echo, so both ends hear something each second: a connection that has gone silent is dropped
//! after [`LinkTiming::silence`] and replaced by a new one.
//!
//! What waits to be sent is state, not a log: an [`Outbox`] keeps the newest of each kind and is
//! bounded however long its connection stalls.

mod connection;
mod error;
mod frames;
mod message;
mod node;
mod outbox;
mod wire;

pub use connection::{LinkEvent, LinkSide, LinkTiming};
pub use error::{LinkFault, WireError};
pub use message::{PROTOCOL_VERSION, PeerHeartbeat, PeerHello, PeerMessage, PullRequest};
pub use node::{LinkTraffic, PeerNode};
pub use outbox::Outbox;
pub use wire::{MAX_FRAME_BYTES, decode_message, encode_message};
