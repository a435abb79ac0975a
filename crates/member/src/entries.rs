//! Orders the gate addresses that a caller of a service is told to use.
//!
//! Callers of one service should use the same few gates in their own data centre, so that these
//! gates see most of the service's load.

use std::hash::BuildHasher;
use std::net::SocketAddr;

use foldhash::quality::FixedState;
use ggs_model::{DataCentre, ServiceName};

use crate::{AdvertisedGates, GateRecord};

/// Seed of the hash that ranks gates. It is the same at all gates, so that callers of one service
/// get the same gates whichever gate they ask.
const RANK_SEED: u64 = 1;

/// Maximum number of addresses in an answer.
const MAX_ADDRESSES: usize = 6;

/// Returns the caller addresses of the gates to use for one service, best first.
///
/// Gates in the data centre `local`, that of the gate that was asked, come first, ranked by
/// rendezvous hashing, so that few gates see most of a service's load and the loss of a gate moves
/// only the callers of that gate. The first `spread` of them are rotated by `random`, a number
/// drawn for each answer, which spreads callers over them evenly. Gates that may be lost come last.
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
    local: &DataCentre,
    spread: usize,
    random: u64,
) -> Vec<SocketAddr> {
    let mut ranked = rank_gates(&gates.live, service, local);
    let local_count = ranked
        .iter()
        .filter(|gate| gate.data_centre == *local)
        .count();
    let candidates = if local_count == 0 {
        ranked.len()
    } else {
        local_count
    };
    let spread = spread.min(candidates);
    if spread > 1 {
        let first = random % spread as u64;
        ranked[..spread].rotate_left(first as usize);
    }
    ranked.extend(rank_gates(&gates.unsure, service, local));
    ranked.truncate(MAX_ADDRESSES);
    ranked.iter().map(|gate| gate.callers).collect()
}

/// Sorts gates: those in the data centre `local` first, then by a hash of service and address.
fn rank_gates<'a>(
    gates: &[&'a GateRecord],
    service: &ServiceName,
    local: &DataCentre,
) -> Vec<&'a GateRecord> {
    let state = FixedState::with_seed(RANK_SEED);
    let mut ranked = gates.to_vec();
    ranked.sort_by_cached_key(|gate| {
        let rank = state.hash_one((service.as_str(), gate.callers));
        (gate.data_centre != *local, rank)
    });
    ranked
}
