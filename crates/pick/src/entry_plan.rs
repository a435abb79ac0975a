//! Which gates serve a service, and the order in which a caller is told of them.
//!
//! Few gates for each service let each of them see much of the service's load, which is worth more to
//! the choice of server than any formula. Gates are ranked by rendezvous hashing of service and host, so
//! that a lost or added gate moves few callers, and a restarted gate none. Each gate takes a bounded
//! number of services, and the gates of a service are spread over the data centres.

use std::collections::{BTreeMap, HashMap};
use std::hash::{BuildHasher, Hash, Hasher};
use std::net::SocketAddr;
use std::time::Duration;

use foldhash::fast::FixedState;
use ggs_model::{DataCentre, GateId, HostName, Moment, ServiceName};

/// Seed of the ranking; the same at every gate, so that all gates answer alike.
const RANK_SEED: u64 = 0x6767_7365_6e74_7279;

/// Services on a gate at most, as a percentage of the mean.
const LOAD_BOUND_PERCENT: usize = 125;

/// Share of the gates that may vanish at once and be believed, as a percentage.
const BELIEVED_LOSS_PERCENT: usize = 34;

/// Time for which gates that vanished with many others stay at the end of answers.
const DOUBT_TIME: Duration = Duration::from_secs(15);

/// A gate that callers may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryGate {
    /// The run of the gate.
    pub gate: GateId,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// The address that callers connect to.
    pub address: SocketAddr,
}

/// Gates of each service.
///
/// ```
/// use ggs_model::{GateId, Incarnation, Moment};
/// use ggs_pick::{EntryGate, EntryPlan};
///
/// let gate = |number: u8| EntryGate {
///     gate: GateId {
///         host: format!("entry-{number}").as_str().into(),
///         incarnation: Incarnation(1),
///     },
///     data_centre: if number % 2 == 0 { "krk".into() } else { "rze".into() },
///     address: ([127, 0, 0, number], 8080).into(),
/// };
/// let mut plan = EntryPlan::new(4);
/// plan.replace_services(&["ledger".into()]);
/// plan.replace_gates(&(0..18).map(gate).collect::<Vec<_>>(), Moment::ZERO);
///
/// let entries = plan.entries(&"ledger".into(), Some(&"rze".into()), 0);
/// assert_eq!(entries.len(), 4);
/// assert_eq!(entries[0].ip().to_string().chars().last().unwrap().to_digit(10).unwrap() % 2, 1);
/// ```
#[derive(Clone, Debug)]
pub struct EntryPlan {
    gates_per_service: usize,
    services: Vec<ServiceName>,
    live: Vec<EntryGate>,
    doubted: Vec<EntryGate>,
    doubted_since: Moment,
    assigned: HashMap<ServiceName, Vec<usize>>,
}

impl EntryPlan {
    /// A plan with `gates_per_service` gates for each service, that knows no gate yet.
    pub fn new(gates_per_service: usize) -> Self {
        Self {
            gates_per_service: gates_per_service.max(1),
            services: Vec::new(),
            live: Vec::new(),
            doubted: Vec::new(),
            doubted_since: Moment::ZERO,
            assigned: HashMap::new(),
        }
    }

    /// Replaces the services; their number bounds the services on a gate.
    pub fn replace_services(&mut self, services: &[ServiceName]) {
        self.services = services.to_vec();
        self.services.sort();
        self.services.dedup();
        self.assign();
    }

    /// Replaces the live gates.
    ///
    /// When more than a third vanish at once, this gate's sight is in doubt: those that vanished stay at
    /// the end of answers for 15 s. An empty list is taken for lost sight, and changes nothing.
    pub fn replace_gates(&mut self, live: &[EntryGate], now: Moment) {
        if live.is_empty() {
            return;
        }
        let is_live = |gate: &EntryGate| live.iter().any(|one| one.gate.host == gate.gate.host);
        let before = self.live.len();
        let vanished: Vec<EntryGate> = self
            .live
            .iter()
            .filter(|gate| !is_live(gate))
            .cloned()
            .collect();
        if now.since(self.doubted_since) >= DOUBT_TIME {
            self.doubted.clear();
        }
        self.doubted.retain(|gate| !is_live(gate));
        if vanished.len() * 100 > before * BELIEVED_LOSS_PERCENT {
            self.doubted.extend(vanished);
            self.doubted_since = now;
        }
        self.live = live.to_vec();
        self.live.sort_by(|left, right| left.gate.cmp(&right.gate));
        self.assign();
    }

    /// Addresses for a caller: gates of the service in the caller's data centre first, then the others.
    ///
    /// `turn` is a number that differs from caller to caller, for example a counter; it spreads callers
    /// over the gates that are equally near.
    pub fn entries(
        &self,
        service: &ServiceName,
        caller: Option<&DataCentre>,
        turn: u64,
    ) -> Vec<SocketAddr> {
        let assigned = self.assigned.get(service).cloned();
        let gates = assigned.unwrap_or_else(|| self.spread(&self.ranked(service, |_| true)));
        let is_near = |gate: &&EntryGate| Some(&gate.data_centre) == caller;
        let all = gates.iter().map(|&index| &self.live[index]);
        let (mut near, mut far): (Vec<&EntryGate>, Vec<&EntryGate>) = all.partition(is_near);
        rotate(&mut near, turn);
        rotate(&mut far, turn);
        let addresses = near.into_iter().chain(far).chain(&self.doubted);
        addresses.map(|gate| gate.address).collect()
    }

    /// Whether the gate on `host` is one of a service's gates.
    pub fn serves(&self, service: &ServiceName, host: &HostName) -> bool {
        let assigned = self.assigned.get(service);
        assigned.is_some_and(|gates| {
            gates
                .iter()
                .any(|&index| &self.live[index].gate.host == host)
        })
    }

    /// Assigns gates to each service.
    fn assign(&mut self) {
        let places = self.services.len() * self.gates_per_service.min(self.live.len());
        let bound = (places * LOAD_BOUND_PERCENT).div_ceil(100 * self.live.len().max(1));
        let mut loads = vec![0; self.live.len()];
        let mut assigned = HashMap::new();
        for service in &self.services {
            let gates = self.spread(&self.ranked(service, |index| loads[index] < bound));
            for &index in &gates {
                loads[index] += 1;
            }
            assigned.insert(service.clone(), gates);
        }
        self.assigned = assigned;
    }

    /// Gates by falling rank for a service; those that are not `free` come last.
    fn ranked(&self, service: &ServiceName, free: impl Fn(usize) -> bool) -> Vec<usize> {
        let rank = |index: usize| rank(service, &self.live[index].gate.host);
        let mut gates: Vec<usize> = (0..self.live.len()).collect();
        gates.sort_by_key(|&index| (!free(index), std::cmp::Reverse(rank(index))));
        gates
    }

    /// The first gates by rank, from each data centre in turn.
    fn spread(&self, ranked: &[usize]) -> Vec<usize> {
        let mut rounds: BTreeMap<&DataCentre, usize> = BTreeMap::new();
        let mut by_round: Vec<(usize, usize)> = Vec::new();
        for &index in ranked {
            let round = rounds.entry(&self.live[index].data_centre).or_default();
            by_round.push((*round, index));
            *round += 1;
        }
        // The sort is stable, so that the rank decides within a round.
        by_round.sort_by_key(|&(round, _)| round);
        let first = by_round.iter().take(self.gates_per_service);
        first.map(|&(_, index)| index).collect()
    }
}

/// Rank of a host for a service.
fn rank(service: &ServiceName, host: &HostName) -> u64 {
    let mut hasher = FixedState::with_seed(RANK_SEED).build_hasher();
    service.as_str().hash(&mut hasher);
    host.as_str().hash(&mut hasher);
    hasher.finish()
}

/// Starts a list at another place.
fn rotate(gates: &mut [&EntryGate], turn: u64) {
    if !gates.is_empty() {
        let places = turn % gates.len() as u64;
        gates.rotate_left(places as usize);
    }
}
