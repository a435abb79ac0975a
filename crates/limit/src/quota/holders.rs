//! Chooses the gate that holds a quota.

use std::hash::BuildHasher;
use std::net::SocketAddr;
use std::time::Duration;

use foldhash::HashMap;
use foldhash::quality::FixedState;
use ggs_member::weighted_rank;
use ggs_model::Moment;

/// Seed of the hash that ranks gates; the same at all gates.
const RANK_SEED: u64 = 3;

/// Time after which a gate that did not answer is asked for a sign of life; doubled each time.
const FIRST_RETRY: Duration = Duration::from_millis(500);

/// Longest time between two such questions.
const MAX_RETRY: Duration = Duration::from_secs(8);

/// Time for which a gate that cannot hold quotas is passed over: it stops, or it has just started.
const UNABLE_TIME: Duration = Duration::from_millis(150);

/// A gate that may hold quotas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderCandidate {
    /// Address at which it gets datagrams.
    pub address: SocketAddr,
    /// Capacity of its host relative to the others; 0 counts as 1.
    pub capacity: u32,
}

/// What a gate is to a quota that it grants.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderStanding {
    /// The holder.
    Preferred,
    /// It stands in for gates that say that they cannot hold the quota now.
    Standby,
    /// It stands in for gates that do not answer it, and that may still grant to others.
    BlindStandby,
}

/// A gate that did not answer.
#[derive(Clone, Copy, Debug)]
struct SilentGate {
    retry_at: Moment,
    retry_after: Duration,
}

/// Which gates do not answer, and so do not hold quotas.
///
/// ```
/// use ggs_limit::{HolderCandidate, HolderTable};
/// use ggs_model::Moment;
///
/// let gates: Vec<_> = (1..=9_u16)
///     .map(|port| HolderCandidate { address: ([10, 0, 0, 1], port).into(), capacity: 1 })
///     .collect();
/// let mut table = HolderTable::default();
/// let holder = table.choose("a", &gates, Moment::ZERO).unwrap();
/// table.note_silent(holder, Moment::ZERO);
/// assert_ne!(table.choose("a", &gates, Moment::ZERO), Some(holder));
/// table.note_heard(holder);
/// assert_eq!(table.choose("a", &gates, Moment::ZERO), Some(holder));
/// ```
#[derive(Clone, Debug, Default)]
pub struct HolderTable {
    silent: HashMap<SocketAddr, SilentGate>,
    unable_until: HashMap<SocketAddr, Moment>,
}

impl HolderTable {
    /// The gate that holds the quota called `name`, by weighted rendezvous hashing over the gates that
    /// answer; `None` if there is none.
    pub fn choose(&self, name: &str, gates: &[HolderCandidate], now: Moment) -> Option<SocketAddr> {
        let ranked = ranked(name, gates).into_iter();
        let ranked = ranked.filter(|gate| self.answers(gate.address, now));
        let first = ranked.min_by(|one, other| {
            let order = one.rank.total_cmp(&other.rank);
            order.then(one.address.cmp(&other.address))
        });
        first.map(|gate| gate.address)
    }

    /// What a gate is to a quota, by the gates that come before it.
    pub fn standing(
        &self,
        name: &str,
        gates: &[HolderCandidate],
        own: SocketAddr,
    ) -> HolderStanding {
        let ranks = ranked(name, gates);
        let own_rank = ranks.iter().find(|ranked| ranked.address == own);
        let Some(own_rank) = own_rank else {
            return HolderStanding::BlindStandby;
        };
        let mut before = ranks.iter().filter(|ranked| *ranked < own_rank).peekable();
        if before.peek().is_none() {
            HolderStanding::Preferred
        } else if before.any(|ranked| self.silent.contains_key(&ranked.address)) {
            HolderStanding::BlindStandby
        } else {
            HolderStanding::Standby
        }
    }

    /// Whether a gate is taken to answer.
    pub fn answers(&self, address: SocketAddr, now: Moment) -> bool {
        let is_unable = self
            .unable_until
            .get(&address)
            .is_some_and(|until| *until > now);
        !is_unable && !self.silent.contains_key(&address)
    }

    /// Notes that a gate did not answer in time.
    pub fn note_silent(&mut self, address: SocketAddr, now: Moment) {
        let gate = SilentGate {
            retry_at: now + FIRST_RETRY,
            retry_after: FIRST_RETRY,
        };
        self.silent.entry(address).or_insert(gate);
    }

    /// Notes that a gate says that it cannot hold quotas now.
    pub fn note_unable(&mut self, address: SocketAddr, now: Moment) {
        self.unable_until.insert(address, now + UNABLE_TIME);
    }

    /// Notes a datagram of a gate.
    pub fn note_heard(&mut self, address: SocketAddr) {
        self.silent.remove(&address);
    }

    /// The silent gates that have to be asked for a sign of life now; a gate that stands in for one asks
    /// often.
    pub fn due_retries(&mut self, stands_in: bool, now: Moment) -> Vec<SocketAddr> {
        let max_retry = if stands_in { FIRST_RETRY } else { MAX_RETRY };
        self.unable_until.retain(|_, until| *until > now);
        let due = self
            .silent
            .iter_mut()
            .filter(|(_, gate)| stands_in || gate.retry_at <= now);
        let due = due.map(|(address, gate)| {
            gate.retry_after = (gate.retry_after * 2).min(max_retry);
            gate.retry_at = now + gate.retry_after;
            *address
        });
        due.collect()
    }
}

/// A gate and its rank for a quota; the lowest is preferred.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
struct RankedGate {
    rank: f64,
    address: SocketAddr,
}

/// The ranks of gates for a quota.
fn ranked(name: &str, gates: &[HolderCandidate]) -> Vec<RankedGate> {
    let state = FixedState::with_seed(RANK_SEED);
    let ranked = gates.iter().map(|gate| {
        let hash = state.hash_one((name, gate.address));
        RankedGate {
            rank: weighted_rank(hash, gate.capacity),
            address: gate.address,
        }
    });
    ranked.collect()
}
