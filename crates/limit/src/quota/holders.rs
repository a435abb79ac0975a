//! Chooses the gate that holds a quota.

use std::hash::BuildHasher;
use std::net::SocketAddr;
use std::time::Duration;

use foldhash::HashMap;
use foldhash::quality::FixedState;
use ggs_model::Moment;

/// Seed of the hash that ranks gates; the same at all gates.
const RANK_SEED: u64 = 3;

/// Time after which a gate that did not answer is asked for a sign of life; doubled each time.
const FIRST_RETRY: Duration = Duration::from_millis(500);

/// Longest time between two such questions.
const MAX_RETRY: Duration = Duration::from_secs(8);

/// Time for which a gate that cannot hold quotas is passed over: it stops, or it has just started.
const UNABLE_TIME: Duration = Duration::from_millis(400);

/// A gate that may hold quotas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderCandidate {
    /// Address at which it gets datagrams.
    pub address: SocketAddr,
    /// Capacity of its host relative to the others; 0 counts as 1.
    pub capacity: u32,
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
        first_of(name, gates, |address| self.answers(address, now))
    }

    /// The gate that would hold the quota if all answered.
    pub fn preferred(name: &str, gates: &[HolderCandidate]) -> Option<SocketAddr> {
        first_of(name, gates, |_| true)
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

    /// The silent gates that have to be asked for a sign of life now.
    pub fn due_retries(&mut self, now: Moment) -> Vec<SocketAddr> {
        self.unable_until.retain(|_, until| *until > now);
        let due = self
            .silent
            .iter_mut()
            .filter(|(_, gate)| gate.retry_at <= now);
        let due = due.map(|(address, gate)| {
            gate.retry_after = (gate.retry_after * 2).min(MAX_RETRY);
            gate.retry_at = now + gate.retry_after;
            *address
        });
        due.collect()
    }
}

/// The first gate of those that `answers` accepts.
fn first_of(
    name: &str,
    gates: &[HolderCandidate],
    answers: impl Fn(SocketAddr) -> bool,
) -> Option<SocketAddr> {
    let state = FixedState::with_seed(RANK_SEED);
    let ranked = gates.iter().filter(|gate| answers(gate.address));
    let ranked = ranked.map(|gate| {
        let hash = state.hash_one((name, gate.address));
        // An exponentially distributed rank, so that larger hosts come first more often.
        let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
        let rank = -uniform.ln() / f64::from(gate.capacity.max(1));
        (rank, gate.address)
    });
    let first = ranked.min_by(|one, other| one.0.total_cmp(&other.0).then(one.1.cmp(&other.1)));
    first.map(|(_, address)| address)
}
