//! The other gates: who lives, and the exchange of state with them.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ggs_follow::BookOutcome;
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

/// Time between two looks at leases.
const TICK: Duration = Duration::from_millis(250);

/// Time for which an address that another gate or the host list named is tried.
const HINT_TIME: Duration = Duration::from_mins(1);

/// Addresses named by other gates that are tried at once.
const MAX_HINTS: usize = 256;

/// Gates of a data centre that share the callers of one service.
const ENTRY_SPREAD: usize = 2;

/// Time to send the last message.
const GOODBYE_TIME: Duration = Duration::from_millis(100);

/// What a gate knows of the others.
#[derive(Debug)]
pub(crate) struct GatePeers {
    node: PeerNode,
    table: RefCell<PeerTable>,
    /// Addresses that other gates or the host list named, with the time at which they did.
    hints: RefCell<BTreeMap<SocketAddr, Moment>>,
    /// Heartbeats sent.
    sequence: Cell<u64>,
    /// Asks for a heartbeat at once.
    beat: Notify,
    /// Traffic that the metrics have counted.
    counted: Cell<LinkTraffic>,
    /// Whether the gate said that it lost sight of most others.
    suspect: Cell<bool>,
}

impl GatePeers {
    /// Listens for other gates; `record` is what this gate says of itself.
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
            beat: Notify::new(),
            counted: Cell::new(LinkTraffic::default()),
            suspect: Cell::new(false),
        };
        (peers, events)
    }

    /// What this gate says of itself.
    pub(crate) fn own(&self) -> GateRecord {
        self.table.borrow().own().clone()
    }

    /// Stops handing out this gate, here and at the others.
    pub(crate) fn drain(&self) {
        self.table.borrow_mut().drain();
        self.want_beat();
    }

    /// Asks for a heartbeat at once.
    pub(crate) fn want_beat(&self) {
        self.beat.notify_one();
    }

    /// Sends a message to all gates.
    pub(crate) fn send_all(&self, message: &PeerMessage) {
        self.node.send_all(message);
    }

    /// The caller address of a live or draining gate, for requests that only that run may serve.
    pub(crate) fn address_of(&self, gate: &GateId, now: Moment) -> Option<SocketAddr> {
        let table = self.table.borrow();
        let view = table.views(now).find(|view| view.record.gate == *gate)?;
        Some(view.record.callers)
    }

    /// Addresses for callers of a service, in the order in which to try them.
    pub(crate) fn entries(
        &self,
        service: &ServiceName,
        near: &DataCentre,
        now: Moment,
    ) -> Vec<SocketAddr> {
        let table = self.table.borrow();
        let advertised = table.advertised(now);
        order_entries(&advertised, service, near, ENTRY_SPREAD, rand::random())
    }

    /// The other gates as operators see them.
    pub(crate) fn status(&self, now: Moment) -> Vec<PeerStatus> {
        let table = self.table.borrow();
        let advertised = table.advertised(now);
        let is_handed = |gate: &GateId| {
            let mut records = advertised.live.iter().chain(&advertised.unsure);
            records.any(|record| record.gate == *gate)
        };
        let views = table.views(now).map(|view| PeerStatus {
            gate: view.record.gate.clone(),
            data_centre: view.record.data_centre.clone(),
            callers: view.record.callers,
            live: is_handed(&view.record.gate),
            heard_ms: now.since(view.last_heartbeat).as_millis() as u64,
        });
        views.collect()
    }

    /// Tells all gates that this run ends.
    pub(crate) async fn send_goodbye(&self) {
        let gate = self.own().gate;
        self.node.send_all(&PeerMessage::Goodbye(gate));
        self.node.stop();
        sleep(GOODBYE_TIME).await;
    }

    /// Keeps a link to each gate of the settings, each known gate and each gate that was named.
    fn keep_links(&self, seeds: &[SocketAddr], now: Moment) {
        let mut hints = self.hints.borrow_mut();
        hints.retain(|_, named| now.since(*named) < HINT_TIME);
        let table = self.table.borrow();
        let mut wanted: BTreeSet<_> = table.views(now).map(|view| view.record.peers).collect();
        wanted.extend(seeds);
        wanted.extend(hints.keys());
        wanted.remove(&table.own().peers);
        for address in self.node.addresses() {
            if !wanted.contains(&address) {
                self.node.hang_up(address);
            }
        }
        for address in wanted {
            self.node.dial(address);
        }
    }

    /// Notes addresses that the host list names.
    pub(crate) fn take_listed(&self, addresses: impl Iterator<Item = SocketAddr>, now: Moment) {
        let mut hints = self.hints.borrow_mut();
        for address in addresses.take(MAX_HINTS) {
            hints.insert(address, now);
        }
    }

    /// Notes addresses that another gate named.
    fn take_hints(&self, addresses: Vec<SocketAddr>, now: Moment) {
        let mut hints = self.hints.borrow_mut();
        for address in addresses {
            if hints.len() < MAX_HINTS {
                hints.entry(address).or_insert(now);
            }
        }
    }

    /// Peer addresses of gates that were heard within their lease.
    fn live_addresses(&self, now: Moment) -> Vec<SocketAddr> {
        let table = self.table.borrow();
        let seen = |liveness| matches!(liveness, PeerLiveness::Live | PeerLiveness::Draining);
        let live = table.views(now).filter(|view| seen(view.liveness));
        live.map(|view| view.record.peers).collect()
    }
}

/// Sends heartbeats and lets leases run out, until the gate ends.
pub(crate) async fn run_ticks(core: Rc<GateCore>) {
    let mut due = core.clock.now();
    loop {
        let now = core.clock.now();
        look_at_leases(&core, now);
        core.peers.keep_links(&core.settings.peers, now);
        documents::observe(&core, now);
        count_traffic(&core);
        if now >= due {
            core.peers
                .send_all(&PeerMessage::Heartbeat(heartbeat(&core)));
            due = now + HEARTBEAT_INTERVAL.mul_f64(rand::random_range(0.8..1.2));
        }
        if timeout(TICK, core.peers.beat.notified()).await.is_ok() {
            due = core.clock.now();
        }
    }
}

/// This gate's heartbeat.
fn heartbeat(core: &GateCore) -> PeerHeartbeat {
    let now = core.clock.now();
    let sequence = core.peers.sequence.get() + 1;
    core.peers.sequence.set(sequence);
    PeerHeartbeat {
        sequence,
        state: core.peers.table.borrow().own().state,
        digest: core.documents.digest(now),
        leaving: core.servers.leaving_lately(now),
    }
}

/// Lets leases run out, and logs what that changes.
fn look_at_leases(core: &GateCore, now: Moment) {
    let report = core.peers.table.borrow_mut().tick(now);
    if report.woke {
        let message = "gate did not run for a while";
        core.log.emit(LogEvent::GateWoke, message, slog::o!());
    }
    for gate in report.withdrawn {
        let pairs = slog::o!("gate" => gate.to_string());
        let message = "gate is no longer handed out";
        core.log.emit(LogEvent::GateWithdrawn, message, pairs);
    }
    let table = core.peers.table.borrow();
    let suspect = table.lost_most_peers(now);
    let seen = table
        .views(now)
        .filter(|view| view.liveness == PeerLiveness::Live);
    core.metrics.gates_live.set(1 + seen.count() as i64);
    let known = table.views(now).count();
    core.note_gates(count_gates(&core.settings, known), now);
    if core.peers.suspect.replace(suspect) == suspect {
        return;
    }
    let event = if suspect {
        LogEvent::GatesLost
    } else {
        LogEvent::GatesSeen
    };
    core.log
        .emit(event, "sight of other gates changed", slog::o!());
}

/// Gates that may hold connections to servers, with this one and `known` others.
///
/// Lost gates are among them, as a paused or cut-off gate still holds its connections; and those that
/// the settings name, as a gate that starts while it is cut off knows no other.
fn count_gates(settings: &GateSettings, known: usize) -> u32 {
    let seeds = settings.peers.iter();
    let seeds = seeds.filter(|peer| **peer != settings.listen_peers).count();
    1 + known.max(seeds) as u32
}

/// Adds new traffic between gates to the metrics.
fn count_traffic(core: &GateCore) {
    let traffic = core.peers.node.traffic();
    let counted = core.peers.counted.replace(traffic);
    let sent = traffic.bytes_sent - counted.bytes_sent;
    let received = traffic.bytes_received - counted.bytes_received;
    core.metrics.count_peer_sent(sent);
    core.metrics.count_peer_received(received);
}

/// Takes what other gates send, until the gate ends.
pub(crate) async fn handle_events(core: Rc<GateCore>, mut events: mpsc::Receiver<LinkEvent>) {
    while let Some(event) = events.recv().await {
        match event {
            LinkEvent::Up { record, outbox } => greet(&core, record, &outbox),
            LinkEvent::Message {
                record,
                message,
                side,
                outbox,
            } => {
                if matches!(message, PeerMessage::Heartbeat(_)) && side == LinkSide::Accepted {
                    return_heartbeat(&core, &record, &outbox);
                }
                take_message(&core, record, message, &outbox);
            }
            LinkEvent::Down { address, fault } => log_fault(&core, address, &fault),
        }
    }
}

/// Sends the state that a newly connected gate may lack.
fn greet(core: &GateCore, record: GateRecord, outbox: &Outbox) {
    let now = core.clock.now();
    hear(core, record);
    outbox.push(PeerMessage::Heartbeat(heartbeat(core)));
    outbox.push(PeerMessage::Roster(core.peers.live_addresses(now)));
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

/// Answers the heartbeat of a gate that this one cannot dial, on the link that the other keeps; else
/// a one-way cut would have it count this gate as lost. Only accepted connections are answered, so
/// that no two gates answer each other without end.
fn return_heartbeat(core: &GateCore, record: &GateRecord, outbox: &Outbox) {
    if !core.peers.node.is_up(record.peers) {
        outbox.push(PeerMessage::Heartbeat(heartbeat(core)));
    }
}

/// Renews a gate's lease.
fn hear(core: &GateCore, record: GateRecord) {
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
        core.log.emit(LogEvent::GateJoined, "gate is heard", pairs);
    }
}

/// Takes one message.
fn take_message(core: &GateCore, record: GateRecord, message: PeerMessage, outbox: &Outbox) {
    let now = core.clock.now();
    match message {
        PeerMessage::Heartbeat(heartbeat) => {
            hear(core, record);
            if let Some(after) = core.documents.compare(heartbeat.digest, now) {
                let servers = core.servers.is_empty();
                outbox.push(PeerMessage::Pull(PullRequest { after, servers }));
            }
            servers::take_leaving(core, &heartbeat.leaving);
        }
        PeerMessage::Leaving(servers) => servers::take_leaving(core, &servers),
        PeerMessage::Changes(set) => {
            if let BookOutcome::Gap(after) = documents::apply(core, set, "peer") {
                let servers = false;
                outbox.push(PeerMessage::Pull(PullRequest { after, servers }));
            }
        }
        PeerMessage::Pull(request) => answer_pull(core, request, outbox),
        PeerMessage::Servers(list) => {
            if core.servers.is_empty() {
                servers::take_list(core, &list);
            }
        }
        PeerMessage::Roster(addresses) => core.peers.take_hints(addresses, now),
        PeerMessage::Goodbye(gate) => {
            if core.peers.table.borrow_mut().record_goodbye(&gate) {
                let pairs = slog::o!("gate" => gate.to_string());
                core.log.emit(LogEvent::GateLeft, "gate left", pairs);
            }
        }
        // Connections deal with these.
        PeerMessage::Hello(_) | PeerMessage::Echo(_) => {}
    }
}

/// Sends what a gate asked for, if it is here.
fn answer_pull(core: &GateCore, request: PullRequest, outbox: &Outbox) {
    if core.documents.fleet() > request.after {
        let set = core.documents.changes_since(request.after);
        outbox.push(PeerMessage::Changes(set));
    }
    if request.servers && !core.servers.is_empty() {
        outbox.push(PeerMessage::Servers(core.servers.entries()));
    }
}

/// Logs why a connection ended.
fn log_fault(core: &GateCore, address: SocketAddr, fault: &LinkFault) {
    let pairs = slog::o!("address" => address.to_string(), "cause" => fault.to_string());
    match fault {
        LinkFault::HungUp | LinkFault::OwnAddress => {}
        LinkFault::Garbage(_) | LinkFault::NoHello | LinkFault::OtherVersion { .. } => {
            let message = "connection was rejected";
            core.log.emit(LogEvent::PeerLinkRejected, message, pairs);
        }
        LinkFault::Unreachable { .. } | LinkFault::Closed { .. } | LinkFault::Silent => {
            let message = "connection ended";
            core.log.emit(LogEvent::PeerLinkEnded, message, pairs);
        }
    }
}
