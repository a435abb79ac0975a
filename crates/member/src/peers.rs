//! Live gates by lease.

use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

use ggs_model::{DataCentre, GateId, Moment};
use strum::{Display, EnumString, IntoStaticStr};

use crate::RemovalLimiter;

/// Mean time between two heartbeats of a gate; each is drawn from 80% to 120% of it.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Time without a heartbeat after which a gate counts as lost; three heartbeats in a row may be lost.
pub const LEASE: Duration = Duration::from_secs(4);

/// Goodbyes remembered, so that a late heartbeat brings no gate back.
const MAX_TOMBSTONES: usize = 256;

/// Whether a gate wants new callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum GateState {
    /// Is handed out to callers.
    Live,
    /// Finishes its work; is not handed out, but other gates still reach it.
    Draining,
}

/// What a gate says of itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GateRecord {
    /// The run of the gate.
    pub gate: GateId,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Address for callers.
    pub callers: SocketAddr,
    /// Address for other gates.
    pub peers: SocketAddr,
    /// Whether it wants new callers.
    pub state: GateState,
}

/// Lengths and shares of a [`PeerTable`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PeerPolicy {
    /// Time without a heartbeat after which a gate counts as lost.
    pub lease: Duration,
    /// Time between two ticks after which the gate itself was not running.
    pub max_tick_gap: Duration,
    /// Share of the known gates, in percent, that is withdrawn per lease at most.
    pub withdraw_percent: usize,
    /// Share of the known gates, in percent, that is withdrawn in all at most.
    pub withdraw_cap_percent: usize,
    /// Time without a heartbeat after which a gate is forgotten.
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

/// How a gate sees another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum PeerLiveness {
    /// Heard within its lease.
    Live,
    /// Heard within its lease, and wants no new callers.
    Draining,
    /// Not heard for a lease, but kept: this gate may be the one that is cut off.
    Unsure,
    /// Not heard for a lease, and no longer handed out.
    Withdrawn,
}

/// What a heartbeat changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeartbeatOutcome {
    /// A gate that was not known.
    Joined,
    /// A gate that had been lost.
    Returned,
    /// A known gate with a new state or address.
    Changed,
    /// Nothing but the lease.
    Renewed,
    /// The gate said goodbye before, or is this gate; ignored.
    Ignored,
}

/// What a tick changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TickReport {
    /// This gate was not running for longer than the wake pause.
    pub woke: bool,
    /// Gates that are no longer handed out.
    pub withdrawn: Vec<GateId>,
    /// Gates that were lost, and whose caller address a newer run has taken over.
    pub replaced: Vec<GateId>,
}

/// A known gate.
#[derive(Clone, Copy, Debug)]
pub struct PeerView<'a> {
    /// What the gate said of itself.
    pub record: &'a GateRecord,
    /// How this gate sees it.
    pub liveness: PeerLiveness,
    /// When it was last heard.
    pub last_heartbeat: Moment,
}

/// Gates to hand out to callers.
#[derive(Clone, Debug, Default)]
pub struct AdvertisedGates<'a> {
    /// Gates to use, this gate among them unless it drains.
    pub live: Vec<&'a GateRecord>,
    /// Gates to use only if the others fail.
    pub unsure: Vec<&'a GateRecord>,
}

/// One known gate.
#[derive(Clone, Debug)]
struct PeerEntry {
    record: GateRecord,
    last_heartbeat: Moment,
    withdrawn: bool,
}

/// The gates that this gate knows, by lease.
///
/// Only a gate's own heartbeat renews its lease; what other gates tell of it is a hint where to
/// connect. Entries are kept per run of a gate: a late heartbeat or goodbye of an earlier run cannot
/// touch a newer one.
///
/// A gate that loses many peers at once more likely lost its own connections. So lost peers are
/// withdrawn at a limited rate and up to a cap, and the rest stays handed out, after the live ones.
#[derive(Clone, Debug)]
pub struct PeerTable {
    own: GateRecord,
    policy: PeerPolicy,
    entries: BTreeMap<GateId, PeerEntry>,
    tombstones: VecDeque<GateId>,
    withdrawals: RemovalLimiter,
    ticked: Moment,
    /// No gate counts as lost before this moment.
    no_losses_before: Moment,
}

impl PeerTable {
    /// A table that knows only the gate's own record.
    pub fn new(own: GateRecord, policy: PeerPolicy, now: Moment) -> Self {
        Self {
            own,
            policy,
            entries: BTreeMap::new(),
            tombstones: VecDeque::new(),
            withdrawals: RemovalLimiter::new(policy.withdraw_percent, policy.lease),
            ticked: now,
            no_losses_before: now,
        }
    }

    /// The gate's own record.
    pub fn own(&self) -> &GateRecord {
        &self.own
    }

    /// Stops handing out the gate itself.
    pub fn drain(&mut self) {
        self.own.state = GateState::Draining;
    }

    /// Takes a heartbeat.
    pub fn record_heartbeat(&mut self, record: GateRecord, now: Moment) -> HeartbeatOutcome {
        if record.gate == self.own.gate || self.tombstones.contains(&record.gate) {
            return HeartbeatOutcome::Ignored;
        }
        let Some(entry) = self.entries.get_mut(&record.gate) else {
            let gate = record.gate.clone();
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

    /// Takes the last word of one run of a gate; true if the run was known.
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

    /// Lets leases run out; to be called several times per wake pause.
    ///
    /// After a pause of its own, the gate treats what it knows as old: it first listens for a whole
    /// lease, and until then no other gate counts as lost.
    pub fn tick(&mut self, now: Moment) -> TickReport {
        let mut report = TickReport {
            woke: now.since(self.ticked) > self.policy.max_tick_gap,
            ..TickReport::default()
        };
        self.ticked = now;
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
        report
    }

    /// Whether this gate lost liveness of most of the others, and so suspects itself.
    pub fn lost_most_peers(&self, now: Moment) -> bool {
        let lost = self
            .entries
            .values()
            .filter(|entry| self.is_lost(entry, now))
            .count();
        lost * 2 > self.entries.len() && self.entries.len() > 1
    }

    /// All known gates but this one.
    pub fn views(&self, now: Moment) -> impl Iterator<Item = PeerView<'_>> {
        self.entries.values().map(move |entry| PeerView {
            record: &entry.record,
            liveness: self.liveness(entry, now),
            last_heartbeat: entry.last_heartbeat,
        })
    }

    /// Gates to hand out to callers.
    ///
    /// A gate that suspects itself hands out on what it knew: were the others put last, all callers
    /// that ask it would move to it at once.
    pub fn advertised(&self, now: Moment) -> AdvertisedGates<'_> {
        let mut advertised = AdvertisedGates::default();
        if self.own.state == GateState::Live {
            advertised.live.push(&self.own);
        }
        let suspect = self.lost_most_peers(now);
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
            let list = if suspect {
                &mut advertised.live
            } else {
                &mut advertised.unsure
            };
            list.push(record);
        }
        advertised
    }

    /// How this gate sees an entry.
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

    /// Whether the entry's lease has run out.
    fn is_lost(&self, entry: &PeerEntry, now: Moment) -> bool {
        now.since(entry.last_heartbeat) > self.policy.lease
    }

    /// Drops lost runs whose caller address a live run has taken over.
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

    /// Withdraws lost gates as far as the limits go, the longest lost first.
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
