//! Which gates a caller is told to use, and which meet the load of the data centre.

use std::net::SocketAddr;

use ggs_member::{GateState, GroupCandidate, choose_group};
use ggs_model::{Clock, Moment};

use crate::core::EdgeCore;
use crate::ports::{EntryAnswer, EntryQuery};

/// Addresses in an answer at most; callers take no more.
const MAX_ADDRESS_COUNT: usize = 64;

/// Part of the longest life that answers are given. Callers may keep an answer longer than told, and a
/// gate that stops serves until most answers that name it have run out.
const TTL_PERCENT: u32 = 60;

impl<W, S> EdgeCore<W, S> {
    /// The live gates of this gate's data centre.
    fn near_candidates(&self, now: Moment) -> Vec<GroupCandidate> {
        let settings = self.settings();
        let gates = self.gates.borrow();
        let contacts = self.contacts.borrow();
        let view = gates.handed_out(now);
        let live = view.live.iter();
        let live = live.filter(|gate| gate.state == GateState::Live);
        let live = live.filter(|gate| gate.data_centre == settings.data_centre);
        let mut candidates = Vec::new();
        for gate in live {
            let own = gate.callers == settings.listen_callers;
            if own && !self.is_ready() {
                continue;
            }
            candidates.push(GroupCandidate {
                callers: gate.callers,
                capacity: if own {
                    settings.capacity()
                } else {
                    contacts.capacity_of(gate.peers)
                },
            });
        }
        candidates
    }

    /// Finds which gates of the data centre meet the callers of any host.
    pub(crate) fn refresh_group(&self, now: Moment) {
        let Some(routes) = self.routes() else {
            return;
        };
        let candidates = self.near_candidates(now);
        let mut members: Vec<SocketAddr> = Vec::new();
        for host in routes.hosts() {
            members.extend(choose_group(host, &candidates));
        }
        members.sort_unstable();
        members.dedup();
        let own = self.settings().listen_callers;
        let share = if members.contains(&own) {
            GROUP_PROBE_FRACTION / members.len() as f64
        } else {
            (1.0 - GROUP_PROBE_FRACTION) / candidates.len().max(1) as f64
        };
        self.set_probe_share(share);
        let contacts = self.contacts.borrow();
        let next = members.partition_point(|member| *member <= own);
        members.rotate_left(next);
        members.retain(|member| *member != own);
        members.truncate(LOAD_UPDATE_PEER_COUNT);
        let peers = members
            .iter()
            .filter_map(|member| contacts.peer_of(*member));
        *self.load_update_peers.borrow_mut() = peers.collect();
    }
}

/// Gates that are told loads and sends: the next ones in the order of addresses. With more of them,
/// each datagram says something new more seldom.
const LOAD_UPDATE_PEER_COUNT: usize = 8;

/// Part of the questions of a data centre that the gates which meet its callers share; the rest is for
/// gates that callers still know.
const GROUP_PROBE_FRACTION: f64 = 0.9;

/// The gates for a caller; `None` if none is known.
///
/// Gates of the own data centre are known by their datagrams; those of others only by the store. So a
/// gate that is asked from another data centre names those that the store told.
pub(crate) fn entry_answer<W, S>(core: &EdgeCore<W, S>, query: &EntryQuery) -> Option<EntryAnswer> {
    let settings = core.settings();
    let now = core.clock.now();
    let near = &query.data_centre;
    let candidates = if *near == settings.data_centre {
        core.near_candidates(now)
    } else {
        core.contacts.borrow().candidates_of(near)
    };
    let mut addresses = choose_group(&query.host, &candidates);
    if addresses.is_empty() {
        addresses = core.contacts.borrow().all_callers();
        addresses.retain(|address| *address != settings.listen_callers || core.is_ready());
    }
    if addresses.is_empty() {
        return None;
    }
    addresses.truncate(MAX_ADDRESS_COUNT);
    let ttl = settings.bounds.entry_ttl * TTL_PERCENT / 100;
    Some(EntryAnswer { addresses, ttl })
}
