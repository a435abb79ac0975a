//! The path of one request.

use std::rc::Rc;
use std::time::Duration;

use actix_http::header::HOST;
use actix_http::{ConnectionType, HttpMessage, Request, Response, StatusCode, Uri};
use ggs_model::{Clock, Moment, RunVerdict};
use ggs_observe::LogEvent;
use ggs_place::{
    AskScope, AskStage, MoveFacts, NextMove, PlaceSearch, Placement, ServerKey, next_move,
};
use ggs_relay::FailureKind;
use ggs_route::{RepeatRule, RouteTable};
use tokio::time::{sleep, timeout};

use crate::answer::OwnAnswer;
use crate::ask;
use crate::attempt::{self, AnswerBytes, EdgeAnswer, SendFailure, SendHold, SendStage};
use crate::body::{EdgeBody, StreamedBody};
use crate::core::EdgeCore;
use crate::ports::EdgeWire;
use crate::request::{EdgeRequest, RequestFault, end_to_end, read_body};
use crate::service::ServiceState;

/// Servers of the gate's data centre that are asked at once.
const NEAR_ASKS: usize = 8;

/// Servers of other data centres that are asked at once; bytes between data centres are dear.
const FAR_ASKS: usize = 3;

/// Part of a request's work for which a load that was told stays of use, one in this many.
const FRESH_PARTS: u32 = 4;

/// Shortest time for which a load that was told stays of use.
const MIN_FRESH: Duration = Duration::from_millis(8);

/// Longest time for which a load that was told stays of use; the pace of servers changes within
/// hundreds of milliseconds.
const MAX_FRESH: Duration = Duration::from_millis(40);

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
        let placed = place(core, &service, request, path.as_ref(), &state.tried).await;
        let placement = match placed {
            Ok(placement) => placement,
            Err(retry_after) => return give_up(&state, retry_after),
        };
        if state.arrivals > 0 && !service.retries.borrow_mut().take() {
            return give_up(&state, REFUSED_RETRY);
        }
        let sent_at = core.clock.now();
        let stage = SendStage::default();
        let left = request.answer_by.since(sent_at);
        let send = attempt::send(core, &service, placement.server, request, &stage);
        let result = timeout(left, send).await;
        let Ok(result) = result else {
            let own = if stage.has_left() || state.may_have_run {
                OwnAnswer::Late
            } else {
                OwnAnswer::LateUnsent
            };
            span.failed(&service, &placement, FailureKind::AnswerTimeout);
            return own.response(REFUSED_RETRY);
        };
        let failure = match result {
            Ok((answer, hold)) => {
                note_work(core, &service, request, &placement, sent_at, &answer);
                if !is_worth_retry(&answer, request, &state, &service) {
                    span.answered(&service, &placement);
                    return pass_on(answer, hold, request);
                }
                hold.set_outcome(ggs_place::SendOutcome::Failed);
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
        if !may_send_again(&state, request) {
            return give_up(&state, REFUSED_RETRY);
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
    let others = service.board.borrow().len() > 1;
    failed && again && others && rule.repeat == RepeatRule::Idempotent
}

/// The final answer of a request that no server answered.
fn give_up(state: &RelayState, retry_after: Duration) -> Response<EdgeBody> {
    let own = if state.may_have_run {
        OwnAnswer::ServerFailed
    } else {
        OwnAnswer::NoCapacity
    };
    own.response(retry_after)
}

/// Finds a server for a request, or the time after which the caller may come back.
async fn place<W, S>(
    core: &Rc<EdgeCore<W, S>>,
    service: &Rc<ServiceState>,
    request: &EdgeRequest,
    path: Option<&Uri>,
    tried: &[ServerKey],
) -> Result<Placement, Duration>
where
    W: EdgeWire,
    S: 'static,
{
    let rule = request.route.rule();
    let estimate = service.work(rule);
    let (work, crossing) = (estimate.mean(), estimate.crossing());
    let fresh = (work / FRESH_PARTS).clamp(MIN_FRESH, MAX_FRESH);
    let mut stage = AskStage::Known;
    loop {
        let now = core.clock.now();
        let search = PlaceSearch {
            work,
            crossing,
            crowding: estimate.crowding(),
            since: now - fresh,
            tried,
            now,
        };
        let facts = MoveFacts {
            best: best_known(service, stage, &search),
            work,
            crossing,
            objective: rule.objective,
            held: now.since(request.read_at),
            time_left: request.answer_by.since(now),
            stage,
        };
        match next_move(&facts) {
            NextMove::Send(placement) => return Ok(placement),
            NextMove::AskNear => {
                ask_stale(core, service, AskScope::Near, path, now - fresh).await;
                stage = AskStage::Near;
            }
            NextMove::AskFar => {
                ask_stale(core, service, AskScope::Far, path, now - fresh).await;
                stage = AskStage::All;
            }
            NextMove::Wait(pause) => {
                sleep(pause).await;
                stage = AskStage::Known;
            }
            NextMove::Refuse(retry_after) => return Err(retry_after),
        }
    }
}

/// The best server at a stage of asking; far ones count once they were asked.
fn best_known(
    service: &ServiceState,
    stage: AskStage,
    search: &PlaceSearch<'_>,
) -> Option<Placement> {
    let mut board = service.board.borrow_mut();
    let near = board.best(AskScope::Near, search);
    if stage < AskStage::All {
        return near;
    }
    let far = board.best(AskScope::Far, search);
    let told = near.into_iter().chain(far);
    let told = told.min_by(|one, other| one.rank.total_cmp(&other.rank));
    if told.is_some() {
        return told;
    }
    let blind = board.blind(AskScope::Near, search);
    blind.or_else(|| board.blind(AskScope::Far, search))
}

/// Asks servers of a scope whose load was not told since `since`.
async fn ask_stale<W, S>(
    core: &Rc<EdgeCore<W, S>>,
    service: &Rc<ServiceState>,
    scope: AskScope,
    path: Option<&Uri>,
    since: Moment,
) where
    W: EdgeWire,
    S: 'static,
{
    let Some(path) = path.filter(|_| service.tells_load()) else {
        return;
    };
    let now = core.clock.now();
    let count = match scope {
        AskScope::Near => NEAR_ASKS,
        AskScope::Far => FAR_ASKS,
    };
    let mut plan = {
        let mut board = service.board.borrow_mut();
        board.stale(count, scope, since, now)
    };
    let granted = core.asks.borrow_mut().take(plan.len(), now);
    plan.truncate(granted);
    ask::ask(core, service, &plan, path).await;
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
    match (placement.has_slot, placement.fills) {
        (true, false) => work.observe(elapsed, placement.pace_percent),
        (true, true) => work.observe_crowded(elapsed, placement.pace_percent),
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

/// Logs what happens to one request.
struct RequestSpan<'a, W, S> {
    core: &'a EdgeCore<W, S>,
    request: &'a EdgeRequest,
    id: String,
    server: std::cell::RefCell<Option<String>>,
}

impl<'a, W, S> RequestSpan<'a, W, S>
where
    W: EdgeWire,
{
    /// Starts the span of a request.
    fn start(core: &'a EdgeCore<W, S>, request: &'a EdgeRequest) -> Self {
        let id = request.id(core.wire.headers());
        let id = id.and_then(|value| value.to_str().ok()).unwrap_or_default();
        Self {
            core,
            request,
            id: id.to_owned(),
            server: std::cell::RefCell::new(None),
        }
    }

    /// Notes the server that answered.
    fn answered(&self, service: &ServiceState, placement: &Placement) {
        let board = service.board.borrow();
        let server = board.server(placement.server);
        let server = server.map(|server| server.instance.to_string());
        *self.server.borrow_mut() = server;
    }

    /// Logs a send that failed.
    fn failed(&self, service: &ServiceState, placement: &Placement, kind: FailureKind) {
        let board = service.board.borrow();
        let server = board.server(placement.server);
        let server = server.map(|server| server.instance.to_string());
        let pairs = slog::o!(
            "request" => self.id.clone(),
            "service" => service.name.to_string(),
            "server" => server.unwrap_or_default(),
            "expected_ms" => placement.expected.as_millis() as u64,
            "has_slot" => placement.has_slot,
            "pace_percent" => placement.pace_percent,
            "cause" => kind.to_string(),
            "held_ms" => self.held_ms(),
        );
        let log = &self.core.log;
        log.emit(LogEvent::AttemptFailed, "send has no answer", pairs);
    }

    /// Logs the final answer.
    fn end(&self, status: StatusCode) {
        let pairs = slog::o!(
            "request" => self.id.clone(),
            "route" => self.request.route.rule().name.to_string(),
            "status" => status.as_u16(),
            "server" => self.server.borrow().clone().unwrap_or_default(),
            "held_ms" => self.held_ms(),
            "left_ms" => self.left_ms(),
        );
        let log = &self.core.log;
        log.emit(LogEvent::RequestEnded, "request has its answer", pairs);
        let elapsed = self.core.clock.now().since(self.request.read_at);
        let priority = self.request.route.rule().priority;
        self.core
            .metrics
            .observe_request(priority, status.as_u16(), elapsed);
    }

    /// Milliseconds since the request was read.
    fn held_ms(&self) -> u64 {
        let now = self.core.clock.now();
        now.since(self.request.read_at).as_millis() as u64
    }

    /// Milliseconds until the caller has to have its answer.
    fn left_ms(&self) -> u64 {
        let now = self.core.clock.now();
        self.request.answer_by.since(now).as_millis() as u64
    }
}
