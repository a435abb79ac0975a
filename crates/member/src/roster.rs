//! Decides which servers of each service may get requests.
//!
//! The host list of the platform may lag or be wrong, so it is joined with leaving notices and with
//! the incarnations that servers report in their answers.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use ggs_model::{DataCentre, Incarnation, Moment, ServerEntry, ServerId, ServerState, ServiceName};

use crate::{LeavingSet, RemovalLimiter};

/// Largest share of a service's servers, in percent, that is removed from the roster in one
/// interval.
const MAX_REMOVAL_PERCENT: usize = 25;

/// Interval to which [`MAX_REMOVAL_PERCENT`] applies.
const REMOVAL_INTERVAL: Duration = Duration::from_secs(10);

/// A server that the roster holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerView {
    /// Address and incarnation of the server.
    pub server: ServerId,
    /// Data centre in which the server runs.
    pub data_centre: DataCentre,
}

/// What a new host list changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListUpdate {
    /// Servers whose first leaving notice came from this list; to be passed on to the other gates
    /// at once.
    pub leaving: Vec<ServerId>,
    /// Number of servers that the list lacks but that are kept, since too many disappeared at once.
    pub kept: usize,
}

/// One server address of a service.
#[derive(Clone, Debug)]
struct RosterEntry {
    data_centre: DataCentre,
    /// Incarnation that the host list shows.
    listed: Incarnation,
    /// Incarnation that last answered, or the listed one if none has answered since it was listed.
    current: Incarnation,
    /// Since when the host list has lacked the address.
    missing: Option<Moment>,
}

/// The servers of one service.
#[derive(Clone, Debug)]
struct ServiceRoster {
    servers: BTreeMap<SocketAddr, RosterEntry>,
    removals: RemovalLimiter,
}

impl Default for ServiceRoster {
    fn default() -> Self {
        Self {
            servers: BTreeMap::new(),
            removals: RemovalLimiter::new(MAX_REMOVAL_PERCENT, REMOVAL_INTERVAL),
        }
    }
}

/// The servers of the host list, without those that are leaving.
///
/// The list lags and may be wrong: servers that it newly shows are added at once, but of those that
/// it lacks only a limited share is removed per interval, and a list without any server is ignored.
/// This limit does not apply to leaving servers: a server that the list, the server itself or
/// another gate reports as leaving becomes unusable at once.
#[derive(Clone, Debug, Default)]
pub struct ServerRoster {
    services: BTreeMap<ServiceName, ServiceRoster>,
    leaving: LeavingSet,
    generation: u64,
}

impl ServerRoster {
    /// A counter that increases with each change of what [`usable`](Self::usable) returns.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The servers that are leaving.
    pub fn leaving(&self) -> &LeavingSet {
        &self.leaving
    }

    /// Servers of a service that take new work, sorted by address.
    pub fn usable(&self, service: &ServiceName) -> Vec<ServerView> {
        let Some(roster) = self.services.get(service) else {
            return Vec::new();
        };
        let views = roster
            .servers
            .iter()
            .map(|(address, entry)| view(*address, entry));
        views
            .filter(|view| !self.leaving.contains(&view.server))
            .collect()
    }

    /// The roster in the form of a host list, to be sent to a gate that has none.
    pub fn entries(&self) -> Vec<ServerEntry> {
        let mut entries = Vec::new();
        for (service, roster) in &self.services {
            for (address, entry) in &roster.servers {
                let view = view(*address, entry);
                let leaving = self.leaving.contains(&view.server);
                entries.push(ServerEntry {
                    service: service.clone(),
                    server: view.server,
                    data_centre: view.data_centre,
                    state: if leaving {
                        ServerState::Leaving
                    } else {
                        ServerState::Live
                    },
                });
            }
        }
        entries
    }

    /// Services that have at least one server, whether usable or leaving.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    /// Records a leaving notice from the server or from another gate; returns true if it is the
    /// first, which the caller must pass on to the other gates at once.
    pub fn mark_leaving(&mut self, server: ServerId, now: Moment) -> bool {
        let first = self.leaving.mark(server, now);
        self.generation += u64::from(first);
        first
    }

    /// Number of a service's servers that are leaving.
    pub fn leaving_count(&self, service: &ServiceName) -> usize {
        let Some(roster) = self.services.get(service) else {
            return 0;
        };
        let views = roster
            .servers
            .iter()
            .map(|(address, entry)| view(*address, entry));
        views
            .filter(|view| self.leaving.contains(&view.server))
            .count()
    }

    /// Returns whether the roster has no server.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Records the incarnation that a server named in an answer, so that a restarted server is used
    /// again before the host list shows its new incarnation. An incarnation that is leaving never
    /// replaces another.
    pub fn record_incarnation(&mut self, server: ServerId) {
        if self.leaving.contains(&server) {
            return;
        }
        for roster in self.services.values_mut() {
            if let Some(entry) = roster.servers.get_mut(&server.address)
                && entry.current != server.incarnation
            {
                entry.current = server.incarnation;
                self.generation += 1;
            }
        }
    }

    /// Applies a new host list. An empty list changes nothing.
    pub fn apply_list(&mut self, list: &[ServerEntry], now: Moment) -> ListUpdate {
        let mut update = ListUpdate::default();
        if list.is_empty() {
            update.kept = self
                .services
                .values()
                .map(|roster| roster.servers.len())
                .sum();
            return update;
        }
        for roster in self.services.values_mut() {
            for entry in roster.servers.values_mut() {
                entry.missing = entry.missing.or(Some(now));
            }
        }
        for entry in list {
            self.apply_entry(entry);
            if entry.state == ServerState::Leaving && self.mark_leaving(entry.server, now) {
                update.leaving.push(entry.server);
            }
        }
        update.kept = self.remove_missing(now);
        self.prune_leaving(now);
        update
    }

    /// Adds a listed server, or updates its incarnation.
    fn apply_entry(&mut self, listed: &ServerEntry) {
        let roster = self.services.entry(listed.service.clone()).or_default();
        let incarnation = listed.server.incarnation;
        if let Some(entry) = roster.servers.get_mut(&listed.server.address) {
            entry.missing = None;
            if entry.listed != incarnation {
                entry.listed = incarnation;
                entry.current = incarnation;
                self.generation += 1;
            }
            return;
        }
        let entry = RosterEntry {
            data_centre: listed.data_centre.clone(),
            listed: incarnation,
            current: incarnation,
            missing: None,
        };
        roster.servers.insert(listed.server.address, entry);
        self.generation += 1;
    }

    /// Removes missing servers within the removal limit, those missing for the longest time first;
    /// returns the number of missing servers that were kept.
    fn remove_missing(&mut self, now: Moment) -> usize {
        let mut kept = 0;
        for roster in self.services.values_mut() {
            let missing = roster.servers.iter();
            let missing = missing.filter_map(|(address, entry)| Some((entry.missing?, *address)));
            let mut missing: Vec<_> = missing.collect();
            missing.sort_unstable();
            let total = roster.servers.len();
            for (_, address) in missing {
                if !roster.removals.take(total, now) {
                    kept += 1;
                    continue;
                }
                roster.servers.remove(&address);
                self.generation += 1;
            }
        }
        self.services.retain(|_, roster| !roster.servers.is_empty());
        kept
    }

    /// Drops leaving notices for servers that have been gone from the roster for long.
    fn prune_leaving(&mut self, now: Moment) {
        let services = &self.services;
        let is_listed = |server: &ServerId| {
            services.values().any(|roster| {
                let entry = roster.servers.get(&server.address);
                entry.is_some_and(|entry| {
                    entry.listed == server.incarnation || entry.current == server.incarnation
                })
            })
        };
        self.leaving.prune(is_listed, now);
    }
}

/// Combines an entry with its address.
fn view(address: SocketAddr, entry: &RosterEntry) -> ServerView {
    let incarnation = entry.current;
    ServerView {
        server: ServerId {
            address,
            incarnation,
        },
        data_centre: entry.data_centre.clone(),
    }
}
