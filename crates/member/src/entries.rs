//! Order of the addresses that a caller is told to use.

use std::hash::BuildHasher;
use std::net::SocketAddr;

use foldhash::quality::FixedState;
use ggs_model::{DataCentre, ServiceName};

use crate::{AdvertisedGates, GateRecord};

/// Seed of the hash that ranks gates; all gates rank alike, so callers of one service meet at the
/// same gates whichever gate they ask.
const RANK_SEED: u64 = 1;

/// Addresses in an answer at most.
const MAX_ADDRESSES: usize = 6;

/// Orders gates for callers of one service.
///
/// Gates of the asked gate's data centre come first, ranked by rendezvous hashing, so that few gates
/// see most of a service's load and a gate that leaves moves only its own callers. The first `spread`
/// of them change places by `draw`, which spreads callers over them evenly.
///
/// ```
/// use ggs_member::{AdvertisedGates, order_entries};
///
/// let none = order_entries(&AdvertisedGates::default(), &"ledger".into(), &"dc-1".into(), 2, 7);
/// assert!(none.is_empty());
/// ```
pub fn order_entries(
    gates: &AdvertisedGates<'_>,
    service: &ServiceName,
    near: &DataCentre,
    spread: usize,
    draw: u64,
) -> Vec<SocketAddr> {
    let mut ranked = rank_gates(&gates.live, service, near);
    let local = ranked
        .iter()
        .filter(|gate| gate.data_centre == *near)
        .count();
    let group = if local == 0 { ranked.len() } else { local };
    let spread = spread.min(group);
    if spread > 1 {
        let first = draw % spread as u64;
        ranked[..spread].rotate_left(first as usize);
    }
    ranked.extend(rank_gates(&gates.unsure, service, near));
    ranked.truncate(MAX_ADDRESSES);
    ranked.iter().map(|gate| gate.callers).collect()
}

/// The gates in order: near ones first, then by the hash of service and address.
fn rank_gates<'a>(
    gates: &[&'a GateRecord],
    service: &ServiceName,
    near: &DataCentre,
) -> Vec<&'a GateRecord> {
    let state = FixedState::with_seed(RANK_SEED);
    let mut ranked = gates.to_vec();
    ranked.sort_by_cached_key(|gate| {
        let rank = state.hash_one((service.as_str(), gate.callers));
        (gate.data_centre != *near, rank)
    });
    ranked
}
