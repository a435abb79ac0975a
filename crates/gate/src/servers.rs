//! Servers: follows the host list and the signs that servers are leaving.

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

/// Mean time between two reads of a host list without servers.
const READ_PERIOD: Duration = Duration::from_secs(1);

/// Added to the mean time for each listed server, so that the list costs each gate the same share of
/// its bandwidth at any size. Leaving servers do not wait for it: every gate's read reaches all.
const READ_PERIOD_PER_SERVER: Duration = Duration::from_millis(20);

/// Service under which a host list names the peer addresses of gates.
const GATE_SERVICE: &str = "ggs-gates";

/// The servers of all services.
#[derive(Debug, Default)]
pub(crate) struct GateServers {
    roster: RefCell<ServerRoster>,
    /// Generation of the roster that the choosers have.
    shown: Cell<u64>,
    /// Whether the last read of the host list failed.
    failing: Cell<bool>,
    /// Whether the last host list lacked too many servers.
    held: Cell<bool>,
}

impl GateServers {
    /// Servers of a service that take new work.
    pub(crate) fn usable(&self, service: &ServiceName) -> Vec<ServerView> {
        self.roster.borrow().usable(service)
    }

    /// Number of a service's servers that are leaving.
    pub(crate) fn leaving_count(&self, service: &ServiceName) -> usize {
        self.roster.borrow().leaving_count(service)
    }

    /// Whether no server is known.
    pub(crate) fn is_empty(&self) -> bool {
        self.roster.borrow().is_empty()
    }

    /// The known servers as a host list.
    pub(crate) fn entries(&self) -> Vec<ServerEntry> {
        self.roster.borrow().entries()
    }

    /// All servers known to be leaving.
    pub(crate) fn leaving(&self) -> Vec<ServerId> {
        self.roster.borrow().leaving().all().collect()
    }

    /// Servers whose first sign of leaving came a short while ago.
    pub(crate) fn leaving_lately(&self, now: Moment) -> Vec<ServerId> {
        self.roster.borrow().leaving().recent(now).collect()
    }
}

/// Follows the host list until the gate ends.
pub(crate) async fn follow_list(core: Rc<GateCore>) {
    loop {
        let count = read_list(&core).await;
        let period = READ_PERIOD + READ_PERIOD_PER_SERVER * count as u32;
        sleep(period.mul_f64(rand::random_range(0.8..1.2))).await;
    }
}

/// Reads the host list; the number of servers in it.
async fn read_list(core: &GateCore) -> usize {
    match core.platform.servers().await {
        Ok(list) => {
            core.servers.failing.set(false);
            take_list(core, &list);
            let gates = list.iter().filter(|entry| is_live_gate(entry));
            let addresses = gates.map(|entry| entry.server.address);
            core.peers.take_listed(addresses, core.clock.now());
            list.len()
        }
        Err(error) => {
            core.metrics.count_platform_failure("hosts-get");
            if !core.servers.failing.replace(true) {
                let pairs = slog::o!("cause" => error.to_string());
                let message = "host list cannot be read";
                core.log.emit(LogEvent::PlatformFailed, message, pairs);
            }
            0
        }
    }
}

/// Whether an entry of the host list names the peer address of a gate that is not leaving.
fn is_live_gate(entry: &ServerEntry) -> bool {
    entry.service.as_str() == GATE_SERVICE && entry.state == ServerState::Live
}

/// Takes a host list from the platform, or from a peer while the platform is down.
pub(crate) fn take_list(core: &GateCore, list: &[ServerEntry]) {
    let now = core.clock.now();
    let update = core.servers.roster.borrow_mut().apply_list(list, now);
    let held = update.kept > 0;
    if held && !core.servers.held.get() {
        let pairs = slog::o!("listed" => list.len(), "held" => update.kept);
        let message = "host list lacks many servers";
        core.log.emit(LogEvent::HostListShrunken, message, pairs);
    }
    core.servers.held.set(held);
    pass_on(core, update.leaving);
    refresh(core);
}

/// Takes signs, from servers or from other gates, that servers are leaving.
pub(crate) fn take_leaving(core: &GateCore, servers: &[ServerId]) {
    let now = core.clock.now();
    let mut roster = core.servers.roster.borrow_mut();
    let first = servers.iter().copied();
    let first = first
        .filter(|server| roster.mark_leaving(*server, now))
        .collect();
    drop(roster);
    pass_on(core, first);
    refresh(core);
}

/// Passes first signs on to all other gates, once; heartbeats repeat them for a while.
fn pass_on(core: &GateCore, servers: Vec<ServerId>) {
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

/// Tells the choosers if the usable servers changed.
fn refresh(core: &GateCore) {
    let generation = core.servers.roster.borrow().generation();
    if core.servers.shown.replace(generation) != generation {
        core.refresh_all_servers();
    }
}

/// Takes what servers say of themselves in their answers, until the gate ends.
pub(crate) async fn follow_answers(core: Rc<GateCore>) {
    loop {
        for sign in core.transport.take_signs().await {
            let server = ServerId {
                address: sign.known.address,
                incarnation: sign.answered.unwrap_or(sign.known.incarnation),
            };
            if sign.leaving {
                take_leaving(&core, &[server]);
            } else {
                core.servers.roster.borrow_mut().record_incarnation(server);
                refresh(&core);
            }
        }
    }
}
