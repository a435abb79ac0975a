//! Which servers may be used.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use ggs_model::{DataCentre, Incarnation, Moment, ServerEntry, ServerId, ServerState, ServiceName};

use crate::{LeavingSet, RemovalLimiter};

/// Share of a service's servers, in percent, that may vanish from the roster in one interval.
const MAX_REMOVAL_PERCENT: usize = 25;

/// The interval of [`MAX_REMOVAL_PERCENT`].
const REMOVAL_INTERVAL: Duration = Duration::from_secs(10);

/// A server as the roster shows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerView {
    /// The run of the server.
    pub server: ServerId,
    /// Where it stands.
    pub data_centre: DataCentre,
}

/// What a new host list brought.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListUpdate {
    /// Servers whose first sign of leaving came from this list; to be passed on at once.
    pub leaving: Vec<ServerId>,
    /// Servers that the list lacks but that are kept, since too many vanished at once.
    pub kept: usize,
}

/// One address of a service.
#[derive(Clone, Debug)]
struct RosterEntry {
    data_centre: DataCentre,
    /// The run that the host list shows.
    listed: Incarnation,
    /// The run that answers, as far as known.
    current: Incarnation,
    /// Since when the list lacks the address.
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

/// The host list joined with the leaving set.
///
/// The list lags and may be wrong: servers that it newly shows are taken at once, but of those that it
/// lacks only a share is dropped per interval, and a list without any server is not followed at all.
/// Leaving is another matter: a server that the list, the server itself or a gate says is leaving is
/// unusable at once, whatever the share.
#[derive(Clone, Debug, Default)]
pub struct ServerRoster {
    services: BTreeMap<ServiceName, ServiceRoster>,
    leaving: LeavingSet,
    generation: u64,
}

impl ServerRoster {
    /// Grows with each change of what [`usable`](Self::usable) answers.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// The servers that are leaving.
    pub fn leaving(&self) -> &LeavingSet {
        &self.leaving
    }

    /// Servers of a service that take new work, in order of address.
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

    /// The roster as a host list, for a gate that has none.
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

    /// Services that have servers.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.services.keys()
    }

    /// Notes a sign, from the server or from another gate, that a server is leaving; true if it is
    /// the first, to be passed on at once.
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

    /// Whether the roster has no server.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Notes the run that an answer named, so that a restarted server is used again before the list
    /// shows its new run. A run that is leaving never takes the place of another.
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

    /// Takes a new host list.
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
        update.kept = self.drop_missing(now);
        self.prune_leaving(now);
        update
    }

    /// Adds or refreshes a listed server.
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

    /// Drops missing servers as far as the allowance goes, the longest missing first; the number kept.
    fn drop_missing(&mut self, now: Moment) -> usize {
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

    /// Forgets words of servers that are long gone from the roster.
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

/// The entry with its address.
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
