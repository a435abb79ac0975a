//! The gates of the fleet that this gate knows, with their addresses.
//!
//! Gates become known from the store, from their datagrams and from the lists of other gates. The contacts say where to send
//! datagrams, and which gates of other data centres an entry answer can name.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use foldhash::HashMap;
use ggs_limit::HolderCandidate;
use ggs_member::{GateRecord, GroupCandidate};
use ggs_model::{DataCentre, Moment};
use ggs_reach::DetourGate;

/// Time without a heartbeat after which a gate is left out of entry answers. It covers three
/// heartbeat periods.
pub(crate) const GATE_LEASE: Duration = Duration::from_millis(1_800);

/// Time for which datagrams are still sent to a gate of which nothing is heard. It is much longer
/// than the time between two lists of other gates.
const CONTACT_TTL: Duration = Duration::from_mins(5);

/// A gate as gates tell one another of it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ListedContact {
    pub(crate) data_centre: DataCentre,
    pub(crate) callers: SocketAddr,
    /// Address for datagrams.
    pub(crate) peers: SocketAddr,
    /// Capacity of the gate's host relative to the smallest.
    pub(crate) capacity: u32,
    /// Time since it was last heard of.
    pub(crate) age: Duration,
}

/// What is known of one gate.
#[derive(Clone, Debug)]
struct GateContact {
    data_centre: DataCentre,
    callers: SocketAddr,
    refreshed_at: Moment,
    /// Whether the gate's latest datagram said that its reads of the store succeed.
    reads_store: bool,
    /// Capacity of the gate's host relative to the smallest.
    capacity: u32,
}

/// Known gates by their datagram address, including this gate once it is registered.
#[derive(Clone, Debug, Default)]
pub(crate) struct GateContacts {
    contacts: HashMap<SocketAddr, GateContact>,
    /// Whether another gate has listed the gates, or they have been read from the store, at least once.
    gates_known: bool,
}

impl GateContacts {
    /// Adds or refreshes a gate, from its heartbeat or from its row in the store.
    pub(crate) fn record(&mut self, record: &GateRecord, capacity: u32, now: Moment) {
        let contact = GateContact {
            data_centre: record.data_centre.clone(),
            callers: record.callers,
            refreshed_at: now,
            reads_store: self.reads_store(record.peers),
            capacity,
        };
        self.contacts.insert(record.peers, contact);
    }

    /// Refreshes a known gate that another gate has heard.
    pub(crate) fn refresh(&mut self, peers: SocketAddr, reads_store: bool, now: Moment) {
        if let Some(contact) = self.contacts.get_mut(&peers) {
            contact.refreshed_at = now;
            contact.reads_store = reads_store;
        }
    }

    /// Adds a gate that another one listed, or refreshes it if the other has heard of it later.
    pub(crate) fn record_listed(&mut self, listed: &ListedContact, now: Moment) {
        if listed.age >= CONTACT_TTL {
            return;
        }
        let refreshed_at = now - listed.age;
        let known = self.contacts.get(&listed.peers);
        if known.is_some_and(|known| known.refreshed_at >= refreshed_at) {
            return;
        }
        let contact = GateContact {
            data_centre: listed.data_centre.clone(),
            callers: listed.callers,
            refreshed_at,
            reads_store: self.reads_store(listed.peers),
            capacity: listed.capacity,
        };
        self.contacts.insert(listed.peers, contact);
    }

    /// All known gates, as other gates are told of them.
    pub(crate) fn listed(&self, now: Moment) -> Vec<ListedContact> {
        let contacts = self.contacts.iter();
        let listed = contacts.map(|(peers, contact)| ListedContact {
            data_centre: contact.data_centre.clone(),
            callers: contact.callers,
            peers: *peers,
            capacity: contact.capacity,
            age: now.since(contact.refreshed_at),
        });
        listed.collect()
    }

    /// Datagram addresses of all known gates.
    pub(crate) fn all_peers(&self) -> Vec<SocketAddr> {
        self.contacts.keys().copied().collect()
    }

    /// All known gates, as candidates for holders of quotas.
    pub(crate) fn holder_candidates(&self) -> Vec<HolderCandidate> {
        let contacts = self.contacts.iter();
        let candidates = contacts.map(|(peers, contact)| HolderCandidate {
            address: *peers,
            capacity: contact.capacity,
        });
        candidates.collect()
    }

    /// Data centre of the gate with a datagram address.
    pub(crate) fn data_centre_of(&self, address: SocketAddr) -> Option<DataCentre> {
        let contact = self.contacts.get(&address)?;
        Some(contact.data_centre.clone())
    }

    /// The other data centres, with the datagram addresses of their gates.
    pub(crate) fn far_data_centres(&self, own: &DataCentre) -> Vec<(DataCentre, Vec<SocketAddr>)> {
        let mut centres: HashMap<&DataCentre, Vec<SocketAddr>> = HashMap::default();
        for (peers, contact) in &self.contacts {
            if contact.data_centre != *own {
                centres
                    .entry(&contact.data_centre)
                    .or_default()
                    .push(*peers);
            }
        }
        let centres = centres.into_iter();
        centres.map(|(name, peers)| (name.clone(), peers)).collect()
    }

    /// Whether a gate runs on the host with this address.
    pub(crate) fn knows_host(&self, host: IpAddr) -> bool {
        self.contacts.keys().any(|peers| peers.ip() == host)
    }

    /// Records that another gate has listed the gates, or that they have been read from the store.
    pub(crate) fn set_gates_known(&mut self) {
        self.gates_known = true;
    }

    /// Whether another gate has listed the gates, or they have been read from the store, at least
    /// once.
    pub(crate) fn knows_gates(&self) -> bool {
        self.gates_known
    }

    /// Records whether reads of the store succeed at the gate with a datagram address.
    pub(crate) fn set_reads_store(&mut self, address: SocketAddr, reads_store: bool) {
        if let Some(contact) = self.contacts.get_mut(&address) {
            contact.reads_store = reads_store;
        }
    }

    /// Whether reads of the store succeed at the gate with a datagram address; false if the gate is
    /// not known.
    pub(crate) fn reads_store(&self, address: SocketAddr) -> bool {
        let contact = self.contacts.get(&address);
        contact.is_some_and(|contact| contact.reads_store)
    }

    /// Number of known gates in all data centres.
    pub(crate) fn fleet_size(&self) -> usize {
        self.contacts.len()
    }

    /// Datagram addresses of the gates in a data centre.
    pub(crate) fn peers_of(&self, data_centre: &DataCentre) -> Vec<SocketAddr> {
        let contacts = self.contacts.iter();
        let contacts = contacts.filter(|(_, contact)| contact.data_centre == *data_centre);
        contacts.map(|(address, _)| *address).collect()
    }

    /// Number of gates in a data centre whose datagram addresses sort before `own`. The gates with
    /// the lowest ranks read the store when the whole fleet starts.
    pub(crate) fn rank_of(&self, own: SocketAddr, data_centre: &DataCentre) -> usize {
        let peers = self.peers_of(data_centre);
        peers.into_iter().filter(|peer| *peer < own).count()
    }

    /// Capacity of the gate with a datagram address; 1 if the gate is not known.
    pub(crate) fn capacity_of(&self, address: SocketAddr) -> u32 {
        let contact = self.contacts.get(&address);
        contact.map_or(1, |contact| contact.capacity)
    }

    /// The gates in a data centre, as candidates for entry answers.
    pub(crate) fn candidates_of(&self, data_centre: &DataCentre) -> Vec<GroupCandidate> {
        let contacts = self.contacts.values();
        let contacts = contacts.filter(|contact| contact.data_centre == *data_centre);
        let candidates = contacts.map(|contact| GroupCandidate {
            callers: contact.callers,
            capacity: contact.capacity,
        });
        candidates.collect()
    }

    /// The gates outside a data centre, as candidates for requests whose servers are not reached.
    pub(crate) fn far_gates(&self, own: &DataCentre) -> impl Iterator<Item = DetourGate> {
        let contacts = self.contacts.iter();
        let far = contacts.filter(move |(_, contact)| contact.data_centre != *own);
        far.map(|(address, contact)| DetourGate {
            address: *address,
            data_centre: contact.data_centre.clone(),
            near: false,
            capacity: contact.capacity,
        })
    }

    /// The datagram address of the gate with an address for callers.
    pub(crate) fn peer_of(&self, callers: SocketAddr) -> Option<SocketAddr> {
        let mut contacts = self.contacts.iter();
        let contact = contacts.find(|(_, contact)| contact.callers == callers);
        contact.map(|(address, _)| *address)
    }

    /// The addresses for callers of all known gates.
    pub(crate) fn all_callers(&self) -> Vec<SocketAddr> {
        let contacts = self.contacts.values();
        contacts.map(|contact| contact.callers).collect()
    }

    /// Removes gates that have not been refreshed for [`CONTACT_TTL`].
    pub(crate) fn remove_expired(&mut self, now: Moment) {
        self.contacts
            .retain(|_, contact| now.since(contact.refreshed_at) < CONTACT_TTL);
    }
}
