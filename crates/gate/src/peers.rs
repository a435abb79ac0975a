//! Decides which other gates are live, and exchanges state with them.
//!
//! Gates send heartbeats to each other, which renew their leases and carry the digest of the
//! sender's documents and the servers that are leaving. A gate that lacks a change of documents, or
//! has no server list, pulls it from the gate that has it, so that gates keep working while the
//! platform is down. Live gates are advertised to callers, and the number of known gates decides
//! this gate's share of the connections to each server.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ggs_follow::ApplyOutcome;
use ggs_member::{
    GateRecord, HEARTBEAT_INTERVAL, HeartbeatOutcome, PeerLiveness, PeerPolicy, PeerTable,
    order_entries,
};
use ggs_model::{BootClock, Clock, DataCentre, GateId, Moment, PeerStatus, ServiceName};
use ggs_observe::LogEvent;
use ggs_peer::{
    LinkEvent, LinkFault, LinkSide, LinkTiming, LinkTraffic, Outbox, PROTOCOL_VERSION,
    PeerHeartbeat, PeerHello, PeerMessage, PeerNode, PullRequest,
};
use ggs_settings::GateSettings;
use tokio::net::TcpListener;
use tokio::sync::{Notify, mpsc};
use tokio::time::{sleep, timeout};

use crate::core::GateCore;
use crate::{documents, servers};

/// Longest time between two checks of leases, links and staleness.
const TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which the gate tries to connect to an address that another gate or the host list named.
const HINT_TTL: Duration = Duration::from_mins(1);

/// Maximum number of hints taken from other gates, and of those taken from one host list.
const MAX_HINT_COUNT: usize = 256;

/// Number of gates in a data centre over which the callers of one service are spread.
const ENTRY_SPREAD_COUNT: usize = 2;

/// Time for the links to send the goodbye before the process ends.
const GOODBYE_DELAY: Duration = Duration::from_millis(100);

/// The other gates and the links to them.
#[derive(Debug)]
pub(crate) struct GatePeers {
    node: PeerNode,
    table: RefCell<PeerTable>,
    /// Addresses that other gates or the host list named and to which the gate tries to connect,
    /// with the time of naming.
    hints: RefCell<BTreeMap<SocketAddr, Moment>>,
    /// Sequence number of the last heartbeat.
    sequence: Cell<u64>,
    /// Wakes the tick loop, which then sends a heartbeat at once.
    heartbeat_wanted: Notify,
    /// Traffic that is already included in the metrics.
    counted_traffic: Cell<LinkTraffic>,
    /// Whether the last logged state is that the leases of most other gates have expired.
    lost_most_peers: Cell<bool>,
}

impl GatePeers {
    /// Starts to accept links from other gates. `record` is what this gate announces about itself;
    /// the receiver yields what the others send.
    pub(crate) fn start(
        record: GateRecord,
        listener: TcpListener,
    ) -> (Self, mpsc::Receiver<LinkEvent>) {
        let hello = PeerHello {
            version: PROTOCOL_VERSION,
            record: record.clone(),
        };
        let (node, events) = PeerNode::start(listener, hello, LinkTiming::default());
        let table = PeerTable::new(record, PeerPolicy::default(), BootClock.now());
        let peers = Self {
            node,
            table: RefCell::new(table),
            hints: RefCell::new(BTreeMap::new()),
            sequence: Cell::new(0),
            heartbeat_wanted: Notify::new(),
            counted_traffic: Cell::new(LinkTraffic::default()),
            lost_most_peers: Cell::new(false),
        };
        (peers, events)
    }

    /// Returns what this gate announces about itself.
    pub(crate) fn own(&self) -> GateRecord {
        self.table.borrow().own().clone()
    }

    /// Stops advertising this gate to callers, and tells the other gates at once to do the same.
    pub(crate) fn drain(&self) {
        self.table.borrow_mut().drain();
        self.request_heartbeat();
    }

    /// Has a heartbeat sent at once, ahead of its interval.
    pub(crate) fn request_heartbeat(&self) {
        self.heartbeat_wanted.notify_one();
    }

    /// Sends a message to all gates to which a link is up.
    pub(crate) fn send_all(&self, message: &PeerMessage) {
        self.node.send_all(message);
    }

    /// Returns the caller address of another gate, for requests that only that incarnation may
    /// serve. A gate whose lease has expired is included, until the peer table removes it.
    pub(crate) fn address_of(&self, gate: &GateId, now: Moment) -> Option<SocketAddr> {
        let table = self.table.borrow();
        let view = table.views(now).find(|view| view.record.gate == *gate)?;
        Some(view.record.callers)
    }

    /// Returns the gate addresses for callers of a service, in the order in which to try them;
    /// gates in the data centre `near` come first.
    pub(crate) fn entries(
        &self,
        service: &ServiceName,
        near: &DataCentre,
        now: Moment,
    ) -> Vec<SocketAddr> {
        let table = self.table.borrow();
        let advertised = table.advertised(now);
        order_entries(
            &advertised,
            service,
            near,
            ENTRY_SPREAD_COUNT,
            rand::random(),
        )
    }

    /// Returns the rows of the status answer for the other gates. A gate whose lease has expired
    /// counts as live while it is still advertised, as this gate may be the one that is cut off.
    pub(crate) fn status(&self, now: Moment) -> Vec<PeerStatus> {
        let table = self.table.borrow();
        let advertised = table.advertised(now);
        let is_advertised = |gate: &GateId| {
            let mut records = advertised.live.iter().chain(&advertised.unsure);
            records.any(|record| record.gate == *gate)
        };
        let views = table.views(now).map(|view| PeerStatus {
            gate: view.record.gate.clone(),
            data_centre: view.record.data_centre.clone(),
            callers: view.record.callers,
            live: is_advertised(&view.record.gate),
            heard_ms: now.since(view.last_heartbeat).as_millis() as u64,
        });
        views.collect()
    }

    /// Tells all gates that this incarnation ends, and closes the links.
    pub(crate) async fn send_goodbye(&self) {
        let gate = self.own().gate;
        self.node.send_all(&PeerMessage::Goodbye(gate));
        self.node.stop();
        sleep(GOODBYE_DELAY).await;
    }

    /// Opens links to the gates in the settings (`seeds`), the known gates and the hinted
    /// addresses, and closes all others.
    fn update_links(&self, seeds: &[SocketAddr], now: Moment) {
        let mut hints = self.hints.borrow_mut();
        hints.retain(|_, named_at| now.since(*named_at) < HINT_TTL);
        let table = self.table.borrow();
        let mut wanted: BTreeSet<_> = table.views(now).map(|view| view.record.peers).collect();
        wanted.extend(seeds);
        wanted.extend(hints.keys());
        wanted.remove(&table.own().peers);
        for address in self.node.addresses() {
            if !wanted.contains(&address) {
                self.node.disconnect(address);
            }
        }
        for address in wanted {
            self.node.dial(address);
        }
    }

    /// Adds the gate addresses in the host list to the hints, and renews those that are there.
    pub(crate) fn add_listed_gates(
        &self,
        addresses: impl Iterator<Item = SocketAddr>,
        now: Moment,
    ) {
        let mut hints = self.hints.borrow_mut();
        for address in addresses.take(MAX_HINT_COUNT) {
            hints.insert(address, now);
        }
    }

    /// Adds addresses that another gate named to the hints, without renewing those that are there.
    fn add_hints(&self, addresses: Vec<SocketAddr>, now: Moment) {
        let mut hints = self.hints.borrow_mut();
        for address in addresses {
            if hints.len() < MAX_HINT_COUNT {
                hints.entry(address).or_insert(now);
            }
        }
    }

    /// Returns the peer addresses of the gates whose leases have not expired.
    fn live_addresses(&self, now: Moment) -> Vec<SocketAddr> {
        let table = self.table.borrow();
        let is_live = |liveness| matches!(liveness, PeerLiveness::Live | PeerLiveness::Draining);
        let live = table.views(now).filter(|view| is_live(view.liveness));
        live.map(|view| view.record.peers).collect()
    }
}

/// Sends heartbeats and checks leases, links, staleness and traffic, until the gate ends.
pub(crate) async fn run_ticks(core: Rc<GateCore>) {
    let mut heartbeat_due = core.clock.now();
    loop {
        let now = core.clock.now();
        check_leases(&core, now);
        core.peers.update_links(&core.settings.peers, now);
        documents::report_staleness(&core, now);
        count_traffic(&core);
        if now >= heartbeat_due {
            core.peers
                .send_all(&PeerMessage::Heartbeat(heartbeat(&core)));
            heartbeat_due = now + HEARTBEAT_INTERVAL.mul_f64(rand::random_range(0.8..1.2));
        }
        if timeout(TICK_INTERVAL, core.peers.heartbeat_wanted.notified())
            .await
            .is_ok()
        {
            heartbeat_due = core.clock.now();
        }
    }
}

/// Builds the next heartbeat.
fn heartbeat(core: &GateCore) -> PeerHeartbeat {
    let now = core.clock.now();
    let sequence = core.peers.sequence.get() + 1;
    core.peers.sequence.set(sequence);
    PeerHeartbeat {
        sequence,
        state: core.peers.table.borrow().own().state,
        digest: core.documents.digest(now),
        leaving: core.servers.recently_leaving(now),
    }
}

/// Withdraws gates whose leases have expired, logs this, and updates what depends on the number of
/// gates.
fn check_leases(core: &GateCore, now: Moment) {
    let report = core.peers.table.borrow_mut().tick(now);
    if report.woke {
        let message = "process was paused; no other gate is withdrawn for one lease";
        core.log.emit(LogEvent::GateWoke, message, slog::o!());
    }
    // A replaced gate needs no action: a newer incarnation has taken its address.
    for gate in report.withdrawn {
        let pairs = slog::o!("gate" => gate.to_string());
        let message = "no heartbeat of the gate within its lease; gate is withdrawn";
        core.log.emit(LogEvent::GateWithdrawn, message, pairs);
    }
    let table = core.peers.table.borrow();
    let lost_most_peers = table.lost_most_peers(now);
    let live = table
        .views(now)
        .filter(|view| view.liveness == PeerLiveness::Live);
    core.metrics.gates_live.set(1 + live.count() as i64);
    let known = table.views(now).count();
    core.record_gate_count(count_gates(&core.settings, known), now);
    if core.peers.lost_most_peers.replace(lost_most_peers) == lost_most_peers {
        return;
    }
    let event = if lost_most_peers {
        LogEvent::GatesLost
    } else {
        LogEvent::GatesSeen
    };
    core.log.emit(
        event,
        "reachability of most other gates changed",
        slog::o!(),
    );
}

/// Returns the number of gates that may hold connections to servers, where `known` counts the known
/// gates except this one.
///
/// Lost gates are counted, as a gate that is paused or cut off still holds its connections. The
/// count is at least that of the gates in the settings, as a gate that starts while it is cut off
/// knows no other.
fn count_gates(settings: &GateSettings, known: usize) -> u32 {
    let seeds = settings.peers.iter();
    let seeds = seeds.filter(|peer| **peer != settings.listen_peers).count();
    1 + known.max(seeds) as u32
}

/// Adds the traffic between gates since the last call to the metrics.
fn count_traffic(core: &GateCore) {
    let traffic = core.peers.node.traffic();
    let counted = core.peers.counted_traffic.replace(traffic);
    let sent = traffic.bytes_sent - counted.bytes_sent;
    let received = traffic.bytes_received - counted.bytes_received;
    core.metrics.count_peer_sent(sent);
    core.metrics.count_peer_received(received);
}

/// Handles the events of the links to other gates, until the gate ends.
pub(crate) async fn handle_events(core: Rc<GateCore>, mut events: mpsc::Receiver<LinkEvent>) {
    while let Some(event) = events.recv().await {
        match event {
            LinkEvent::Up { record, outbox } => send_initial_state(&core, record, &outbox),
            LinkEvent::Message {
                record,
                message,
                side,
                outbox,
            } => {
                if matches!(message, PeerMessage::Heartbeat(_)) && side == LinkSide::Accepted {
                    return_heartbeat(&core, &record, &outbox);
                }
                handle_message(&core, record, message, &outbox);
            }
            LinkEvent::Down { address, fault } => log_link_fault(&core, address, &fault),
        }
    }
}

/// Sends a newly connected gate the state that it may lack, and pulls the server list if this gate
/// has none.
fn send_initial_state(core: &GateCore, record: GateRecord, outbox: &Outbox) {
    let now = core.clock.now();
    record_heartbeat(core, record);
    outbox.push(PeerMessage::Heartbeat(heartbeat(core)));
    outbox.push(PeerMessage::PeerAddresses(core.peers.live_addresses(now)));
    let leaving = core.servers.leaving();
    if !leaving.is_empty() {
        outbox.push(PeerMessage::Leaving(leaving));
    }
    if core.servers.is_empty() {
        let after = core.documents.fleet();
        let servers = true;
        outbox.push(PeerMessage::Pull(PullRequest { after, servers }));
    }
}

/// Answers the heartbeat of a gate to which this one has no link, on the connection that the other
/// gate opened. Otherwise a network fault in one direction would make that gate count this one as
/// lost. Only heartbeats on accepted connections are answered, so that two gates never answer each
/// other in an endless loop.
fn return_heartbeat(core: &GateCore, record: &GateRecord, outbox: &Outbox) {
    if !core.peers.node.is_up(record.peers) {
        outbox.push(PeerMessage::Heartbeat(heartbeat(core)));
    }
}

/// Renews the lease of the gate that sent a heartbeat or opened a link.
fn record_heartbeat(core: &GateCore, record: GateRecord) {
    let gate = record.gate.clone();
    let outcome = core
        .peers
        .table
        .borrow_mut()
        .record_heartbeat(record, core.clock.now());
    if matches!(
        outcome,
        HeartbeatOutcome::Joined | HeartbeatOutcome::Returned
    ) {
        let pairs = slog::o!("gate" => gate.to_string());
        core.log.emit(
            LogEvent::GateJoined,
            "gate joined or is reachable again",
            pairs,
        );
    }
}

/// Applies a message from another gate, and answers it on `outbox` where it asks for something.
fn handle_message(core: &GateCore, record: GateRecord, message: PeerMessage, outbox: &Outbox) {
    let now = core.clock.now();
    match message {
        PeerMessage::Heartbeat(heartbeat) => {
            record_heartbeat(core, record);
            if let Some(after) = core.documents.compare(heartbeat.digest, now) {
                let servers = core.servers.is_empty();
                outbox.push(PeerMessage::Pull(PullRequest { after, servers }));
            }
            servers::apply_leaving(core, &heartbeat.leaving);
        }
        PeerMessage::Leaving(servers) => servers::apply_leaving(core, &servers),
        PeerMessage::Changes(set) => {
            if let ApplyOutcome::Gap(after) = documents::apply(core, set, "peer") {
                let servers = false;
                outbox.push(PeerMessage::Pull(PullRequest { after, servers }));
            }
        }
        PeerMessage::Pull(request) => answer_pull(core, request, outbox),
        PeerMessage::Servers(list) => {
            if core.servers.is_empty() {
                servers::apply_list(core, &list);
            }
        }
        PeerMessage::PeerAddresses(addresses) => core.peers.add_hints(addresses, now),
        PeerMessage::Goodbye(gate) => {
            if core.peers.table.borrow_mut().record_goodbye(&gate) {
                let pairs = slog::o!("gate" => gate.to_string());
                core.log
                    .emit(LogEvent::GateLeft, "gate announced that it ends", pairs);
            }
        }
        // The connections of ggs-peer handle these themselves.
        PeerMessage::Hello(_) | PeerMessage::Echo(_) => {}
    }
}

/// Sends the changes and the server list that another gate asked for, as far as this gate has them.
fn answer_pull(core: &GateCore, request: PullRequest, outbox: &Outbox) {
    if core.documents.fleet() > request.after {
        let set = core.documents.changes_since(request.after);
        outbox.push(PeerMessage::Changes(set));
    }
    if request.servers && !core.servers.is_empty() {
        outbox.push(PeerMessage::Servers(core.servers.entries()));
    }
}

/// Logs why a connection to another gate ended, unless this gate ended it itself.
fn log_link_fault(core: &GateCore, address: SocketAddr, fault: &LinkFault) {
    let pairs = slog::o!("address" => address.to_string(), "cause" => fault.to_string());
    match fault {
        LinkFault::ClosedLocally | LinkFault::OwnAddress => {}
        LinkFault::InvalidFrame(_) | LinkFault::NoHello | LinkFault::VersionMismatch { .. } => {
            let message =
                "connection rejected: the other end does not speak this version of the protocol";
            core.log.emit(LogEvent::PeerLinkRejected, message, pairs);
        }
        LinkFault::Unreachable { .. } | LinkFault::Closed { .. } | LinkFault::TimedOut => {
            let message = "connection to another gate ended";
            core.log.emit(LogEvent::PeerLinkEnded, message, pairs);
        }
    }
}
