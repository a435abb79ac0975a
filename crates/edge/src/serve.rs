//! The path of one request.

use std::rc::Rc;
use std::time::Duration;

use actix_http::header::HOST;
use actix_http::{ConnectionType, HttpMessage, Request, Response, StatusCode, Uri};
use ggs_model::{Clock, Moment, RunVerdict};
use ggs_place::{Placement, ServerKey};
use ggs_relay::FailureKind;
use ggs_route::{RepeatRule, RouteTable};
use tokio::time::timeout;

use crate::answer::LocalAnswer;
use crate::attempt::{self, AnswerBytes, EdgeAnswer, SendFailure, SendGuard, SendProgress};
use crate::body::{EdgeBody, StreamedBody};
use crate::core::EdgeCore;
use crate::placement::place_request;
use crate::ports::EdgeWire;
use crate::request::{EdgeRequest, RequestFault, end_to_end_headers, read_body};
use crate::service::ServiceState;
use crate::span::RequestSpan;

/// Sends of one request at most, those included that reached no server.
const MAX_SENDS_COUNT: usize = 6;

/// Time after which a caller that met a gate without a configuration may come back.
const NO_CONFIG_RETRY_AFTER: Duration = Duration::from_millis(250);

/// Time after which a caller that no server had room for may come back.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(40);

/// Answers a request.
pub(crate) async fn serve<W, S>(
    core: &Rc<EdgeCore<W, S>>,
    mut request: Request,
) -> Response<EdgeBody>
where
    W: EdgeWire,
    S: 'static,
{
    let read_at = core.clock.now();
    let mut response = match prepare(core, &mut request, read_at).await {
        Ok((routes, request)) => {
            let span = RequestSpan::start(core, &request);
            let response = relay(core, &routes, &request, &span).await;
            span.end(response.status());
            response
        }
        Err(answer) => answer.response(NO_CONFIG_RETRY_AFTER),
    };
    if core.is_draining() {
        let head = response.head_mut();
        head.set_connection_type(ConnectionType::Close);
    }
    response
}

/// Finds the route of a request and reads its body.
async fn prepare<W, S>(
    core: &Rc<EdgeCore<W, S>>,
    request: &mut Request,
    read_at: Moment,
) -> Result<(Rc<RouteTable>, EdgeRequest), LocalAnswer>
where
    W: EdgeWire,
{
    let host = read_host(request).map_err(|_| LocalAnswer::BadRequest)?;
    let routes = core.routes().ok_or(LocalAnswer::NoConfig)?;
    let limit = routes.limits().body_bytes;
    let body = read_body(request, limit)
        .await
        .map_err(|fault| match fault {
            RequestFault::BodyTooLong => LocalAnswer::BodyTooLong,
            RequestFault::NoHost | RequestFault::BadBody => LocalAnswer::BadRequest,
        })?;
    // A configuration that came with the body is the one to follow.
    let routes = core.routes().unwrap_or(routes);
    let route = routes.find(&host, request.path()).map(Rc::clone);
    let route = route.ok_or(LocalAnswer::NoRoute)?;
    let names = core.wire.headers();
    let request = EdgeRequest::new(request.head(), body, &route, names, read_at);
    Ok((routes, request))
}

/// The host that a request names.
fn read_host(request: &Request) -> Result<String, RequestFault> {
    let host = request.headers().get(HOST);
    let host = host.and_then(|value| value.to_str().ok());
    let host = host.or_else(|| request.uri().host());
    host.map(str::to_owned).ok_or(RequestFault::NoHost)
}

/// What has happened to a request so far.
#[derive(Debug, Default)]
struct RelayState {
    /// Servers that it was sent to.
    tried: Vec<ServerKey>,
    /// Sends that arrived at a server.
    arrivals: u32,
    /// Whether it may have run.
    may_have_run: bool,
    /// A server's failure that was turned down for another send.
    error_answer: Option<(EdgeAnswer, SendGuard)>,
}

/// Places a request until it has an answer.
async fn relay<W, S>(
    core: &Rc<EdgeCore<W, S>>,
    routes: &RouteTable,
    request: &EdgeRequest,
    span: &RequestSpan<'_, W, S>,
) -> Response<EdgeBody>
where
    W: EdgeWire,
    S: 'static,
{
    let Some(name) = request.route.next_service() else {
        return LocalAnswer::NoRoute.response(Duration::ZERO);
    };
    let service = core.service(name);
    service.retries.borrow_mut().requested();
    let rule = routes.service(name.as_str());
    let health_path = rule.and_then(|rule| rule.health_path.parse::<Uri>().ok());
    let mut state = RelayState::default();
    loop {
        let found =
            place_request(core, &service, request, health_path.as_ref(), &state.tried).await;
        let placement = match found {
            Ok(placement) => placement,
            Err(refusal) => {
                span.log_refusal(&service, &refusal);
                return failure_response(state, request, NO_SERVER, refusal.retry_after);
            }
        };
        if state.arrivals > 0 && !service.retries.borrow_mut().take() {
            span.log_retry_denied(&service);
            return failure_response(state, request, NO_SERVER, REFUSED_RETRY_AFTER);
        }
        span.set_server(&service, &placement);
        let sent_at = core.clock.now();
        let progress = SendProgress::default();
        let time_left = request.answer_by.since(sent_at);
        let send = attempt::send(core, &service, placement.server, request, &progress);
        let result = timeout(time_left, send).await;
        let Ok(result) = result else {
            let now = core.clock.now();
            let mut table = service.table.borrow_mut();
            table.note_timeout(placement.server, now);
            drop(table);
            state.may_have_run |= progress.may_have_sent();
            span.log_failed_send(&service, &placement, FailureKind::AnswerTimeout);
            return failure_response(state, request, OUT_OF_TIME, REFUSED_RETRY_AFTER);
        };
        let failure = match result {
            Ok((answer, guard)) => {
                observe_work(core, &service, request, &placement, sent_at, &answer);
                if !should_retry_error(&answer, request, &state, &service) {
                    return forward_answer(answer, guard, request);
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
        state.tried.push(placement.server);
        state.arrivals += u32::from(failure.arrived);
        state.may_have_run |= failure.verdict != RunVerdict::NotRun;
        if core.clock.now() >= request.answer_by {
            return failure_response(state, request, OUT_OF_TIME, REFUSED_RETRY_AFTER);
        }
        if !may_retry(&state, request) {
            return failure_response(state, request, NO_SERVER, REFUSED_RETRY_AFTER);
        }
    }
}

/// Whether a request may go to one more server.
fn may_retry(state: &RelayState, request: &EdgeRequest) -> bool {
    let rule = request.route.rule();
    let repeatable = rule.repeat == RepeatRule::Idempotent || !state.may_have_run;
    repeatable && state.arrivals < rule.attempts.max(1) && state.tried.len() < MAX_SENDS_COUNT
}

/// Whether a server's failure is turned down for another send.
fn should_retry_error(
    answer: &EdgeAnswer,
    request: &EdgeRequest,
    state: &RelayState,
    service: &ServiceState,
) -> bool {
    let rule = request.route.rule();
    let may_send = state.arrivals + 1 < rule.attempts.max(1) && service.retries.borrow().has_one();
    let failed = answer.head.status.is_server_error();
    // With one server there is no other to ask.
    let has_others = service.table.borrow().len() > 1;
    failed && may_send && has_others && rule.repeat == RepeatRule::Idempotent
}

/// What the caller of a request without a good answer is told.
#[derive(Clone, Copy, Debug)]
struct FailureAnswers {
    /// If the request may have run.
    may_have_run: LocalAnswer,
    /// If it has not.
    not_run: LocalAnswer,
}

/// The time of the request has run out.
const OUT_OF_TIME: FailureAnswers = FailureAnswers {
    may_have_run: LocalAnswer::Late,
    not_run: LocalAnswer::LateUnsent,
};

/// No server is left to send it to.
const NO_SERVER: FailureAnswers = FailureAnswers {
    may_have_run: LocalAnswer::ServerFailed,
    not_run: LocalAnswer::NoCapacity,
};

/// The final answer of a request that no server answered well.
fn failure_response(
    state: RelayState,
    request: &EdgeRequest,
    answers: FailureAnswers,
    retry_after: Duration,
) -> Response<EdgeBody> {
    if let Some((answer, guard)) = state.error_answer {
        return forward_answer(answer, guard, request);
    }
    let answer = if state.may_have_run {
        answers.may_have_run
    } else {
        answers.not_run
    };
    answer.response(retry_after)
}

/// Learns from an answer how much work its route is.
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
        // How long it waited is not known.
        (false, _) => {}
    }
    service.set_work(rule, work);
}

/// A server's answer as the caller gets it.
fn forward_answer(
    answer: EdgeAnswer,
    guard: SendGuard,
    request: &EdgeRequest,
) -> Response<EdgeBody> {
    let status = answer.head.status;
    // These statuses promise that the request has not run, and this server did not say so.
    let promises_not_run = matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    );
    if promises_not_run && request.route.rule().repeat == RepeatRule::AtMostOnce {
        return LocalAnswer::ServerFailed.response(Duration::ZERO);
    }
    let body = match answer.body {
        AnswerBytes::Whole(bytes) => EdgeBody::whole(bytes),
        AnswerBytes::Streamed(body) => EdgeBody::Streamed(StreamedBody { body, guard }),
    };
    let mut response = Response::with_body(status, body);
    *response.headers_mut() = end_to_end_headers(&answer.head.headers);
    response
}
