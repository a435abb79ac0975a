//! Sends a request to one server and checks that the answer can be forwarded.
//!
//! A failure says whether the request may have run, which decides whether it may be sent again.
//! An answer that is cut short, breaks the protocol or belongs to another request is a failure.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BodySize, MessageBody};
use actix_http::header::CONTENT_ENCODING;
use actix_http::{Method, RequestHead, ResponseHead, StatusCode};
use bytes::Bytes;
use ggs_limit::{ByteBudget, ByteLease};
use ggs_model::{BootClock, Clock, RunVerdict};
use ggs_place::{ListedServer, SendOutcome, ServerKey};
use ggs_reach::ReachEvent;
use ggs_relay::{
    AnswerFraming, BodyError, ConnectionPermit, ConnectionReuse, FailureKind, RelayBody,
    ServerConnection, announced_size, read_whole,
};
use ggs_route::RepeatRule;

use crate::core::EdgeCore;
use crate::ports::{EdgeWire, WireHeaders};
use crate::request::EdgeRequest;
use crate::service::ServiceState;

/// Longest body that is read whole before the answer is forwarded. If such a body is cut short, the
/// send has failed and may be retried; longer bodies are streamed.
const MAX_BUFFERED_BODY_BYTES: u64 = 1 << 20;

/// Longest close-delimited body, which has neither a length nor chunks, that is read whole before
/// the answer is forwarded. Longer ones are streamed: they may never end.
const MAX_CLOSE_DELIMITED_BODY_BYTES: usize = 64 << 10;

/// Time for which a connection must have been idle before it is reused for a request that is not
/// idempotent. Bytes that a server sends behind its answer by mistake arrive within it, even if they
/// wait for the acknowledgement of the answer, and such a request could not be sent again.
const MIN_REST: Duration = Duration::from_millis(100);

/// Most late answers to earlier requests that are skipped on one connection.
const MAX_LATE_ANSWERS_COUNT: u32 = 3;

/// An answer of a server.
#[derive(Debug)]
pub(crate) struct EdgeAnswer {
    /// Status and headers.
    pub(crate) head: ResponseHead,
    /// The body.
    pub(crate) body: AnswerBytes,
}

/// The body of a server's answer.
#[derive(Debug)]
pub(crate) enum AnswerBytes {
    /// The whole body, already read, and the memory that it takes; `None` if it is empty.
    Whole(Bytes, Option<ByteLease>),
    /// A body that is still being received.
    Streamed(Box<RelayBody>),
}

impl AnswerBytes {
    /// The length in bytes; zero if it is not known.
    pub(crate) fn length(&self) -> u64 {
        match self {
            Self::Whole(bytes, _) => bytes.len() as u64,
            Self::Streamed(body) => match body.size() {
                BodySize::Sized(length) => length,
                BodySize::None | BodySize::Stream => 0,
            },
        }
    }
}

/// Failure of one send: there is no answer that can be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SendFailure {
    /// What went wrong.
    pub(crate) kind: FailureKind,
    /// Whether the request may have run.
    pub(crate) verdict: RunVerdict,
    /// Whether the request reached the server or may have reached it.
    pub(crate) arrived: bool,
}

impl SendFailure {
    /// A failure before anything was sent.
    const fn unsent(kind: FailureKind) -> Self {
        Self {
            kind,
            verdict: RunVerdict::NotRun,
            arrived: false,
        }
    }

    /// A failure after which the request may have run.
    const fn sent(kind: FailureKind) -> Self {
        Self {
            kind,
            verdict: RunVerdict::Unknown,
            arrived: true,
        }
    }

    /// A refusal by the server, which did not run the request.
    const fn refused() -> Self {
        Self {
            kind: FailureKind::Refused,
            verdict: RunVerdict::NotRun,
            arrived: true,
        }
    }

    /// The outcome that is recorded for the server.
    const fn outcome(self) -> SendOutcome {
        match self.kind {
            FailureKind::ConnectFailed => SendOutcome::Unreachable,
            FailureKind::NoConnection => SendOutcome::Abandoned,
            FailureKind::Refused => SendOutcome::Refused,
            _ => SendOutcome::Failed,
        }
    }
}

/// Counts a send as in flight at its server until it is dropped, then records the outcome. The
/// outcome is [`SendOutcome::Abandoned`] unless another is set, as when the caller disconnects.
#[derive(Debug)]
pub(crate) struct SendGuard {
    service: Rc<ServiceState>,
    key: ServerKey,
    server: ListedServer,
    outcome: Cell<SendOutcome>,
}

impl SendGuard {
    /// Starts to count a send.
    fn start(service: &Rc<ServiceState>, key: ServerKey, server: &ListedServer) -> Self {
        service.table.borrow_mut().start(key, BootClock.now());
        Self {
            service: Rc::clone(service),
            key,
            server: server.clone(),
            outcome: Cell::new(SendOutcome::Abandoned),
        }
    }

    /// The server, as it was listed when the request was sent.
    pub(crate) const fn server(&self) -> &ListedServer {
        &self.server
    }

    /// Sets the outcome to record on drop.
    pub(crate) fn set_outcome(&self, outcome: SendOutcome) {
        self.outcome.set(outcome);
    }
}

impl Drop for SendGuard {
    fn drop(&mut self) {
        let now = BootClock.now();
        let mut table = self.service.table.borrow_mut();
        table.end(self.key, self.outcome.get(), now);
    }
}

/// Progress of a send, kept outside its future so that it can still be read after a timeout has
/// dropped the future.
#[derive(Debug, Default)]
pub(crate) struct SendProgress {
    may_have_sent: Cell<bool>,
}

impl SendProgress {
    /// Whether any byte of the request may have been sent.
    pub(crate) fn may_have_sent(&self) -> bool {
        self.may_have_sent.get()
    }

    /// The failure of a send that was given up because there was no answer in time.
    pub(crate) fn timeout_failure(&self) -> SendFailure {
        if self.may_have_sent() {
            SendFailure::sent(FailureKind::AnswerTimeout)
        } else {
            SendFailure::unsent(FailureKind::AnswerTimeout)
        }
    }

    /// Records that bytes of the request are sent from now on.
    pub(crate) fn set_sent(&self) {
        self.may_have_sent.set(true);
    }
}

/// Sends a request to one server and reads its answer.
pub(crate) async fn send<W, S>(
    core: &EdgeCore<W, S>,
    service: &Rc<ServiceState>,
    key: ServerKey,
    request: &EdgeRequest,
    progress: &SendProgress,
) -> Result<(EdgeAnswer, SendGuard), SendFailure>
where
    W: EdgeWire,
{
    let server = service.table.borrow().server(key).cloned();
    let server = server.ok_or(SendFailure::unsent(FailureKind::NoServer))?;
    let guard = SendGuard::start(service, key, &server);
    let sent_at = core.clock.now();
    core.load_updates.add_send(&server.instance);
    let answer = exchange(core, service, key, &server, request, progress).await;
    match answer {
        Ok(answer) => {
            let failed = answer.head.status.is_server_error();
            let outcome = if failed {
                SendOutcome::Failed
            } else {
                SendOutcome::Answered
            };
            guard.set_outcome(outcome);
            core.metrics.count_send(service.name.as_str(), outcome);
            Ok((answer, guard))
        }
        Err(failure) => {
            guard.set_outcome(failure.outcome());
            core.metrics
                .count_send(service.name.as_str(), failure.outcome());
            match failure.kind {
                // The cause has often broken the other connections to this server too.
                FailureKind::ConnectionLost => {
                    core.pool.discard_idle(server.address);
                    core.check_crash(&server, request, sent_at).await;
                }
                FailureKind::BadAnswer => core.pool.distrust(server.address, core.clock.now()),
                _ => {}
            }
            Err(failure)
        }
    }
}

/// Sends a request to a server and reads the answer; the caller of this function limits the time.
async fn exchange<W, S>(
    core: &EdgeCore<W, S>,
    service: &ServiceState,
    key: ServerKey,
    server: &ListedServer,
    request: &EdgeRequest,
    progress: &SendProgress,
) -> Result<EdgeAnswer, SendFailure>
where
    W: EdgeWire,
{
    let names = core.wire.headers();
    let reuse = match request.route.rule().repeat {
        RepeatRule::Idempotent => ConnectionReuse::Any,
        RepeatRule::AtMostOnce => ConnectionReuse::Rested(MIN_REST),
    };
    let reservation = core.pool.reserve(server.address, reuse, core.clock.now());
    let (permit, idle) = reservation.ok_or(SendFailure::unsent(FailureKind::NoConnection))?;
    let connection = match idle {
        Some(connection) => connection,
        None => core
            .open_connection(service, server.address)
            .await
            .map_err(|_| SendFailure::unsent(FailureKind::ConnectFailed))?,
    };
    let now = core.clock.now();
    if request.answer_by <= now {
        return Err(SendFailure::unsent(FailureKind::DeadlinePassed));
    }
    progress.set_sent();
    let head = request.head_for(server, names, now);
    let started = start_exchange(connection, head, request, names).await;
    let event = match &started {
        Err(failure) if failure.kind == FailureKind::ConnectionLost => ReachEvent::NotAnswered,
        _ => ReachEvent::Answered,
    };
    core.note_reach(service, server.address, event);
    let (connection, head) = started?;
    if let Some(sample) = core.wire.read_load(&head.headers) {
        core.record_load_report(service, key, sample);
    }
    if head.status != StatusCode::MISDIRECTED_REQUEST {
        if let Some(left) = core.wire.read_cold(&head.headers) {
            core.note_cold(service, key, left);
        }
        core.observe_answer_limit(&server.instance, &head.headers);
        core.observe_leaving(&server.instance, server.started_ms, &head.headers);
        core.observe_rest(service, key, server, &head);
    }
    let framing = AnswerFraming::of(&head, &request.method);
    let refused = head.headers.contains_key(&names.not_run);
    if let Some(failure) = check_answer(&head, framing, names) {
        if refused && framing == AnswerFraming::Bounded {
            // The server keeps the connection open after a refusal, so it can be reused.
            if let Ok(connection) = connection.skip_body().await
                && connection.is_reusable()
                && !connection.has_unread_bytes()
            {
                permit.put_back(connection, core.clock.now());
            }
        }
        return Err(failure);
    }
    receive_answer(core, connection, permit, head, request).await
}

/// Sends a request on a connection, and reads the head of its answer.
pub(crate) async fn start_exchange(
    mut connection: ServerConnection,
    head: RequestHead,
    request: &EdgeRequest,
    names: &WireHeaders,
) -> Result<(ServerConnection, ResponseHead), SendFailure> {
    connection
        .send(head, &request.body.bytes)
        .await
        .map_err(|_| SendFailure::sent(FailureKind::ConnectionLost))?;
    read_matching_head(connection, request, names).await
}

/// Reads the body of an answer, or as much of it as is needed before it can be forwarded.
pub(crate) async fn receive_answer<W, S>(
    core: &EdgeCore<W, S>,
    connection: ServerConnection,
    permit: ConnectionPermit,
    head: ResponseHead,
    request: &EdgeRequest,
) -> Result<EdgeAnswer, SendFailure> {
    if AnswerFraming::of(&head, &request.method) == AnswerFraming::UntilClose {
        let limit = request.deadline.since(core.clock.now());
        let body = RelayBody::until_close(connection, permit, limit);
        let body = read_close_delimited(&core.body_budget, body).await;
        let body = body.map_err(|error| SendFailure::sent(error.kind))?;
        return Ok(EdgeAnswer { head, body });
    }
    if request.method == Method::HEAD || !connection.has_body() {
        if connection.is_reusable() && !connection.has_unread_bytes() {
            permit.put_back(connection, core.clock.now());
        }
        let body = AnswerBytes::Whole(Bytes::new(), None);
        return Ok(EdgeAnswer { head, body });
    }
    let size = announced_size(&head, true);
    let reusable = connection.is_reusable();
    // A streamed body may last until the caller gives up, even if that is after `answer_by`.
    let limit = request.deadline.since(core.clock.now());
    let mut body = RelayBody::new(connection, permit, reusable, size, limit, None);
    let length = match size {
        BodySize::Sized(length) if length <= MAX_BUFFERED_BODY_BYTES => Some(length as usize),
        _ => None,
    };
    // An answer that does not fit into memory is streamed: it is ready and must reach the caller.
    let lease = length.and_then(|length| core.body_budget.take(length));
    let Some(lease) = lease else {
        let body = AnswerBytes::Streamed(Box::new(body));
        return Ok(EdgeAnswer { head, body });
    };
    let whole = read_whole(&mut body, lease.bytes()).await;
    let whole = whole.map_err(|error| SendFailure::sent(error.kind))?;
    let body = AnswerBytes::Whole(whole, Some(lease));
    Ok(EdgeAnswer { head, body })
}

/// Reads a close-delimited body if it is short and fits into memory. Only the end of its connection
/// shows that it was not cut short, and a short one that was can then be retried.
async fn read_close_delimited(
    budget: &ByteBudget,
    mut body: RelayBody,
) -> Result<AnswerBytes, BodyError> {
    if let Some(lease) = budget.take(MAX_CLOSE_DELIMITED_BODY_BYTES)
        && let Some(bytes) = body.read_short(MAX_CLOSE_DELIMITED_BODY_BYTES).await?
    {
        return Ok(AnswerBytes::Whole(bytes, Some(lease)));
    }
    Ok(AnswerBytes::Streamed(Box::new(body)))
}

/// Reads the head of the answer to this request and skips late answers to earlier requests.
///
/// Servers repeat the request id in their answers.
async fn read_matching_head(
    mut connection: ServerConnection,
    request: &EdgeRequest,
    names: &WireHeaders,
) -> Result<(ServerConnection, ResponseHead), SendFailure> {
    // A server that refuses a request without reading it may leave out the id. On a connection that has
    // carried an earlier request, such a refusal may be that of the earlier one, written once more.
    let mut may_lack_id = !connection.is_reused();
    for _ in 0..=MAX_LATE_ANSWERS_COUNT {
        let head = connection.read_head().await;
        let head = head.map_err(SendFailure::sent)?;
        let echoed = head.headers.get(&names.request_id);
        if echoed.is_some() && echoed == request.id(names) {
            return Ok((connection, head));
        }
        let is_refusal = head.headers.contains_key(&names.not_run);
        if may_lack_id && echoed.is_none() && is_refusal {
            return Ok((connection, head));
        }
        if echoed.is_none() || AnswerFraming::of(&head, &request.method) != AnswerFraming::Bounded {
            return Err(SendFailure::sent(FailureKind::BadAnswer));
        }
        let skipped = connection.skip_body().await;
        connection = skipped.map_err(SendFailure::sent)?;
        may_lack_id = false;
    }
    Err(SendFailure::sent(FailureKind::BadAnswer))
}

/// The failure that an answer counts as, by its head; `None` if it can be forwarded.
fn check_answer(
    head: &ResponseHead,
    framing: AnswerFraming,
    names: &WireHeaders,
) -> Option<SendFailure> {
    if head.headers.contains_key(&names.not_run) {
        return Some(SendFailure::refused());
    }
    if head.status == StatusCode::MISDIRECTED_REQUEST {
        return Some(SendFailure::refused());
    }
    let bad = Some(SendFailure::sent(FailureKind::BadAnswer));
    if framing == AnswerFraming::Contradictory || head.status.is_informational() {
        return bad;
    }
    let lacks_seal = head.status.is_success() && !head.headers.contains_key(&names.seal);
    // Callers ask for bodies without an encoding, so an encoded body is a garbled one.
    if lacks_seal || head.headers.contains_key(CONTENT_ENCODING) {
        return bad;
    }
    None
}
