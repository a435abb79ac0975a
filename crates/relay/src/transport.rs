//! The port to servers, and its HTTP adapter.

use std::cell::Cell;
use std::future::poll_fn;
use std::pin::pin;
use std::time::Duration;

use actix_http::body::{BodySize, MessageBody};
use actix_http::{ResponseHead, ServiceConfig};
use bytes::{Bytes, BytesMut};
use ggs_model::{BootClock, Clock, Moment, ServerId};
use tokio::time::timeout;

use crate::connection::AttemptMetadata;
use crate::{
    AttemptFailure, BodyTimeout, ConnectionPool, FailureKind, RelayBody, RelayRequest,
    ServerConnection,
};

/// Longest body that is read whole before its head goes to the caller, in bytes.
///
/// A body cut short within this length is a failed attempt that may be retried; a longer one is
/// streamed and a cut aborts the caller's transfer.
const MAX_BUFFERED_BODY_BYTES: u64 = 64 * 1024;

/// How one attempt is made.
#[derive(Clone, Copy, Debug)]
pub struct AttemptPlan {
    /// Whether only a connection that carried no request before will do.
    pub new_connection: bool,
    /// The latest moment for the answer's first byte.
    pub answer_deadline: Moment,
    /// Retries of the call that this attempt stands for, as the server is told.
    pub retry_count: u32,
}

/// An answer whose head has come.
#[derive(Debug)]
pub struct ServerAnswer<B> {
    /// Status and headers.
    pub head: ResponseHead,
    /// The body.
    pub body: AnswerBody<B>,
}

/// The body of an answer.
#[derive(Debug)]
pub enum AnswerBody<B> {
    /// All of it.
    Whole(Bytes),
    /// The rest is still to come.
    Streamed(B),
}

/// A way to make one attempt of a request at a server.
pub trait ServerTransport {
    /// A body that is still to come.
    type Body: MessageBody<Error = crate::BodyError> + Unpin;

    /// Sends the request once and returns the answer's head.
    fn attempt(
        &self,
        server: ServerId,
        request: &RelayRequest,
        plan: AttemptPlan,
    ) -> impl Future<Output = Result<ServerAnswer<Self::Body>, AttemptFailure>>;
}

/// Attempts over HTTP/1.1.
#[derive(Debug)]
pub struct HttpTransport {
    pool: ConnectionPool,
    config: ServiceConfig,
    next_request_id: Cell<u64>,
}

impl HttpTransport {
    /// A transport with the connections of `pool`.
    pub fn new(pool: ConnectionPool) -> Self {
        Self {
            pool,
            config: ServiceConfig::default(),
            next_request_id: Cell::new(1),
        }
    }

    /// The transport's connections.
    pub fn pool(&self) -> &ConnectionPool {
        &self.pool
    }

    /// Makes the attempt without a limit on the time to the first byte.
    async fn exchange(
        &self,
        server: ServerId,
        request: &RelayRequest,
        plan: AttemptPlan,
        stage: &Cell<AttemptStage>,
    ) -> Result<ServerAnswer<RelayBody>, AttemptFailure> {
        let now = BootClock.now();
        let reserved = self.pool.reserve(server.address, plan.new_connection, now);
        let (permit, idle) = reserved.ok_or(AttemptFailure::unsent(FailureKind::NoConnection))?;
        let mut connection = match idle {
            Some(connection) => connection,
            None => ServerConnection::open(server.address, self.pool.options(), &self.config)
                .await
                .map_err(|_| AttemptFailure::unsent(FailureKind::ConnectFailed))?,
        };
        // The process may have been suspended since the deadline was checked.
        let remaining = request.deadline.since(BootClock.now());
        if remaining.is_zero() {
            return Err(AttemptFailure::unsent(FailureKind::DeadlinePassed));
        }
        let reused = connection.is_reused();
        stage.set(AttemptStage { sent: true, reused });
        let id = self.next_request_id.replace(self.next_request_id.get() + 1);
        let start = connection
            .exchange(
                request,
                &AttemptMetadata {
                    id,
                    retry_count: plan.retry_count,
                    remaining,
                },
            )
            .await?;
        let head = start.head;
        let size = announced_size(&head, start.has_body);
        let idle_timeout = match request.body_timeout {
            BodyTimeout::Deadline => None,
            BodyTimeout::Idle(timeout) => Some(timeout),
        };
        let limit = request.deadline.since(BootClock.now());
        if !start.has_body {
            if start.reusable && connection.framed.read_buffer().is_empty() {
                permit.put_back(connection, BootClock.now());
            }
            return Ok(ServerAnswer {
                head,
                body: AnswerBody::Whole(Bytes::new()),
            });
        }
        let mut body = RelayBody::new(
            connection,
            permit,
            start.reusable,
            size,
            limit,
            idle_timeout,
        );
        if !matches!(size, BodySize::Sized(length) if length <= MAX_BUFFERED_BODY_BYTES) {
            return Ok(ServerAnswer {
                head,
                body: AnswerBody::Streamed(body),
            });
        }
        let whole = read_whole(&mut body).await;
        let whole = whole.map_err(|error| AttemptFailure {
            kind: error.kind,
            sent: true,
            reused,
        })?;
        Ok(ServerAnswer {
            head,
            body: AnswerBody::Whole(whole),
        })
    }
}

/// How far an attempt has come; read when its time runs out.
#[derive(Clone, Copy, Debug, Default)]
struct AttemptStage {
    /// Whether any byte may have left.
    sent: bool,
    /// Whether the connection had carried an earlier request.
    reused: bool,
}

impl AttemptStage {
    /// The failure of an attempt whose time has run out.
    const fn timed_out(self) -> AttemptFailure {
        let Self { sent, reused } = self;
        let kind = if sent {
            FailureKind::AnswerTimeout
        } else {
            FailureKind::ConnectFailed
        };
        AttemptFailure { kind, sent, reused }
    }
}

impl ServerTransport for HttpTransport {
    type Body = RelayBody;

    async fn attempt(
        &self,
        server: ServerId,
        request: &RelayRequest,
        plan: AttemptPlan,
    ) -> Result<ServerAnswer<RelayBody>, AttemptFailure> {
        let limit: Duration = plan.answer_deadline.since(BootClock.now());
        if limit.is_zero() {
            return Err(AttemptFailure::unsent(FailureKind::DeadlinePassed));
        }
        let stage = Cell::new(AttemptStage::default());
        let answer = timeout(limit, self.exchange(server, request, plan, &stage)).await;
        let answer = answer.unwrap_or_else(|_| Err(stage.get().timed_out()));
        if answer
            .as_ref()
            .is_err_and(AttemptFailure::suggests_stale_connection)
        {
            self.pool.discard_idle(server.address);
        }
        answer
    }
}

/// The size that a head announces.
pub fn announced_size(head: &ResponseHead, has_body: bool) -> BodySize {
    if !has_body {
        return BodySize::Sized(0);
    }
    let length = head.headers.get(actix_http::header::CONTENT_LENGTH);
    let length = length
        .and_then(|value| value.to_str().ok())
        .and_then(|text| text.parse().ok());
    length.map_or(BodySize::Stream, BodySize::Sized)
}

/// Reads a body to its end.
///
/// # Errors
///
/// Fails when the body ends early.
pub async fn read_whole<B>(body: &mut B) -> Result<Bytes, B::Error>
where
    B: MessageBody + Unpin,
{
    let mut body = pin!(body);
    let mut whole = BytesMut::new();
    let mut first: Option<Bytes> = None;
    while let Some(chunk) = poll_fn(|context| body.as_mut().poll_next(context)).await {
        let chunk = chunk?;
        match first.take() {
            None if whole.is_empty() => first = Some(chunk),
            None => whole.extend_from_slice(&chunk),
            Some(earlier) => {
                whole.extend_from_slice(&earlier);
                whole.extend_from_slice(&chunk);
            }
        }
    }
    Ok(first.unwrap_or_else(|| whole.freeze()))
}
