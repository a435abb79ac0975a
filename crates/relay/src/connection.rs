//! One HTTP/1.1 connection to a server, with one request in flight at a time.
//!
//! It decides whether an answer can be trusted, that is whether it has a certain end and belongs to
//! the attempt, and whether the connection can be reused after it.

use std::future::poll_fn;
use std::io;
use std::net::SocketAddr;
use std::task::Poll;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::{RequestHead, RequestHeadType, ResponseHead, ServiceConfig};
use bytes::{Bytes, BytesMut};
use futures_util::{SinkExt, StreamExt};
use ggs_model::{HeaderNames, Moment};
use rustix::io::Errno;
use rustix::net::{RecvFlags, recv, sockopt};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use crate::{AttemptFailure, FailureKind, RelayRequest};

/// Timeouts and limits of server connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionOptions {
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Idle time after which a connection is closed instead of reused.
    pub idle_timeout: Duration,
    /// Most connections to one server, idle ones included, unless the pool has been given another
    /// limit for that server.
    pub connection_limit: usize,
    /// Whether TCP keepalive is enabled, so that a connection whose peer is unreachable fails
    /// within seconds. For calls that wait long for their answer.
    pub tcp_keep_alive: bool,
}

/// Idle time before the first TCP keepalive probe, and time between two probes.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Unanswered TCP keepalive probes after which the system closes the connection.
const KEEP_ALIVE_PROBE_COUNT: u32 = 2;

/// Enables TCP keepalive, so that an unreachable peer is noticed without traffic.
fn enable_tcp_keep_alive(stream: &TcpStream) -> io::Result<()> {
    sockopt::set_socket_keepalive(stream, true)?;
    sockopt::set_tcp_keepidle(stream, KEEP_ALIVE_INTERVAL)?;
    sockopt::set_tcp_keepintvl(stream, KEEP_ALIVE_INTERVAL)?;
    sockopt::set_tcp_keepcnt(stream, KEEP_ALIVE_PROBE_COUNT)?;
    Ok(())
}

/// What the codec of a server connection encodes.
type OutputMessage = Message<(RequestHeadType, BodySize)>;

/// What a write to a server waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OutputPoll {
    /// Room in the buffer.
    Ready,
    /// An empty buffer.
    Flushed,
}

/// Highest status of an answer. The codec reads higher ones, but HTTP does not define them.
const MAX_STATUS: u16 = 599;

/// Longest part of a request's body that is copied into the buffer of a connection, in bytes.
const MAX_BODY_PART_BYTES: usize = 32 << 10;

impl Default for ConnectionOptions {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(250),
            idle_timeout: Duration::from_secs(10),
            connection_limit: 12,
            tcp_keep_alive: false,
        }
    }
}

/// The state of a connection between two requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IdleState {
    /// It is open, and nothing has arrived.
    Usable,
    /// It is closed.
    Closed,
    /// Bytes have arrived that belong to no request.
    HasBytes,
}

/// A connection to a server that carries one request after another.
#[derive(Debug)]
pub struct ServerConnection {
    /// The socket with the HTTP codec and its buffers.
    pub(crate) framed: Framed<TcpStream, ClientCodec>,
    /// When the connection returned to the pool; `None` if it has carried no request since it was
    /// opened.
    pub(crate) idle_since: Option<Moment>,
    /// Whether the latest request was written completely.
    request_fully_sent: bool,
}

/// Values of the headers that describe one attempt to the server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptMetadata {
    /// Number of the attempt, unique within the transport; the server echoes it in its answer.
    pub(crate) id: u64,
    /// Retries of the call so far; those of earlier gates count as one.
    pub(crate) retry_count: u32,
    /// Time left until the request's deadline.
    pub(crate) remaining: Duration,
}

/// The head of an answer, and what it implies for the connection.
#[derive(Debug)]
pub(crate) struct AnswerStart {
    /// Status and headers.
    pub(crate) head: ResponseHead,
    /// Whether a body follows.
    pub(crate) has_body: bool,
    /// Whether the connection can be reused after the answer.
    pub(crate) reusable: bool,
}

impl ServerConnection {
    /// Opens a connection to `address`.
    ///
    /// # Errors
    ///
    /// Fails if the connection is refused or not established within the connect timeout.
    pub async fn open(
        address: SocketAddr,
        options: &ConnectionOptions,
        config: &ServiceConfig,
    ) -> io::Result<Self> {
        let stream = timeout(options.connect_timeout, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        if options.tcp_keep_alive {
            enable_tcp_keep_alive(&stream)?;
        }
        let codec = ClientCodec::new(config.clone());
        Ok(Self::from_framed(Framed::new(stream, codec)))
    }

    /// Wraps an open connection that carries no request at present.
    pub(crate) fn from_framed(framed: Framed<TcpStream, ClientCodec>) -> Self {
        Self {
            framed,
            idle_since: None,
            request_fully_sent: true,
        }
    }

    /// Whether the connection has carried a request before.
    pub fn is_reused(&self) -> bool {
        self.idle_since.is_some()
    }

    /// Whether a connection between two requests can still be used.
    pub(crate) fn idle_state(&self) -> IdleState {
        if !self.framed.read_buffer().is_empty() {
            return IdleState::HasBytes;
        }
        let mut byte = [0_u8; 1];
        // Asks the system, as the runtime learns of new bytes only after the current task.
        match recv(self.framed.get_ref(), &mut byte, RecvFlags::DONTWAIT) {
            Err(Errno::WOULDBLOCK) => IdleState::Usable,
            Ok((count, _)) if count > 0 => IdleState::HasBytes,
            Ok(_) | Err(_) => IdleState::Closed,
        }
    }

    /// Sends a request as one attempt and reads the head of its answer.
    ///
    /// Every failure counts the request as sent, as some of its bytes may have reached the server.
    pub(crate) async fn exchange(
        &mut self,
        request: &RelayRequest,
        metadata: &AttemptMetadata,
    ) -> Result<AnswerStart, AttemptFailure> {
        let reused = self.is_reused();
        let fail = |kind| AttemptFailure {
            kind,
            sent: true,
            reused,
        };
        let message = attempt_head(request, metadata);
        self.send(message, &request.body)
            .await
            .map_err(|_| fail(FailureKind::ConnectionLost))?;
        let head = self.read_head().await.map_err(fail)?;
        let echoed_id = head.headers.get(HeaderNames::REQUEST_ID);
        let id_matches =
            echoed_id.map(|value| value.as_bytes() == metadata.id.to_string().as_bytes());
        // A server whose connection is reused has named its attempts before. An answer without the number
        // may be an earlier one, written once more.
        let is_foreign = id_matches == Some(false) || (reused && id_matches.is_none());
        let unbounded = !is_bounded(&head, &request.method);
        if is_foreign || unbounded || head.status.is_informational() {
            return Err(fail(FailureKind::BadAnswer));
        }
        let has_body = self.has_body();
        let reusable = self.is_reusable() && id_matches == Some(true);
        Ok(AnswerStart {
            head,
            has_body,
            reusable,
        })
    }

    /// Writes a request with its complete body.
    ///
    /// If the server answers before the body is written, the rest of the body is not sent, and the
    /// connection can't be reused.
    ///
    /// # Errors
    ///
    /// Fails if the connection breaks.
    pub async fn send(&mut self, head: RequestHead, body: &Bytes) -> io::Result<()> {
        let size = body_size(body, &head.method);
        let head = RequestHeadType::Owned(head);
        self.framed.feed(Message::Item((head, size))).await?;
        let mut rest = body.clone();
        while !rest.is_empty() {
            if !self.poll_sendable(OutputPoll::Ready).await? {
                return Ok(());
            }
            let part = rest.split_to(rest.len().min(MAX_BODY_PART_BYTES));
            let message: OutputMessage = Message::Chunk(Some(part));
            self.framed.start_send_unpin(message)?;
        }
        self.poll_sendable(OutputPoll::Flushed).await?;
        Ok(())
    }

    /// Waits until more can be written, or all is written. Returns false, and gives up on the rest
    /// of the request, if the server answers first, as it may never read the rest.
    async fn poll_sendable(&mut self, goal: OutputPoll) -> io::Result<bool> {
        let sendable = poll_fn(|context| {
            let polled = match goal {
                OutputPoll::Ready => {
                    SinkExt::<OutputMessage>::poll_ready_unpin(&mut self.framed, context)
                }
                OutputPoll::Flushed => {
                    SinkExt::<OutputMessage>::poll_flush_unpin(&mut self.framed, context)
                }
            };
            if let Poll::Ready(result) = polled {
                return Poll::Ready(result.map(|()| true));
            }
            self.framed
                .get_ref()
                .poll_read_ready(context)
                .map_ok(|()| false)
        });
        self.request_fully_sent = sendable.await?;
        Ok(self.request_fully_sent)
    }

    /// Reads the head of the next answer.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends, or if the bytes received are not an HTTP answer.
    pub async fn read_head(&mut self) -> Result<ResponseHead, FailureKind> {
        match self.framed.next().await {
            Some(Ok(head)) if head.status.as_u16() > MAX_STATUS => Err(FailureKind::BadAnswer),
            Some(Ok(head)) => Ok(head),
            Some(Err(actix_http::error::ParseError::Io(_))) | None => {
                Err(FailureKind::ConnectionLost)
            }
            Some(Err(_)) => Err(FailureKind::BadAnswer),
        }
    }

    /// Whether a body follows the head that was read last.
    pub fn has_body(&self) -> bool {
        self.framed.codec().message_type() == MessageType::Payload
    }

    /// Whether the connection can be reused after the current answer: neither side closes it, and
    /// the request was written completely.
    pub fn is_reusable(&self) -> bool {
        self.framed.codec().keep_alive() && self.request_fully_sent
    }

    /// Whether bytes have arrived beyond the answer that was read last.
    pub fn has_unread_bytes(&self) -> bool {
        !self.framed.read_buffer().is_empty()
    }

    /// Reads the complete body of an answer and closes the connection.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends before the body does, or if the body is longer than `limit`
    /// bytes.
    pub async fn read_whole_body(self, limit: usize) -> Result<Bytes, FailureKind> {
        let mut whole = BytesMut::new();
        if !self.has_body() {
            return Ok(whole.freeze());
        }
        let mut framed = self.framed.map_codec(ClientCodec::into_payload_codec);
        while let Some(chunk) = framed.next().await {
            match chunk.map_err(|_| FailureKind::ConnectionLost)? {
                None => return Ok(whole.freeze()),
                Some(chunk) if whole.len() + chunk.len() > limit => {
                    return Err(FailureKind::BadAnswer);
                }
                Some(chunk) => whole.extend_from_slice(&chunk),
            }
        }
        Err(FailureKind::ConnectionLost)
    }

    /// Reads and discards the body of an answer, so that the connection can be reused.
    ///
    /// # Errors
    ///
    /// Fails if the connection ends before the body does.
    pub async fn skip_body(self) -> Result<Self, FailureKind> {
        if !self.has_body() {
            return Ok(self);
        }
        let mut framed = self.framed.map_codec(ClientCodec::into_payload_codec);
        while let Some(chunk) = framed.next().await {
            let chunk = chunk.map_err(|_| FailureKind::ConnectionLost)?;
            if chunk.is_none() {
                return Ok(Self {
                    framed: framed.map_codec(ClientPayloadCodec::into_message_codec),
                    ..self
                });
            }
        }
        Err(FailureKind::ConnectionLost)
    }
}

/// Builds the request head of one attempt, with the headers that describe the attempt.
fn attempt_head(request: &RelayRequest, metadata: &AttemptMetadata) -> RequestHead {
    let mut head = RequestHead::default();
    head.method = request.method.clone();
    head.uri = request.target.clone();
    head.headers = request.headers.clone();
    let deadline = metadata.remaining.as_millis() as u64;
    insert_number(&mut head, HeaderNames::DEADLINE, deadline);
    insert_number(&mut head, HeaderNames::REQUEST_ID, metadata.id);
    insert_number(
        &mut head,
        HeaderNames::ATTEMPT,
        u64::from(metadata.retry_count),
    );
    head
}

/// Whether a complete answer can be distinguished from one that was cut short.
///
/// The codec treats an answer without a length as empty, and an HTTP/1.0 answer as ending with its
/// connection; in both cases an answer that was cut short would pass as complete. If an answer has
/// both a length and chunks, the codec reads the chunks, but the caller would get as many bytes as
/// the length says.
fn is_bounded(head: &ResponseHead, method: &actix_http::Method) -> bool {
    AnswerFraming::of(head, method) == AnswerFraming::Bounded
}

/// How the end of an answer's body is determined.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerFraming {
    /// By its length or its last chunk, or it has no body.
    Bounded,
    /// By the end of the connection, so that a cut goes unnoticed.
    UntilClose,
    /// By both a length and chunks, which may contradict each other.
    Contradictory,
}

impl AnswerFraming {
    /// The framing announced by the head of an answer to a request with `method`.
    pub fn of(head: &ResponseHead, method: &actix_http::Method) -> Self {
        let bodiless =
            matches!(head.status.as_u16(), 204 | 304) || *method == actix_http::Method::HEAD;
        let has_length = head.headers.contains_key("content-length");
        let coding = head
            .headers
            .get("transfer-encoding")
            .and_then(|value| value.to_str().ok());
        let chunked = coding.is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
        match (has_length, chunked) {
            _ if bodiless => Self::Bounded,
            (true, true) => Self::Contradictory,
            (false, false) => Self::UntilClose,
            _ => Self::Bounded,
        }
    }
}

fn insert_number(head: &mut RequestHead, name: &'static str, number: u64) {
    let name = actix_http::header::HeaderName::from_static(name);
    head.headers.insert(name, number.into());
}

/// The body size to announce to the server: none, instead of a length of 0, for an empty body of a
/// method that usually has no body.
fn body_size(body: &Bytes, method: &actix_http::Method) -> BodySize {
    let bodiless = matches!(method.as_str(), "GET" | "HEAD" | "DELETE" | "OPTIONS");
    if body.is_empty() && bodiless {
        BodySize::None
    } else {
        BodySize::Sized(body.len() as u64)
    }
}
