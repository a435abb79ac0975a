//! Streams the body of an answer from a server connection, with a timeout.
//!
//! The connection returns to its pool only after a complete body, so that the bytes of an abandoned
//! answer can't be taken for the next one.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_http::body::{BodySize, MessageBody};
use actix_http::h1::ClientPayloadCodec;
use bytes::Bytes;
use futures_util::Stream;
use ggs_model::{BootClock, Clock, Moment};
use tokio::net::TcpStream;
use tokio::time::{Instant, Sleep};
use tokio_util::codec::Framed;

use crate::pool::ConnectionPermit;
use crate::{FailureKind, ServerConnection};

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
struct BodySource {
    framed: Framed<TcpStream, ClientPayloadCodec>,
    permit: ConnectionPermit,
    reusable: bool,
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
            source: Some(BodySource {
                framed,
                permit,
                reusable,
            }),
            size,
            timer,
            idle_timeout,
        }
    }

    /// Returns the connection to its pool after a complete body, if it can be reused.
    fn complete(&mut self) {
        let Some(source) = self.source.take() else {
            return;
        };
        if !source.reusable || !source.framed.read_buffer().is_empty() {
            return;
        }
        let framed = source
            .framed
            .map_codec(ClientPayloadCodec::into_message_codec);
        let now: Moment = BootClock.now();
        source
            .permit
            .put_back(ServerConnection::from_framed(framed), now);
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
        match Pin::new(&mut source.framed).poll_next(context) {
            Poll::Ready(Some(Ok(Some(chunk)))) => {
                if let Some(idle_timeout) = this.idle_timeout {
                    this.timer.as_mut().reset(Instant::now() + idle_timeout);
                }
                Poll::Ready(Some(Ok(chunk)))
            }
            Poll::Ready(Some(Ok(None))) => {
                this.complete();
                Poll::Ready(None)
            }
            Poll::Ready(Some(Err(_)) | None) => this.fail(FailureKind::ConnectionLost),
            Poll::Pending => match this.timer.as_mut().poll(context) {
                Poll::Ready(()) => this.fail(FailureKind::AnswerTimeout),
                Poll::Pending => Poll::Pending,
            },
        }
    }
}
