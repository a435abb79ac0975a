//! Sends requests through other gates while this one does not reach the servers, and sends those of
//! other gates to servers.
//!
//! The gate that takes a request does all that the first one would: it places and retries it, within
//! the time and the attempts that are left, and passes on the answer of the server. It sends it to
//! no third gate. It declines at once what it cannot send, and says then that the request has not
//! run. The first gate forgets nothing of its part: the caller's connection, the deadline and what the
//! caller is told. If it drops the request because the caller has left, its connection to the other
//! gate closes, and that one drops it too.

use std::cell::OnceCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{HeaderMap, HeaderValue, RETRY_AFTER};
use actix_http::{Request, Response, StatusCode};
use ggs_member::PeerLiveness;
use ggs_model::{Clock, Moment, ServiceName};
use ggs_place::ListedServer;
use ggs_reach::{DetourGate, ReachState};
use ggs_relay::{ConnectionReuse, ServerConnection};
use strum::{Display, IntoStaticStr};
use tokio::time::timeout;

use crate::access::{CallerAccess, GateClaim};
use crate::answer::{FinalFailure, LocalAnswer};
use crate::attempt::{EdgeAnswer, SendProgress, receive_answer, start_exchange};
use crate::body::EdgeBody;
use crate::core::EdgeCore;
use crate::detour_wire::{
    AnsweringServer, DECLINED_HEADER, DETOUR_HEADER, DetourBody, SERVER_HEADER,
};
use crate::ports::EdgeWire;
use crate::request::{EdgeRequest, RequestOrigin, read_body};
use crate::serve::{forward_answer, read_host, relay};
use crate::service::ServiceState;
use crate::span::RequestSpan;

/// Most gates that are asked to take one request.
const MAX_GATE_COUNT: usize = 4;

/// Most requests of other gates that are in flight at a gate.
const MAX_IN_FLIGHT_COUNT: usize = 256;

/// Why a gate declines a request of another one. It has not been sent to any server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum DeclineCause {
    /// It does not reach the servers either.
    Unreachable,
    /// It stops, or does not know the servers yet.
    NotReady,
    /// Its own configuration does not allow the request, or it does not know the other gate.
    NotAllowed,
    /// It has as many requests of other gates as it may have, or no memory for the body.
    Full,
    /// What the other gate says of the request cannot be decoded.
    Malformed,
}

/// How a request that was sent to another gate ended.
#[derive(Debug)]
enum DetourOutcome {
    /// There is an answer to forward.
    Answered(Box<EdgeAnswer>),
    /// The gate refuses it in place of a server, and it has not run; the caller may retry after this
    /// time.
    Refused(Duration),
    /// The gate does not take it.
    Declined,
    /// No connection to the gate could be opened.
    NotOpened,
    /// It may have run.
    Lost,
}

impl DetourOutcome {
    /// Name of the outcome in metrics.
    const fn name(&self) -> &'static str {
        match self {
            Self::Answered(_) => "answered",
            Self::Refused(_) => "refused",
            Self::Declined => "declined",
            Self::NotOpened => "not-opened",
            Self::Lost => "lost",
        }
    }
}

/// The final answer of a request.
pub(crate) type RequestEnd = Result<Response<EdgeBody>, FinalFailure>;

impl<W, S> EdgeCore<W, S> {
    /// Other gates that could take a request: those of the data centre whose leases are current, and
    /// the known ones of others.
    fn detour_gates(&self) -> Vec<DetourGate> {
        let settings = self.settings();
        let (gates, contacts) = (self.gates.borrow(), self.contacts.borrow());
        let near = gates.views(self.clock.now());
        let near = near.filter(|view| {
            let near = view.record.data_centre == settings.data_centre;
            near && view.liveness == PeerLiveness::Live
        });
        let near = near.map(|view| DetourGate {
            address: view.record.peers,
            data_centre: view.record.data_centre.clone(),
            near: true,
            capacity: contacts.capacity_of(view.record.peers),
        });
        near.chain(contacts.far_gates(&settings.data_centre))
            .collect()
    }

    /// Chooses a gate to take a request of a service.
    fn choose_gate(&self, service: &ServiceState, tried: &[SocketAddr]) -> Option<DetourGate> {
        let gates = self.detour_gates();
        let mut detours = service.detours.borrow_mut();
        detours.choose(&gates, tried, self.clock.now()).cloned()
    }

    /// Remembers what an outcome says of the gate.
    fn note_detour(&self, service: &ServiceState, gate: &DetourGate, outcome: &DetourOutcome) {
        let mut detours = service.detours.borrow_mut();
        let now = self.clock.now();
        match outcome {
            DetourOutcome::Answered(_) | DetourOutcome::Refused(_) => {
                detours.record_accepted(gate);
            }
            DetourOutcome::Declined => detours.record_declined(gate, now),
            DetourOutcome::NotOpened | DetourOutcome::Lost => {
                detours.record_unanswered(gate, now);
                // The cause has often broken the other connections to it too.
                self.gate_pool.discard_idle(gate.address);
            }
        }
        self.metrics.count_detour(outcome.name());
    }
}

impl<W, S> EdgeCore<W, S>
where
    W: EdgeWire,
{
    /// Removes the server from the headers of another gate's answer, and records what the server said
    /// of itself. The caller got its answer from this gate, which is bound by that.
    fn take_answering_server(&self, headers: &mut HeaderMap) {
        let value = headers.remove(SERVER_HEADER).next();
        let server = value.and_then(|value| AnsweringServer::try_from(&value).ok());
        if let Some(server) = server {
            self.observe_leaving(&server.instance, server.started_ms, headers);
        }
    }
}

/// Names the server that gave an answer to a request of another gate.
pub(crate) fn add_answering_server(headers: &mut HeaderMap, server: &ListedServer) {
    if let Ok(value) = HeaderValue::try_from(&AnsweringServer::from(server)) {
        headers.insert(SERVER_HEADER, value);
    }
}

/// How another gate treated a request.
#[derive(Debug)]
pub(crate) enum GateEnd {
    /// It has ended.
    Ended(RequestEnd),
    /// The gate does not take it, or could not be reached, and it has not run.
    Declined,
}

/// Sends a request of a caller through other gates; `None` if none takes it. The request has not run
/// then.
///
/// `attempts` is the number of servers that it may still reach.
pub(crate) async fn send_through_gates<W, S>(
    core: &EdgeCore<W, S>,
    service: &ServiceState,
    request: &EdgeRequest,
    attempts: u32,
) -> Option<RequestEnd>
where
    W: EdgeWire,
{
    let mut tried = Vec::new();
    while tried.len() < MAX_GATE_COUNT {
        let gate = core.choose_gate(service, &tried)?;
        tried.push(gate.address);
        let end = send_through_gate(core, &gate, service, request, attempts).await;
        if let GateEnd::Ended(end) = end {
            return Some(end);
        }
    }
    None
}

/// Sends a request in quarantine through the gate at an address, which tries it at one server.
pub(crate) async fn send_to_trial_gate<W, S>(
    core: &EdgeCore<W, S>,
    address: SocketAddr,
    service: &ServiceState,
    request: &EdgeRequest,
) -> GateEnd
where
    W: EdgeWire,
{
    let gates = core.detour_gates();
    let gate = gates.iter().find(|gate| gate.address == address);
    let Some(gate) = gate else {
        return GateEnd::Declined;
    };
    send_through_gate(core, gate, service, request, 1).await
}

/// Sends a request of a caller through a gate.
async fn send_through_gate<W, S>(
    core: &EdgeCore<W, S>,
    gate: &DetourGate,
    service: &ServiceState,
    request: &EdgeRequest,
    attempts: u32,
) -> GateEnd
where
    W: EdgeWire,
{
    let progress = SendProgress::default();
    let time_left = request.answer_by.since(core.clock.now());
    let send = send_to_gate(core, gate.address, service, request, attempts, &progress);
    let outcome = match timeout(time_left, send).await {
        Ok(outcome) => outcome,
        Err(_) if progress.may_have_sent() => DetourOutcome::Lost,
        Err(_) => DetourOutcome::NotOpened,
    };
    core.note_detour(service, gate, &outcome);
    let is_late = core.clock.now() >= request.answer_by;
    let failure = |answer, retry_after| {
        GateEnd::Ended(Err(FinalFailure {
            answer,
            retry_after,
        }))
    };
    match outcome {
        DetourOutcome::Answered(answer) => GateEnd::Ended(forward_answer(*answer, None, request)),
        DetourOutcome::Refused(retry_after) => failure(LocalAnswer::NoCapacity, retry_after),
        DetourOutcome::Lost if is_late => failure(LocalAnswer::Late, Duration::ZERO),
        DetourOutcome::Lost => failure(LocalAnswer::ServerFailed, Duration::ZERO),
        _ if is_late => failure(LocalAnswer::LateUnsent, Duration::ZERO),
        DetourOutcome::Declined | DetourOutcome::NotOpened => GateEnd::Declined,
    }
}

/// Sends a request to another gate and reads its answer; the caller of this function limits the time.
async fn send_to_gate<W, S>(
    core: &EdgeCore<W, S>,
    gate: SocketAddr,
    service: &ServiceState,
    request: &EdgeRequest,
    attempts: u32,
    progress: &SendProgress,
) -> DetourOutcome
where
    W: EdgeWire,
{
    let now = core.clock.now();
    let reservation = core.gate_pool.reserve(gate, ConnectionReuse::Any, now);
    let Some((permit, idle)) = reservation else {
        return DetourOutcome::Declined;
    };
    let options = core.gate_pool.options();
    let connection = match idle {
        Some(connection) => connection,
        None => match ServerConnection::open(gate, options, &core.codec).await {
            Ok(connection) => connection,
            Err(_) => return DetourOutcome::NotOpened,
        },
    };
    let body = DetourBody::new(request, &service.name, attempts, core.clock.now());
    let Ok(header) = HeaderValue::try_from(&body) else {
        return DetourOutcome::Declined;
    };
    progress.set_sent();
    let names = core.wire.headers();
    let head = request.head_for_gate(header);
    let Ok((connection, head)) = start_exchange(connection, head, request, names).await else {
        return DetourOutcome::Lost;
    };
    if !head.headers.contains_key(&names.not_run) {
        let mut head = head;
        core.take_answering_server(&mut head.headers);
        let answer = receive_answer(core, connection, permit, head, request).await;
        return answer.map_or(DetourOutcome::Lost, |answer| {
            DetourOutcome::Answered(Box::new(answer))
        });
    }
    if let Ok(connection) = connection.skip_body().await
        && connection.is_reusable()
        && !connection.has_unread_bytes()
    {
        permit.put_back(connection, core.clock.now());
    }
    if head.headers.contains_key(DECLINED_HEADER) {
        return DetourOutcome::Declined;
    }
    let retry_after = head.headers.get(RETRY_AFTER);
    let retry_after = retry_after.and_then(|value| {
        let seconds = value.to_str().ok()?.parse().ok()?;
        Duration::try_from_secs_f64(seconds).ok()
    });
    DetourOutcome::Refused(retry_after.unwrap_or_default())
}

/// Counts a request of another gate until it ends.
struct DetourGuard<W, S> {
    core: Rc<EdgeCore<W, S>>,
}

impl<W, S> DetourGuard<W, S> {
    /// Starts to count a request.
    fn start(core: &Rc<EdgeCore<W, S>>) -> Self {
        core.detours_in_flight.set(core.detours_in_flight.get() + 1);
        Self {
            core: Rc::clone(core),
        }
    }
}

impl<W, S> Drop for DetourGuard<W, S> {
    fn drop(&mut self) {
        let count = &self.core.detours_in_flight;
        count.set(count.get() - 1);
    }
}

/// Answers a request of another gate, whose head had arrived at `arrived_at`.
pub(crate) async fn serve_gate<W, S>(
    core: &Rc<EdgeCore<W, S>>,
    mut request: Request,
    arrived_at: Moment,
) -> Response<EdgeBody>
where
    W: EdgeWire,
    S: 'static,
{
    let id = &core.wire.headers().request_id;
    let id = request.head().headers.get(id).cloned();
    let answer = match accept_request(core, &mut request, arrived_at).await {
        Ok((request, _guard)) => relay_for_gate(core, &request).await,
        Err(cause) => decline(core, cause),
    };
    // The other gate recognizes the answer by the id; answers of servers bear it already.
    with_request_id(core, answer, id)
}

/// Reads a request of another gate, unless it has to be declined.
async fn accept_request<W, S>(
    core: &Rc<EdgeCore<W, S>>,
    request: &mut Request,
    arrived_at: Moment,
) -> Result<(EdgeRequest, DetourGuard<W, S>), DeclineCause>
where
    W: EdgeWire,
{
    let header = request.head().headers.get(DETOUR_HEADER);
    let body = header.ok_or(DeclineCause::Malformed)?;
    let body = DetourBody::try_from(body).map_err(|_| DeclineCause::Malformed)?;
    if !core.is_ready() {
        return Err(DeclineCause::NotReady);
    }
    let service = core.service(&body.service().into());
    if core.reach_state(&service) >= ReachState::Silent || service.table.borrow().is_empty() {
        return Err(DeclineCause::Unreachable);
    }
    if core.detours_in_flight.get() >= MAX_IN_FLIGHT_COUNT {
        return Err(DeclineCause::Full);
    }
    let guard = DetourGuard::start(core);
    let limit = core.settings().body_bytes();
    let held = read_body(request, limit, &core.body_budget, body.answer_time()).await;
    let held = held.map_err(|_| DeclineCause::Full)?;
    // The check is that of the configuration in force once the body has been read.
    let access = check_access(core, request, &body, &service.name)?;
    let names = core.wire.headers();
    let read = EdgeRequest::new(
        request.head(),
        held,
        &body.route(),
        access,
        names,
        arrived_at,
    );
    let mut headers = read.headers;
    headers.remove(DETOUR_HEADER);
    let request = EdgeRequest {
        origin: RequestOrigin::Gate,
        caller: body.caller(),
        headers,
        deadline: arrived_at + body.deadline_time(),
        answer_by: arrived_at + body.answer_time(),
        digests: OnceCell::new(),
        ..read
    };
    Ok((request, guard))
}

/// Checks a request of another gate against the configuration in force here.
fn check_access<W, S>(
    core: &EdgeCore<W, S>,
    request: &Request,
    body: &DetourBody,
    service: &ServiceName,
) -> Result<CallerAccess, DeclineCause>
where
    W: EdgeWire,
{
    let routes = core.routes().ok_or(DeclineCause::NotReady)?;
    let host = read_host(request).map_err(|_| DeclineCause::Malformed)?;
    let head = request.head();
    let claim = GateClaim {
        service,
        key: body.key(),
        sender: head.peer_addr.map(|address| address.ip()),
    };
    let names = core.wire.headers();
    let target = (host.as_str(), request.path());
    let access = core.check_claim(&routes, &claim, target, &head.headers, names);
    access.ok_or(DeclineCause::NotAllowed)
}

/// Sends a request of another gate to servers. An answer of this gate itself says whether the request
/// has run, as that of a server does.
async fn relay_for_gate<W, S>(
    core: &Rc<EdgeCore<W, S>>,
    request: &EdgeRequest,
) -> Response<EdgeBody>
where
    W: EdgeWire,
    S: 'static,
{
    let Some(routes) = core.routes() else {
        return decline(core, DeclineCause::NotReady);
    };
    let span = RequestSpan::start(core, request);
    let end = relay(core, &routes, request, &span).await;
    let response = match end {
        Ok(response) => response,
        Err(failure) if failure.answer == LocalAnswer::Unreachable => {
            decline(core, DeclineCause::Unreachable)
        }
        Err(failure) => {
            let mut response = failure.response();
            if response.status() == StatusCode::SERVICE_UNAVAILABLE {
                mark_not_run(core, &mut response);
            }
            response
        }
    };
    span.end(response.status());
    response
}

/// The answer that declines a request of another gate.
fn decline<W, S>(core: &EdgeCore<W, S>, cause: DeclineCause) -> Response<EdgeBody>
where
    W: EdgeWire,
{
    let mut response = LocalAnswer::Unreachable.response(Duration::ZERO);
    mark_not_run(core, &mut response);
    let cause = HeaderValue::from_static(cause.into());
    response.headers_mut().insert(DECLINED_HEADER, cause);
    response
}

/// Says in an answer that the request has not run.
fn mark_not_run<W, S>(core: &EdgeCore<W, S>, response: &mut Response<EdgeBody>)
where
    W: EdgeWire,
{
    let name = core.wire.headers().not_run.clone();
    response
        .headers_mut()
        .insert(name, HeaderValue::from_static("1"));
}

/// The answer with the id of its request.
fn with_request_id<W, S>(
    core: &EdgeCore<W, S>,
    mut response: Response<EdgeBody>,
    id: Option<HeaderValue>,
) -> Response<EdgeBody>
where
    W: EdgeWire,
{
    if let Some(id) = id {
        let name = core.wire.headers().request_id.clone();
        response.headers_mut().insert(name, id);
    }
    response
}
