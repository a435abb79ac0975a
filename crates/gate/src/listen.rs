//! Accepts connections on the callers' port.
//!
//! When the gate stops, no more connections are accepted, and the open ones finish the requests
//! that they have read. The open connections are counted, so that a drain can wait for the last
//! one.

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

/// Longest time in which the head of a request must arrive.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for which an idle connection of a caller is kept open.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest time for a connection to shut down.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(2);

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

/// Accepts callers until `stop` turns true. Connections that are open then finish the requests that
/// they have read.
pub(crate) async fn accept(
    core: Rc<GateCore>,
    listener: TcpListener,
    connections: CallerConnections,
    stop: watch::Receiver<bool>,
) {
    let signal = stop.clone();
    let routes = {
        let core = Rc::clone(&core);
        fn_service(move |request: Request| {
            let core = Rc::clone(&core);
            async move { Ok::<_, Infallible>(route::serve(&core, request).await) }
        })
    };
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(CALLER_IDLE_TIMEOUT))
        .client_request_timeout(REQUEST_HEAD_TIMEOUT)
        .client_disconnect_timeout(DISCONNECT_TIMEOUT)
        .graceful_shutdown_signal(move || wait_for_stop(signal.clone()))
        .h1(routes.into_factory());
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
        let _ = stream.set_nodelay(true);
        connections.count.set(connections.count.get() + 1);
        core.metrics.caller_connections.inc();
        let (service, connections, core) =
            (Rc::clone(&service), connections.clone(), Rc::clone(&core));
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
            connections.count.set(connections.count.get() - 1);
        });
    }
}

/// Waits until `stop` turns true.
async fn wait_for_stop(mut stop: watch::Receiver<bool>) {
    // A dropped sender stops the listener too.
    let _ = stop.wait_for(|stopped| *stopped).await;
}
