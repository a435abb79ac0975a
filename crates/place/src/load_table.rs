//! The servers of one service, with the load and the failures that one gate knows of each.
//!
//! The table picks the servers to probe and ranks those whose load is known for a request. It
//! corrects a reported load by the requests sent since, and ranks servers that fail, start up or
//! are nearly full behind others.

use std::net::SocketAddr;
use std::ops::Range;
use std::sync::Arc;
use std::time::Duration;

use foldhash::{HashMap, HashMapExt};
use ggs_model::Moment;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use strum::{Display, IntoStaticStr};

use crate::LoadSample;

/// Inverse of the weight of the latest outcome in a server's failure rate.
const FAILURE_AVERAGE_DIVISOR: f64 = 4.0;

/// Half-life of a failure rate while no request to the server ends.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

/// Fraction by which the rank of a server that fails all its requests is raised, in proportion for
/// fewer failures; 8 makes the rank 9 times as high.
const FAILURE_PENALTY: f64 = 8.0;

/// Time for which a server that could not be reached is probed only if no other is left, and gets
/// no request without a known load.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(700);

/// Fraction by which the expected time is raised on a server whose slots are all in use, in
/// proportion for fewer, so that among equal servers the one with more free slots is chosen.
const UTILIZATION_PENALTY: f64 = 0.15;

/// Most requests per slot that may be queued at a server, counting the one to place. A server that
/// is asked to queue more may silently drop a request.
const MAX_QUEUED_PER_SLOT: u32 = 1;

/// Fraction by which the expected time is raised on a server that has just started.
const COLD_PENALTY: f64 = 1.0;

/// Servers drawn at random to be compared by in-flight requests when no load is known.
const IN_FLIGHT_CHOICES_COUNT: usize = 4;

/// Range of the random factor on each rank.
const RANK_JITTER: Range<f64> = 0.95..1.05;

/// Longest time for a request to reach a server and for its load to come back. All gates and servers
/// are in one region.
const MAX_ROUND_TRIP: Duration = Duration::from_millis(3);

/// Most requests remembered per server as sent after its latest load report.
const MAX_UNREPORTED_COUNT: usize = 64;

/// Differences between two statements on how long a server stays cold that do not matter.
const COLD_PRECISION: Duration = Duration::from_millis(150);

/// Most requests that may be sent at once to a server that limits requests, after a time without any.
const MAX_SAVED_SENDS: f64 = 2.0;

/// Identifies a server in its table for as long as it is listed; keys are not reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerKey(u64);

/// A server as the list of servers describes it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedServer {
    /// Identifies one run of the server process.
    pub instance: Arc<str>,
    /// Start of that run in Unix milliseconds; `None` if it is not known.
    pub started_ms: Option<u64>,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Whether it is in the gate's data centre.
    pub near: bool,
    /// Requests that it can run at the same time.
    pub slots: u32,
    /// End of the time after its start in which it is slow; `None` if that is over.
    pub cold_until: Option<Moment>,
}

impl ListedServer {
    /// Whether the server is still in the time after its start in which it is slow.
    pub fn is_cold(&self, now: Moment) -> bool {
        self.cold_until.is_some_and(|until| until > now)
    }
}

/// Where servers are, relative to the gate.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ServerScope {
    /// Servers of the gate's data centre.
    Near,
    /// Servers of other data centres.
    Far,
}

/// The request to place, and which servers and loads count for it.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// Usual processing time of the request on a server with a free slot.
    pub work: Duration,
    /// Time added to the rank of servers in other data centres.
    pub far_cost: Duration,
    /// Factor by which the request takes longer on a server whose slots it fills up.
    pub saturation_slowdown: f64,
    /// Loads received before this moment are too old to count.
    pub since: Moment,
    /// Servers to which the request was already sent; they are left out.
    pub tried: &'a [ServerKey],
    /// Time of the query.
    pub now: Moment,
}

/// A server that could take a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placement {
    /// Key of the server in its table.
    pub server: ServerKey,
    /// Time in which it is expected to answer, without the cost of another data centre.
    pub expected: Duration,
    /// Whether it has a free slot.
    pub has_slot: bool,
    /// Whether the request takes its last free slot or queues for one.
    pub saturates: bool,
    /// Processing time that it reported last, as a percentage of the usual.
    pub pace_percent: u32,
    /// Cost by which servers are compared, in seconds; the lowest is best.
    pub rank: f64,
}

/// How a request that was sent to a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum SendOutcome {
    /// The whole answer arrived.
    Answered,
    /// The server answered with an error, or its answer was cut off or never came.
    Failed,
    /// No connection could be opened.
    Unreachable,
    /// The server refused without running the request.
    Refused,
    /// The caller disconnected, which says nothing about the server.
    Abandoned,
}

/// The requests that this gate may send to a server that limits them: a token bucket with a token for
/// each request.
#[derive(Clone, Copy, Debug)]
struct SendQuota {
    /// Requests per second; zero forbids all.
    per_second: f64,
    tokens: f64,
    /// When the number of tokens was correct.
    counted_at: Moment,
}

impl SendQuota {
    /// A quota for one request at once.
    const fn new(per_second: f64, now: Moment) -> Self {
        Self {
            per_second,
            tokens: 1.0,
            counted_at: now,
        }
    }

    /// The tokens at `now`.
    fn tokens_at(&self, now: Moment) -> f64 {
        let added = now.since(self.counted_at).as_secs_f64() * self.per_second;
        (self.tokens + added).min(MAX_SAVED_SENDS)
    }

    /// Whether a request may be sent now.
    fn allows(&self, now: Moment) -> bool {
        self.per_second > 0.0 && self.tokens_at(now) >= 1.0
    }

    /// Takes the token of a request that is sent.
    fn take(&mut self, now: Moment) {
        self.tokens = self.tokens_at(now) - 1.0;
        self.counted_at = now;
    }

    /// Changes the rate; tokens of the time until `now` are counted by the old one.
    fn set_rate(&mut self, per_second: f64, now: Moment) {
        self.tokens = self.tokens_at(now);
        self.counted_at = now;
        self.per_second = per_second;
    }
}

/// One server with its latest load and its failure rate.
#[derive(Clone, Debug)]
struct LoadEntry {
    server: ListedServer,
    sample: Option<(LoadSample, Moment)>,
    /// When this gate and others sent requests that the sample may not count yet.
    sends: Vec<Moment>,
    in_flight: u32,
    failure_rate: f64,
    outcome_at: Moment,
    avoid_until: Moment,
    /// Until when the server wants no requests of this gate.
    rests_until: Moment,
    /// `None` if the server does not limit requests.
    quota: Option<SendQuota>,
    /// Applies while the server is cold; `None` if cold servers get as many requests as others.
    cold_quota: Option<SendQuota>,
}

impl LoadEntry {
    /// An entry without a load, requests or failures.
    fn new(server: ListedServer, now: Moment) -> Self {
        Self {
            server,
            sample: None,
            sends: Vec::new(),
            in_flight: 0,
            failure_rate: 0.0,
            outcome_at: now,
            avoid_until: Moment::ZERO,
            rests_until: Moment::ZERO,
            quota: None,
            cold_quota: None,
        }
    }

    /// The limit while the server is cold; `None` if it is not, or there is none.
    fn cold_quota_at(&self, now: Moment) -> Option<SendQuota> {
        self.cold_quota.filter(|_| self.server.is_cold(now))
    }

    /// Whether a request may be sent now, by the limits and the rest of the server.
    fn is_allowed(&self, now: Moment) -> bool {
        self.rests_until <= now
            && self.quota.is_none_or(|quota| quota.allows(now))
            && self
                .cold_quota_at(now)
                .is_none_or(|quota| quota.allows(now))
    }

    /// Whether the server takes no request of this gate, by its limit or its rest.
    fn is_forbidden(&self, now: Moment) -> bool {
        let forbids = |quota: SendQuota| quota.per_second <= 0.0;
        self.rests_until > now
            || self.quota.is_some_and(forbids)
            || self.cold_quota_at(now).is_some_and(forbids)
    }

    /// The failure rate at `now`, decayed since the last outcome. Failures before the end of a rest
    /// count no more: the server got nothing in that time.
    fn failure_rate_at(&self, now: Moment) -> f64 {
        if self.outcome_at < self.rests_until {
            return 0.0;
        }
        let idle = now.since(self.outcome_at).as_secs_f64();
        self.failure_rate * 0.5_f64.powf(idle / FAILURE_HALF_LIFE.as_secs_f64())
    }

    /// Adds an outcome to the failure rate: 1.0 for a failure, 0.0 for a success.
    fn note_outcome(&mut self, failed: f64, now: Moment) {
        let rate = self.failure_rate_at(now);
        self.failure_rate = rate + (failed - rate) / FAILURE_AVERAGE_DIVISOR;
        self.outcome_at = now;
    }

    /// The load that the server reported at or after `since`, plus the requests sent since the
    /// report.
    fn fresh_load(&self, since: Moment) -> Option<LoadSample> {
        let (mut sample, at) = self.sample?;
        if at < since {
            return None;
        }
        sample.running += self.sends.len() as u32;
        Some(sample)
    }

    /// The load that this gate itself puts on the server, for servers that report none.
    fn in_flight_load(&self) -> LoadSample {
        LoadSample {
            running: self.in_flight,
            waiting: 0,
            slots: self.server.slots,
            pace_percent: 100,
        }
    }
}

/// The servers of one service and the load of each, as one gate knows it.
///
/// ```
/// use std::time::Duration;
/// use ggs_model::Moment;
/// use ggs_place::{ListedServer, LoadSample, LoadTable, PlacementQuery, ServerScope};
///
/// let now = Moment::ZERO;
/// let mut table = LoadTable::new(1);
/// let server = |name: &str| ListedServer {
///     instance: name.into(),
///     started_ms: None,
///     address: "10.0.0.1:80".parse().unwrap(),
///     near: true,
///     slots: 3,
///     cold_until: None,
/// };
/// table.replace(vec![server("a"), server("b")], now);
/// let probed = table.stale_servers(2, ServerScope::Near, now, now);
/// let free = LoadSample { running: 0, waiting: 0, slots: 3, pace_percent: 100 };
/// let slow = LoadSample { pace_percent: 700, ..free };
/// table.note_load(probed[0], slow, now);
/// table.note_load(probed[1], free, now);
/// let query = PlacementQuery {
///     work: Duration::from_millis(50),
///     far_cost: Duration::from_millis(3),
///     saturation_slowdown: 1.0,
///     since: now,
///     tried: &[],
///     now,
/// };
/// let best = table.best(ServerScope::Near, &query).unwrap();
/// assert_eq!(best.server, probed[1]);
/// ```
#[derive(Clone, Debug)]
pub struct LoadTable {
    entries: HashMap<ServerKey, LoadEntry>,
    near: Vec<ServerKey>,
    far: Vec<ServerKey>,
    next_key: u64,
    rng: SmallRng,
}

impl LoadTable {
    /// An empty table; `seed` starts the random choices of servers to probe and the jitter of
    /// ranks.
    pub fn new(seed: u64) -> Self {
        Self {
            entries: HashMap::new(),
            near: Vec::new(),
            far: Vec::new(),
            next_key: 1,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Replaces the servers that may get requests. A server that was listed before with the same
    /// instance, start and address keeps its key, load and failure rate.
    pub fn replace(&mut self, servers: Vec<ListedServer>, now: Moment) {
        let mut old: HashMap<Arc<str>, (ServerKey, LoadEntry)> = HashMap::new();
        for (key, entry) in self.entries.drain() {
            old.insert(Arc::clone(&entry.server.instance), (key, entry));
        }
        self.near.clear();
        self.far.clear();
        for server in servers {
            let known = old.remove(&server.instance);
            let known = known.filter(|(_, entry)| {
                let old = &entry.server;
                old.address == server.address && old.started_ms == server.started_ms
            });
            let (key, mut entry) = known.unwrap_or_else(|| {
                let key = ServerKey(self.next_key);
                self.next_key += 1;
                (key, LoadEntry::new(server.clone(), now))
            });
            let list = if server.near {
                &mut self.near
            } else {
                &mut self.far
            };
            list.push(key);
            entry.server = server;
            self.entries.insert(key, entry);
        }
    }

    /// Removes a server, which gets no more requests until it is listed again.
    pub fn remove(&mut self, key: ServerKey) {
        self.entries.remove(&key);
        self.near.retain(|near| *near != key);
        self.far.retain(|far| *far != key);
    }

    /// Requests of this gate to all servers that were started and have not ended.
    pub fn in_flight(&self) -> usize {
        let entries = self.entries.values();
        entries.map(|entry| entry.in_flight as usize).sum()
    }

    /// Number of servers.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether there is no server.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Whether there are servers in `scope`.
    pub fn has_any(&self, scope: ServerScope) -> bool {
        !self.list(scope).is_empty()
    }

    /// The server of `key`; `None` once it is no longer listed.
    pub fn server(&self, key: ServerKey) -> Option<&ListedServer> {
        self.entries.get(&key).map(|entry| &entry.server)
    }

    /// All servers, in no particular order.
    pub fn servers(&self) -> impl Iterator<Item = (ServerKey, &ListedServer)> {
        let entries = self.entries.iter();
        entries.map(|(key, entry)| (*key, &entry.server))
    }

    /// Draws up to `count` random servers whose latest load is older than `since` or unknown. Those
    /// that could not be reached lately come last, and those that take no request are left out.
    pub fn stale_servers(
        &mut self,
        count: usize,
        scope: ServerScope,
        since: Moment,
        now: Moment,
    ) -> Vec<ServerKey> {
        let candidates = self.list(scope).iter().copied();
        let candidates = candidates.filter(|key| {
            let entry = &self.entries[key];
            !entry.is_forbidden(now) && entry.sample.is_none_or(|(_, at)| at < since)
        });
        let reachable = |key: &ServerKey| self.entries[key].avoid_until <= now;
        let (mut chosen, mut avoided): (Vec<_>, Vec<_>) = candidates.partition(reachable);
        draw(&mut chosen, count, &mut self.rng);
        if chosen.len() < count {
            draw(&mut avoided, count - chosen.len(), &mut self.rng);
            chosen.append(&mut avoided);
        }
        chosen
    }

    /// Sets until when a server wants no requests of this gate.
    pub fn set_rest(&mut self, key: ServerKey, until: Moment) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.rests_until = until;
        }
    }

    /// Time until the first server wants requests again; `None` if one does now, or there is none.
    pub fn rest_left(&self, now: Moment) -> Option<Duration> {
        let ends = self.entries.values().map(|entry| entry.rests_until);
        ends.min()
            .filter(|end| *end > now)
            .map(|end| end.since(now))
    }

    /// The servers that take requests of this gate, in no particular order.
    pub fn willing_servers(&self, now: Moment) -> impl Iterator<Item = ServerKey> {
        let entries = self.entries.iter();
        let willing = entries.filter(move |(_, entry)| !entry.is_forbidden(now));
        willing.map(|(key, _)| *key)
    }

    /// Sets how many requests per second this gate may send to a server; `None` if there is no limit.
    pub fn set_quota(&mut self, key: ServerKey, per_second: Option<f64>, now: Moment) {
        if let Some(entry) = self.entries.get_mut(&key) {
            set_quota_rate(&mut entry.quota, per_second, now);
        }
    }

    /// Sets until when a server is cold; returns its instance, unless that is known.
    pub fn set_cold(&mut self, key: ServerKey, until: Moment) -> Option<Arc<str>> {
        let server = &mut self.entries.get_mut(&key)?.server;
        if server.is_cold(until - COLD_PRECISION) {
            return None;
        }
        server.cold_until = Some(until);
        Some(Arc::clone(&server.instance))
    }

    /// Sets how many requests per second this gate may send to a server while it is cold; `None` if
    /// there is no limit.
    pub fn set_cold_quota(&mut self, key: ServerKey, per_second: Option<f64>, now: Moment) {
        if let Some(entry) = self.entries.get_mut(&key) {
            set_quota_rate(&mut entry.cold_quota, per_second, now);
        }
    }

    /// Stores the load that a server reported.
    ///
    /// Requests sent within the last round trip may have arrived after the report, so they stay
    /// added to it.
    pub fn note_load(&mut self, key: ServerKey, sample: LoadSample, now: Moment) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.sample = Some((sample, now));
            entry.sends.retain(|sent| *sent + MAX_ROUND_TRIP > now);
        }
    }

    /// Notes that a load probe got no answer. The load of the server is unknown from now on, and
    /// other servers are preferred to it for a while.
    pub fn note_probe_failure(&mut self, key: ServerKey, now: Moment) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.sample = None;
            entry.avoid_until = now + UNREACHABLE_PAUSE;
        }
    }

    /// The best server of a scope by the loads that are recent enough for the query.
    ///
    /// Servers whose queue is full, or that take no request now by their limit, are left out.
    pub fn best(&mut self, scope: ServerScope, query: &PlacementQuery<'_>) -> Option<Placement> {
        let keys = self.list(scope).to_vec();
        self.best_of(&keys, query, |entry| entry.fresh_load(query.since))
    }

    /// The best of a few random servers by the requests that this gate has in flight to each, for
    /// services whose servers report no load or could not be probed.
    pub fn best_by_in_flight(
        &mut self,
        scope: ServerScope,
        query: &PlacementQuery<'_>,
    ) -> Option<Placement> {
        let now = query.now;
        let mut keys = self.list(scope).to_vec();
        keys.retain(|key| self.entries[key].avoid_until <= now);
        draw(&mut keys, IN_FLIGHT_CHOICES_COUNT, &mut self.rng);
        self.best_of(&keys, query, |entry| Some(entry.in_flight_load()))
    }

    /// The server among `keys` with the lowest rank; those for which `load` yields `None` are left
    /// out.
    fn best_of(
        &mut self,
        keys: &[ServerKey],
        query: &PlacementQuery<'_>,
        load: impl Fn(&LoadEntry) -> Option<LoadSample>,
    ) -> Option<Placement> {
        let mut best: Option<Placement> = None;
        for key in keys.iter().filter(|key| !query.tried.contains(key)) {
            let Some(entry) = self.entries.get(key) else {
                continue;
            };
            if !entry.is_allowed(query.now) {
                continue;
            }
            let placement = load(entry).and_then(|load| rank_server(*key, entry, load, query));
            let Some(mut placement) = placement else {
                continue;
            };
            // Jitter, as gates that decide at the same moment should not all choose the same
            // server.
            placement.rank *= self.rng.random_range(RANK_JITTER);
            if best.is_none_or(|best| placement.rank < best.rank) {
                best = Some(placement);
            }
        }
        best
    }

    /// Notes that this gate sends a request to a server.
    pub fn start(&mut self, key: ServerKey, now: Moment) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.in_flight += 1;
            if let Some(quota) = &mut entry.quota {
                quota.take(now);
            }
            let is_cold = entry.server.is_cold(now);
            if let Some(quota) = entry.cold_quota.as_mut().filter(|_| is_cold) {
                quota.take(now);
            }
        }
        self.note_sent(key, now);
    }

    /// Notes that this gate or another sent a request that the latest load of the server does not
    /// count.
    pub fn note_sent(&mut self, key: ServerKey, now: Moment) {
        if let Some(entry) = self.entries.get_mut(&key)
            && entry.sends.len() < MAX_UNREPORTED_COUNT
        {
            entry.sends.push(now);
        }
    }

    /// Notes how a request that was [started](Self::start) ended.
    pub fn end(&mut self, key: ServerKey, outcome: SendOutcome, now: Moment) {
        let Some(entry) = self.entries.get_mut(&key) else {
            return;
        };
        entry.in_flight = entry.in_flight.saturating_sub(1);
        let failed = match outcome {
            SendOutcome::Abandoned => return,
            SendOutcome::Answered => 0.0,
            SendOutcome::Failed | SendOutcome::Refused => 1.0,
            SendOutcome::Unreachable => {
                entry.avoid_until = now + UNREACHABLE_PAUSE;
                1.0
            }
        };
        entry.note_outcome(failed, now);
    }

    /// Notes that a server did not answer a request in time, which counts as a failure.
    pub fn note_timeout(&mut self, key: ServerKey, now: Moment) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.note_outcome(1.0, now);
        }
    }

    /// Keys of the servers of a scope.
    fn list(&self, scope: ServerScope) -> &[ServerKey] {
        match scope {
            ServerScope::Near => &self.near,
            ServerScope::Far => &self.far,
        }
    }
}

/// Changes the rate of a quota, or begins or ends it.
fn set_quota_rate(quota: &mut Option<SendQuota>, per_second: Option<f64>, now: Moment) {
    match (quota.as_mut(), per_second) {
        (Some(quota), Some(per_second)) => quota.set_rate(per_second, now),
        (_, per_second) => {
            *quota = per_second.map(|per_second| SendQuota::new(per_second, now));
        }
    }
}

/// Reduces `keys` to `count` random ones.
fn draw(keys: &mut Vec<ServerKey>, count: usize, rng: &mut SmallRng) {
    let count = count.min(keys.len());
    for index in 0..count {
        let other = rng.random_range(index..keys.len());
        keys.swap(index, other);
    }
    keys.truncate(count);
}

/// Predicts when a server with this load would answer, and ranks it; `None` if its queue is full.
fn rank_server(
    key: ServerKey,
    entry: &LoadEntry,
    load: LoadSample,
    query: &PlacementQuery<'_>,
) -> Option<Placement> {
    let now = query.now;
    let slots = load.slots.max(1);
    let requests_ahead = load.requests_ahead(0);
    if requests_ahead > slots * MAX_QUEUED_PER_SLOT {
        return None;
    }
    let saturates = load.running + load.waiting + 1 >= slots;
    let saturation_slowdown = if saturates {
        query.saturation_slowdown
    } else {
        1.0
    };
    let utilization = f64::from(load.running.min(slots)) / f64::from(slots) * UTILIZATION_PENALTY;
    let cold = if entry.server.is_cold(now) {
        COLD_PENALTY
    } else {
        0.0
    };
    let slowdown = f64::from(load.pace_percent) / 100.0
        * saturation_slowdown
        * (1.0 + utilization)
        * (1.0 + cold);
    let rounds = 1.0 + f64::from(requests_ahead) / f64::from(slots);
    let expected = query.work.mul_f64(slowdown * rounds);
    let far_cost = if entry.server.near {
        Duration::ZERO
    } else {
        query.far_cost
    };
    let rank = expected + far_cost;
    let rank = rank.as_secs_f64() * (1.0 + entry.failure_rate_at(now) * FAILURE_PENALTY);
    Some(Placement {
        server: key,
        expected,
        has_slot: requests_ahead == 0,
        saturates,
        pace_percent: load.pace_percent,
        rank,
    })
}
