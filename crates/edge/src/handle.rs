//! Starts a gate: binds its listeners and starts its tasks. [`EdgeHandle`] later drains it.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use ggs_listen::OpenConnections;
use ggs_observe::{EventLog, LogEvent};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::Signal;
use tokio::sync::watch;

use crate::config::follow_settings;
use crate::core::EdgeCore;
use crate::crashes::share_crashes;
use crate::drain::{DrainListeners, drain};
use crate::gates;
use crate::listen::{answer_entries, answer_ready, serve_callers, serve_gates, serve_immediate};
use crate::load_updates;
use crate::operator::answer_operator;
use crate::ports::{EdgeWire, FleetStore, SettingsSource};
use crate::quarantine::follow_quarantine;
use crate::reach::try_servers;
use crate::settings::EdgeSettings;
use crate::startup::synchronize;

/// Why a gate did not start.
#[derive(Debug)]
pub enum EdgeError {
    /// An address could not be bound.
    Bind {
        /// The address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        cause: io::Error,
    },
}

impl fmt::Display for EdgeError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind { address, cause } => {
                write!(formatter, "address {address} cannot be bound: {cause}")
            }
        }
    }
}

impl std::error::Error for EdgeError {}

/// A running gate. Dropping the handle stops its listeners without a drain.
#[derive(Debug)]
pub struct EdgeHandle<W, S> {
    core: Rc<EdgeCore<W, S>>,
    socket: Rc<UdpSocket>,
    /// Connections of callers.
    connections: OpenConnections,
    /// Connections of other gates.
    gate_connections: OpenConnections,
    /// Stops the listener for callers' requests.
    stop: watch::Sender<bool>,
    /// Stops the other listeners, which stay open during the drain.
    finish: watch::Sender<bool>,
}

/// Starts a gate on the current actix-rt runtime.
///
/// # Errors
///
/// Fails when an address cannot be bound.
pub async fn start<W, S>(
    settings: EdgeSettings,
    wire: W,
    store: S,
    log: EventLog,
) -> Result<EdgeHandle<W, S>, EdgeError>
where
    W: EdgeWire,
    S: FleetStore,
{
    let core = EdgeCore::new(settings, wire, store, log);
    let settings = core.settings();
    let callers = bind(&core.log, settings.listen_callers).await?;
    let ready = bind(&core.log, settings.listen_ready).await?;
    let entries = bind(&core.log, settings.listen_entries).await?;
    let metrics = bind(&core.log, settings.listen_metrics).await?;
    let peers = bind(&core.log, settings.listen_gates).await?;
    let socket = UdpSocket::bind(settings.listen_gates).await;
    let socket = socket.map_err(|cause| bind_failed(&core.log, settings.listen_gates, cause))?;
    let socket = Rc::new(socket);
    core.quota.set_socket(Rc::clone(&socket));
    let (stop, stopped) = watch::channel(false);
    let (finish, finished) = watch::channel(false);
    let connections = OpenConnections::default();
    let gate_connections = OpenConnections::default();
    let clone = Rc::clone;
    actix_rt::spawn(serve_callers(
        clone(&core),
        callers,
        connections.clone(),
        stopped,
    ));
    actix_rt::spawn(serve_immediate(
        clone(&core),
        ready,
        finished.clone(),
        answer_ready,
    ));
    actix_rt::spawn(serve_immediate(
        clone(&core),
        entries,
        finished.clone(),
        answer_entries,
    ));
    actix_rt::spawn(serve_gates(
        clone(&core),
        peers,
        gate_connections.clone(),
        finished.clone(),
    ));
    actix_rt::spawn(serve_immediate(
        clone(&core),
        metrics,
        finished,
        answer_operator,
    ));
    actix_rt::spawn(load_updates::send_load_updates(
        clone(&core),
        Rc::clone(&socket),
    ));
    actix_rt::spawn(follow_quarantine(clone(&core)));
    actix_rt::spawn(try_servers(clone(&core)));
    actix_rt::spawn(share_crashes(clone(&core), Rc::clone(&socket)));
    actix_rt::spawn(synchronize(clone(&core), Rc::clone(&socket)));
    actix_rt::spawn(gates::send_heartbeats(clone(&core), Rc::clone(&socket)));
    actix_rt::spawn(gates::receive_datagrams(clone(&core), Rc::clone(&socket)));
    let pairs = slog::o!("callers" => settings.listen_callers.to_string());
    core.log.emit(LogEvent::GateStarted, "gate started", pairs);
    Ok(EdgeHandle {
        core,
        socket,
        connections,
        gate_connections,
        stop,
        finish,
    })
}

impl<W, S> EdgeHandle<W, S>
where
    W: EdgeWire,
    S: FleetStore,
{
    /// Whether the gate knows routes and servers and is not draining.
    pub fn is_ready(&self) -> bool {
        self.core.is_ready()
    }

    /// Number of requests of this gate that are in flight at servers.
    pub fn requests_at_servers(&self) -> usize {
        self.core.requests_at_servers()
    }

    /// Starts a task that reads the settings again on each `signal` and periodically.
    pub fn follow_settings<P>(&self, source: P, signal: Signal)
    where
        P: SettingsSource,
    {
        actix_rt::spawn(follow_settings(Rc::clone(&self.core), source, signal));
    }

    /// Drains the gate. Returns when its requests have finished, or shortly before the stop grace
    /// ends.
    pub async fn drain(self) {
        let listeners = DrainListeners {
            connections: &self.connections,
            stop: &self.stop,
            gate_connections: &self.gate_connections,
            finish: &self.finish,
        };
        drain(&self.core, &self.socket, &listeners).await;
    }
}

/// Binds a TCP listener and logs a failure.
async fn bind(log: &EventLog, address: SocketAddr) -> Result<TcpListener, EdgeError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|cause| bind_failed(log, address, cause))
}

/// Logs that an address could not be bound and returns the error.
fn bind_failed(log: &EventLog, address: SocketAddr, cause: io::Error) -> EdgeError {
    let pairs = slog::o!("address" => address.to_string(), "cause" => cause.to_string());
    log.emit(LogEvent::BindFailed, "address cannot be bound", pairs);
    EdgeError::Bind { address, cause }
}
