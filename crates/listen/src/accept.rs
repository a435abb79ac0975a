//! The accept loop of a listener.

use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::MessageBody;
use actix_http::{Request, Response, ServiceConfig};
use ggs_model::Moment;
use rustix::net::sockopt::set_socket_linger;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::sleep;

use crate::{ListenError, ListenOptions, serve_connection};

/// Pause after a failed accept, before the next one.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time after the stop in which connections that had been established before are accepted. The system
/// would reset them when the listener closes.
const LAST_ACCEPT_TIME: Duration = Duration::from_millis(20);

/// Pause between two checks whether all connections are closed.
const CLOSED_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// Answers the requests of a listener's callers.
pub trait RequestHandler: Sized + 'static {
    /// Body of an answer.
    type Body: MessageBody + 'static;

    /// Answers a request whose head had arrived at `arrived_at`. Dropping the future cancels the
    /// request.
    fn handle(
        self: Rc<Self>,
        request: Request,
        arrived_at: Moment,
    ) -> impl Future<Output = Response<Self::Body>> + 'static;

    /// Whether a request without a body may start while those before it on its connection are
    /// unanswered, and those behind it while it is unanswered. Such a request may be passed on and
    /// yet be sent again by the caller, so it must be idempotent.
    fn can_overlap(&self, request: &Request) -> bool {
        let _ = request;
        false
    }

    /// Called when a connection is accepted.
    fn connection_opened(&self) {}

    /// Called when a connection has ended.
    fn connection_ended(&self, caller: SocketAddr, result: &Result<(), ListenError>) {
        let _ = (caller, result);
    }
}

/// The number of open connections of a listener.
///
/// ```
/// use ggs_listen::OpenConnections;
///
/// assert_eq!(OpenConnections::default().count(), 0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct OpenConnections {
    count: Rc<Cell<usize>>,
}

impl OpenConnections {
    /// Number of open connections.
    pub fn count(&self) -> usize {
        self.count.get()
    }

    /// Waits until no connection is open.
    pub async fn all_closed(&self) {
        while self.count.get() > 0 {
            sleep(CLOSED_CHECK_INTERVAL).await;
        }
    }
}

/// Accepts connections until `stop` turns true, and lets `handler` answer their requests.
/// Connections that are open then, or have been established and not accepted yet, finish the requests
/// that have started.
pub async fn accept_connections<H>(
    listener: TcpListener,
    options: ListenOptions,
    connections: OpenConnections,
    stop: watch::Receiver<bool>,
    handler: Rc<H>,
) where
    H: RequestHandler,
{
    let config = ServiceConfig::default();
    let spawn = |stream, caller| {
        let (config, stop) = (config.clone(), stop.clone());
        let serving = serve(stream, caller, options, config, stop, Rc::clone(&handler));
        spawn_counted(&connections, serving);
    };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = wait_for_stop(stop.clone()) => break,
        };
        match accepted {
            Ok((stream, caller)) => spawn(stream, caller),
            Err(_) => sleep(ACCEPT_RETRY_DELAY).await,
        }
    }
    let mut end = pin!(sleep(LAST_ACCEPT_TIME));
    loop {
        tokio::select! {
            biased;
            () = &mut end => return,
            Ok((stream, caller)) = listener.accept() => spawn(stream, caller),
        }
    }
}

/// Runs the task of a connection, and counts it as open until it ends.
fn spawn_counted(connections: &OpenConnections, serving: impl Future<Output = ()> + 'static) {
    let connections = connections.clone();
    connections.count.set(connections.count.get() + 1);
    actix_rt::spawn(async move {
        serving.await;
        connections.count.set(connections.count.get() - 1);
    });
}

/// Serves one connection, and resets it if an answer was cut short.
async fn serve<H>(
    mut stream: TcpStream,
    caller: SocketAddr,
    options: ListenOptions,
    config: ServiceConfig,
    stop: watch::Receiver<bool>,
    handler: Rc<H>,
) where
    H: RequestHandler,
{
    handler.connection_opened();
    // Without `TCP_NODELAY` the connection still works.
    let _nodelay_set = stream.set_nodelay(true);
    let result = serve_connection(
        &mut stream,
        options,
        &config,
        |mut request, arrived_at| {
            request.head_mut().peer_addr = Some(caller);
            Rc::clone(&handler).handle(request, arrived_at)
        },
        |request| handler.can_overlap(request),
        wait_for_stop(stop),
    )
    .await;
    if matches!(result, Err(ListenError::AnswerCutShort)) {
        // A failure leaves the connection to a normal close, which ends answers with a length or
        // chunks early too.
        let _linger_set: io::Result<()> =
            set_socket_linger(&stream, Some(Duration::ZERO)).map_err(io::Error::from);
    }
    handler.connection_ended(caller, &result);
}

/// Waits until `stop` turns true.
async fn wait_for_stop(mut stop: watch::Receiver<bool>) {
    // A dropped sender stops the listener too.
    let _closed = stop.wait_for(|stopped| *stopped).await;
}
