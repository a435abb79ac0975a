//! One HTTP/1.1 connection to a server, with one request in flight at a time.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, Message, MessageType};
use actix_http::{RequestHead, RequestHeadType, ResponseHead, ServiceConfig};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use ggs_model::{HeaderNames, Moment};
use tokio::net::TcpStream;
use tokio::time::timeout;
use tokio_util::codec::Framed;

use crate::{AttemptFailure, FailureKind, RelayRequest};

/// Limits of server connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ConnectionOptions {
    /// Longest time for a new connection.
    pub connect_timeout: Duration,
    /// An idle connection older than this is not used again.
    pub idle_limit: Duration,
    /// Connections that this gate may hold to one server.
    pub share: usize,
}

impl Default for ConnectionOptions {
    fn default() -> Self {
        Self {
            connect_timeout: Duration::from_millis(250),
            idle_limit: Duration::from_secs(10),
            share: 12,
        }
    }
}

/// An open connection that is between two requests.
#[derive(Debug)]
pub struct ServerConnection {
    /// The socket with the codec's buffers.
    pub(crate) framed: Framed<TcpStream, ClientCodec>,
    /// When the last answer ended; `None` for a new connection.
    pub(crate) idle_since: Option<Moment>,
}

/// What a server is told of one attempt.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AttemptLabel {
    /// Number of the attempt at this gate.
    pub(crate) id: u64,
    /// Retries of the call that the attempt stands for.
    pub(crate) retry: u32,
    /// Time left to answer.
    pub(crate) remaining: Duration,
}

/// The start of an answer.
#[derive(Debug)]
pub(crate) struct AnswerStart {
    /// Status and headers.
    pub(crate) head: ResponseHead,
    /// Whether body bytes follow.
    pub(crate) has_body: bool,
    /// Whether the connection may carry another request after the answer.
    pub(crate) reusable: bool,
}

impl ServerConnection {
    /// Opens a connection to `address`.
    ///
    /// # Errors
    ///
    /// Fails when the server does not accept within the connect timeout.
    pub async fn open(
        address: SocketAddr,
        options: &ConnectionOptions,
        config: &ServiceConfig,
    ) -> io::Result<Self> {
        let stream = timeout(options.connect_timeout, TcpStream::connect(address)).await??;
        stream.set_nodelay(true)?;
        let codec = ClientCodec::new(config.clone());
        Ok(Self {
            framed: Framed::new(stream, codec),
            idle_since: None,
        })
    }

    /// Whether the connection has carried a request before.
    pub fn is_reused(&self) -> bool {
        self.idle_since.is_some()
    }

    /// Whether an idle connection is still open and silent, as it must be between two requests.
    pub fn is_quiet(&self) -> bool {
        let mut byte = [0_u8; 1];
        let read = self.framed.get_ref().try_read(&mut byte);
        let waits = matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        waits && self.framed.read_buffer().is_empty()
    }

    /// Sends a request as one attempt and reads the start of its answer.
    ///
    /// Once this has been called the request counts as sent.
    pub(crate) async fn exchange(
        &mut self,
        request: &RelayRequest,
        label: &AttemptLabel,
    ) -> Result<AnswerStart, AttemptFailure> {
        let reused = self.is_reused();
        let fail = |kind| AttemptFailure {
            kind,
            sent: true,
            reused,
        };
        self.send(request, label)
            .await
            .map_err(|_| fail(FailureKind::ConnectionLost))?;
        let head = match self.framed.next().await {
            Some(Ok(head)) => head,
            Some(Err(actix_http::error::ParseError::Io(_))) | None => {
                return Err(fail(FailureKind::ConnectionLost));
            }
            Some(Err(_)) => return Err(fail(FailureKind::BadAnswer)),
        };
        let codec = self.framed.codec();
        let echoed = head.headers.get(HeaderNames::REQUEST_ID);
        let owned = echoed.map(|value| value.as_bytes() == label.id.to_string().as_bytes());
        let unbounded = !is_bounded(&head, &request.method);
        if owned == Some(false) || unbounded || head.status.is_informational() {
            return Err(fail(FailureKind::BadAnswer));
        }
        let has_body = codec.message_type() == MessageType::Payload;
        let reusable = codec.keep_alive() && owned == Some(true);
        Ok(AnswerStart {
            head,
            has_body,
            reusable,
        })
    }

    /// Writes the head and the body of a request.
    async fn send(&mut self, request: &RelayRequest, label: &AttemptLabel) -> io::Result<()> {
        let mut head = RequestHead::default();
        head.method = request.method.clone();
        head.uri = request.target.clone();
        head.headers = request.headers.clone();
        let deadline = label.remaining.as_millis() as u64;
        insert_number(&mut head, HeaderNames::DEADLINE, deadline);
        insert_number(&mut head, HeaderNames::REQUEST_ID, label.id);
        insert_number(&mut head, HeaderNames::ATTEMPT, u64::from(label.retry));
        let size = body_size(&request.body, &request.method);
        let head = RequestHeadType::Owned(head);
        self.framed.feed(Message::Item((head, size))).await?;
        if !request.body.is_empty() {
            self.framed
                .feed(Message::Chunk(Some(Bytes::clone(&request.body))))
                .await?;
        }
        self.framed.flush().await
    }
}

/// Whether the end of an answer can be told from a cut.
///
/// The codec takes an answer without a length for an empty one, and an HTTP/1.0 answer to end with
/// its connection; both would pass a cut answer off as whole. Of an answer with both a length and
/// chunks the codec reads the chunks, and the caller would be given as many bytes as the length says.
fn is_bounded(head: &ResponseHead, method: &actix_http::Method) -> bool {
    let bodiless = matches!(head.status.as_u16(), 204 | 304) || *method == actix_http::Method::HEAD;
    let lengthy = head.headers.contains_key("content-length");
    let coding = head
        .headers
        .get("transfer-encoding")
        .and_then(|value| value.to_str().ok());
    let chunked = coding.is_some_and(|coding| coding.eq_ignore_ascii_case("chunked"));
    bodiless || lengthy != chunked
}

/// Sets a header to a number.
fn insert_number(head: &mut RequestHead, name: &'static str, number: u64) {
    let name = actix_http::header::HeaderName::from_static(name);
    head.headers.insert(name, number.into());
}

/// The body size to announce.
fn body_size(body: &Bytes, method: &actix_http::Method) -> BodySize {
    let bodiless = matches!(method.as_str(), "GET" | "HEAD" | "DELETE" | "OPTIONS");
    if body.is_empty() && bodiless {
        BodySize::None
    } else {
        BodySize::Sized(body.len() as u64)
    }
}
