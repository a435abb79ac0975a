//! Which gates of a data centre serve the callers of one host name.

use std::hash::BuildHasher;
use std::net::SocketAddr;

use foldhash::quality::FixedState;

/// Seed of the hash that ranks gates; all gates rank alike, so that callers meet at the same ones
/// whichever gate they ask.
const RANK_SEED: u64 = 2;

/// Gates of a group, in percent of those that live in the data centre.
const GROUP_PERCENT: usize = 60;

/// Gates of a group at least: with few, the loss of one would move many callers.
const MIN_GROUP: usize = 4;

/// A gate that may be chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GroupCandidate {
    /// Its address for callers.
    pub callers: SocketAddr,
    /// Its size, relative to the others; zero counts as one.
    pub capacity: u32,
}

/// Chooses the gates that serve the callers of `host`.
///
/// In a large data centre the smallest hosts are spared, and fewer gates keep connections to each
/// server and know more of what is in flight there. The gates are chosen by weighted rendezvous
/// hashing: larger gates more often, and a gate that comes or goes moves only its own callers.
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
    let size = (candidates.len() * GROUP_PERCENT / 100).max(MIN_GROUP);
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

/// The rank of a hash under a weight, lowest first: an exponential draw whose rate is the weight, so
/// that each candidate is first with a chance in proportion to it.
fn weighted_rank(hash: u64, capacity: u32) -> f64 {
    let unit = (hash as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    -unit.ln() / f64::from(capacity.max(1))
}
