//! One connection between two gates, from hello to end.

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

/// Frames from the other end.
type FrameReader = FramedRead<OwnedReadHalf, LengthDelimitedCodec>;

/// Frames to the other end.
type FrameWriter = FramedWrite<OwnedWriteHalf, LengthDelimitedCodec>;

/// Times of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkTiming {
    /// Time to connect and to be introduced.
    pub connect: Duration,
    /// Time without a frame, or with a frame that cannot be sent, after which a connection is dropped.
    pub silence: Duration,
    /// Mean wait before the second try to connect; it doubles with each further try.
    pub backoff: Duration,
    /// Longest mean wait between two tries to connect.
    pub backoff_limit: Duration,
}

impl Default for LinkTiming {
    fn default() -> Self {
        Self {
            connect: Duration::from_secs(1),
            silence: Duration::from_millis(2_500),
            backoff: Duration::from_millis(200),
            backoff_limit: Duration::from_secs(3),
        }
    }
}

/// Which gate made a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkSide {
    /// This gate.
    Dialled,
    /// The other gate.
    Accepted,
}

/// What happens on the connections of a gate.
#[derive(Clone, Debug)]
pub enum LinkEvent {
    /// A gate introduced itself.
    Up {
        /// Who it is.
        record: GateRecord,
        /// Sends to it on the same connection.
        outbox: Outbox,
    },
    /// A gate sent a message.
    Message {
        /// Who it is.
        record: GateRecord,
        /// What it sent.
        message: PeerMessage,
        /// Which gate made the connection.
        side: LinkSide,
        /// Sends to it on the same connection.
        outbox: Outbox,
    },
    /// A connection ended or could not be made.
    Down {
        /// The address dialled, or the remote address of an accepted connection.
        address: SocketAddr,
        /// Why.
        fault: LinkFault,
    },
}

/// What a connection needs of its gate.
#[derive(Clone, Debug)]
pub(crate) struct LinkContext {
    pub(crate) hello: PeerHello,
    pub(crate) timing: LinkTiming,
    pub(crate) events: mpsc::Sender<LinkEvent>,
    pub(crate) traffic: Rc<Cell<LinkTraffic>>,
}

/// Serves one connection until it ends; `introduced` is set once the other end has said who it is.
pub(crate) async fn serve_connection(
    stream: TcpStream,
    side: LinkSide,
    outbox: Outbox,
    context: &LinkContext,
    introduced: &Cell<bool>,
) -> LinkFault {
    // Frames are small and each one matters at once; a failure only costs latency.
    let _ = stream.set_nodelay(true);
    let (reader, writer) = stream.into_split();
    let mut codec = LengthDelimitedCodec::new();
    codec.set_max_frame_length(MAX_FRAME_BYTES);
    let mut reader = FramedRead::new(reader, codec.clone());
    let mut writer = FramedWrite::new(writer, codec);
    let record = match introduce(&mut reader, &mut writer, context).await {
        Ok(record) => record,
        Err(fault) => return fault,
    };
    introduced.set(true);
    let up = LinkEvent::Up {
        record: record.clone(),
        outbox: outbox.clone(),
    };
    if context.events.send(up).await.is_err() {
        return LinkFault::HungUp;
    }
    tokio::select! {
        fault = read_frames(&mut reader, side, record, outbox.clone(), context) => fault,
        fault = write_frames(&mut writer, &outbox, context) => fault,
    }
}

/// Exchanges hellos.
async fn introduce(
    reader: &mut FrameReader,
    writer: &mut FrameWriter,
    context: &LinkContext,
) -> Result<GateRecord, LinkFault> {
    let hello = PeerMessage::Hello(context.hello.clone());
    write_frame(writer, &hello, context).await?;
    let message = read_frame(reader, context.timing.connect, context).await?;
    let PeerMessage::Hello(hello) = message else {
        return Err(LinkFault::NoHello);
    };
    if hello.version != PROTOCOL_VERSION {
        let version = hello.version;
        return Err(LinkFault::OtherVersion { version });
    }
    if hello.record.gate == context.hello.record.gate {
        return Err(LinkFault::OwnAddress);
    }
    Ok(hello.record)
}

/// Passes on what comes; answers heartbeats.
async fn read_frames(
    reader: &mut FrameReader,
    side: LinkSide,
    mut record: GateRecord,
    outbox: Outbox,
    context: &LinkContext,
) -> LinkFault {
    loop {
        let message = match read_frame(reader, context.timing.silence, context).await {
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
            return LinkFault::HungUp;
        }
    }
}

/// Sends what the outbox holds.
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
    LinkFault::HungUp
}

/// Reads one message.
async fn read_frame(
    reader: &mut FrameReader,
    limit: Duration,
    context: &LinkContext,
) -> Result<PeerMessage, LinkFault> {
    let Ok(frame) = timeout(limit, reader.next()).await else {
        return Err(LinkFault::Silent);
    };
    let Some(frame) = frame else {
        let cause = "closed by the other end".to_owned();
        return Err(LinkFault::Closed { cause });
    };
    let frame = frame.map_err(|error| {
        let cause = error.to_string();
        match error.kind() {
            std::io::ErrorKind::InvalidData => {
                LinkFault::Garbage(crate::WireError::Malformed { cause })
            }
            _ => LinkFault::Closed { cause },
        }
    })?;
    let mut traffic = context.traffic.get();
    traffic.frames_received += 1;
    traffic.bytes_received += frame.len() as u64;
    context.traffic.set(traffic);
    decode_message(&frame).map_err(LinkFault::Garbage)
}

/// Sends one message.
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
    match timeout(context.timing.silence, writer.send(frame)).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(error)) => Err(LinkFault::Closed {
            cause: error.to_string(),
        }),
        Err(_) => Err(LinkFault::Silent),
    }
}
