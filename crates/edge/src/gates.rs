//! Datagrams by which the gates of a data centre tell one another that they live.
//!
//! Datagrams within a data centre cost next to nothing, where each call to the store is paid for. So
//! the store only tells a gate that starts which others there are; the rest is heard from them.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ggs_member::{GateState, PeerNews};
use ggs_model::Clock;
use ggs_observe::LogEvent;
use ggs_peer::{PROTOCOL_VERSION, PeerHello, PeerMessage, decode_message, encode_message};
use prost::Message;
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::core::EdgeCore;
use crate::frames::Datagram;
use crate::ports::{EdgeWire, FleetError, FleetStore, GateEntry};
use crate::store_health::StoreHealth;

/// Shortest time between two datagrams to each gate of the data centre.
const HELLO_PERIOD: Duration = Duration::from_millis(500);

/// Time for each gate of a large data centre by which the datagrams of one are apart.
const HELLO_PERIOD_PER_GATE: Duration = Duration::from_millis(20);

/// Shortest time between two reads of the gates in the store. A gate that starts reads them and says
/// hello to its data centre, so later reads only mend what was lost.
const STORE_PERIOD: Duration = Duration::from_secs(40);

/// Time for each gate of a large fleet by which the reads of one are apart, so that the store is not
/// read more often by more gates.
const STORE_PERIOD_PER_GATE: Duration = Duration::from_secs(1);

/// Longest time between two reads of the gates in the store.
const MAX_STORE_PERIOD: Duration = Duration::from_mins(3);

/// Longest datagram.
const MAX_DATAGRAM: usize = 1_400;

impl<W, S> EdgeCore<W, S>
where
    W: EdgeWire,
    S: FleetStore,
{
    /// This gate as it registers itself.
    pub(crate) fn own_entry(&self) -> GateEntry {
        GateEntry {
            record: self.gates.borrow().own().clone(),
            capacity: self.settings().capacity(),
        }
    }

    /// Reads the gates in the store, and registers this one if it is not among them.
    pub(crate) async fn read_gates(&self) -> Result<(), FleetError> {
        let own = self.own_entry();
        let mut gates = self.store.read_gates().await?;
        if !gates.iter().any(|gate| gate.is_at(&own)) {
            self.store.write_gate(&own).await?;
            // Of two gates that register at once, one at least finds the other.
            gates = self.store.read_gates().await?;
        }
        let now = self.clock.now();
        let mut contacts = self.contacts.borrow_mut();
        for gate in &gates {
            contacts.record(&gate.record, gate.capacity, now);
        }
        contacts.set_store_read();
        drop(contacts);
        self.refresh_services(now);
        Ok(())
    }
}

/// Registers this gate in the store, and reads the others from time to time.
pub(crate) async fn follow_store<W, S>(core: Rc<EdgeCore<W, S>>)
where
    W: EdgeWire,
    S: FleetStore,
{
    let mut health = StoreHealth::new(&core.log, "gates");
    let mut known = core.contacts.borrow().is_store_read();
    loop {
        if !known && let Err(error) = core.read_gates().await {
            sleep(health.failed(&error, core.near_gates())).await;
            continue;
        }
        known = false;
        health.succeeded();
        let period = store_period(core.fleet_size());
        sleep(period.mul_f64(rand::random_range(0.8..1.2))).await;
    }
}

/// Mean time between two reads of the gates in the store by each of `gates`.
fn store_period(gates: usize) -> Duration {
    let period = STORE_PERIOD_PER_GATE * gates as u32;
    period.clamp(STORE_PERIOD, MAX_STORE_PERIOD)
}

/// Pause between looks at whether the gate is ready.
const READY_CHECK: Duration = Duration::from_millis(20);

/// Sends datagrams to the gates of the data centre, and lets the leases of others run out.
pub(crate) async fn announce<W, S>(core: Rc<EdgeCore<W, S>>, socket: Rc<UdpSocket>)
where
    W: EdgeWire,
    S: 'static,
{
    loop {
        let now = core.clock.now();
        let report = core.gates.borrow_mut().tick(now);
        for gate in report.withdrawn {
            let pairs = slog::o!("gate" => gate.to_string());
            core.log
                .emit(LogEvent::GateWithdrawn, "gate was not heard", pairs);
        }
        core.contacts.borrow_mut().remove_expired(now);
        core.refresh_groups(now);
        let sent = say_hello(&core, &socket).await;
        let period = HELLO_PERIOD.max(HELLO_PERIOD_PER_GATE * sent as u32);
        sleep(period.mul_f64(rand::random_range(0.8..1.2))).await;
    }
}

/// Sends one round of datagrams; yields to how many gates.
pub(crate) async fn say_hello<W, S>(core: &EdgeCore<W, S>, socket: &UdpSocket) -> usize {
    let mut record = core.gates.borrow().own().clone();
    if !core.is_ready() {
        record.state = GateState::Draining;
    }
    let message = PeerMessage::Hello(PeerHello {
        version: PROTOCOL_VERSION,
        record,
    });
    send_to_near(core, socket, &peer_datagram(core, &message)).await
}

/// Tells the gates of the data centre that this one leaves.
pub(crate) async fn say_goodbye<W, S>(core: &EdgeCore<W, S>, socket: &UdpSocket) {
    let gate = core.gates.borrow().own().gate.clone();
    let message = PeerMessage::Goodbye(gate);
    send_to_near(core, socket, &peer_datagram(core, &message)).await;
}

/// A datagram with a message.
fn peer_datagram<W, S>(core: &EdgeCore<W, S>, message: &PeerMessage) -> Datagram {
    Datagram {
        peer: Some(encode_message(message)),
        reads_store: core.reads_store(),
        config_version: core.configs.version(),
        capacity: core.settings().capacity(),
        ..Datagram::default()
    }
}

/// Sends a datagram to each gate of the data centre; yields to how many.
pub(crate) async fn send_to_near<W, S>(
    core: &EdgeCore<W, S>,
    socket: &UdpSocket,
    datagram: &Datagram,
) -> usize {
    let settings = core.settings();
    let mut peers = core.contacts.borrow().peers_of(&settings.data_centre);
    peers.retain(|address| *address != settings.listen_gates);
    send_to(socket, &peers, datagram).await;
    peers.len()
}

/// Sends a datagram to each of some addresses.
pub(crate) async fn send_to(socket: &UdpSocket, peers: &[SocketAddr], datagram: &Datagram) {
    let bytes = datagram.encode_to_vec();
    for address in peers {
        // A datagram that is not sent counts as a lost one; the next follows soon.
        let _lost = socket.send_to(&bytes, address).await;
    }
}

/// Takes the datagrams of other gates.
pub(crate) async fn hear<W, S>(core: Rc<EdgeCore<W, S>>, socket: Rc<UdpSocket>)
where
    W: EdgeWire,
    S: 'static,
{
    let mut buffer = vec![0; MAX_DATAGRAM];
    loop {
        let Ok((length, sender)) = socket.recv_from(&mut buffer).await else {
            sleep(READY_CHECK).await;
            continue;
        };
        if let Err(cause) = take_datagram(&core, &buffer[..length], sender) {
            let pairs = slog::o!("sender" => sender.to_string(), "cause" => cause);
            let message = "datagram is not from a gate";
            core.log.emit(LogEvent::PeerLinkRejected, message, pairs);
        }
    }
}

/// Takes one datagram.
fn take_datagram<W, S>(
    core: &EdgeCore<W, S>,
    bytes: &[u8],
    sender: SocketAddr,
) -> Result<(), String> {
    let datagram = Datagram::decode(bytes).map_err(|error| error.to_string())?;
    if let Some(news) = &datagram.news {
        core.hear_news(news);
    }
    if let Some(servers) = &datagram.servers {
        core.hear_servers(servers);
    }
    if let Some(peer) = &datagram.peer {
        let message = decode_message(peer).map_err(|error| error.to_string())?;
        take_message(core, message, datagram.capacity);
    }
    core.configs.hear_version(datagram.config_version, sender);
    let mut contacts = core.contacts.borrow_mut();
    contacts.set_reads_store(sender, datagram.reads_store);
    Ok(())
}

/// Takes a heartbeat or a goodbye.
fn take_message<W, S>(core: &EdgeCore<W, S>, message: PeerMessage, capacity: u32) {
    let now = core.clock.now();
    match message {
        PeerMessage::Hello(hello) if hello.version == PROTOCOL_VERSION => {
            let mut contacts = core.contacts.borrow_mut();
            contacts.record(&hello.record, capacity, now);
            drop(contacts);
            let gate = hello.record.gate.to_string();
            let news = core.gates.borrow_mut().hear(hello.record, now);
            if matches!(news, PeerNews::Joined | PeerNews::Back) {
                let pairs = slog::o!("gate" => gate);
                core.log.emit(LogEvent::GateJoined, "gate is heard", pairs);
            }
        }
        PeerMessage::Goodbye(gate) => {
            let known = core.gates.borrow_mut().goodbye(&gate);
            if known {
                let pairs = slog::o!("gate" => gate.to_string());
                core.log.emit(LogEvent::GateLeft, "gate leaves", pairs);
            }
        }
        // The other messages belong to connections between gates that follow documents.
        _ => {}
    }
}
