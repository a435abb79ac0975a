//! Keeps the servers of all services up to date, from the host list, from leaving notices and from
//! the incarnations that servers name in their answers.
//!
//! The host list of the platform may lag or be wrong. So a leaving notice, whether it comes from
//! the server itself or from another gate, takes effect at once and is passed on to all gates. A
//! gate without a list takes one from another gate while the platform is down.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use ggs_member::{ServerRoster, ServerView};
use ggs_model::{Clock, Moment, ServerEntry, ServerId, ServerState, ServiceName};
use ggs_observe::LogEvent;
use ggs_peer::PeerMessage;
use ggs_store::HostList;
use tokio::time::sleep;

use crate::core::GateCore;

/// Mean time between two reads of the host list, if the list is empty.
const BASE_READ_INTERVAL: Duration = Duration::from_secs(1);

/// Added to the mean time between two reads for each listed server, so that the reads use the same
/// share of a gate's bandwidth at any size of the list. This does not delay leaving notices, as the
/// gate that first reads one passes it on to all gates.
const READ_INTERVAL_PER_SERVER: Duration = Duration::from_millis(20);

/// Service name under which the host list contains the peer addresses of gates.
const GATE_SERVICE: &str = "ggs-gates";

/// The servers of all services.
#[derive(Debug, Default)]
pub(crate) struct GateServers {
    roster: RefCell<ServerRoster>,
    /// Generation of the roster that was last applied to the choosers.
    applied_generation: Cell<u64>,
    /// Whether the last read of the host list failed.
    read_failing: Cell<bool>,
    /// Whether the last host list lacked so many servers at once that not all of them were removed.
    shrunken: Cell<bool>,
}

impl GateServers {
    /// Returns the servers of a service that take new requests, sorted by address.
    pub(crate) fn usable(&self, service: &ServiceName) -> Vec<ServerView> {
        self.roster.borrow().usable(service)
    }

    /// Returns the number of servers of a service that are leaving.
    pub(crate) fn leaving_count(&self, service: &ServiceName) -> usize {
        self.roster.borrow().leaving_count(service)
    }

    /// Returns whether no server is known, as before the first host list.
    pub(crate) fn is_empty(&self) -> bool {
        self.roster.borrow().is_empty()
    }

    /// Returns the known servers in the form of a host list, to be sent to a gate that has none.
    pub(crate) fn entries(&self) -> Vec<ServerEntry> {
        self.roster.borrow().entries()
    }

    /// Returns all servers that are known to be leaving.
    pub(crate) fn leaving(&self) -> Vec<ServerId> {
        self.roster.borrow().leaving().all().collect()
    }

    /// Returns the servers whose first leaving notice is recent enough to be repeated in
    /// heartbeats.
    pub(crate) fn recently_leaving(&self, now: Moment) -> Vec<ServerId> {
        self.roster.borrow().leaving().recent(now).collect()
    }
}

/// Reads the host list at intervals that grow with its length, until the gate ends.
pub(crate) async fn follow_list(core: Rc<GateCore>) {
    loop {
        let count = read_list(&core).await;
        let interval = BASE_READ_INTERVAL + READ_INTERVAL_PER_SERVER * count as u32;
        sleep(interval.mul_f64(rand::random_range(0.8..1.2))).await;
    }
}

/// Reads and applies the host list; returns the number of its entries, 0 if it cannot be read.
async fn read_list(core: &GateCore) -> usize {
    match core.platform.servers().await {
        Ok(list) => {
            core.servers.read_failing.set(false);
            apply_list(core, &list);
            let gates = list.iter().filter(|entry| is_live_gate(entry));
            let addresses = gates.map(|entry| entry.server.address);
            core.peers.add_listed_gates(addresses, core.clock.now());
            list.len()
        }
        Err(error) => {
            core.metrics.count_platform_failure("hosts-get");
            if !core.servers.read_failing.replace(true) {
                let pairs = slog::o!("cause" => error.to_string());
                let message = "host list cannot be read; the known servers are kept";
                core.log.emit(LogEvent::PlatformFailed, message, pairs);
            }
            0
        }
    }
}

/// Returns whether an entry of the host list is the peer address of a gate that is not leaving.
fn is_live_gate(entry: &ServerEntry) -> bool {
    entry.service.as_str() == GATE_SERVICE && entry.state == ServerState::Live
}

/// Applies a host list from the platform, or from another gate if this gate has none yet.
pub(crate) fn apply_list(core: &GateCore, list: &[ServerEntry]) {
    let now = core.clock.now();
    let update = core.servers.roster.borrow_mut().apply_list(list, now);
    let shrunken = update.kept > 0;
    if shrunken && !core.servers.shrunken.get() {
        let pairs = slog::o!("listed" => list.len(), "held" => update.kept);
        let message = "host list lacks many servers at once; not all of them are removed";
        core.log.emit(LogEvent::HostListShrunken, message, pairs);
    }
    core.servers.shrunken.set(shrunken);
    announce_leaving(core, update.leaving);
    refresh_choosers(core);
}

/// Applies leaving notices from servers or from other gates.
pub(crate) fn apply_leaving(core: &GateCore, servers: &[ServerId]) {
    let now = core.clock.now();
    let mut roster = core.servers.roster.borrow_mut();
    let newly_leaving = servers.iter().copied();
    let newly_leaving = newly_leaving
        .filter(|server| roster.mark_leaving(*server, now))
        .collect();
    drop(roster);
    announce_leaving(core, newly_leaving);
    refresh_choosers(core);
}

/// Passes first leaving notices on to all other gates. This is done once for each server;
/// heartbeats repeat the notice for a few seconds, in case the message is lost.
fn announce_leaving(core: &GateCore, servers: Vec<ServerId>) {
    if servers.is_empty() {
        return;
    }
    for server in &servers {
        let pairs = slog::o!("server" => server.to_string());
        core.log
            .emit(LogEvent::ServerLeaving, "server is leaving", pairs);
    }
    core.peers.send_all(&PeerMessage::Leaving(servers));
}

/// Updates the choosers if the usable servers have changed since the last call.
fn refresh_choosers(core: &GateCore) {
    let generation = core.servers.roster.borrow().generation();
    if core.servers.applied_generation.replace(generation) != generation {
        core.refresh_all_servers();
    }
}

/// Applies the leaving notices and incarnations that servers report in the headers of their
/// answers, until the gate ends.
pub(crate) async fn follow_answers(core: Rc<GateCore>) {
    loop {
        for update in core.transport.take_updates().await {
            let server = ServerId {
                address: update.server.address,
                incarnation: update.incarnation.unwrap_or(update.server.incarnation),
            };
            if update.leaving {
                apply_leaving(&core, &[server]);
            } else {
                core.servers.roster.borrow_mut().record_incarnation(server);
                refresh_choosers(&core);
            }
        }
    }
}
