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

use crate::answer::OwnAnswer;
use crate::attempt::{self, AnswerBytes, EdgeAnswer, SendFailure, SendHold, SendStage};
use crate::body::{EdgeBody, StreamedBody};
use crate::core::EdgeCore;
use crate::placement::place_request;
use crate::ports::EdgeWire;
use crate::request::{EdgeRequest, RequestFault, end_to_end, read_body};
use crate::service::ServiceState;
use crate::span::RequestSpan;

/// Sends of one request at most, those included that reached no server.
const MAX_SENDS: usize = 6;

/// Time after which a caller that met a gate without a configuration may come back.
const NO_CONFIG_RETRY: Duration = Duration::from_millis(250);

/// Time after which a caller that no server had room for may come back.
const REFUSED_RETRY: Duration = Duration::from_millis(40);

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
        Err(own) => own.response(NO_CONFIG_RETRY),
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
) -> Result<(Rc<RouteTable>, EdgeRequest), OwnAnswer>
where
    W: EdgeWire,
{
    let host = read_host(request).map_err(|_| OwnAnswer::BadRequest)?;
    let routes = core.routes().ok_or(OwnAnswer::NoConfig)?;
    let limit = routes.limits().body_bytes;
    let body = read_body(request, limit)
        .await
        .map_err(|fault| match fault {
            RequestFault::BodyTooLong => OwnAnswer::BodyTooLong,
            RequestFault::NoHost | RequestFault::BadBody => OwnAnswer::BadRequest,
        })?;
    // A configuration that came with the body is the one to follow.
    let routes = core.routes().unwrap_or(routes);
    let route = routes.find(&host, request.path()).map(Rc::clone);
    let route = route.ok_or(OwnAnswer::NoRoute)?;
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
    turned_down: Option<(EdgeAnswer, SendHold)>,
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
        return OwnAnswer::NoRoute.response(Duration::ZERO);
    };
    let service = core.service(name);
    service.retries.borrow_mut().requested();
    let path = routes.service(name.as_str());
    let path = path.and_then(|rule| rule.health_path.parse::<Uri>().ok());
    let mut state = RelayState::default();
    loop {
        let placed = place_request(core, &service, request, path.as_ref(), &state.tried).await;
        let placement = match placed {
            Ok(placement) => placement,
            Err(refusal) => {
                span.refused(&service, &refusal);
                return fail(state, request, NO_SERVER, refusal.retry_after);
            }
        };
        if state.arrivals > 0 && !service.retries.borrow_mut().take() {
            span.not_repeated(&service);
            return fail(state, request, NO_SERVER, REFUSED_RETRY);
        }
        span.sends(&service, &placement);
        let sent_at = core.clock.now();
        let stage = SendStage::default();
        let left = request.answer_by.since(sent_at);
        let send = attempt::send(core, &service, placement.server, request, &stage);
        let result = timeout(left, send).await;
        let Ok(result) = result else {
            let now = core.clock.now();
            let mut table = service.table.borrow_mut();
            table.note_timeout(placement.server, now);
            drop(table);
            state.may_have_run |= stage.has_left();
            span.failed(&service, &placement, FailureKind::AnswerTimeout);
            return fail(state, request, OUT_OF_TIME, REFUSED_RETRY);
        };
        let failure = match result {
            Ok((answer, hold)) => {
                note_work(core, &service, request, &placement, sent_at, &answer);
                if !is_worth_retry(&answer, request, &state, &service) {
                    return pass_on(answer, hold, request);
                }
                state.turned_down = Some((answer, hold));
                SendFailure {
                    kind: FailureKind::ServerError,
                    verdict: RunVerdict::Ran,
                    arrived: true,
                }
            }
            Err(failure) => failure,
        };
        span.failed(&service, &placement, failure.kind);
        state.tried.push(placement.server);
        state.arrivals += u32::from(failure.arrived);
        state.may_have_run |= failure.verdict != RunVerdict::NotRun;
        if core.clock.now() >= request.answer_by {
            return fail(state, request, OUT_OF_TIME, REFUSED_RETRY);
        }
        if !may_send_again(&state, request) {
            return fail(state, request, NO_SERVER, REFUSED_RETRY);
        }
    }
}

/// Whether a request may go to one more server.
fn may_send_again(state: &RelayState, request: &EdgeRequest) -> bool {
    let rule = request.route.rule();
    let repeatable = rule.repeat == RepeatRule::Idempotent || !state.may_have_run;
    repeatable && state.arrivals < rule.attempts.max(1) && state.tried.len() < MAX_SENDS
}

/// Whether a server's failure is turned down for another send.
fn is_worth_retry(
    answer: &EdgeAnswer,
    request: &EdgeRequest,
    state: &RelayState,
    service: &ServiceState,
) -> bool {
    let rule = request.route.rule();
    let again = state.arrivals + 1 < rule.attempts.max(1) && service.retries.borrow().has_one();
    let failed = answer.head.status.is_server_error();
    // With one server there is no other to ask.
    let others = service.table.borrow().len() > 1;
    failed && again && others && rule.repeat == RepeatRule::Idempotent
}

/// What the caller of a request without a good answer is told.
#[derive(Clone, Copy, Debug)]
struct FailureAnswers {
    /// If the request may have run.
    run: OwnAnswer,
    /// If it has not.
    not_run: OwnAnswer,
}

/// The time of the request has run out.
const OUT_OF_TIME: FailureAnswers = FailureAnswers {
    run: OwnAnswer::Late,
    not_run: OwnAnswer::LateUnsent,
};

/// No server is left to send it to.
const NO_SERVER: FailureAnswers = FailureAnswers {
    run: OwnAnswer::ServerFailed,
    not_run: OwnAnswer::NoCapacity,
};

/// The final answer of a request that no server answered well.
fn fail(
    state: RelayState,
    request: &EdgeRequest,
    answers: FailureAnswers,
    retry_after: Duration,
) -> Response<EdgeBody> {
    if let Some((answer, hold)) = state.turned_down {
        return pass_on(answer, hold, request);
    }
    let own = if state.may_have_run {
        answers.run
    } else {
        answers.not_run
    };
    own.response(retry_after)
}

/// Learns from an answer how much work its route is.
fn note_work<W, S>(
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
fn pass_on(answer: EdgeAnswer, hold: SendHold, request: &EdgeRequest) -> Response<EdgeBody> {
    let status = answer.head.status;
    // These statuses promise that the request has not run, and this server did not say so.
    let promises = matches!(
        status,
        StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
    );
    if promises && request.route.rule().repeat == RepeatRule::AtMostOnce {
        return OwnAnswer::ServerFailed.response(Duration::ZERO);
    }
    let body = match answer.body {
        AnswerBytes::Whole(bytes) => EdgeBody::whole(bytes),
        AnswerBytes::Streamed(body) => EdgeBody::Streamed(StreamedBody { body, hold }),
    };
    let mut response = Response::with_body(status, body);
    *response.headers_mut() = end_to_end(&answer.head.headers);
    response
}
