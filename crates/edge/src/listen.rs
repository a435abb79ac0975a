//! The ports of a gate: callers, readiness, questions for gates, and other gates.

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
use crate::config::CONFIG_PATH;
use crate::core::EdgeCore;
use crate::entries::entry_answer;
use crate::ports::EdgeWire;
use crate::serve;
use crate::servers::SERVERS_PATH;

/// Time for which an idle connection of a caller is kept; longer than callers reuse theirs, whatever
/// the limit that their configuration names.
const IDLE_TIME: Duration = Duration::from_secs(90);

/// Longest time for the head of a request.
const HEAD_TIME: Duration = Duration::from_secs(10);

/// Longest time to finish a close.
const CLOSE_TIME: Duration = Duration::from_secs(1);

/// Path of the metrics.
const METRICS_PATH: &str = "/metrics";

/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// How often the end of all connections is checked.
const FINISH_CHECK: Duration = Duration::from_millis(10);

/// Counts open connections of callers.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenCallers {
    count: Rc<Cell<usize>>,
}

impl OpenCallers {
    /// Waits until no connection is open.
    pub(crate) async fn finished(&self) {
        while self.count.get() > 0 {
            tokio::time::sleep(FINISH_CHECK).await;
        }
    }
}

/// Serves requests of callers until `stop` turns true, then lets each connection finish.
pub(crate) async fn serve_callers<W, S>(
    core: Rc<EdgeCore<W, S>>,
    listener: TcpListener,
    open: OpenCallers,
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
    accept(listener, open, stop, log, handler).await;
}

/// Whether the gate is ready.
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

/// The metrics as text.
pub(crate) fn answer_metrics<W, S>(core: &EdgeCore<W, S>, request: &Request) -> Response<EdgeBody> {
    let text = match request.path() {
        METRICS_PATH => core.metrics.render().ok(),
        _ => None,
    };
    found_or(StatusCode::NOT_FOUND, text.map(Bytes::from))
}

/// The configuration in force or the list of servers, for other gates.
pub(crate) fn answer_gate<W, S>(core: &EdgeCore<W, S>, request: &Request) -> Response<EdgeBody> {
    let known = match request.path() {
        CONFIG_PATH => core.config_feed.bytes(),
        SERVERS_PATH => core.encode_server_list(),
        _ => return found_or(StatusCode::NOT_FOUND, None),
    };
    found_or(StatusCode::SERVICE_UNAVAILABLE, known)
}

/// The answer with these bytes, or an empty one with `status` if there are none.
fn found_or(status: StatusCode, bytes: Option<Bytes>) -> Response<EdgeBody> {
    let status = if bytes.is_some() {
        StatusCode::OK
    } else {
        status
    };
    Response::with_body(status, EdgeBody::whole(bytes.unwrap_or_default()))
}

/// Serves requests whose answers are known at once.
pub(crate) async fn serve_at_once<W, S, A>(
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
    accept(listener, OpenCallers::default(), stop, log, handler).await;
}

/// The answer to a question for gates.
pub(crate) fn answer_question<W, S>(core: &EdgeCore<W, S>, request: &Request) -> Response<EdgeBody>
where
    W: EdgeWire,
{
    let empty = |status| Response::with_body(status, EdgeBody::whole(Bytes::new()));
    let Some(question) = core.wire.read_entry_query(request.uri()) else {
        return empty(StatusCode::NOT_FOUND);
    };
    let Some(answer) = entry_answer(core, &question) else {
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
/// A request whose caller closes the connection is dropped, and with it whatever was done for it.
async fn accept<H, F, B>(
    listener: TcpListener,
    open: OpenCallers,
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
    let routes = fn_service(move |request: Request| {
        let handler = Rc::clone(&handler);
        async move { Ok::<_, Infallible>(handler(request).await) }
    });
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(IDLE_TIME))
        .client_request_timeout(HEAD_TIME)
        .client_disconnect_timeout(CLOSE_TIME)
        .h1_allow_half_closed(false)
        .graceful_shutdown_signal(move || stopped(signal.clone()))
        .h1(routes.into_factory());
    let Ok(service) = factory.new_service(()).await else {
        return;
    };
    let service = Rc::new(service);
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = stopped(stop.clone()) => return,
        };
        let Ok((stream, peer)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        // A socket that cannot be tuned still works.
        let _untuned = stream.set_nodelay(true);
        open.count.set(open.count.get() + 1);
        let (service, open, log) = (Rc::clone(&service), open.clone(), log.clone());
        actix_rt::spawn(async move {
            if let Err(error) = service.call((stream, Some(peer))).await {
                let pairs = slog::o!("caller" => peer.to_string(), "cause" => error.to_string());
                let message = "caller connection ended";
                log.emit(LogEvent::CallerConnectionFailed, message, pairs);
            }
            open.count.set(open.count.get() - 1);
        });
    }
}

/// Waits until `stop` turns true.
async fn stopped(mut stop: watch::Receiver<bool>) {
    // A sender that is gone stops too.
    let _gone = stop.wait_for(|stopped| *stopped).await;
}
