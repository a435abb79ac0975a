//! Finds the gates of the fleet by datagrams.
//!
//! If each gate registered in the store and read all others there, the calls of a start would grow
//! with the fleet. So a gate that starts asks a gate that the settings name, or one that it has read
//! from the store, and gets the list of all gates that this one knows. The question makes the asking
//! gate known in turn. A few gates of each data centre are registered in the store, for gates that
//! start when no gate of their settings answers.
//!
//! Later, each gate asks another one from time to time, so that the data centres learn of one
//! another's changes. A list says how long ago each gate was heard of, so that gates which are gone
//! are forgotten.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ggs_model::{Clock, DataCentre};
use rand::seq::IndexedRandom;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

use crate::contacts::ListedContact;
use crate::core::EdgeCore;
use crate::datagrams::{Datagram, GateListBody, ListedGateBody};
use crate::gates::{own_heartbeat, send_to};

/// Time for which a gate of a new fleet waits for answers: the gates that it asks may start 300 ms
/// later.
const NEW_FLEET_ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// Questions of a gate of a new fleet, before it reads the store.
const NEW_FLEET_QUESTION_COUNT: usize = 3;

/// Time for which a gate that starts in a running fleet waits for answers; callers may be waiting.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(60);

/// Times after the first answer at which a gate of a new fleet asks again: the gates start within
/// 300 ms of one another, so the first answers lack most of them.
const START_QUESTION_DELAYS: [Duration; 2] =
    [Duration::from_millis(500), Duration::from_millis(1_200)];

/// Mean time between two questions of a gate.
const QUESTION_PERIOD: Duration = Duration::from_mins(1);

/// Most gates in one datagram; each takes up to 24 bytes.
const MAX_LISTED_COUNT: usize = 45;

impl<W, S> EdgeCore<W, S> {
    /// The known gates as datagrams, in the form of an answer to a question.
    fn gate_list(&self) -> Vec<Datagram> {
        let now = self.clock.now();
        let contacts = self.contacts.borrow();
        let mut datagrams = Vec::new();
        for listed in contacts.listed(now).chunks(MAX_LISTED_COUNT) {
            let mut body = GateListBody::default();
            for contact in listed {
                body.add(contact);
            }
            datagrams.push(Datagram {
                gate_list: Some(body),
                reads_store: self.reads_store(),
                ..Datagram::default()
            });
        }
        datagrams
    }

    /// Adds the gates that another one listed; `lists_servers` says whether that gate has a list of
    /// servers too.
    pub(crate) fn apply_gate_list(&self, body: &GateListBody, lists_servers: bool) {
        let now = self.clock.now();
        let before = self.fleet_size();
        let mut contacts = self.contacts.borrow_mut();
        for listed in body.contacts() {
            contacts.record_listed(&listed, now);
        }
        contacts.set_gates_known();
        drop(contacts);
        if self.fleet_size() != before {
            self.refresh_shares();
        }
        self.listed_by_reader.set(lists_servers);
        self.gates_listed.notify_waiters();
    }

    /// The gates that the settings name, without this one.
    fn seeds(&self) -> Vec<SocketAddr> {
        let settings = self.settings();
        let mut seeds = settings.seeds.clone();
        seeds.retain(|seed| *seed != settings.listen_gates);
        seeds
    }

    /// All other known gates.
    fn all_peers(&self) -> Vec<SocketAddr> {
        let own = self.settings().listen_gates;
        let mut peers = self.contacts.borrow().all_peers();
        peers.retain(|peer| *peer != own);
        peers
    }
}

/// Answers a gate that asks for the known gates.
pub(crate) async fn answer_question<W, S>(
    core: &EdgeCore<W, S>,
    socket: &UdpSocket,
    asking: SocketAddr,
) {
    for datagram in core.gate_list() {
        send_to(socket, &[asking], &datagram).await;
    }
}

/// What the gates that the settings name answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SeedAnswer {
    /// Nothing in time.
    Nothing,
    /// The gates that one of them knows. It has no list of servers itself, as it has just started too.
    Gates,
    /// The gates that one of them knows. It has a list of servers, so others have one too.
    GatesOfRunningFleet,
}

/// Asks one gate that the settings name after another for the others, until one answers.
pub(crate) async fn ask_seeds_of_new_fleet<W, S>(
    core: &EdgeCore<W, S>,
    socket: &UdpSocket,
) -> SeedAnswer {
    let seeds = core.seeds();
    for seed in seeds.sample(&mut rand::rng(), NEW_FLEET_QUESTION_COUNT) {
        let answer = ask_all(core, socket, &[*seed], NEW_FLEET_ANSWER_TIMEOUT).await;
        if answer != SeedAnswer::Nothing {
            return answer;
        }
    }
    SeedAnswer::Nothing
}

/// Asks all gates that the settings name for the others at the same time, and waits for the first
/// answer.
pub(crate) async fn ask_seeds<W, S>(core: &EdgeCore<W, S>, socket: &UdpSocket) -> SeedAnswer {
    ask_all(core, socket, &core.seeds(), ANSWER_TIMEOUT).await
}

/// Asks some gates, and waits for the first answer.
async fn ask_all<W, S>(
    core: &EdgeCore<W, S>,
    socket: &UdpSocket,
    gates: &[SocketAddr],
    limit: Duration,
) -> SeedAnswer {
    core.record_own_contact();
    if gates.is_empty() {
        return SeedAnswer::Nothing;
    }
    let listed = core.gates_listed.notified();
    for gate in gates {
        ask(core, socket, *gate).await;
    }
    if timeout(limit, listed).await.is_err() {
        return SeedAnswer::Nothing;
    }
    if core.listed_by_reader.get() {
        SeedAnswer::GatesOfRunningFleet
    } else {
        SeedAnswer::Gates
    }
}

/// Asks another gate from time to time, until the process ends.
pub(crate) async fn exchange_lists<W, S>(core: Rc<EdgeCore<W, S>>, socket: Rc<UdpSocket>) {
    for delay in START_QUESTION_DELAYS {
        sleep(delay).await;
        ask_one_of(&core, &socket, &core.seeds()).await;
        // Traffic within the data centre is cheap.
        ask_one_of(&core, &socket, &core.near_peers()).await;
    }
    loop {
        // Random jitter, so that gates do not ask at the same time.
        sleep(QUESTION_PERIOD.mul_f64(rand::random_range(0.5..1.5))).await;
        ask_one_of(&core, &socket, &core.all_peers()).await;
    }
}

/// Asks one of some gates, drawn at random.
async fn ask_one_of<W, S>(core: &EdgeCore<W, S>, socket: &UdpSocket, gates: &[SocketAddr]) {
    if let Some(gate) = gates.choose(&mut rand::rng()) {
        ask(core, socket, *gate).await;
    }
}

/// Asks one gate for the gates that it knows.
async fn ask<W, S>(core: &EdgeCore<W, S>, socket: &UdpSocket, gate: SocketAddr) {
    let question = Datagram {
        asks_gates: true,
        ..own_heartbeat(core)
    };
    send_to(socket, &[gate], &question).await;
}

impl GateListBody {
    /// Adds a gate.
    fn add(&mut self, contact: &ListedContact) {
        let name = contact.data_centre.as_str();
        let known = self.data_centres.iter().position(|known| known == name);
        let index = known.unwrap_or_else(|| {
            self.data_centres.push(name.to_owned());
            self.data_centres.len() - 1
        });
        self.gates.push(ListedGateBody {
            callers: encode_address(contact.callers),
            peers: encode_address(contact.peers),
            data_centre: index as u32,
            capacity: contact.capacity,
            age_s: contact.age.as_secs() as u32,
        });
    }

    /// The gates; those that cannot be decoded are left out.
    fn contacts(&self) -> impl Iterator<Item = ListedContact> {
        self.gates.iter().filter_map(|gate| {
            let name = self.data_centres.get(gate.data_centre as usize)?;
            Some(ListedContact {
                data_centre: DataCentre::from(name.as_str()),
                callers: decode_address(&gate.callers)?,
                peers: decode_address(&gate.peers)?,
                capacity: gate.capacity,
                age: Duration::from_secs(u64::from(gate.age_s)),
            })
        })
    }
}

/// The bytes of an address: the IP address, then the port.
fn encode_address(address: SocketAddr) -> Vec<u8> {
    let mut bytes = match address {
        SocketAddr::V4(address) => address.ip().octets().to_vec(),
        SocketAddr::V6(address) => address.ip().octets().to_vec(),
    };
    bytes.extend(address.port().to_be_bytes());
    bytes
}

/// Decodes the bytes of an address.
fn decode_address(bytes: &[u8]) -> Option<SocketAddr> {
    let (ip, port) = bytes.split_last_chunk::<2>()?;
    let port = u16::from_be_bytes(*port);
    if let Ok(ip) = <[u8; 4]>::try_from(ip) {
        return Some((ip, port).into());
    }
    let ip = <[u8; 16]>::try_from(ip).ok()?;
    Some((ip, port).into())
}
