//! Accepts connections on the callers' port and, when the gate stops, lets each of them finish.

use std::cell::Cell;
use std::convert::Infallible;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{HttpService, KeepAlive, Request};
use actix_service::{IntoServiceFactory, Service, ServiceFactory, fn_service};
use ggs_observe::LogEvent;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::caller::CallerStream;
use crate::core::GateCore;
use crate::route;

/// Timeout for the head of a request.
const HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after which an idle caller connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Timeout for closing a caller connection.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay before the next accept after one failed.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time between two checks whether all connections have ended.
const FINISH_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Number of open caller connections, shared by the tasks that serve them.
#[derive(Clone, Debug, Default)]
pub(crate) struct OpenCallers {
    count: Rc<Cell<usize>>,
}

impl OpenCallers {
    /// Waits until no connection is open.
    pub(crate) async fn all_finished(&self) {
        while self.count.get() > 0 {
            tokio::time::sleep(FINISH_POLL_INTERVAL).await;
        }
    }
}

/// Accepts callers until `stop` is true, then lets each connection end as soon as it is idle.
pub(crate) async fn accept(
    core: Rc<GateCore>,
    listener: TcpListener,
    open_callers: OpenCallers,
    stop: watch::Receiver<bool>,
) {
    let stop_signal = stop.clone();
    let routes = {
        let core = Rc::clone(&core);
        fn_service(move |request: Request| {
            let core = Rc::clone(&core);
            async move { Ok::<_, Infallible>(route::serve(&core, request).await) }
        })
    };
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(IDLE_TIMEOUT))
        .client_request_timeout(HEAD_TIMEOUT)
        .client_disconnect_timeout(CLOSE_TIMEOUT)
        .graceful_shutdown_signal(move || stopped(stop_signal.clone()))
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
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        // The connection works without `TCP_NODELAY`, too.
        let _ = stream.set_nodelay(true);
        open_callers.count.set(open_callers.count.get() + 1);
        core.metrics.caller_connections.inc();
        let (service, open_callers, core) =
            (Rc::clone(&service), open_callers.clone(), Rc::clone(&core));
        actix_rt::spawn(async move {
            let stall_timeout = Duration::from_millis(core.settings.caller_stall_ms);
            let stream = CallerStream::new(stream, stall_timeout);
            let result = service.call((stream, Some(peer))).await;
            if let Err(error) = result {
                let pairs = slog::o!("caller" => peer.to_string(), "cause" => error.to_string());
                core.log.emit(
                    LogEvent::CallerConnectionFailed,
                    "caller connection failed",
                    pairs,
                );
            }
            core.metrics.caller_connections.dec();
            open_callers.count.set(open_callers.count.get() - 1);
        });
    }
}

/// Waits until `stop` is true.
async fn stopped(mut stop: watch::Receiver<bool>) {
    // A dropped sender counts as a stop.
    let _ = stop.wait_for(|stopped| *stopped).await;
}
