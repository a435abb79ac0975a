//! The HTTP listeners of a gate: requests of callers, readiness, entry queries, queries of operators and
//! of other gates.
//!
//! All of them run the same accept loop. Requests of callers take the path through [`serve`]; the
//! others are answered at once from the state of the gate.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use ggs_listen::{ListenError, ListenOptions, OpenConnections, RequestHandler, accept_connections};
use ggs_model::Moment;
use ggs_observe::{EventLog, LogEvent};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::body::EdgeBody;
use crate::config::{CONFIG_AGE_HEADER, CONFIG_PATH};
use crate::core::EdgeCore;
use crate::detour::serve_gate;
use crate::detour_wire::DETOUR_HEADER;
use crate::entries::entry_answer;
use crate::ports::EdgeWire;
use crate::serve;
use crate::servers::SERVERS_PATH;

/// Time for which an idle connection of a caller is kept open. It is longer than the time
/// for which callers reuse one. The idle timeout of the configuration does not apply.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(90);

/// Longest time in which the head of a request must arrive. The header timeout of the configuration
/// does not apply.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeouts and limits of all listeners of a gate.
fn listen_options() -> ListenOptions {
    ListenOptions {
        idle_timeout: CALLER_IDLE_TIMEOUT,
        head_timeout: REQUEST_HEAD_TIMEOUT,
        ..ListenOptions::default()
    }
}

/// Logs how a connection ended, if it failed.
fn log_connection_end(log: &EventLog, caller: SocketAddr, result: &Result<(), ListenError>) {
    if let Err(error) = result {
        let pairs = slog::o!("caller" => caller.to_string(), "cause" => error.to_string());
        let message = "caller connection failed";
        log.emit(LogEvent::CallerConnectionFailed, message, pairs);
    }
}

/// Answers requests of callers, on the path through [`serve`].
struct CallerHandler<W, S> {
    core: Rc<EdgeCore<W, S>>,
}

impl<W, S> RequestHandler for CallerHandler<W, S>
where
    W: EdgeWire,
    S: 'static,
{
    type Body = EdgeBody;

    async fn handle(self: Rc<Self>, request: Request, arrived_at: Moment) -> Response<EdgeBody> {
        serve::serve(&self.core, request, arrived_at).await
    }

    fn can_overlap(&self, request: &Request) -> bool {
        serve::is_idempotent(&self.core, request)
    }

    fn connection_ended(&self, caller: SocketAddr, result: &Result<(), ListenError>) {
        log_connection_end(&self.core.log, caller, result);
    }
}

/// Serves requests of callers until `stop` turns true. Connections that are open then finish the
/// requests that they have read.
pub(crate) async fn serve_callers<W, S>(
    core: Rc<EdgeCore<W, S>>,
    listener: TcpListener,
    connections: OpenConnections,
    stop: watch::Receiver<bool>,
) where
    W: EdgeWire,
    S: 'static,
{
    let handler = Rc::new(CallerHandler { core });
    accept_connections(listener, listen_options(), connections, stop, handler).await;
}

/// Answers the platform's readiness check: 200 if the gate is ready, 503 if it is not.
pub(crate) fn answer_ready<W, S>(core: &EdgeCore<W, S>, request: &Request) -> Response<EdgeBody>
where
    W: EdgeWire,
{
    let status = if !core.wire.is_readiness_check(request.uri()) {
        StatusCode::NOT_FOUND
    } else if core.is_ready() {
        StatusCode::OK
    } else {
        StatusCode::SERVICE_UNAVAILABLE
    };
    Response::with_body(status, EdgeBody::whole(Bytes::new()))
}

/// Answers other gates: their queries at once, and the requests that they send on by sending them to
/// servers.
struct GateHandler<W, S> {
    core: Rc<EdgeCore<W, S>>,
}

impl<W, S> RequestHandler for GateHandler<W, S>
where
    W: EdgeWire,
    S: 'static,
{
    type Body = EdgeBody;

    async fn handle(self: Rc<Self>, request: Request, arrived_at: Moment) -> Response<EdgeBody> {
        if request.head().headers.contains_key(DETOUR_HEADER) {
            serve_gate(&self.core, request, arrived_at).await
        } else {
            answer_peer(&self.core, &request)
        }
    }

    fn connection_ended(&self, caller: SocketAddr, result: &Result<(), ListenError>) {
        log_connection_end(&self.core.log, caller, result);
    }
}

/// Serves other gates until `stop` turns true. Connections that are open then finish the requests that
/// they have read.
pub(crate) async fn serve_gates<W, S>(
    core: Rc<EdgeCore<W, S>>,
    listener: TcpListener,
    connections: OpenConnections,
    stop: watch::Receiver<bool>,
) where
    W: EdgeWire,
    S: 'static,
{
    let handler = Rc::new(GateHandler { core });
    accept_connections(listener, listen_options(), connections, stop, handler).await;
}

/// Answers another gate with the configuration in force or the list of servers; 503 while this gate
/// has none.
fn answer_peer<W, S>(core: &EdgeCore<W, S>, request: &Request) -> Response<EdgeBody> {
    let bytes = match request.path() {
        CONFIG_PATH => core.config_feed.bytes(),
        SERVERS_PATH => core.encode_server_list(),
        _ => return body_or_status(StatusCode::NOT_FOUND, None),
    };
    let mut answer = body_or_status(StatusCode::SERVICE_UNAVAILABLE, bytes);
    let age = core.config_age_ms().into();
    answer.headers_mut().insert(CONFIG_AGE_HEADER, age);
    answer
}

/// A 200 answer with these bytes, or an empty one with `status` if there are none.
pub(crate) fn body_or_status(status: StatusCode, bytes: Option<Bytes>) -> Response<EdgeBody> {
    let status = if bytes.is_some() {
        StatusCode::OK
    } else {
        status
    };
    Response::with_body(status, EdgeBody::whole(bytes.unwrap_or_default()))
}

/// Answers requests that need no waiting.
struct ImmediateHandler<W, S, A> {
    core: Rc<EdgeCore<W, S>>,
    answer: A,
}

impl<W, S, A> RequestHandler for ImmediateHandler<W, S, A>
where
    W: EdgeWire,
    S: 'static,
    A: Fn(&EdgeCore<W, S>, &Request) -> Response<EdgeBody> + 'static,
{
    type Body = EdgeBody;

    async fn handle(self: Rc<Self>, request: Request, _: Moment) -> Response<EdgeBody> {
        (self.answer)(&self.core, &request)
    }

    fn connection_ended(&self, caller: SocketAddr, result: &Result<(), ListenError>) {
        log_connection_end(&self.core.log, caller, result);
    }
}

/// Serves requests that `answer` can answer without waiting.
pub(crate) async fn serve_immediate<W, S, A>(
    core: Rc<EdgeCore<W, S>>,
    listener: TcpListener,
    stop: watch::Receiver<bool>,
    answer: A,
) where
    W: EdgeWire,
    S: 'static,
    A: Fn(&EdgeCore<W, S>, &Request) -> Response<EdgeBody> + 'static,
{
    let handler = Rc::new(ImmediateHandler { core, answer });
    let connections = OpenConnections::default();
    accept_connections(listener, listen_options(), connections, stop, handler).await;
}

/// Answers an entry query of a caller with the addresses of gates that it may use.
pub(crate) fn answer_entries<W, S>(core: &EdgeCore<W, S>, request: &Request) -> Response<EdgeBody>
where
    W: EdgeWire,
{
    let empty = |status| Response::with_body(status, EdgeBody::whole(Bytes::new()));
    let Some(query) = core.wire.read_entry_query(request.uri()) else {
        return empty(StatusCode::NOT_FOUND);
    };
    let Some(answer) = entry_answer(core, &query) else {
        return empty(StatusCode::SERVICE_UNAVAILABLE);
    };
    let body = core.wire.write_entry_answer(&answer);
    let mut response = Response::with_body(StatusCode::OK, EdgeBody::whole(body));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}
