//! The HTTP listeners of a gate: requests of callers, readiness, entry queries, metrics, and queries
//! of other gates.
//!
//! All of them run the same accept loop. Requests of callers take the path through [`serve`]; the
//! others are answered at once from the state of the gate.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::MessageBody;
use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{HttpService, KeepAlive, Request, Response, StatusCode};
use actix_service::{IntoServiceFactory, Service, ServiceFactory, fn_service};
use bytes::Bytes;
use ggs_observe::{EventLog, LogEvent};
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::body::EdgeBody;
use crate::config::{CONFIG_AGE_HEADER, CONFIG_PATH};
use crate::core::EdgeCore;
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

/// Longest time for a connection to shut down.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(1);

const METRICS_PATH: &str = "/metrics";

/// Pause after a failed accept, before the next one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Pause between two checks whether all connections of callers are closed.
const CLOSED_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The number of open connections of callers, shared by their tasks.
#[derive(Clone, Debug, Default)]
pub(crate) struct CallerConnections {
    count: Rc<Cell<usize>>,
}

impl CallerConnections {
    /// Waits until no connection is open.
    pub(crate) async fn all_closed(&self) {
        while self.count.get() > 0 {
            tokio::time::sleep(CLOSED_CHECK_INTERVAL).await;
        }
    }
}

/// Serves requests of callers until `stop` turns true. Connections that are open then finish the
/// requests that they have read.
pub(crate) async fn serve_callers<W, S>(
    core: Rc<EdgeCore<W, S>>,
    listener: TcpListener,
    connections: CallerConnections,
    stop: watch::Receiver<bool>,
) where
    W: EdgeWire,
    S: 'static,
{
    let log = core.log.clone();
    let handler = move |request: Request| {
        let core = Rc::clone(&core);
        async move { serve::serve(&core, request).await }
    };
    accept(listener, connections, stop, log, handler).await;
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

/// Answers with the metrics as text.
pub(crate) fn answer_metrics<W, S>(core: &EdgeCore<W, S>, request: &Request) -> Response<EdgeBody> {
    let text = match request.path() {
        METRICS_PATH => core.metrics.render().ok(),
        _ => None,
    };
    body_or_status(StatusCode::NOT_FOUND, text.map(Bytes::from))
}

/// Answers another gate with the configuration in force or the list of servers; 503 while this gate
/// has none.
pub(crate) fn answer_peer<W, S>(core: &EdgeCore<W, S>, request: &Request) -> Response<EdgeBody> {
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
fn body_or_status(status: StatusCode, bytes: Option<Bytes>) -> Response<EdgeBody> {
    let status = if bytes.is_some() {
        StatusCode::OK
    } else {
        status
    };
    Response::with_body(status, EdgeBody::whole(bytes.unwrap_or_default()))
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
    let log = core.log.clone();
    let handler = move |request: Request| std::future::ready(answer(&core, &request));
    accept(listener, CallerConnections::default(), stop, log, handler).await;
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

/// Accepts connections until `stop` turns true and answers their requests.
///
/// When a caller closes its connection, the future of its request is dropped, which cancels the work
/// for it.
async fn accept<H, F, B>(
    listener: TcpListener,
    connections: CallerConnections,
    stop: watch::Receiver<bool>,
    log: EventLog,
    handler: H,
) where
    H: Fn(Request) -> F + 'static,
    F: Future<Output = Response<B>> + 'static,
    B: MessageBody + 'static,
{
    let signal = stop.clone();
    let handler = Rc::new(handler);
    let request_service = fn_service(move |request: Request| {
        let handler = Rc::clone(&handler);
        async move { Ok::<_, Infallible>(handler(request).await) }
    });
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(CALLER_IDLE_TIMEOUT))
        .client_request_timeout(REQUEST_HEAD_TIMEOUT)
        .client_disconnect_timeout(DISCONNECT_TIMEOUT)
        .h1_allow_half_closed(false)
        .graceful_shutdown_signal(move || wait_for_stop(signal.clone()))
        .h1(request_service.into_factory());
    let Ok(service) = factory.new_service(()).await else {
        return;
    };
    let service = Rc::new(service);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_for_stop(stop.clone()) => return,
        };
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // Without `TCP_NODELAY` the connection still works.
        let _nodelay_set = stream.set_nodelay(true);
        connections.count.set(connections.count.get() + 1);
        let (service, connections, log) = (Rc::clone(&service), connections.clone(), log.clone());
        actix_rt::spawn(async move {
            if let Err(error) = service.call((stream, Some(peer))).await {
                let pairs = slog::o!("caller" => peer.to_string(), "cause" => error.to_string());
                let message = "caller connection failed";
                log.emit(LogEvent::CallerConnectionFailed, message, pairs);
            }
            connections.count.set(connections.count.get() - 1);
        });
    }
}

/// Waits until `stop` turns true.
async fn wait_for_stop(mut stop: watch::Receiver<bool>) {
    // A dropped sender stops the listener too.
    let _closed = stop.wait_for(|stopped| *stopped).await;
}
