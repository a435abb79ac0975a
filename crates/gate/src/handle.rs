//! Starts and drains a gate.
//!
//! Starting binds the two listeners and spawns the tasks that accept callers, follow the platform,
//! exchange state with other gates, send load probes and remove what has expired.

use std::fmt;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ggs_listen::OpenConnections;
use ggs_member::{GateRecord, GateState};
use ggs_model::{GateId, Incarnation};
use ggs_observe::{EventLog, LogEvent};
use ggs_settings::GateSettings;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use crate::core::GateCore;
use crate::listen;
use crate::peers::{self, GatePeers};
use crate::{documents, probes, servers};

/// Additional time for which a draining gate accepts callers after the last entry answer that named
/// it has expired. It covers the time that this answer takes to arrive, and callers' clocks that
/// run slow.
const DRAIN_MARGIN: Duration = Duration::from_millis(500);

/// Time between two removals of idle server connections and expired keys.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Error when a gate cannot start.
#[derive(Debug)]
pub enum StartError {
    /// An address could not be bound.
    Bind {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        cause: io::Error,
    },
}

impl fmt::Display for StartError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Bind { address, cause } => {
                write!(formatter, "address {address} cannot be bound: {cause}")
            }
        }
    }
}

impl std::error::Error for StartError {}

/// A running gate.
#[derive(Debug)]
pub struct GateHandle {
    core: Rc<GateCore>,
    connections: OpenConnections,
    /// Stops the listener for callers.
    stop: watch::Sender<bool>,
    /// Tasks that are aborted once the drain is complete.
    tasks: Vec<JoinHandle<()>>,
}

/// Starts a gate on the current actix-rt runtime. It runs until it is drained.
///
/// # Errors
///
/// Fails when an address cannot be bound.
pub async fn start(settings: GateSettings, log: EventLog) -> Result<GateHandle, StartError> {
    let callers = bind(settings.listen_callers).await?;
    let peers = bind(settings.listen_peers).await?;
    let record = own_record(&settings, &callers, &peers);
    let (peers, events) = GatePeers::start(record, peers);
    let core = GateCore::new(settings, peers, log);
    let (stop, stopped) = watch::channel(false);
    let connections = OpenConnections::default();
    let tasks = vec![
        actix_rt::spawn(listen::accept(
            Rc::clone(&core),
            callers,
            connections.clone(),
            stopped,
        )),
        actix_rt::spawn(documents::follow_table(Rc::clone(&core))),
        actix_rt::spawn(servers::follow_list(Rc::clone(&core))),
        actix_rt::spawn(servers::follow_answers(Rc::clone(&core))),
        actix_rt::spawn(peers::handle_events(Rc::clone(&core), events)),
        actix_rt::spawn(peers::run_ticks(Rc::clone(&core))),
        actix_rt::spawn(probes::probe_services(Rc::clone(&core))),
        actix_rt::spawn(sweep(Rc::clone(&core))),
    ];
    let pairs = slog::o!(
        "callers" => core.caller_address().to_string(),
        "gate" => core.id.to_string(),
    );
    core.log.emit(LogEvent::GateStarted, "gate started", pairs);
    Ok(GateHandle {
        core,
        connections,
        stop,
        tasks,
    })
}

async fn bind(address: SocketAddr) -> Result<TcpListener, StartError> {
    let bound = TcpListener::bind(address).await;
    bound.map_err(|cause| StartError::Bind { address, cause })
}

/// The record of this gate process that it sends to other gates. Each start draws a random
/// incarnation.
fn own_record(settings: &GateSettings, callers: &TcpListener, peers: &TcpListener) -> GateRecord {
    let gate = GateId {
        host: settings.host.clone(),
        incarnation: Incarnation(rand::random()),
    };
    GateRecord {
        gate,
        data_centre: settings.data_centre.clone(),
        callers: callers.local_addr().unwrap_or(settings.listen_callers),
        peers: peers.local_addr().unwrap_or(settings.listen_peers),
        state: GateState::Live,
    }
}

/// Periodically closes server connections that were idle for too long and removes expired keys.
async fn sweep(core: Rc<GateCore>) {
    loop {
        tokio::time::sleep(SWEEP_INTERVAL).await;
        let now = ggs_model::Clock::now(&core.clock);
        core.transport.pool().sweep(now);
        let entries = core.keys.sweep(now);
        core.metrics.key_entries.set(entries as i64);
    }
}

impl GateHandle {
    /// The address on which the gate accepts callers, with the port that was bound.
    pub fn caller_address(&self) -> SocketAddr {
        self.core.caller_address()
    }

    /// Drains the gate: it is no longer advertised to callers, accepts requests until the last
    /// entry answer that named it has expired, finishes every request, and ends.
    pub async fn drain(self) {
        self.core
            .log
            .emit(LogEvent::GateDraining, "gate starts to drain", slog::o!());
        self.core.start_draining();
        let entry_ttl = Duration::from_millis(self.core.settings.entry_ttl_ms);
        tokio::time::sleep(entry_ttl + DRAIN_MARGIN).await;
        // Fails only if the accept task has already ended and dropped its receiver.
        let _ = self.stop.send(true);
        self.connections.all_closed().await;
        self.core.keys.all_runs_ended().await;
        self.core.peers.send_goodbye().await;
        for task in &self.tasks {
            task.abort();
        }
        self.core
            .log
            .emit(LogEvent::GateStopped, "gate stops", slog::o!());
    }
}
