//! One connection between two gates, from the exchange of hellos to its end.
//!
//! Checks that the other end is another gate that uses the same protocol version, and decides when
//! a connection has failed. A network fault can leave a connection open without delivering
//! anything, so each read and each write has a time limit.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use ggs_member::GateRecord;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::timeout;
use tokio_util::codec::{FramedRead, FramedWrite, LengthDelimitedCodec};

use crate::node::LinkTraffic;
use crate::wire::{MAX_FRAME_BYTES, decode_message, encode_message};
use crate::{LinkFault, Outbox, PROTOCOL_VERSION, PeerHello, PeerMessage};

/// Reads frames from the other end.
type FrameReader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;

/// Writes frames to the other end.
type FrameWriter = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

/// Timeouts and backoff of connections between gates.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkTiming {
    /// Time limit for connecting, and for the hello of the other end to arrive after that.
    pub connect_timeout: Duration,
    /// Time without a received frame, or for sending one frame, after which a connection is closed.
    pub idle_timeout: Duration,
    /// Mean backoff before the first attempt to reconnect; doubles with each further attempt. Also
    /// the delay after a connection could not be accepted.
    pub initial_backoff: Duration,
    /// Largest mean backoff between two attempts to connect.
    pub max_backoff: Duration,
}

impl Default for LinkTiming {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_secs(1),
            idle_timeout: Duration::from_millis(2_500),
            initial_backoff: Duration::from_millis(200),
            max_backoff: Duration::from_secs(3),
        }
    }
}

/// Which gate opened a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkSide {
    /// This gate opened the connection.
    Dialled,
    /// The other gate opened the connection.
    Accepted,
}

/// An event on one of a gate's connections to other gates.
#[derive(Clone, Debug)]
pub enum LinkEvent {
    /// Hellos have been exchanged with another gate.
    Up {
        /// The other gate, as its hello describes it.
        record: GateRecord,
        /// Sends messages to that gate on this connection.
        outbox: Outbox,
    },
    /// Another gate sent a message after its hello, other than an echo.
    Message {
        /// The sender, with the state of its newest heartbeat.
        record: GateRecord,
        /// The message.
        message: PeerMessage,
        /// Which gate opened the connection.
        side: LinkSide,
        /// Sends messages to the sender on this connection.
        outbox: Outbox,
    },
    /// A connection ended or could not be made.
    Down {
        /// The address that was dialled, or the remote address of an accepted connection.
        address: SocketAddr,
        /// Why the connection ended.
        fault: LinkFault,
    },
}

/// What all connections of a gate share.
#[derive(Clone, Debug)]
pub(crate) struct LinkContext {
    pub(crate) hello: PeerHello,
    pub(crate) timing: LinkTiming,
    pub(crate) events: mpsc::Sender<LinkEvent>,
    pub(crate) traffic: Rc<Cell<LinkTraffic>>,
}

/// Serves one connection until it ends; `is_up` is set once hellos have been exchanged.
pub(crate) async fn serve_connection(
    stream: TcpStream,
    side: LinkSide,
    outbox: Outbox,
    context: &LinkContext,
    is_up: &Cell<bool>,
) -> LinkFault {
    // Frames are small and should not wait for Nagle's algorithm. If the option cannot be set, they
    // only arrive later.
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(MAX_FRAME_BYTES);
    let mut reader = FramedRead::new(reader, codec.clone());
    let mut writer = FramedWrite::new(writer, codec);
    let record = match exchange_hellos(&mut reader, &mut writer, context).await {
        Ok(record) => record,
        Err(fault) => return fault,
    };
    is_up.set(true);
    let up = LinkEvent::Up {
        record: record.clone(),
        outbox: outbox.clone(),
    };
    if context.events.send(up).await.is_err() {
        return LinkFault::ClosedLocally;
    }
    tokio::select! {
        fault = read_frames(&mut reader, side, record, outbox.clone(), context) => fault,
        fault = write_frames(&mut writer, &outbox, context) => fault,
    }
}

/// Sends the hello of this gate and checks that of the other end.
async fn exchange_hellos(
    reader: &mut FrameReader,
    writer: &mut FrameWriter,
    context: &LinkContext,
) -> Result<GateRecord, LinkFault> {
    let hello = PeerMessage::Hello(context.hello.clone());
    write_frame(writer, &hello, context).await?;
    let message = read_frame(reader, context.timing.connect_timeout, context).await?;
    let PeerMessage::Hello(hello) = message else {
        return Err(LinkFault::NoHello);
    };
    if hello.version != PROTOCOL_VERSION {
        let version = hello.version;
        return Err(LinkFault::VersionMismatch { version });
    }
    if hello.record.gate == context.hello.record.gate {
        return Err(LinkFault::OwnAddress);
    }
    Ok(hello.record)
}

/// Reports received messages as events and answers heartbeats; returns why reading ended.
///
/// Echoes are not reported: they only keep the connection from reaching its idle timeout.
async fn read_frames(
    reader: &mut FrameReader,
    side: LinkSide,
    mut record: GateRecord,
    outbox: Outbox,
    context: &LinkContext,
) -> LinkFault {
    loop {
        let message = match read_frame(reader, context.timing.idle_timeout, context).await {
            Ok(message) => message,
            Err(fault) => return fault,
        };
        if let PeerMessage::Heartbeat(heartbeat) = &message {
            record.state = heartbeat.state;
            outbox.push(PeerMessage::Echo(heartbeat.sequence));
        }
        if matches!(message, PeerMessage::Echo(_)) {
            continue;
        }
        let event = LinkEvent::Message {
            record: record.clone(),
            message,
            side,
            outbox: outbox.clone(),
        };
        if context.events.send(event).await.is_err() {
            return LinkFault::ClosedLocally;
        }
    }
}

/// Sends the messages of the outbox; returns why writing ended.
async fn write_frames(
    writer: &mut FrameWriter,
    outbox: &Outbox,
    context: &LinkContext,
) -> LinkFault {
    while let Some(message) = outbox.next().await {
        if let Err(fault) = write_frame(writer, &message, context).await {
            return fault;
        }
    }
    LinkFault::ClosedLocally
}

/// Reads one message within `limit`.
async fn read_frame(
    reader: &mut FrameReader,
    limit: Duration,
    context: &LinkContext,
) -> Result<PeerMessage, LinkFault> {
    let Ok(frame) = timeout(limit, reader.next()).await else {
        return Err(LinkFault::TimedOut);
    };
    let Some(frame) = frame else {
        let cause = "closed by the other end".to_owned();
        return Err(LinkFault::Closed { cause });
    };
    let frame = frame.map_err(|error| {
        let cause = error.to_string();
        match error.kind() {
            std::io::ErrorKind::InvalidData => {
                LinkFault::InvalidFrame(crate::WireError::Malformed { cause })
            }
            _ => LinkFault::Closed { cause },
        }
    })?;
    let mut traffic = context.traffic.get();
    traffic.frames_received += 1;
    traffic.bytes_received += frame.len() as u64;
    context.traffic.set(traffic);
    decode_message(&frame).map_err(LinkFault::InvalidFrame)
}

/// Sends one message within the idle timeout.
async fn write_frame(
    writer: &mut FrameWriter,
    message: &PeerMessage,
    context: &LinkContext,
) -> Result<(), LinkFault> {
    let frame = Bytes::from(encode_message(message));
    let mut traffic = context.traffic.get();
    traffic.frames_sent += 1;
    traffic.bytes_sent += frame.len() as u64;
    context.traffic.set(traffic);
    match timeout(context.timing.idle_timeout, writer.send(frame)).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(error)) => Err(LinkFault::Closed {
            cause: error.to_string(),
        }),
        Err(_) => Err(LinkFault::TimedOut),
    }
}
