//! Which gates are told of a crash.

use std::hash::{BuildHasher, Hash};

use foldhash::quality::FixedState;

use crate::RequestDigest;

/// Gates that collect the crashes of a request. Some of them may be unreachable, and gates may differ
/// for a moment in which gates they know.
const TRACKER_COUNT: usize = 8;

/// Seed of the hash that chooses trackers; the same at all gates.
const TRACKER_SEED: u64 = 2;

/// The gates of a list that collect the crashes of a request, by rendezvous hashing: gates that know
/// nearly the same gates choose nearly the same trackers.
///
/// ```
/// use ggs_quarantine::{RequestDigest, choose_trackers};
///
/// let gates: Vec<u16> = (1..=40).collect();
/// let trackers = choose_trackers(&RequestDigest([1; 16]), &gates);
/// assert_eq!(trackers.len(), 8);
/// let without_one: Vec<u16> = gates.into_iter().filter(|gate| *gate != trackers[0]).collect();
/// let others = choose_trackers(&RequestDigest([1; 16]), &without_one);
/// assert_eq!(others[..7], trackers[1..]);
/// ```
pub fn choose_trackers<G>(request: &RequestDigest, gates: &[G]) -> Vec<G>
where
    G: Hash + Clone,
{
    let state = FixedState::with_seed(TRACKER_SEED);
    let mut gates = gates.to_vec();
    gates.sort_by_cached_key(|gate| state.hash_one((request, gate)));
    gates.truncate(TRACKER_COUNT);
    gates
}
