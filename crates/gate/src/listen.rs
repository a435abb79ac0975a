//! Serves the requests of the callers' port.
//!
//! When the gate stops, no more connections are accepted, and the open ones finish the requests
//! that they have read. The open connections are counted, so that a drain can wait for the last
//! one.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::{Request, Response};
use ggs_listen::{ListenError, ListenOptions, OpenConnections, RequestHandler, accept_connections};
use ggs_model::Moment;
use ggs_observe::LogEvent;
use tokio::net::TcpListener;
use tokio::sync::watch;

use crate::body::GateBody;
use crate::core::GateCore;
use crate::route;

/// Longest time in which the head of a request must arrive.
const REQUEST_HEAD_TIMEOUT: Duration = Duration::from_secs(5);

/// Time for which an idle connection of a caller is kept open.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Longest time for which the caller's end of a closing connection is waited for.
const DISCONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Answers the requests of callers and operators.
struct GateHandler {
    core: Rc<GateCore>,
}

impl RequestHandler for GateHandler {
    type Body = GateBody;

    async fn handle(self: Rc<Self>, request: Request, arrived_at: Moment) -> Response<GateBody> {
        route::serve(&self.core, request, arrived_at).await
    }

    fn connection_opened(&self) {
        self.core.metrics.caller_connections.inc();
    }

    fn connection_ended(&self, caller: SocketAddr, result: &Result<(), ListenError>) {
        self.core.metrics.caller_connections.dec();
        if let Err(error) = result {
            let pairs = slog::o!("caller" => caller.to_string(), "cause" => error.to_string());
            let message = "caller connection failed";
            let log = &self.core.log;
            log.emit(LogEvent::CallerConnectionFailed, message, pairs);
        }
    }
}

/// Accepts callers until `stop` turns true. Connections that are open then finish the requests that
/// they have read.
pub(crate) async fn accept(
    core: Rc<GateCore>,
    listener: TcpListener,
    connections: OpenConnections,
    stop: watch::Receiver<bool>,
) {
    let options = ListenOptions {
        idle_timeout: CALLER_IDLE_TIMEOUT,
        head_timeout: REQUEST_HEAD_TIMEOUT,
        // A caller that stops reading its answer would hold a request slot of a server.
        stall_timeout: Duration::from_millis(core.settings.caller_stall_ms),
        disconnect_timeout: DISCONNECT_TIMEOUT,
        allow_half_closed: true,
        ..ListenOptions::default()
    };
    let handler = Rc::new(GateHandler { core });
    accept_connections(listener, options, connections, stop, handler).await;
}
