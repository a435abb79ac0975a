//! Tracks which other gates are live, by a lease that each gate's heartbeats renew.
//!
//! The table decides which gates are advertised to callers. It limits how many gates are withdrawn,
//! because a gate that is itself cut off must not withdraw all the others.

use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use foldhash::{HashMap, HashMapExt};
use ggs_model::{DataCentre, GateId, Incarnation, Moment};
use strum::{Display, EnumString, IntoStaticStr};

use crate::RemovalLimiter;

/// Mean time between two heartbeats of a gate; jitter draws each interval from 80% to 120% of it.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Time without a heartbeat after which a gate counts as lost. At the mean interval, three
/// heartbeats in a row may be missed.
pub const LEASE: Duration = Duration::from_secs(4);

/// Maximum number of tombstones kept for gates that said goodbye, so that a late heartbeat does not
/// add them again.
const MAX_TOMBSTONES: usize = 256;

/// Whether a gate accepts new callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum GateState {
    /// Accepts new callers and is advertised to them.
    Live,
    /// Finishes its requests. It is not advertised to callers, but other gates still connect to it.
    Draining,
}

/// What a gate announces about itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GateRecord {
    /// Host and incarnation of the gate.
    pub gate: GateId,
    /// Data centre in which the gate runs.
    pub data_centre: DataCentre,
    /// Address at which the gate accepts callers.
    pub callers: SocketAddr,
    /// Address at which the gate accepts connections from other gates.
    pub peers: SocketAddr,
    /// Whether the gate accepts new callers.
    pub state: GateState,
}

/// Time limits and withdrawal limits of a [`PeerTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerPolicy {
    /// Time without a heartbeat after which a gate counts as lost.
    pub lease: Duration,
    /// Longest time between two ticks; after a longer one, this gate itself counts as having been
    /// paused.
    pub max_tick_gap: Duration,
    /// Largest share of the known gates, in percent, that is withdrawn within one lease.
    pub withdraw_percent: usize,
    /// Largest share of the known gates, in percent, that may be withdrawn at any one time.
    pub withdraw_cap_percent: usize,
    /// Time without a heartbeat after which a gate is removed from the table.
    pub forget_after: Duration,
}

impl Default for PeerPolicy {
    fn default() -> Self {
        Self {
            lease: LEASE,
            max_tick_gap: Duration::from_secs(1),
            withdraw_percent: 25,
            withdraw_cap_percent: 50,
            forget_after: Duration::from_hours(1),
        }
    }
}

/// Liveness of another gate, as seen by this gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum PeerLiveness {
    /// Its lease is current.
    Live,
    /// Its lease is current, and it accepts no new callers.
    Draining,
    /// Its lease has expired, but it is still advertised, since this gate may be the one that is
    /// cut off.
    Unsure,
    /// Its lease has expired, and it is no longer advertised.
    Withdrawn,
}

/// What a heartbeat changed in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// The gate was not known before.
    Joined,
    /// The gate had been lost and is live again.
    Returned,
    /// A live gate has a new state, address or data centre.
    Changed,
    /// Only the lease was renewed.
    Renewed,
    /// Nothing: the gate said goodbye before, or is this gate itself.
    Ignored,
}

/// What a tick changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TickReport {
    /// Whether this gate was paused, that is, the time since the last tick exceeds
    /// [`PeerPolicy::max_tick_gap`].
    pub woke: bool,
    /// Gates that are no longer advertised from this tick on.
    pub withdrawn: Vec<GateId>,
    /// Lost gates that were removed because a live gate now uses their caller address, as after a
    /// restart.
    pub replaced: Vec<GateId>,
}

/// What one gate tells another of a third: when it last heard of that gate, directly or by a report.
///
/// Reports carry the time of the gate's own heartbeat, so however many gates pass one on, it does not
/// renew the lease for longer than that heartbeat does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerReport {
    /// Incarnation of the gate, which identifies it: it is drawn at random at each start.
    pub incarnation: Incarnation,
    /// What the gate announced.
    pub state: GateState,
    /// When its heartbeat was received by the first gate that reported it.
    pub heard_at: Moment,
}

/// What a report changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportOutcome {
    /// Address of the reported gate for other gates.
    pub peers: SocketAddr,
    /// Whether the gate had been lost and is live again.
    pub returned: bool,
}

/// One gate in a [`PeerTable`], as shown to users of the table.
#[derive(Clone, Copy, Debug)]
pub struct PeerView<'a> {
    /// What the gate last announced about itself.
    pub record: &'a GateRecord,
    /// Its liveness, as seen by this gate.
    pub liveness: PeerLiveness,
    /// When its last heartbeat was received.
    pub last_heartbeat: Moment,
}

/// Gates that are advertised to callers.
#[derive(Clone, Debug, Default)]
pub struct AdvertisedGates<'a> {
    /// Gates to use, including this gate unless it is draining. If this gate is likely cut off,
    /// lost gates that are not withdrawn are included.
    pub live: Vec<&'a GateRecord>,
    /// Gates to use only if those in `live` fail, as their leases have expired.
    pub unsure: Vec<&'a GateRecord>,
}

/// Stored state of one other gate.
#[derive(Clone, Debug)]
struct PeerEntry {
    record: GateRecord,
    last_heartbeat: Moment,
    withdrawn: bool,
}

/// The gates that this gate knows, and whether their leases are current.
///
/// Only a gate's own heartbeat renews its lease, from the time at which a gate first received it:
/// [`PeerReport`]s pass that time on. Entries are kept per incarnation of a gate, so that a late heartbeat
/// or goodbye of an earlier incarnation cannot affect a newer one.
///
/// A gate that loses many peers at once has more likely lost its own connections. So lost peers are
/// withdrawn at a limited rate and up to a cap, and the others stay advertised, after the live
/// ones.
#[derive(Clone, Debug)]
pub struct PeerTable {
    own: GateRecord,
    policy: PeerPolicy,
    entries: BTreeMap<GateId, PeerEntry>,
    /// The gates of `entries` by their incarnations; may name gates that were removed.
    incarnations: HashMap<Incarnation, GateId>,
    tombstones: VecDeque<GateId>,
    withdrawals: RemovalLimiter,
    last_tick: Moment,
    /// No gate is withdrawn or removed as lost before this moment.
    no_losses_before: Moment,
}

impl PeerTable {
    /// Creates a table that holds only the gate's own record.
    pub fn new(own: GateRecord, policy: PeerPolicy, now: Moment) -> Self {
        Self {
            own,
            policy,
            entries: BTreeMap::new(),
            incarnations: HashMap::new(),
            tombstones: VecDeque::new(),
            withdrawals: RemovalLimiter::new(policy.withdraw_percent, policy.lease),
            last_tick: now,
            no_losses_before: now,
        }
    }

    /// The record of this gate itself.
    pub fn own(&self) -> &GateRecord {
        &self.own
    }

    /// Marks this gate as draining, so that it is no longer advertised.
    pub fn drain(&mut self) {
        self.own.state = GateState::Draining;
    }

    /// Records a heartbeat, which renews the lease of its sender.
    pub fn record_heartbeat(&mut self, record: GateRecord, now: Moment) -> HeartbeatOutcome {
        if record.gate == self.own.gate || self.tombstones.contains(&record.gate) {
            return HeartbeatOutcome::Ignored;
        }
        let Some(entry) = self.entries.get_mut(&record.gate) else {
            let gate = record.gate.clone();
            self.incarnations.insert(gate.incarnation, gate.clone());
            let entry = PeerEntry {
                record,
                last_heartbeat: now,
                withdrawn: false,
            };
            self.entries.insert(gate, entry);
            return HeartbeatOutcome::Joined;
        };
        let lost = entry.withdrawn || now.since(entry.last_heartbeat) > self.policy.lease;
        let changed = entry.record != record;
        entry.record = record;
        entry.last_heartbeat = now;
        entry.withdrawn = false;
        match (lost, changed) {
            (true, _) => HeartbeatOutcome::Returned,
            (false, true) => HeartbeatOutcome::Changed,
            (false, false) => HeartbeatOutcome::Renewed,
        }
    }

    /// Records what another gate reported of a third. Returns `None` if the third gate is not known,
    /// as its addresses are not, or if the report is not newer than what is known.
    pub fn record_report(&mut self, report: PeerReport) -> Option<ReportOutcome> {
        let gate = self.incarnations.get(&report.incarnation)?;
        let entry = self.entries.get_mut(gate)?;
        if report.heard_at <= entry.last_heartbeat {
            return None;
        }
        let gap = report.heard_at.since(entry.last_heartbeat);
        let returned = entry.withdrawn || gap > self.policy.lease;
        entry.last_heartbeat = report.heard_at;
        entry.record.state = report.state;
        entry.withdrawn = false;
        Some(ReportOutcome {
            peers: entry.record.peers,
            returned,
        })
    }

    /// Reports on the gates whose leases are current, with their addresses for other gates. Those
    /// heard of last come first, as other gates know the others from elsewhere.
    pub fn reports(&self, now: Moment) -> impl Iterator<Item = (SocketAddr, PeerReport)> {
        let entries = self.entries.values();
        let entries = entries.filter(|entry| !entry.withdrawn && !self.is_lost(entry, now));
        let reports = entries.map(|entry| {
            let report = PeerReport {
                incarnation: entry.record.gate.incarnation,
                state: entry.record.state,
                heard_at: entry.last_heartbeat,
            };
            (entry.record.peers, report)
        });
        let mut reports: Vec<_> = reports.collect();
        reports.sort_unstable_by_key(|(_, report)| Reverse(report.heard_at));
        reports.into_iter()
    }

    /// Removes a gate that said goodbye, and keeps a tombstone for this incarnation; returns
    /// whether the gate was known.
    pub fn record_goodbye(&mut self, gate: &GateId) -> bool {
        if *gate == self.own.gate || self.tombstones.contains(gate) {
            return false;
        }
        if self.tombstones.len() == MAX_TOMBSTONES {
            self.tombstones.pop_front();
        }
        self.tombstones.push_back(gate.clone());
        self.entries.remove(gate).is_some()
    }

    /// Withdraws gates whose leases have expired, within the limits of the policy, and removes
    /// those that were lost long ago or replaced. Must be called several times per
    /// [`PeerPolicy::max_tick_gap`].
    ///
    /// After a pause of this gate itself, what it knows of the others is stale. It then waits for
    /// heartbeats for a whole lease before it withdraws or removes any other gate.
    pub fn tick(&mut self, now: Moment) -> TickReport {
        let mut report = TickReport {
            woke: now.since(self.last_tick) > self.policy.max_tick_gap,
            ..TickReport::default()
        };
        self.last_tick = now;
        if report.woke {
            self.no_losses_before = now + self.policy.lease;
        }
        if now < self.no_losses_before {
            return report;
        }
        report.replaced = self.drop_replaced(now);
        report.withdrawn = self.withdraw_lost(now);
        let forget_after = self.policy.forget_after;
        self.entries
            .retain(|_, entry| now.since(entry.last_heartbeat) <= forget_after);
        let entries = &self.entries;
        self.incarnations
            .retain(|_, gate| entries.contains_key(gate));
        report
    }

    /// Returns whether the leases of most other gates have expired, which means that this gate
    /// itself is likely cut off. Always false with fewer than two other gates.
    pub fn lost_most_peers(&self, now: Moment) -> bool {
        let lost = self
            .entries
            .values()
            .filter(|entry| self.is_lost(entry, now))
            .count();
        lost * 2 > self.entries.len() && self.entries.len() > 1
    }

    /// All known gates except this one.
    pub fn views(&self, now: Moment) -> impl Iterator<Item = PeerView<'_>> {
        self.entries.values().map(move |entry| PeerView {
            record: &entry.record,
            liveness: self.liveness(entry, now),
            last_heartbeat: entry.last_heartbeat,
        })
    }

    /// Gates to advertise to callers.
    ///
    /// A gate that is likely cut off keeps advertising the lost gates beside itself. If it listed
    /// them last, all callers that ask it would move to it at once.
    pub fn advertised(&self, now: Moment) -> AdvertisedGates<'_> {
        let mut advertised = AdvertisedGates::default();
        if self.own.state == GateState::Live {
            advertised.live.push(&self.own);
        }
        let likely_cut_off = self.lost_most_peers(now);
        let mut unsure = Vec::new();
        for view in self.views(now) {
            match view.liveness {
                PeerLiveness::Live => advertised.live.push(view.record),
                PeerLiveness::Unsure if view.record.state == GateState::Live => {
                    unsure.push(view.record);
                }
                _ => {}
            }
        }
        for record in unsure {
            if advertised
                .live
                .iter()
                .any(|live| live.callers == record.callers)
            {
                continue;
            }
            let list = if likely_cut_off {
                &mut advertised.live
            } else {
                &mut advertised.unsure
            };
            list.push(record);
        }
        advertised
    }

    /// Liveness of the gate of an entry.
    fn liveness(&self, entry: &PeerEntry, now: Moment) -> PeerLiveness {
        if entry.withdrawn {
            return PeerLiveness::Withdrawn;
        }
        if self.is_lost(entry, now) {
            return PeerLiveness::Unsure;
        }
        match entry.record.state {
            GateState::Live => PeerLiveness::Live,
            GateState::Draining => PeerLiveness::Draining,
        }
    }

    /// Returns whether the entry's lease has expired.
    fn is_lost(&self, entry: &PeerEntry, now: Moment) -> bool {
        now.since(entry.last_heartbeat) > self.policy.lease
    }

    /// Removes lost gates whose caller address a live gate now uses.
    fn drop_replaced(&mut self, now: Moment) -> Vec<GateId> {
        let live = self
            .entries
            .values()
            .filter(|entry| !self.is_lost(entry, now));
        let live: Vec<_> = live.map(|entry| entry.record.callers).collect();
        let replaced = self
            .entries
            .values()
            .filter(|entry| self.is_lost(entry, now) && live.contains(&entry.record.callers));
        let replaced: Vec<_> = replaced.map(|entry| entry.record.gate.clone()).collect();
        for gate in &replaced {
            self.entries.remove(gate);
        }
        replaced
    }

    /// Withdraws lost gates within the limits of the policy, those lost for the longest time first.
    fn withdraw_lost(&mut self, now: Moment) -> Vec<GateId> {
        let total = self.entries.len();
        let cap = (total * self.policy.withdraw_cap_percent / 100).max(1);
        let count = self
            .entries
            .values()
            .filter(|entry| entry.withdrawn)
            .count();
        let lost = self.entries.values();
        let lost = lost.filter(|entry| !entry.withdrawn && self.is_lost(entry, now));
        let mut lost: Vec<_> = lost
            .map(|entry| (entry.last_heartbeat, entry.record.gate.clone()))
            .collect();
        lost.sort_unstable();
        lost.truncate(cap.saturating_sub(count));
        let mut withdrawn = Vec::new();
        for (_, gate) in lost {
            if !self.withdrawals.take(total, now) {
                break;
            }
            if let Some(entry) = self.entries.get_mut(&gate) {
                entry.withdrawn = true;
            }
            withdrawn.push(gate);
        }
        withdrawn
    }
}
