//! The servers of one service as one gate sees them.

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

/// Weight of the latest outcome in a server's failure rate, as one part in this many.
const FAILURE_MEMORY: f64 = 4.0;

/// Time in which a failure rate falls to half when nothing is sent.
const FAILURE_HALF_LIFE: Duration = Duration::from_secs(2);

/// How many times its expected time a server that fails all its requests is ranked at, less one.
const FAILURE_WEIGHT: f64 = 8.0;

/// Time for which a server that could not be reached is not asked.
const UNREACHABLE_PAUSE: Duration = Duration::from_millis(700);

/// How much longer work is ranked at on a server whose slots are all in use, less one: among equal
/// servers the emptier one is taken.
const SPREAD_WEIGHT: f64 = 0.15;

/// Slots of waiting room that a gate saturates beyond the running ones, in parts of the slots: a server
/// that is asked to queue more may drop a request without a word.
const QUEUE_PARTS: u32 = 1;

/// How much longer work takes on a server that has just started, less one.
const COLD_WEIGHT: f64 = 1.0;

/// Servers that are weighed when none tells its load.
const BLIND_CHOICES: usize = 4;

/// Factor by which a rank varies.
const RANK_SPREAD: Range<f64> = 0.95..1.05;

/// Time that a request takes to a server and its load back, at most, within a region.
const TRANSIT_TIME: Duration = Duration::from_millis(3);

/// Sends that are remembered beyond a sample at most.
const MAX_SENDS: usize = 64;

/// Names a server of a table.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerKey(u64);

/// What is known of a server from the list of servers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedServer {
    /// Names the run of the server.
    pub instance: Arc<str>,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it stands in the gate's data centre.
    pub near: bool,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Until when it is slow after its start.
    pub cold_until: Option<Moment>,
}

/// Which servers are asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ServerScope {
    /// Those of the gate's data centre.
    Near,
    /// Those of other data centres.
    Far,
}

/// What a server is searched for.
#[derive(Clone, Copy, Debug)]
pub struct PlacementQuery<'a> {
    /// Work of the request on a free server of the usual pace.
    pub work: Duration,
    /// Time that bringing the answer from another data centre is ranked at.
    pub far_cost: Duration,
    /// How many times longer work takes on a server that it saturates.
    pub saturation_slowdown: f64,
    /// Loads that were told earlier are too old.
    pub since: Moment,
    /// Servers that the request was sent to before.
    pub tried: &'a [ServerKey],
    /// The present moment.
    pub now: Moment,
}

/// A server that could take a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Placement {
    /// The server.
    pub server: ServerKey,
    /// Time in which it is expected to answer.
    pub expected: Duration,
    /// Whether it has a free slot.
    pub has_slot: bool,
    /// Whether the request takes its last slot or waits for one.
    pub saturates: bool,
    /// Pace that it told last, as a percentage.
    pub pace_percent: u32,
    /// The figure by which servers are compared; the best_of is best.
    pub rank: f64,
}

/// How a send to a server ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum SendOutcome {
    /// A whole answer came.
    Answered,
    /// The server failed the request, or its answer was cut or never came.
    Failed,
    /// No connection could be opened.
    Unreachable,
    /// The server refused without running the request.
    Refused,
    /// The caller left, which says nothing of the server.
    Abandoned,
}

/// One server with what the gate learned of it.
#[derive(Clone, Debug)]
struct LoadEntry {
    server: ListedServer,
    sample: Option<(LoadSample, Moment)>,
    /// Sends of this gate and its neighbours that the sample does not count.
    sends: Vec<Moment>,
    in_flight: u32,
    failure_rate: f64,
    failure_at: Moment,
    avoid_until: Moment,
}

impl LoadEntry {
    /// An entry that knows nothing but the list.
    fn new(server: ListedServer, now: Moment) -> Self {
        Self {
            server,
            sample: None,
            sends: Vec::new(),
            in_flight: 0,
            failure_rate: 0.0,
            failure_at: now,
            avoid_until: Moment::ZERO,
        }
    }

    /// The failure rate at `now`.
    fn failure_rate_at(&self, now: Moment) -> f64 {
        let idle = now.since(self.failure_at).as_secs_f64();
        self.failure_rate * 0.5_f64.powf(idle / FAILURE_HALF_LIFE.as_secs_f64())
    }

    /// Takes an outcome, one for a failure, into the failure rate.
    fn note_outcome(&mut self, failed: f64, now: Moment) {
        let rate = self.failure_rate_at(now);
        self.failure_rate = rate + (failed - rate) / FAILURE_MEMORY;
        self.failure_at = now;
    }

    /// The load that the server told at or after `since`, with what was sent to it meanwhile.
    fn fresh_load(&self, since: Moment) -> Option<LoadSample> {
        let (mut sample, at) = self.sample?;
        if at < since {
            return None;
        }
        sample.running += self.sends.len() as u32;
        Some(sample)
    }

    /// The gate's own part of the load, for servers that tell none.
    fn in_flight_load(&self) -> LoadSample {
        LoadSample {
            running: self.in_flight,
            waiting: 0,
            slots: self.server.slots,
            pace_percent: 100,
        }
    }
}

/// The servers of one service.
///
/// ```
/// use std::time::Duration;
/// use ggs_model::Moment;
/// use ggs_place::{ServerScope, ListedServer, LoadSample, LoadTable, PlacementQuery};
///
/// let now = Moment::ZERO;
/// let mut table = LoadTable::new(1);
/// let server = |name: &str| ListedServer {
///     instance: name.into(),
///     address: "10.0.0.1:80".parse().unwrap(),
///     near: true,
///     slots: 3,
///     cold_until: None,
/// };
/// table.replace(vec![server("a"), server("b")], now);
/// let asked = table.stale_servers(2, ServerScope::Near, now, now);
/// let free = LoadSample { running: 0, waiting: 0, slots: 3, pace_percent: 100 };
/// let slow = LoadSample { pace_percent: 700, ..free };
/// table.note_load(asked[0], slow, now);
/// table.note_load(asked[1], free, now);
/// let query = PlacementQuery {
///     work: Duration::from_millis(50),
///     far_cost: Duration::from_millis(3),
///     saturation_slowdown: 1.0,
///     since: now,
///     tried: &[],
///     now,
/// };
/// let best = table.best(ServerScope::Near, &query).unwrap();
/// assert_eq!(best.server, asked[1]);
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
    /// A table without servers, whose choices among equals follow `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            entries: HashMap::new(),
            near: Vec::new(),
            far: Vec::new(),
            next_key: 1,
            rng: SmallRng::seed_from_u64(seed),
        }
    }

    /// Takes the servers that may get requests; what is known of those that stay is kept.
    pub fn replace(&mut self, servers: Vec<ListedServer>, now: Moment) {
        let mut old: HashMap<Arc<str>, (ServerKey, LoadEntry)> = HashMap::new();
        for (key, entry) in self.entries.drain() {
            old.insert(Arc::clone(&entry.server.instance), (key, entry));
        }
        self.near.clear();
        self.far.clear();
        for server in servers {
            let known = old.remove(&server.instance);
            let known = known.filter(|(_, entry)| entry.server.address == server.address);
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

    /// Requests that were started and have not ended.
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

    /// A server that is still listed.
    pub fn server(&self, key: ServerKey) -> Option<&ListedServer> {
        self.entries.get(&key).map(|entry| &entry.server)
    }

    /// All servers.
    pub fn servers(&self) -> impl Iterator<Item = (ServerKey, &ListedServer)> {
        let entries = self.entries.iter();
        entries.map(|(key, entry)| (*key, &entry.server))
    }

    /// Draws up to `count` servers that told no load since `since`; those that could not be reached of
    /// late come last.
    pub fn stale_servers(
        &mut self,
        count: usize,
        scope: ServerScope,
        since: Moment,
        now: Moment,
    ) -> Vec<ServerKey> {
        let stale = self.list(scope).iter().copied();
        let stale = stale.filter(|key| {
            let sample = self.entries[key].sample;
            sample.is_none_or(|(_, at)| at < since)
        });
        let usable = |key: &ServerKey| self.entries[key].avoid_until <= now;
        let (mut plan, mut avoided): (Vec<_>, Vec<_>) = stale.partition(usable);
        draw(&mut plan, count, &mut self.rng);
        if plan.len() < count {
            draw(&mut avoided, count - plan.len(), &mut self.rng);
            plan.append(&mut avoided);
        }
        plan
    }

    /// Takes the load that a server told.
    pub fn note_load(&mut self, key: ServerKey, sample: LoadSample, now: Moment) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.sample = Some((sample, now));
            entry.sends.retain(|sent| *sent + TRANSIT_TIME > now);
        }
    }

    /// Notes that a server did not answer a question in time.
    pub fn note_probe_failure(&mut self, key: ServerKey, now: Moment) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.sample = None;
            entry.avoid_until = now + UNREACHABLE_PAUSE;
        }
    }

    /// The server of a scope that is expected to answer first, by loads told since the query's limit.
    ///
    /// Servers whose waiting room would be overfilled are left out.
    pub fn best(&mut self, scope: ServerScope, query: &PlacementQuery<'_>) -> Option<Placement> {
        let keys = self.list(scope).to_vec();
        self.best_of(&keys, query, |entry| entry.fresh_load(query.since))
    }

    /// The best of a few servers by the gate's own part of their load, for services that tell none or
    /// whose servers could not be asked.
    pub fn best_by_in_flight(
        &mut self,
        scope: ServerScope,
        query: &PlacementQuery<'_>,
    ) -> Option<Placement> {
        let now = query.now;
        let mut keys = self.list(scope).to_vec();
        keys.retain(|key| self.entries[key].avoid_until <= now);
        draw(&mut keys, BLIND_CHOICES, &mut self.rng);
        self.best_of(&keys, query, |entry| Some(entry.in_flight_load()))
    }

    /// The server among `keys` that is expected to answer first.
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
            let placed = load(entry).and_then(|load| place(*key, entry, load, query));
            let Some(mut placement) = placed else {
                continue;
            };
            // Gates that decide at the same moment should not all send to the same server.
            placement.rank *= self.rng.random_range(RANK_SPREAD);
            if best.is_none_or(|best| placement.rank < best.rank) {
                best = Some(placement);
            }
        }
        best
    }

    /// Notes that a request goes to a server.
    pub fn start(&mut self, key: ServerKey, now: Moment) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.in_flight += 1;
        }
        self.note_sent(key, now);
    }

    /// Notes a send by this gate or another that the server's last word does not count.
    pub fn note_sent(&mut self, key: ServerKey, now: Moment) {
        if let Some(entry) = self.entries.get_mut(&key)
            && entry.sends.len() < MAX_SENDS
        {
            entry.sends.push(now);
        }
    }

    /// Notes how a request that was started ended.
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

    /// Notes that a server did not answer a request in time.
    pub fn note_timeout(&mut self, key: ServerKey, now: Moment) {
        if let Some(entry) = self.entries.get_mut(&key) {
            entry.note_outcome(1.0, now);
        }
    }

    /// The servers of a scope.
    fn list(&self, scope: ServerScope) -> &[ServerKey] {
        match scope {
            ServerScope::Near => &self.near,
            ServerScope::Far => &self.far,
        }
    }
}

/// Keeps `count` random keys of a list.
fn draw(keys: &mut Vec<ServerKey>, count: usize, rng: &mut SmallRng) {
    let count = count.min(keys.len());
    for index in 0..count {
        let other = rng.random_range(index..keys.len());
        keys.swap(index, other);
    }
    keys.truncate(count);
}

/// When an entry is expected to answer; `None` if its waiting room is full.
fn place(
    key: ServerKey,
    entry: &LoadEntry,
    load: LoadSample,
    query: &PlacementQuery<'_>,
) -> Option<Placement> {
    let now = query.now;
    let slots = load.slots.max(1);
    let requests_ahead = load.requests_ahead(0);
    if requests_ahead > slots * QUEUE_PARTS {
        return None;
    }
    let saturates = load.running + load.waiting + 1 >= slots;
    let saturation_slowdown = if saturates {
        query.saturation_slowdown
    } else {
        1.0
    };
    let spread = f64::from(load.running.min(slots)) / f64::from(slots) * SPREAD_WEIGHT;
    let cold = entry.server.cold_until.is_some_and(|until| until > now);
    let cold = if cold { COLD_WEIGHT } else { 0.0 };
    let pace =
        f64::from(load.pace_percent) / 100.0 * saturation_slowdown * (1.0 + spread) * (1.0 + cold);
    let rounds = 1.0 + f64::from(requests_ahead) / f64::from(slots);
    let expected = query.work.mul_f64(pace * rounds);
    let far_cost = if entry.server.near {
        Duration::ZERO
    } else {
        query.far_cost
    };
    let rank = expected + far_cost;
    let rank = rank.as_secs_f64() * (1.0 + entry.failure_rate_at(now) * FAILURE_WEIGHT);
    Some(Placement {
        server: key,
        expected,
        has_slot: requests_ahead == 0,
        saturates,
        pace_percent: load.pace_percent,
        rank,
    })
}
