//! Makes one attempt of a request at one server, behind a trait that tests replace.
//!
//! [`HttpTransport`] takes a connection from the pool or opens one, enforces the attempt's deadline
//! and reports for each failure whether the request was sent and whether the connection was reused.

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
    AttemptFailure, BodyError, BodyTimeout, ConnectionPool, ConnectionReuse, FailureKind,
    RelayBody, RelayRequest, ServerConnection,
};

/// Longest body that is read completely before its head goes to the caller.
///
/// If such a body is cut short, the attempt fails and may be retried. A longer body, or one of
/// unknown length, is streamed; if it is cut short, the transfer to the caller is aborted.
const MAX_BUFFERED_BODY_BYTES: usize = 64 * 1024;

/// Settings of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptPlan {
    /// Whether a new connection must be opened instead of reusing an idle one.
    pub new_connection: bool,
    /// Time by which the head of the answer must arrive, and also its body if it is short enough to
    /// be read completely first.
    pub answer_deadline: Moment,
    /// Retries of the call so far, sent in `ggs-attempt`; those of earlier gates count as one.
    pub retry_count: u32,
}

/// An answer whose head has arrived.
#[derive(Debug)]
pub struct ServerAnswer<B> {
    /// Status and headers.
    pub head: ResponseHead,
    /// The body, complete or still to be read.
    pub body: AnswerBody<B>,
}

/// The body of an answer.
#[derive(Debug)]
pub enum AnswerBody<B> {
    /// The complete body.
    Whole(Bytes),
    /// A body that is still to be read from the server.
    Streamed(B),
}

/// Makes single attempts of requests at servers.
pub trait ServerTransport {
    /// Body that is still to be read from the server.
    type Body: MessageBody<Error = crate::BodyError> + Unpin;

    /// Sends the request once and returns the answer as soon as its head is complete; a short body
    /// may be read first.
    fn attempt(
        &self,
        server: ServerId,
        request: &RelayRequest,
        plan: AttemptPlan,
    ) -> impl Future<Output = Result<ServerAnswer<Self::Body>, AttemptFailure>>;
}

/// Makes attempts over HTTP/1.1.
#[derive(Debug)]
pub struct HttpTransport {
    pool: ConnectionPool,
    config: ServiceConfig,
    next_request_id: Cell<u64>,
}

impl HttpTransport {
    /// Creates a transport that takes its connections from `pool`.
    pub fn new(pool: ConnectionPool) -> Self {
        Self {
            pool,
            config: ServiceConfig::default(),
            next_request_id: Cell::new(1),
        }
    }

    /// The pool of the transport's connections.
    pub fn pool(&self) -> &ConnectionPool {
        &self.pool
    }

    /// Makes the attempt without enforcing `plan.answer_deadline`.
    async fn exchange(
        &self,
        server: ServerId,
        request: &RelayRequest,
        plan: AttemptPlan,
        stage: &Cell<AttemptStage>,
    ) -> Result<ServerAnswer<RelayBody>, AttemptFailure> {
        let now = BootClock.now();
        let reuse = if plan.new_connection {
            ConnectionReuse::Never
        } else {
            ConnectionReuse::Any
        };
        let reserved = self.pool.reserve(server.address, reuse, now);
        let (permit, idle) = reserved.ok_or(AttemptFailure::unsent(FailureKind::NoConnection))?;
        let mut connection = match idle {
            Some(connection) => connection,
            None => ServerConnection::open(server.address, self.pool.options(), &self.config)
                .await
                .map_err(|_| AttemptFailure::unsent(FailureKind::ConnectFailed))?,
        };
        // Check again: the process may have been suspended since the last check of the deadline.
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
        if !matches!(size, BodySize::Sized(length) if length <= MAX_BUFFERED_BODY_BYTES as u64) {
            return Ok(ServerAnswer {
                head,
                body: AnswerBody::Streamed(body),
            });
        }
        let whole = read_whole(&mut body, MAX_BUFFERED_BODY_BYTES).await;
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

/// How far an attempt got, for the failure that is reported when it times out.
#[derive(Clone, Copy, Debug, Default)]
struct AttemptStage {
    /// Whether any byte of the request may have been sent.
    sent: bool,
    /// Whether the connection had carried an earlier request.
    reused: bool,
}

impl AttemptStage {
    /// The failure of an attempt that timed out at this stage.
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

/// The body size that a head announces; a stream if it gives no length, or an invalid one.
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

/// Reads a body of at most `limit` bytes to its end; a body of a single chunk is not copied.
///
/// # Errors
///
/// Returns the body's error if it ends early, and [`FailureKind::BadAnswer`] if it is longer.
pub async fn read_whole<B>(body: &mut B, limit: usize) -> Result<Bytes, BodyError>
where
    B: MessageBody<Error = BodyError> + Unpin,
{
    let expected = match body.size() {
        BodySize::Sized(length) => length.min(limit as u64) as usize,
        BodySize::None | BodySize::Stream => 0,
    };
    let mut body = pin!(body);
    let mut length = 0;
    let mut whole = BytesMut::new();
    let mut first: Option<Bytes> = None;
    while let Some(chunk) = poll_fn(|context| body.as_mut().poll_next(context)).await {
        let chunk = chunk?;
        length += chunk.len();
        if length > limit {
            let kind = FailureKind::BadAnswer;
            return Err(BodyError { kind });
        }
        match first.take() {
            None if whole.is_empty() => first = Some(chunk),
            None => whole.extend_from_slice(&chunk),
            Some(earlier) => {
                whole.reserve(expected.max(length));
                whole.extend_from_slice(&earlier);
                whole.extend_from_slice(&chunk);
            }
        }
    }
    Ok(first.unwrap_or_else(|| whole.freeze()))
}
