//! Messages between gates, and the connections that carry them.
//!
//! Each gate opens a connection to every other gate and reconnects when it ends. A gate sends its
//! own state on the connections that it opened, and replies on those that it accepted. Every
//! heartbeat is answered by an echo, so both ends receive a frame about once a second; a connection
//! on which nothing arrives for [`LinkTiming::idle_timeout`] is closed and replaced.
//!
//! The messages carry current state and not a log, so a newer message supersedes an older one of
//! its kind. An [`Outbox`] keeps only the newest of most kinds and at most a fixed number of the
//! others, so its size is bounded however long its connection stalls.

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
