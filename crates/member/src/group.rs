//! Chooses the gates of a data centre that serve the callers of one host name.
//!
//! If every gate of a data centre with many gates served every host name, each of them would keep
//! connections to every server and see only a small part of what is in flight there.

use std::hash::BuildHasher;
use std::net::SocketAddr;

use foldhash::quality::FixedState;

/// Seed of the hash that ranks gates. It is the same at all gates, so that callers get the same
/// group whichever gate they ask.
const RANK_SEED: u64 = 2;

/// Size of a group, in percent of the live gates in the data centre.
const GROUP_PERCENT: usize = 60;

/// Smallest size of a group. In a smaller one, the loss of a gate would move a large part of the
/// callers.
const MIN_GROUP_COUNT: usize = 4;

/// A gate that may be chosen for a group.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupCandidate {
    /// Address at which the gate accepts callers.
    pub callers: SocketAddr,
    /// Capacity of the gate relative to the others; 0 counts as 1.
    pub capacity: u32,
}

/// Chooses the gates that serve the callers of `host`, best first.
///
/// Of more than four candidates, 60% are chosen, but at least four; up to four are all chosen. This
/// keeps traffic off the smallest gates, and as fewer gates keep connections to each server, each
/// of them knows more of what is in flight there. The gates are chosen by weighted rendezvous
/// hashing: larger gates are chosen more often, and a gate that is added or removed moves only its
/// own callers.
///
/// ```
/// use ggs_member::{GroupCandidate, choose_group};
///
/// let candidates: Vec<_> = (1..=40_u16)
///     .map(|port| GroupCandidate { callers: ([10, 0, 0, 1], port).into(), capacity: 1 })
///     .collect();
/// assert_eq!(choose_group("shop.example", &candidates).len(), 24);
/// ```
pub fn choose_group(host: &str, candidates: &[GroupCandidate]) -> Vec<SocketAddr> {
    let size = (candidates.len() * GROUP_PERCENT / 100).max(MIN_GROUP_COUNT);
    let state = FixedState::with_seed(RANK_SEED);
    let mut ranked: Vec<(f64, SocketAddr)> = candidates
        .iter()
        .map(|candidate| {
            let hash = state.hash_one((host, candidate.callers));
            (weighted_rank(hash, candidate.capacity), candidate.callers)
        })
        .collect();
    ranked.sort_by(|one, other| one.0.total_cmp(&other.0).then(one.1.cmp(&other.1)));
    ranked.truncate(size);
    ranked.into_iter().map(|(_, callers)| callers).collect()
}

/// Turns a hash into a weighted rank, lowest first: an exponentially distributed value whose rate
/// is the capacity, so that each candidate ranks first with a probability in proportion to its
/// capacity; 0 counts as 1.
///
/// ```
/// use ggs_member::weighted_rank;
///
/// assert!(weighted_rank(1 << 60, 5) < weighted_rank(1 << 60, 1));
/// ```
pub fn weighted_rank(hash: u64, capacity: u32) -> f64 {
    let uniform = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -uniform.ln() / f64::from(capacity.max(1))
}
