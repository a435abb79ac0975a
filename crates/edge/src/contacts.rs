//! The gates that this one knows, and where they are reached.

use std::net::SocketAddr;
use std::time::Duration;

use foldhash::HashMap;
use ggs_member::{GateRecord, GroupCandidate};
use ggs_model::{DataCentre, Moment};

/// Time without a datagram after which a gate is no longer handed out; three may be lost, or two in a
/// data centre of forty gates.
pub(crate) const GATE_LEASE: Duration = Duration::from_millis(1_800);

/// Time for which a gate that is not heard is still sent datagrams; longer than the longest time
/// between two reads of the gates in the store.
const CONTACT_TTL: Duration = Duration::from_mins(5);

/// One known gate.
#[derive(Clone, Debug)]
struct GateContact {
    data_centre: DataCentre,
    callers: SocketAddr,
    refreshed_at: Moment,
    /// Whether the gate said that it could read the store of late.
    reads_store: bool,
    /// Size of the gate's host.
    capacity: u32,
}

/// Gates by the address for datagrams, this one included once it is registered.
#[derive(Clone, Debug, Default)]
pub(crate) struct GateContacts {
    contacts: HashMap<SocketAddr, GateContact>,
    /// Whether the gates in the store were read.
    store_read: bool,
}

impl GateContacts {
    /// Takes what a gate said of itself, or what the store told.
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

    /// Notes that the gates in the store were read.
    pub(crate) fn set_store_read(&mut self) {
        self.store_read = true;
    }

    /// Whether the gates in the store were read.
    pub(crate) fn is_store_read(&self) -> bool {
        self.store_read
    }

    /// Takes whether the gate at an address can read the store.
    pub(crate) fn set_reads_store(&mut self, address: SocketAddr, reads_store: bool) {
        if let Some(contact) = self.contacts.get_mut(&address) {
            contact.reads_store = reads_store;
        }
    }

    /// Whether the gate at an address said that it can read the store.
    pub(crate) fn reads_store(&self, address: SocketAddr) -> bool {
        let contact = self.contacts.get(&address);
        contact.is_some_and(|contact| contact.reads_store)
    }

    /// Known gates.
    pub(crate) fn fleet_size(&self) -> usize {
        self.contacts.len()
    }

    /// Addresses for datagrams in a data centre.
    pub(crate) fn peers_of(&self, data_centre: &DataCentre) -> Vec<SocketAddr> {
        let contacts = self.contacts.iter();
        let contacts = contacts.filter(|(_, contact)| contact.data_centre == *data_centre);
        contacts.map(|(address, _)| *address).collect()
    }

    /// Gates of a data centre whose addresses for datagrams come before `own`.
    pub(crate) fn rank_of(&self, own: SocketAddr, data_centre: &DataCentre) -> usize {
        let peers = self.peers_of(data_centre);
        peers.into_iter().filter(|peer| *peer < own).count()
    }

    /// Size of the gate at an address for datagrams; one if it is not known.
    pub(crate) fn capacity_of(&self, address: SocketAddr) -> u32 {
        let contact = self.contacts.get(&address);
        contact.map_or(1, |contact| contact.capacity)
    }

    /// The gates in a data centre.
    pub(crate) fn candidates_of(&self, data_centre: &DataCentre) -> Vec<GroupCandidate> {
        let contacts = self.contacts.values();
        let contacts = contacts.filter(|contact| contact.data_centre == *data_centre);
        let candidates = contacts.map(|contact| GroupCandidate {
            callers: contact.callers,
            capacity: contact.capacity,
        });
        candidates.collect()
    }

    /// The address for datagrams of the gate that callers reach at an address.
    pub(crate) fn peer_of(&self, callers: SocketAddr) -> Option<SocketAddr> {
        let mut contacts = self.contacts.iter();
        let contact = contacts.find(|(_, contact)| contact.callers == callers);
        contact.map(|(address, _)| *address)
    }

    /// Addresses for callers of all gates.
    pub(crate) fn all_callers(&self) -> Vec<SocketAddr> {
        let contacts = self.contacts.values();
        contacts.map(|contact| contact.callers).collect()
    }

    /// Forgets gates that were not heard of for long.
    pub(crate) fn remove_expired(&mut self, now: Moment) {
        self.contacts
            .retain(|_, contact| now.since(contact.refreshed_at) < CONTACT_TTL);
    }
}
