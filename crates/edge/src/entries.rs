//! Which gates a caller is told to use.

use std::net::SocketAddr;

use ggs_member::GateState;
use ggs_model::{Clock, DataCentre};

use crate::core::EdgeCore;
use crate::ports::EntryAnswer;

/// Addresses in an answer at most; callers take no more.
const MAX_ADDRESSES: usize = 64;

/// Part of the longest life that answers are given. Callers may keep an answer longer than told, and a
/// gate that stops serves until most answers that name it have run out.
const LIFE_PERCENT: u32 = 60;

/// The gates for callers in a data centre; `None` if none is known.
///
/// Gates of the own data centre are known by their datagrams; those of others only by the store. So a
/// gate that is asked from another data centre names those that the store told.
pub(crate) fn entry_answer<W, S>(core: &EdgeCore<W, S>, near: &DataCentre) -> Option<EntryAnswer> {
    let settings = core.settings();
    let now = core.clock.now();
    let gates = core.gates.borrow();
    let handed = gates.handed_out(now);
    let contacts = core.contacts.borrow();
    let mut addresses: Vec<SocketAddr> = Vec::new();
    if *near == settings.data_centre {
        let live = handed
            .live
            .iter()
            .filter(|gate| gate.state == GateState::Live);
        let own = settings.listen_callers;
        let live = live.filter(|gate| gate.callers != own || core.is_ready());
        addresses.extend(live.map(|gate| gate.callers));
    } else {
        addresses.extend(contacts.callers_of(near));
    }
    if addresses.is_empty() {
        addresses.extend(contacts.all_callers());
        addresses.retain(|address| *address != settings.listen_callers || core.is_ready());
    }
    if addresses.is_empty() {
        return None;
    }
    addresses.sort_unstable();
    addresses.dedup();
    addresses.truncate(MAX_ADDRESSES);
    let life = settings.bounds.entry_life * LIFE_PERCENT / 100;
    Some(EntryAnswer { addresses, life })
}
