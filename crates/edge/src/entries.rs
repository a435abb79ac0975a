//! Selects the gates that a caller is told to use.
//!
//! The same selection says which gates of the data centre serve its callers. Those get most of the
//! data centre's load probes and exchange load updates.

use std::net::SocketAddr;

use ggs_member::{GateState, GroupCandidate, choose_group};
use ggs_model::{Clock, Moment};

use crate::core::EdgeCore;
use crate::ports::{EntryAnswer, EntryQuery};

/// Most addresses in an answer; callers take no more.
const MAX_ADDRESS_COUNT: usize = 64;

/// Time to live of an answer, in percent of the longest that is allowed. It is shorter because
/// callers may keep an answer longer than told, and a gate that stops has to serve callers until
/// most answers that name it have expired.
const TTL_PERCENT: u32 = 60;

impl<W, S> EdgeCore<W, S> {
    /// The live gates of this gate's data centre; this gate only if it is ready.
    fn near_candidates(&self, now: Moment) -> Vec<GroupCandidate> {
        let settings = self.settings();
        let gates = self.gates.borrow();
        let contacts = self.contacts.borrow();
        let advertised = gates.advertised(now);
        let live = advertised.live.iter();
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

    /// Finds the gates of this data centre that serve the callers of at least one host name. They
    /// determine this gate's share of load probes, the gates that it sends load updates to, and which
    /// gate sends to a server that limits requests.
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
        let serving = candidates.into_iter();
        let serving = serving.filter(|gate| members.contains(&gate.callers));
        *self.serving.borrow_mut() = serving.collect();
        self.refresh_limits(now);
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

/// Gates that this one sends load updates to: the next ones in the order of addresses. With more
/// of them, a datagram would less often tell its receiver something new.
const LOAD_UPDATE_PEER_COUNT: usize = 8;

/// Fraction of a data centre's load probes for the gates that serve its callers. The rest is for
/// other gates, because callers with an older entry answer still use them.
const GROUP_PROBE_FRACTION: f64 = 0.9;

/// Selects gates for a caller; `None` if no gate is known.
///
/// Gates of this data centre are known to be live by their heartbeats, those of other data centres
/// only from the store. So for a caller in another data centre, the answer names gates that are
/// listed in the store, whether or not they are still live. If the data centre has no known gate,
/// the answer names the known gates of all data centres.
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
