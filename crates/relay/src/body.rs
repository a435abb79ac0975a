//! Streams the body of an answer from a server connection, with a timeout.
//!
//! The connection returns to its pool only after a complete body, so that the bytes of an abandoned
//! answer can't be taken for the next one.

use std::fmt;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_http::body::{BodySize, MessageBody};
use actix_http::h1::ClientPayloadCodec;
use bytes::{Bytes, BytesMut};
use futures_util::Stream;
use ggs_model::{BootClock, Clock, Moment};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};
use tokio_util::codec::Framed;
use tokio_util::io::poll_read_buf;

use crate::pool::ConnectionPermit;
use crate::{FailureKind, ServerConnection};

/// Longest part that is read at a time of a body that ends with its connection, in bytes.
const MAX_PART_BYTES: usize = 16 << 10;

/// Failure of a body that ended before it was complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BodyError {
    /// Reason.
    pub kind: FailureKind,
}

impl fmt::Display for BodyError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "answer body is incomplete: {}", self.kind)
    }
}

impl std::error::Error for BodyError {}

/// The body of an answer, read from its server connection.
///
/// The connection returns to its pool only if the body ended as announced and no bytes follow it.
/// Dropping the body earlier closes the connection.
pub struct RelayBody {
    source: Option<BodySource>,
    size: BodySize,
    timer: Pin<Box<Sleep>>,
    idle_timeout: Option<Duration>,
}

/// The connection that a body is read from, with its permit.
enum BodySource {
    /// A body whose end is marked by its length or its last chunk.
    Marked {
        framed: Framed<TcpStream, ClientPayloadCodec>,
        permit: ConnectionPermit,
        reusable: bool,
    },
    /// A body that ends with its connection.
    UntilClose {
        stream: TcpStream,
        /// Bytes that have been read already.
        prefix: BytesMut,
        _permit: ConnectionPermit,
    },
}

impl BodySource {
    /// Polls for the next part; `None` at the end of the body.
    fn poll_part(&mut self, context: &mut Context<'_>) -> Poll<Result<Option<Bytes>, FailureKind>> {
        match self {
            Self::Marked { framed, .. } => {
                let polled = Pin::new(framed).poll_next(context);
                polled.map(|part| match part {
                    Some(Ok(part)) => Ok(part),
                    Some(Err(_)) | None => Err(FailureKind::ConnectionLost),
                })
            }
            Self::UntilClose { stream, prefix, .. } => {
                if prefix.is_empty() {
                    prefix.reserve(MAX_PART_BYTES);
                    let read = poll_read_buf(Pin::new(stream), context, prefix);
                    match read {
                        Poll::Pending => return Poll::Pending,
                        Poll::Ready(Ok(0)) => return Poll::Ready(Ok(None)),
                        Poll::Ready(Ok(_)) => {}
                        Poll::Ready(Err(_)) => {
                            return Poll::Ready(Err(FailureKind::ConnectionLost));
                        }
                    }
                }
                Poll::Ready(Ok(Some(prefix.split().freeze())))
            }
        }
    }
}

impl fmt::Debug for RelayBody {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("RelayBody")
            .field("size", &self.size)
            .finish_non_exhaustive()
    }
}

impl RelayBody {
    /// Creates a body that must end within `limit` from now; with `idle_timeout`, `limit` is
    /// ignored and each part must arrive within that time after the one before.
    pub fn new(
        connection: ServerConnection,
        permit: ConnectionPermit,
        reusable: bool,
        size: BodySize,
        limit: Duration,
        idle_timeout: Option<Duration>,
    ) -> Self {
        let framed = connection
            .framed
            .map_codec(actix_http::h1::ClientCodec::into_payload_codec);
        let timer = Box::pin(tokio::time::sleep(idle_timeout.unwrap_or(limit)));
        Self {
            source: Some(BodySource::Marked {
                framed,
                permit,
                reusable,
            }),
            size,
            timer,
            idle_timeout,
        }
    }

    /// Creates a body that ends with its connection, and must end within `limit` from now. A
    /// connection that breaks leaves it incomplete.
    pub fn until_close(
        connection: ServerConnection,
        permit: ConnectionPermit,
        limit: Duration,
    ) -> Self {
        let parts = connection.framed.into_parts();
        Self {
            source: Some(BodySource::UntilClose {
                stream: parts.io,
                prefix: parts.read_buf,
                _permit: permit,
            }),
            size: BodySize::Stream,
            timer: Box::pin(tokio::time::sleep(limit)),
            idle_timeout: None,
        }
    }

    /// Reads until the body ends or more than `limit` bytes have been read. Returns the bytes of a
    /// body that has ended; `None` if it goes on, with what has been read as its beginning. Only for
    /// bodies that end with their connection.
    ///
    /// # Errors
    ///
    /// Fails if the body is incomplete.
    pub async fn read_short(&mut self, limit: usize) -> Result<Option<Bytes>, BodyError> {
        let mut whole = BytesMut::new();
        while whole.len() <= limit {
            match poll_fn(|context| Pin::new(&mut *self).poll_next(context)).await {
                None => return Ok(Some(whole.freeze())),
                Some(part) => whole.extend_from_slice(&part?),
            }
        }
        if let Some(BodySource::UntilClose { prefix, .. }) = &mut self.source {
            *prefix = whole;
        }
        Ok(None)
    }

    /// Returns the connection to its pool after a complete body, if it can be reused.
    fn complete(&mut self) {
        let Some(BodySource::Marked {
            framed,
            permit,
            reusable,
        }) = self.source.take()
        else {
            return;
        };
        if !reusable || !framed.read_buffer().is_empty() {
            return;
        }
        let framed = framed.map_codec(ClientPayloadCodec::into_message_codec);
        let now: Moment = BootClock.now();
        permit.put_back(ServerConnection::from_framed(framed), now);
    }

    /// Ends the body with an error and closes the connection.
    fn fail(&mut self, kind: FailureKind) -> Poll<Option<Result<Bytes, BodyError>>> {
        self.source = None;
        Poll::Ready(Some(Err(BodyError { kind })))
    }
}

impl MessageBody for RelayBody {
    type Error = BodyError;

    fn size(&self) -> BodySize {
        self.size
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BodyError>>> {
        let this = &mut *self;
        let Some(source) = this.source.as_mut() else {
            return Poll::Ready(None);
        };
        match source.poll_part(context) {
            Poll::Ready(Ok(Some(chunk))) => {
                if let Some(idle_timeout) = this.idle_timeout {
                    this.timer.as_mut().reset(Instant::now() + idle_timeout);
                }
                Poll::Ready(Some(Ok(chunk)))
            }
            Poll::Ready(Ok(None)) => {
                this.complete();
                Poll::Ready(None)
            }
            Poll::Ready(Err(kind)) => this.fail(kind),
            Poll::Pending => match this.timer.as_mut().poll(context) {
                Poll::Ready(()) => this.fail(FailureKind::AnswerTimeout),
                Poll::Pending => Poll::Pending,
            },
        }
    }
}
