//! Heartbeats between the gates of a data centre, and the registration of gates in the store.
//!
//! Datagrams within a data centre cost next to nothing, while each call to the store costs money.
//! So gates find one another through the store and then learn by heartbeats which of them are live.
//! This module also receives all datagrams of other gates and passes on what they carry.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ggs_member::{GateState, HeartbeatOutcome, PeerReport};
use ggs_model::{Clock, Incarnation};
use ggs_observe::LogEvent;
use ggs_peer::{PROTOCOL_VERSION, PeerHello, PeerMessage, decode_message, encode_message};
use prost::Message;
use rand::seq::IndexedRandom;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

use crate::core::EdgeCore;
use crate::datagrams::{Datagram, HeardState, ServerChangesBody};
use crate::discovery::answer_question;
use crate::feeds::PeerConfig;
use crate::ports::{EdgeWire, FleetError, FleetStore, GateEntry};
use crate::quota::tick_quotas;
use crate::store_health::StoreHealth;

/// Mean time between two heartbeats of a gate.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(500);

/// Gates of the data centre to which each heartbeat goes, drawn at random if there are more, so that
/// a gate sends as many datagrams however many gates there are. Each carries what the sender has
/// heard of the others, so that a heartbeat reaches a few hundred gates within three periods.
const HEARTBEAT_FANOUT: usize = 16;

/// Most gates that a heartbeat reports on: those heard of last.
const MAX_HEARD_COUNT: usize = 48;

/// Gates of each data centre that are registered in the store: the live ones with the lowest
/// addresses. The others are found through them.
const REGISTERED_COUNT: usize = 4;

/// Time after its start at which a gate that was found by others first checks whether it has to be
/// registered.
const FIRST_REGISTER_DELAY: Duration = Duration::from_secs(2);

/// Time between two checks of whether this gate has to be registered.
const REGISTER_CHECK_PERIOD: Duration = Duration::from_secs(5);

/// Shortest mean time between two reads of the gates in the store. A gate that starts reads them
/// and sends a heartbeat to its data centre, so later reads only make up for lost datagrams.
const STORE_READ_PERIOD: Duration = Duration::from_secs(40);

/// Mean time between two reads by one gate in a large fleet, for each gate of the fleet, so that
/// more gates do not read the store more often.
const STORE_READ_PERIOD_PER_GATE: Duration = Duration::from_secs(1);

/// Longest mean time between two reads of the gates in the store.
const MAX_STORE_READ_PERIOD: Duration = Duration::from_mins(3);

/// Time over which the gates register again after a restore of the store, for each gate of the
/// fleet, so that they do not all call the store at the same time.
const RESTORE_SPREAD_PER_GATE: Duration = Duration::from_millis(20);

/// Bytes that the report on one gate takes in a heartbeat: 8 for the incarnation, up to 4 for its
/// state.
const HEARD_BYTES: usize = 12;

/// Size of the receive buffer; longer datagrams are truncated.
const MAX_DATAGRAM_BYTES: usize = 1_400;

impl<W, S> EdgeCore<W, S>
where
    W: EdgeWire,
    S: FleetStore,
{
    /// The entry under which this gate registers in the store.
    pub(crate) fn own_entry(&self) -> GateEntry {
        GateEntry {
            record: self.gates.borrow().own().clone(),
            capacity: self.settings().capacity(),
        }
    }

    /// Registers this gate in the store if it is one of those that have to be.
    async fn register(&self) -> Result<(), FleetError> {
        if !self.registered.get() && self.live_rank() < REGISTERED_COUNT {
            self.store.write_gate(&self.own_entry()).await?;
            self.registered.set(true);
        }
        Ok(())
    }

    /// Reads the gates in the store, and registers this one if it is missing there and has to be.
    pub(crate) async fn read_gates(&self) -> Result<(), FleetError> {
        let own = self.own_entry();
        let mut gates = self.store.read_gates().await?;
        let found = gates.iter().any(|gate| gate.matches_registration(&own));
        self.registered.set(found);
        if !found && self.live_rank() < REGISTERED_COUNT {
            self.register().await?;
            // Reads again after the write: of two gates that register at once, at least one then
            // finds the other.
            gates = self.store.read_gates().await?;
        }
        let now = self.clock.now();
        let mut contacts = self.contacts.borrow_mut();
        for gate in &gates {
            contacts.record(&gate.record, gate.capacity, now);
        }
        contacts.set_gates_known();
        drop(contacts);
        self.refresh_services(now);
        Ok(())
    }
}

impl<W, S> EdgeCore<W, S> {
    /// Addresses of the other known gates of the data centre.
    pub(crate) fn near_peers(&self) -> Vec<SocketAddr> {
        let settings = self.settings();
        let mut peers = self.contacts.borrow().peers_of(&settings.data_centre);
        peers.retain(|address| *address != settings.listen_gates);
        peers
    }

    /// Adds what this gate has heard of others to a heartbeat, as far as it fits.
    fn add_heard_gates(&self, datagram: &mut Datagram) {
        let now = self.clock.now();
        let gates = self.gates.borrow();
        let contacts = self.contacts.borrow();
        let rest = MAX_DATAGRAM_BYTES.saturating_sub(datagram.encoded_len());
        let most = MAX_HEARD_COUNT.min(rest / HEARD_BYTES);
        for (peers, report) in gates.reports(now).take(most) {
            let state = HeardState {
                age: now.since(report.heard_at),
                is_live: report.state == GateState::Live,
                reads_store: contacts.reads_store(peers),
            };
            datagram.heard_gates.push(report.incarnation.0);
            datagram.heard_states.push(state.into());
        }
    }

    /// Applies what another gate has heard of others.
    fn apply_heard_gates(&self, datagram: &Datagram) {
        let now = self.clock.now();
        let heard = datagram.heard_gates.iter().zip(&datagram.heard_states);
        for (incarnation, state) in heard {
            let state = HeardState::from(*state);
            let outcome = self.gates.borrow_mut().record_report(PeerReport {
                incarnation: Incarnation(*incarnation),
                state: if state.is_live {
                    GateState::Live
                } else {
                    GateState::Draining
                },
                heard_at: now - state.age,
            });
            let Some(outcome) = outcome else { continue };
            let mut contacts = self.contacts.borrow_mut();
            contacts.refresh(outcome.peers, state.reads_store, now);
            if outcome.returned {
                let mut joined = self.joined_gates.borrow_mut();
                joined.push(outcome.peers.to_string());
            }
        }
    }
}

/// Keeps this gate registered in the store if it has to be, until the process ends. A registered gate
/// also reads the others periodically, and after a restore of the store.
pub(crate) async fn follow_store<W, S>(core: Rc<EdgeCore<W, S>>)
where
    W: EdgeWire,
    S: FleetStore,
{
    let mut health = StoreHealth::new(&core.log, "gates");
    let mut read_at = core.clock.now();
    let mut read_due = !core.contacts.borrow().knows_gates();
    if !read_due {
        // The gates that start at the same time have to hear of one another first.
        sleep(FIRST_REGISTER_DELAY).await;
    }
    loop {
        let called = if read_due {
            core.read_gates().await
        } else {
            core.register().await
        };
        if let Err(error) = called {
            sleep(health.record_failure(&error, core.near_gate_count())).await;
            continue;
        }
        health.record_success();
        let now = core.clock.now();
        if read_due {
            read_at = now;
        }
        // Random jitter, so that gates do not read at the same time.
        let period = store_read_period(core.fleet_size()).mul_f64(rand::random_range(0.8..1.2));
        let restored = timeout(REGISTER_CHECK_PERIOD, core.store_restored.notified()).await;
        if restored.is_ok() {
            let spread = RESTORE_SPREAD_PER_GATE * core.fleet_size() as u32;
            sleep(spread.mul_f64(rand::random())).await;
        }
        read_due = core.registered.get() && (restored.is_ok() || now.since(read_at) >= period);
    }
}

/// Mean time between two reads of the gates by one gate, in a fleet of this many `gates`.
fn store_read_period(gates: usize) -> Duration {
    let period = STORE_READ_PERIOD_PER_GATE * gates as u32;
    period.clamp(STORE_READ_PERIOD, MAX_STORE_READ_PERIOD)
}

/// Pause after a failed receive.
const RECEIVE_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Heartbeats that go to all gates of the data centre after this gate has learnt of them, as a gate
/// learns the addresses of another from its own heartbeat only.
const FULL_HEARTBEAT_COUNT: u32 = 3;

/// Sends heartbeats to the gates of the data centre and withdraws gates whose leases have expired,
/// until the process ends.
pub(crate) async fn send_heartbeats<W, S>(core: Rc<EdgeCore<W, S>>, socket: Rc<UdpSocket>)
where
    W: EdgeWire,
    S: 'static,
{
    let mut full_count = 0;
    loop {
        let now = core.clock.now();
        let report = core.gates.borrow_mut().tick(now);
        for gate in report.withdrawn {
            let pairs = slog::o!("gate" => gate.to_string());
            core.log.emit(
                LogEvent::GateWithdrawn,
                "no heartbeat of the gate within its lease; gate is withdrawn",
                pairs,
            );
        }
        let joined = core.joined_gates.take();
        let message = "gates joined; heartbeats received";
        core.log
            .emit_names(LogEvent::GateJoined, message, "gate", &joined);
        core.contacts.borrow_mut().remove_expired(now);
        core.expire_rests();
        tick_quotas(&core, now);
        core.expire_evacuations(now);
        core.refresh_group(now);
        if full_count < FULL_HEARTBEAT_COUNT && core.contacts.borrow().knows_gates() {
            full_count += 1;
            send_first_heartbeat(&core, &socket).await;
        } else {
            send_heartbeat(&core, &socket).await;
        }
        // Random jitter, so that gates do not send at the same time.
        sleep(HEARTBEAT_PERIOD.mul_f64(rand::random_range(0.8..1.2))).await;
    }
}

/// Sends a heartbeat to some gates of the data centre, with what this gate has heard of the others.
async fn send_heartbeat<W, S>(core: &EdgeCore<W, S>, socket: &UdpSocket) {
    let mut datagram = own_heartbeat(core);
    core.add_heard_gates(&mut datagram);
    let peers = core.near_peers();
    let peers: Vec<_> = peers
        .sample(&mut rand::rng(), HEARTBEAT_FANOUT)
        .copied()
        .collect();
    send_to(socket, &peers, &datagram).await;
}

/// Makes this gate known to all gates of the data centre.
pub(crate) async fn send_first_heartbeat<W, S>(core: &EdgeCore<W, S>, socket: &UdpSocket) {
    send_to_near_gates(core, socket, &own_heartbeat(core)).await;
}

/// A heartbeat of this gate. A gate that is not ready announces itself as draining, so that callers
/// are not told of it.
pub(crate) fn own_heartbeat<W, S>(core: &EdgeCore<W, S>) -> Datagram {
    let mut record = core.gates.borrow().own().clone();
    if !core.is_ready() {
        record.state = GateState::Draining;
    }
    let message = PeerMessage::Hello(PeerHello {
        version: PROTOCOL_VERSION,
        record,
    });
    peer_datagram(core, &message)
}

/// Tells the gates of the data centre that this one is leaving.
pub(crate) async fn send_goodbye<W, S>(core: &EdgeCore<W, S>, socket: &UdpSocket) {
    let gate = core.gates.borrow().own().gate.clone();
    let message = PeerMessage::Goodbye(gate);
    send_to_near_gates(core, socket, &peer_datagram(core, &message)).await;
}

/// Wraps a message in a datagram.
fn peer_datagram<W, S>(core: &EdgeCore<W, S>, message: &PeerMessage) -> Datagram {
    Datagram {
        peer: Some(encode_message(message)),
        capacity: core.settings().capacity(),
        limits: core.encode_limits(),
        crashes: core.encode_quarantine(),
        ..core.config_datagram()
    }
}

/// Sends a datagram to each other known gate of the data centre.
pub(crate) async fn send_to_near_gates<W, S>(
    core: &EdgeCore<W, S>,
    socket: &UdpSocket,
    datagram: &Datagram,
) {
    send_to(socket, &core.near_peers(), datagram).await;
}

/// Sends a datagram to each address in `peers`.
pub(crate) async fn send_to(socket: &UdpSocket, peers: &[SocketAddr], datagram: &Datagram) {
    let bytes = datagram.encode_to_vec();
    for address in peers {
        // A failed send is treated like a lost datagram; the next follows soon.
        let _lost = socket.send_to(&bytes, address).await;
    }
}

/// Receives the datagrams of other gates until the process ends.
pub(crate) async fn receive_datagrams<W, S>(core: Rc<EdgeCore<W, S>>, socket: Rc<UdpSocket>)
where
    W: EdgeWire,
    S: 'static,
{
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
            sleep(RECEIVE_RETRY_PAUSE).await;
            continue;
        };
        match handle_datagram(&core, &buffer[..length], sender) {
            Ok(DatagramReply::Relay(changes, peers)) => {
                let datagram = Datagram {
                    servers: Some(changes),
                    ..core.config_datagram()
                };
                send_to(&socket, &peers, &datagram).await;
            }
            Ok(DatagramReply::ListGates) => answer_question(&core, &socket, sender).await,
            Ok(DatagramReply::Nothing) => {}
            Err(cause) => {
                let pairs = slog::o!("sender" => sender.to_string(), "cause" => cause);
                let message = "datagram cannot be decoded";
                core.log.emit(LogEvent::PeerLinkRejected, message, pairs);
            }
        }
    }
}

/// What a datagram makes a gate send.
enum DatagramReply {
    /// Nothing.
    Nothing,
    /// Changes of servers, which it passes on to these gates.
    Relay(ServerChangesBody, Vec<SocketAddr>),
    /// The gates that it knows, to the sender.
    ListGates,
}

/// Applies what a datagram carries; returns what this gate has to send in turn.
fn handle_datagram<W, S>(
    core: &Rc<EdgeCore<W, S>>,
    bytes: &[u8],
    sender: SocketAddr,
) -> Result<DatagramReply, String>
where
    W: EdgeWire,
    S: 'static,
{
    let datagram = Datagram::decode(bytes).map_err(|error| error.to_string())?;
    core.note_heard(sender);
    if let Some(quota) = &datagram.quota {
        core.apply_quota(quota, sender);
    }
    if let Some(evacuations) = &datagram.evacuations {
        core.apply_peer_evacuations(evacuations);
    }
    if let Some(update) = &datagram.load_update {
        core.apply_load_update(update);
    }
    let mut reply = DatagramReply::Nothing;
    if let Some(changes) = &datagram.servers {
        let peers = core.receive_changes(changes);
        if !peers.is_empty() {
            reply = DatagramReply::Relay(changes.clone(), peers);
        }
    }
    if let Some(list) = &datagram.gate_list {
        core.apply_gate_list(list, datagram.reads_store);
    }
    if datagram.asks_gates {
        reply = DatagramReply::ListGates;
    }
    if let Some(peer) = &datagram.peer {
        let message = decode_message(peer).map_err(|error| error.to_string())?;
        handle_message(core, message, datagram.capacity);
    }
    core.apply_heard_gates(&datagram);
    core.apply_peer_limits(&datagram.limits);
    core.apply_peer_notices(&datagram.leaving);
    core.apply_peer_crashes(&datagram.crashes)?;
    let config_age = datagram.config_age_ms.map(Duration::from_millis);
    core.config_feed.note_peer(PeerConfig {
        address: sender,
        version: datagram.config_version,
        bytes: datagram.config_bytes,
        confirmed_at: config_age.map(|age| core.clock.now() - age),
    });
    let mut contacts = core.contacts.borrow_mut();
    contacts.set_reads_store(sender, datagram.reads_store);
    Ok(reply)
}

/// Applies a heartbeat or a goodbye.
fn handle_message<W, S>(core: &EdgeCore<W, S>, message: PeerMessage, capacity: u32) {
    let now = core.clock.now();
    match message {
        PeerMessage::Hello(hello) if hello.version == PROTOCOL_VERSION => {
            let mut contacts = core.contacts.borrow_mut();
            contacts.record(&hello.record, capacity, now);
            drop(contacts);
            if hello.record.data_centre != core.settings().data_centre {
                // Gates of other data centres ask for gates, and send no heartbeats.
                return;
            }
            let gate = hello.record.gate.to_string();
            let outcome = core.gates.borrow_mut().record_heartbeat(hello.record, now);
            if matches!(
                outcome,
                HeartbeatOutcome::Joined | HeartbeatOutcome::Returned
            ) {
                core.joined_gates.borrow_mut().push(gate);
            }
        }
        PeerMessage::Goodbye(gate) => {
            let known = core.gates.borrow_mut().record_goodbye(&gate);
            if known {
                let pairs = slog::o!("gate" => gate.to_string());
                core.log.emit(LogEvent::GateLeft, "gate is leaving", pairs);
            }
        }
        // Heartbeats of another protocol version are ignored. The other messages are sent only on
        // connections between processes of `ggs-gate`.
        _ => {}
    }
}
