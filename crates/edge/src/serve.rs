//! Handles one request of a caller, from its head to the final answer.
//!
//! A request is read whole, so that it can be sent again. It is sent to one server after another
//! until a server answers, the deadline passes, or no further retry is allowed. A request that may
//! have run is retried only if its route is idempotent. The status of the final answer tells the
//! caller whether the request may have run.

use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{HOST, HeaderValue, WWW_AUTHENTICATE};
use actix_http::{ConnectionType, HttpMessage, Request, Response, StatusCode, Uri};
use ggs_model::{Clock, Moment, RunVerdict};
use ggs_place::{Placement, RoomGauge, ServerKey};
use ggs_quarantine::TrialEnd;
use ggs_reach::{ReachEvent, ReachState};
use ggs_relay::FailureKind;
use ggs_route::{ActiveRoute, RepeatRule, RouteTable};
use tokio::time::timeout;

use crate::access::CallerAccess;
use crate::answer::{FinalFailure, LocalAnswer};
use crate::attempt::{self, AnswerBytes, EdgeAnswer, SendFailure, SendGuard, SendProgress};
use crate::body::{EdgeBody, StreamedBody};
use crate::core::EdgeCore;
use crate::detour::{RequestEnd, add_answering_server, send_through_gates};
use crate::placement::place_request;
use crate::ports::EdgeWire;
use crate::quota::{self, ChargeTerms, QuotaCharge, QuotaRefusal};
use crate::request::{
    EdgeRequest, RequestFault, RequestOrigin, end_to_end_headers, read_body, requested_time,
};
use crate::service::ServiceState;
use crate::span::RequestSpan;
use crate::trial::{TrialGuard, TrialStart, spread_return, start_trial};

/// Most sends of one request, including those that did not reach a server. Only sends that reached a
/// server, or may have, count towards the `attempts` of the route.
const MAX_SENDS_COUNT: usize = 6;

/// Sends that end without a connection before a request goes through another gate, if one takes it.
const MAX_UNOPENED_COUNT: u32 = 2;

/// Time after which a caller may retry if the gate has no configuration yet, or no memory for the
/// body of its request: within it, some of the bodies that the gate holds have been sent.
const UNREAD_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Range of the random factor on the time after which callers may retry that a quota refused.
const QUOTA_RETURN_SPREAD: Range<f64> = 0.75..1.5;

/// Time after which a caller may retry if its request failed after a server was chosen for it.
const FAILED_RETRY_AFTER: Duration = Duration::from_millis(40);

/// Returns the final answer to a request whose head had arrived at `arrived_at`. While the gate
/// drains, the answer also closes the caller's connection.
pub(crate) async fn serve<W, S>(
    core: &Rc<EdgeCore<W, S>>,
    mut request: Request,
    arrived_at: Moment,
) -> Response<EdgeBody>
where
    W: EdgeWire,
    S: 'static,
{
    let mut response = match prepare(core, &mut request, arrived_at).await {
        Ok(Prepared {
            routes,
            request,
            charge,
        }) => {
            let span = RequestSpan::start(core, &request);
            charge.keep();
            let end = relay(core, &routes, &request, &span).await;
            if end
                .as_ref()
                .is_err_and(|failure| !failure.answer.may_have_run())
            {
                charge.refund();
            }
            let response = end.unwrap_or_else(FinalFailure::response);
            span.end(response.status());
            response
        }
        Err(failure) => {
            core.log_unread_request(&request, failure.answer);
            let mut response = failure.response();
            if response.status() == StatusCode::UNAUTHORIZED {
                let scheme = HeaderValue::from_static(core.wire.headers().key_scheme);
                response.headers_mut().insert(WWW_AUTHENTICATE, scheme);
            }
            response
        }
    };
    if core.is_draining() {
        let head = response.head_mut();
        head.set_connection_type(ConnectionType::Close);
    }
    response
}

/// Whether a request is known to be idempotent by its route.
pub(crate) fn is_idempotent<W, S>(core: &EdgeCore<W, S>, request: &Request) -> bool {
    let Some(routes) = core.routes() else {
        return false;
    };
    let host = read_host(request);
    let route = host
        .ok()
        .and_then(|host| routes.find(&host, request.path()).map(Rc::clone));
    route.is_some_and(|route| route.rule().repeat == RepeatRule::Idempotent)
}

/// A request that has been read, and is allowed to reach servers.
struct Prepared {
    routes: Rc<RouteTable>,
    request: EdgeRequest,
    charge: QuotaCharge,
}

/// Finds the route of a request, checks its key, charges it and reads its body; the error is the answer
/// to the caller.
async fn prepare<W, S>(
    core: &Rc<EdgeCore<W, S>>,
    request: &mut Request,
    arrived_at: Moment,
) -> Result<Prepared, FinalFailure>
where
    W: EdgeWire,
    S: 'static,
{
    let host = read_host(request)?;
    let routes = core.routes().ok_or(LocalAnswer::NoConfig)?;
    let route = routes.find(&host, request.path()).map(Rc::clone);
    let route = route.ok_or(LocalAnswer::NoRoute)?;
    let names = core.wire.headers();
    let access = check_caller(core, &routes, &route, request)?;
    let stated = requested_time(request.head(), &route, names);
    let terms = || {
        let work = core.expected_work(&route);
        ChargeTerms::new(&route, stated, work, arrived_at)
    };
    let mut charge = quota::charge(core, access.workspace(), terms).await?;
    let time = stated.min(route.rule().timeout);
    let time_left = (arrived_at + time).since(core.clock.now());
    let limit = routes.limits().body_bytes;
    let body = read_body(request, limit, &core.body_budget, time_left).await?;
    // Use the newest configuration: another may have come into force while the body was read.
    let routes = core.routes().unwrap_or(routes);
    let newest = routes.find(&host, request.path()).map(Rc::clone);
    let newest = newest.ok_or(LocalAnswer::NoRoute)?;
    let access = check_caller(core, &routes, &newest, request)?;
    if !charge.is_for(access.workspace()) {
        // The key has moved to another workspace.
        charge = quota::charge(core, access.workspace(), terms).await?;
    }
    let request = EdgeRequest::new(request.head(), body, &newest, access, names, arrived_at);
    Ok(Prepared {
        routes,
        request,
        charge,
    })
}

/// Checks the key of a caller.
fn check_caller<W, S>(
    core: &EdgeCore<W, S>,
    routes: &RouteTable,
    route: &ActiveRoute,
    request: &Request,
) -> Result<CallerAccess, LocalAnswer>
where
    W: EdgeWire,
{
    let names = core.wire.headers();
    let access = CallerAccess::of_caller(routes, route, request.headers(), names);
    access.map_err(|refusal| {
        core.metrics.count_unauthorized(refusal);
        core.log_unauthorized(request, route, refusal);
        LocalAnswer::NotAllowed
    })
}

impl From<LocalAnswer> for FinalFailure {
    /// The end of a request whose body has not been read, or not whole.
    fn from(answer: LocalAnswer) -> Self {
        Self {
            answer,
            retry_after: UNREAD_RETRY_AFTER,
        }
    }
}

impl From<RequestFault> for FinalFailure {
    fn from(fault: RequestFault) -> Self {
        LocalAnswer::from(fault).into()
    }
}

impl From<QuotaRefusal> for FinalFailure {
    fn from(refusal: QuotaRefusal) -> Self {
        let (answer, retry_after) = match refusal {
            QuotaRefusal::Exceeded(retry_after) => (LocalAnswer::QuotaExceeded, retry_after),
            QuotaRefusal::NoHolder => (LocalAnswer::QuotaUnknown, UNREAD_RETRY_AFTER),
        };
        Self {
            answer,
            // Refused callers should not all return at the same moment.
            retry_after: retry_after.mul_f64(rand::random_range(QUOTA_RETURN_SPREAD)),
        }
    }
}

impl From<RequestFault> for LocalAnswer {
    fn from(fault: RequestFault) -> Self {
        match fault {
            RequestFault::NoHost | RequestFault::BadBody => Self::BadRequest,
            RequestFault::BodyTooLong => Self::BodyTooLong,
            RequestFault::NoMemory => Self::NoMemory,
            RequestFault::SlowBody => Self::LateUnsent,
        }
    }
}

/// The host from the `Host` header or, without one, from the request target.
pub(crate) fn read_host(request: &Request) -> Result<String, RequestFault> {
    let host = request.headers().get(HOST);
    let host = host.and_then(|value| value.to_str().ok());
    let host = host.or_else(|| request.uri().host());
    host.map(str::to_owned).ok_or(RequestFault::NoHost)
}

/// What has happened to a request over all sends so far.
#[derive(Debug, Default)]
struct RelayState {
    /// Servers that were chosen for it, including those that it did not reach.
    tried: Vec<ServerKey>,
    /// Sends that reached a server or may have reached it.
    arrivals: u32,
    /// Sends that ended as no connection could be opened.
    unopened: u32,
    /// Whether it may have run at a server.
    may_have_run: bool,
    /// Whether other gates have declined to take it.
    gates_declined: bool,
    /// The last error answer of a server, which is forwarded if no retry brings another answer.
    error_answer: Option<(EdgeAnswer, SendGuard)>,
    /// Whether it gives way to no other request.
    insists: bool,
}

impl RelayState {
    /// The state of a request that has not been sent.
    fn new() -> Self {
        Self {
            insists: RoomGauge::insists(rand::random()),
            ..Self::default()
        }
    }

    /// Whether the request gives way to more urgent ones of its service.
    fn gives_way<W, S>(
        &self,
        core: &EdgeCore<W, S>,
        service: &ServiceState,
        request: &EdgeRequest,
    ) -> bool {
        !self.insists && core.leaves_slots(service, request)
    }
}

/// Sends a request to servers until there is a final answer, or through another gate if this one does
/// not reach the servers.
pub(crate) async fn relay<W, S>(
    core: &Rc<EdgeCore<W, S>>,
    routes: &RouteTable,
    request: &EdgeRequest,
    span: &RequestSpan<'_, W, S>,
) -> RequestEnd
where
    W: EdgeWire,
    S: 'static,
{
    let Some(name) = request.route.next_service() else {
        return Err(FinalFailure {
            answer: LocalAnswer::NoRoute,
            retry_after: Duration::ZERO,
        });
    };
    let service = core.service(name);
    if request.origin == RequestOrigin::Caller {
        service.retries.borrow_mut().record_request();
    }
    let rule = routes.service(name.as_str());
    let health_path = rule.and_then(|rule| rule.health_path.parse::<Uri>().ok());
    let mut state = RelayState::new();
    let trial = match start_trial(core, &service, request).await {
        TrialStart::Unneeded => None,
        TrialStart::Here(trial) => Some(trial),
        TrialStart::Ended(end) => return end,
        TrialStart::Held(left) => return hold_request(&service, request, state, left, span),
    };
    let quarantine_left = || match trial {
        Some(_) => None,
        None => core.quarantine_left(request),
    };
    loop {
        if let Some(left) = quarantine_left() {
            return hold_request(&service, request, state, left, span);
        }
        let reach = core.reach_state(&service);
        // A trial is made at the gate that was chosen for it.
        if trial.is_none()
            && (reach >= ReachState::Silent || state.unopened >= MAX_UNOPENED_COUNT)
            && let Some(end) = detour(core, &service, request, &mut state, span).await
        {
            return end;
        }
        if reach == ReachState::Cut {
            return end_unreached(core, &service, state, request, span);
        }
        let gives_way = state.gives_way(core, &service, request);
        let path = health_path.as_ref();
        let found = place_request(core, &service, request, path, &state.tried, gives_way).await;
        let placement = match found {
            Ok(placement) => placement,
            Err(refusal) => {
                core.note_no_slot(&service);
                span.log_refusal(&service, &refusal);
                return end_failed(state, request, NO_SERVER, refusal.retry_after);
            }
        };
        // It may have been quarantined while it was placed.
        if let Some(left) = quarantine_left() {
            return hold_request(&service, request, state, left, span);
        }
        if trial.is_none()
            && reach == ReachState::OpenConnections
            && !has_open_connection(core, &service, placement.server)
            && let Some(end) = detour(core, &service, request, &mut state, span).await
        {
            return end;
        }
        if !take_retry(core, &service, request, &state) {
            span.log_retry_denied(&service);
            return end_failed(state, request, NO_SERVER, FAILED_RETRY_AFTER);
        }
        span.set_server(&service, &placement);
        let sent = send_once(core, &service, request, &placement, trial.as_ref()).await;
        let failure = match sent {
            Ok((answer, guard)) => {
                core.note_taken(&service);
                if !should_retry_error(&answer, request, &state, &service) {
                    return forward_answer(answer, Some(guard), request);
                }
                state.error_answer = Some((answer, guard));
                SendFailure {
                    kind: FailureKind::ServerError,
                    verdict: RunVerdict::Ran,
                    arrived: true,
                }
            }
            Err(failure) => failure,
        };
        span.log_failed_send(&service, &placement, failure.kind);
        if failure.kind == FailureKind::Refused {
            core.note_turned_away(&service);
        }
        state.tried.push(placement.server);
        state.arrivals += u32::from(failure.arrived);
        state.unopened += u32::from(failure.kind == FailureKind::ConnectFailed);
        state.may_have_run |= failure.verdict != RunVerdict::NotRun;
        if core.clock.now() >= request.answer_by || failure.kind == FailureKind::AnswerTimeout {
            return end_failed(state, request, OUT_OF_TIME, FAILED_RETRY_AFTER);
        }
        let risks_server = state.arrivals > 0 && !core.may_risk_server(request);
        if !may_retry(&state, request) || risks_server {
            return end_failed(state, request, NO_SERVER, FAILED_RETRY_AFTER);
        }
    }
}

/// Sends a request to a server, until the time for its answer is over.
async fn send_once<W, S>(
    core: &Rc<EdgeCore<W, S>>,
    service: &Rc<ServiceState>,
    request: &EdgeRequest,
    placement: &Placement,
    trial: Option<&TrialGuard<W, S>>,
) -> Result<(EdgeAnswer, SendGuard), SendFailure>
where
    W: EdgeWire,
    S: 'static,
{
    let server = placement.server;
    let sent_at = core.clock.now();
    let progress = SendProgress::default();
    let set_trial_end = |end| {
        if let Some(trial) = trial {
            trial.set_end(end);
        }
    };
    // Holds if the caller leaves.
    set_trial_end(TrialEnd::Failed);
    let send = attempt::send(core, service, server, request, &progress);
    let result = timeout(request.answer_by.since(sent_at), send).await;
    let result = result.unwrap_or_else(|_| {
        note_answer_timeout(core, service, server, &progress);
        Err(progress.timeout_failure())
    });
    match &result {
        Ok((answer, _)) => {
            observe_work(core, service, request, placement, sent_at, answer);
            if !answer.head.status.is_server_error() {
                core.note_answered(request);
                set_trial_end(TrialEnd::Answered);
            }
        }
        Err(failure) if failure.verdict == RunVerdict::NotRun => set_trial_end(TrialEnd::Unsent),
        Err(_) => {}
    }
    result
}

/// The end of a request whose servers neither this gate nor another reaches.
fn end_unreached<W, S>(
    core: &EdgeCore<W, S>,
    service: &ServiceState,
    state: RelayState,
    request: &EdgeRequest,
    span: &RequestSpan<'_, W, S>,
) -> RequestEnd
where
    W: EdgeWire,
{
    span.log_unreachable(service);
    let answers = if state.arrivals == 0 {
        NOT_REACHED
    } else {
        NO_SERVER
    };
    end_failed(state, request, answers, core.trial_period(service))
}

/// The end of a request in quarantine that is not sent, `left` before its next trial.
fn hold_request<W, S>(
    service: &ServiceState,
    request: &EdgeRequest,
    state: RelayState,
    left: Duration,
    span: &RequestSpan<'_, W, S>,
) -> RequestEnd
where
    W: EdgeWire,
{
    let retry_after = spread_return(left);
    span.log_quarantine(service, retry_after);
    end_failed(state, request, QUARANTINED, retry_after)
}

/// Sends a request through other gates, if a caller sent it and it may still reach a server; `None` if
/// none takes it.
async fn detour<W, S>(
    core: &Rc<EdgeCore<W, S>>,
    service: &ServiceState,
    request: &EdgeRequest,
    state: &mut RelayState,
    span: &RequestSpan<'_, W, S>,
) -> Option<RequestEnd>
where
    W: EdgeWire,
{
    if request.origin == RequestOrigin::Gate || state.gates_declined || !may_retry(state, request) {
        return None;
    }
    if !take_retry(core, service, request, state) {
        return None;
    }
    let attempts = request.route.rule().attempts.max(1) - state.arrivals;
    span.clear_server();
    let end = send_through_gates(core, service, request, attempts).await;
    state.gates_declined = end.is_none();
    match end {
        // The request may have run at the other gate, or after an earlier send that this one does not
        // know of.
        Some(Err(failure)) if state.arrivals > 0 => {
            let mut state = std::mem::take(state);
            state.may_have_run |= failure.answer.may_have_run();
            let answers = if failure.answer.is_late() {
                OUT_OF_TIME
            } else {
                NO_SERVER
            };
            Some(end_failed(state, request, answers, failure.retry_after))
        }
        end => end,
    }
}

/// Takes a retry from the budget if the next send is one: if an earlier one reached a server or may
/// have. While the service lacks room, less urgent requests get only what the urgent leave.
fn take_retry<W, S>(
    core: &EdgeCore<W, S>,
    service: &ServiceState,
    request: &EdgeRequest,
    state: &RelayState,
) -> bool {
    if state.arrivals == 0 {
        return true;
    }
    let leaves_retries = core.leaves_retries(service, request);
    let mut retries = service.retries.borrow_mut();
    if leaves_retries {
        retries.take_surplus()
    } else {
        retries.take()
    }
}

/// Whether a connection to a server is open that can carry a request.
fn has_open_connection<W, S>(
    core: &EdgeCore<W, S>,
    service: &ServiceState,
    server: ServerKey,
) -> bool {
    let table = service.table.borrow();
    let server = table.server(server);
    server.is_some_and(|server| core.pool.has_idle(server.address, core.clock.now()))
}

/// Records that a server did not answer in time.
fn note_answer_timeout<W, S>(
    core: &EdgeCore<W, S>,
    service: &ServiceState,
    server: ServerKey,
    progress: &SendProgress,
) {
    let mut table = service.table.borrow_mut();
    table.note_timeout(server, core.clock.now());
    let Some(address) = table.server(server).map(|server| server.address) else {
        return;
    };
    drop(table);
    // If its connection has gone silent for good, the others often have too.
    core.pool.discard_idle(address);
    let event = if progress.may_have_sent() {
        ReachEvent::NotAnswered
    } else {
        ReachEvent::NotOpened
    };
    core.note_reach(service, address, event);
}

/// Whether a request may be sent to one more server, apart from the retry budget.
fn may_retry(state: &RelayState, request: &EdgeRequest) -> bool {
    let rule = request.route.rule();
    let repeatable = rule.repeat == RepeatRule::Idempotent || !state.may_have_run;
    repeatable && state.arrivals < rule.attempts.max(1) && state.tried.len() < MAX_SENDS_COUNT
}

/// Whether to retry a request at another server instead of forwarding this answer.
fn should_retry_error(
    answer: &EdgeAnswer,
    request: &EdgeRequest,
    state: &RelayState,
    service: &ServiceState,
) -> bool {
    let rule = request.route.rule();
    // `arrivals` does not count the send that brought this answer yet.
    let retry_allowed =
        state.arrivals + 1 < rule.attempts.max(1) && service.retries.borrow().has_token();
    let failed = answer.head.status.is_server_error();
    // A service with one server has no other for a retry.
    let has_others = service.table.borrow().len() > 1;
    failed && retry_allowed && has_others && rule.repeat == RepeatRule::Idempotent
}

/// The answers to a request that failed for one cause, by whether it may have run.
#[derive(Clone, Copy, Debug)]
struct FailureAnswers {
    /// Answer if the request may have run.
    may_have_run: LocalAnswer,
    /// Answer if it has not run.
    not_run: LocalAnswer,
}

/// Answers when the deadline of the request has passed.
const OUT_OF_TIME: FailureAnswers = FailureAnswers {
    may_have_run: LocalAnswer::Late,
    not_run: LocalAnswer::LateUnsent,
};

/// Answers when the request is not sent to another server.
const NO_SERVER: FailureAnswers = FailureAnswers {
    may_have_run: LocalAnswer::ServerFailed,
    not_run: LocalAnswer::NoCapacity,
};

/// Answers when neither this gate nor another that it knows reaches the servers.
const NOT_REACHED: FailureAnswers = FailureAnswers {
    may_have_run: LocalAnswer::ServerFailed,
    not_run: LocalAnswer::Unreachable,
};

/// Answers when servers ended each time they ran the request.
const QUARANTINED: FailureAnswers = FailureAnswers {
    may_have_run: LocalAnswer::ServerFailed,
    not_run: LocalAnswer::Quarantined,
};

/// The end of a request that failed: the last error answer of a server if there is one, otherwise an
/// answer of the gate itself.
fn end_failed(
    state: RelayState,
    request: &EdgeRequest,
    answers: FailureAnswers,
    retry_after: Duration,
) -> RequestEnd {
    if let Some((answer, guard)) = state.error_answer {
        return forward_answer(answer, Some(guard), request);
    }
    let is_unreached = state.unopened > 0 && state.arrivals == 0;
    let answer = if state.may_have_run {
        answers.may_have_run
    } else if is_unreached && request.origin == RequestOrigin::Gate {
        // The gate that asks may find another one that reaches a server.
        LocalAnswer::Unreachable
    } else {
        answers.not_run
    };
    Err(FinalFailure {
        answer,
        retry_after,
    })
}

/// Updates the estimates of the route's processing time and answer length with an answer.
fn observe_work<W, S>(
    core: &EdgeCore<W, S>,
    service: &ServiceState,
    request: &EdgeRequest,
    placement: &Placement,
    sent_at: Moment,
    answer: &EdgeAnswer,
) {
    let rule = request.route.rule();
    let mut work = service.work(rule);
    if answer.head.status.is_success() {
        work.observe_length(answer.body.length());
    }
    let elapsed = core.clock.now().since(sent_at);
    match (placement.has_slot, placement.saturates) {
        (true, false) => work.observe(elapsed, placement.pace_percent),
        (true, true) => work.observe_saturated(elapsed, placement.pace_percent),
        // The request was queued at the server, and the time in the queue is not known.
        (false, _) => {}
    }
    service.set_work(rule, work);
}

/// Builds the final answer to the caller from the answer of a server, or of another gate.
pub(crate) fn forward_answer(
    answer: EdgeAnswer,
    guard: Option<SendGuard>,
    request: &EdgeRequest,
) -> RequestEnd {
    let status = answer.head.status;
    // Callers take these statuses to mean that the request has not run. The server did not say so
    // with the `not_run` header, so a caller that repeats the request might run it twice.
    let implies_not_run = matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    );
    if implies_not_run && request.route.rule().repeat == RepeatRule::AtMostOnce {
        return Err(FinalFailure {
            answer: LocalAnswer::ServerFailed,
            retry_after: Duration::ZERO,
        });
    }
    let mut headers = end_to_end_headers(&answer.head.headers);
    if request.origin == RequestOrigin::Gate
        && let Some(guard) = &guard
    {
        add_answering_server(&mut headers, guard.server());
    }
    let body = match answer.body {
        AnswerBytes::Whole(bytes, lease) => EdgeBody::leased(bytes, lease),
        AnswerBytes::Streamed(body) => EdgeBody::Streamed(StreamedBody { body, guard }),
    };
    let mut response = Response::with_body(status, body);
    *response.headers_mut() = headers;
    Ok(response)
}
