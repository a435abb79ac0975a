//! Simulates callers and servers with 3 slots each in virtual time, and counts what callers get.
//!
//! At any moment about a third of the servers take 7 times as long as usual. The slow ones are
//! drawn anew twice a second, as other processes on shared machines slow servers down. Probes
//! return the load at that moment. The same requests are simulated with the placement under test
//! and with random choice.

use std::collections::BTreeMap;
use std::time::Duration;

use ggs_model::Moment;
use ggs_place::{
    ListedServer, LoadSample, LoadTable, PlacementDecision, PlacementInput, PlacementQuery,
    ProbeStage, SendOutcome, ServerKey, ServerScope, decide_placement,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Servers of the service.
const SERVERS: usize = 12;

/// Requests that each server can run at the same time.
const SLOTS: u32 = 3;

/// Mean processing time of a request on a server of the usual speed.
const WORK: Duration = Duration::from_millis(60);

/// Time within which callers want their answers.
const OBJECTIVE: Duration = Duration::from_millis(200);

/// Time after which callers give up.
const DEADLINE: Duration = Duration::from_millis(500);

/// Time after which the slow servers are drawn anew, in milliseconds.
const PACE_PERIOD_MS: u64 = 500;

/// A refusal counts as prompt up to the objective divided by this.
const PROMPT_REFUSAL_DIVISOR: u32 = 8;

/// Requests of one simulation.
const REQUESTS: u64 = 6_000;

/// Requests that a server queues; it silently drops those beyond.
const QUEUE_LENGTH: usize = 6;

/// A simulated server.
#[derive(Clone, Default)]
struct SimServer {
    /// When each request starts and ends to run.
    requests: Vec<(Moment, Moment)>,
    pace_percent: u32,
}

impl SimServer {
    /// Requests that wait for a slot.
    fn waiting(&self, now: Moment) -> usize {
        let requests = self.requests.iter();
        requests.filter(|(start, _)| *start > now).count()
    }

    /// When one more request could start.
    fn free_at(&self, now: Moment) -> Moment {
        let mut ends: Vec<_> = self.requests.iter().map(|(_, end)| *end).collect();
        ends.sort_unstable();
        let next_free = ends.len().checked_sub(SLOTS as usize);
        next_free.map_or(now, |index| ends[index])
    }
}

/// The simulated servers in virtual time.
struct SimFleet {
    servers: Vec<SimServer>,
    now: Moment,
    paced_until: Moment,
    rng: SmallRng,
}

impl SimFleet {
    fn new(seed: u64) -> Self {
        let mut fleet = Self {
            servers: vec![SimServer::default(); SERVERS],
            now: Moment::ZERO,
            paced_until: Moment::ZERO,
            rng: SmallRng::seed_from_u64(seed),
        };
        fleet.draw_pace();
        fleet
    }

    /// Draws the slow servers anew.
    fn draw_pace(&mut self) {
        for server in &mut self.servers {
            let slow = self.rng.random_range(0..100) < 33;
            server.pace_percent = if slow { 700 } else { 100 };
        }
    }

    /// Moves the time on to `now`.
    fn advance(&mut self, now: Moment) {
        self.now = now;
        while self.paced_until <= now {
            self.paced_until = self.paced_until + Duration::from_millis(PACE_PERIOD_MS);
            self.draw_pace();
        }
        for server in &mut self.servers {
            server.requests.retain(|(_, end)| *end > now);
        }
    }

    /// The load that a server reports.
    fn load(&self, index: usize) -> LoadSample {
        let server = &self.servers[index];
        let waiting = server.waiting(self.now);
        LoadSample {
            running: (server.requests.len() - waiting) as u32,
            waiting: waiting as u32,
            slots: SLOTS,
            pace_percent: server.pace_percent,
        }
    }

    /// Starts a request and returns when it ends; `None` if the queue is full and the server drops
    /// it.
    fn start(&mut self, index: usize, now: Moment) -> Option<Moment> {
        let spread = self.rng.random_range(0.7..1.3);
        let server = &mut self.servers[index];
        if server.waiting(now) >= QUEUE_LENGTH {
            return None;
        }
        let start = server.free_at(now);
        let work = WORK.mul_f64(spread * f64::from(server.pace_percent) / 100.0);
        // Servers stop processing at the deadline of the request.
        let end = (start + work).min(now + DEADLINE);
        server.requests.push((start.min(end), end));
        Some(end)
    }
}

/// How the requests of callers ended.
#[derive(Clone, Copy, Debug, Default)]
struct LoadTally {
    prompt: u64,
    late: u64,
    refused: u64,
    /// Refusals that came too late to count as prompt.
    refused_late: u64,
    dropped: u64,
}

impl LoadTally {
    /// Counts a request that ends at `end`. One without an end, or that ends at the deadline,
    /// counts as dropped.
    fn count(&mut self, arrived: Moment, end: Option<Moment>) {
        match end.map(|end| end.since(arrived)) {
            Some(elapsed) if elapsed <= OBJECTIVE => self.prompt += 1,
            Some(elapsed) if elapsed < DEADLINE => self.late += 1,
            Some(_) | None => self.dropped += 1,
        }
    }

    /// Share of all requests that were answered within the objective.
    fn prompt_share(&self) -> f64 {
        self.prompt as f64 / REQUESTS as f64
    }
}

/// Arrival times of the requests of one simulation, at random intervals. `load_percent` is the rate
/// as a percentage of what the servers could process if all had the usual speed.
fn arrivals(load_percent: u64, seed: u64) -> Vec<Moment> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let capacity = SERVERS as f64 * f64::from(SLOTS) / WORK.as_secs_f64();
    let mean_gap = 1.0 / (capacity * load_percent as f64 / 100.0);
    let mut at = 0.0;
    let arrivals = (0..REQUESTS).map(|_| {
        at += -mean_gap * (1.0 - rng.random_range(0.0..1.0_f64)).ln();
        Moment::ZERO + Duration::from_secs_f64(at)
    });
    arrivals.collect()
}

/// Simulates the requests with a random server for each.
fn simulate_random(arrivals: &[Moment], seed: u64) -> LoadTally {
    let mut fleet = SimFleet::new(seed);
    let mut rng = SmallRng::seed_from_u64(seed + 1);
    let mut tally = LoadTally::default();
    for now in arrivals {
        fleet.advance(*now);
        let end = fleet.start(rng.random_range(0..SERVERS), *now);
        tally.count(*now, end);
    }
    tally
}

/// A request that waits for its placement at the gate.
struct SimRequest {
    arrived: Moment,
    stage: ProbeStage,
}

/// Simulates the requests with the placement under test.
fn simulate_placement(arrivals: &[Moment], seed: u64) -> LoadTally {
    let mut fleet = SimFleet::new(seed);
    let mut table = LoadTable::new(seed + 1);
    let servers = (0..SERVERS).map(|index| ListedServer {
        instance: index.to_string().into(),
        started_ms: None,
        address: ([10, 0, 0, 1], index as u16 + 1).into(),
        near: true,
        slots: SLOTS,
        cold_until: None,
    });
    table.replace(servers.collect(), Moment::ZERO);
    let mut tally = LoadTally::default();
    // Requests to be placed, by the time of the next decision and order of arrival, and the ends of
    // those that run.
    let mut due: BTreeMap<(Moment, u64), SimRequest> = BTreeMap::new();
    let mut ends: Vec<(Moment, ServerKey)> = Vec::new();
    for (order, arrived) in arrivals.iter().enumerate() {
        let request = SimRequest {
            arrived: *arrived,
            stage: ProbeStage::Known,
        };
        due.insert((*arrived, order as u64), request);
    }
    while let Some(((now, order), mut request)) = due.pop_first() {
        fleet.advance(now);
        let (ended, running): (Vec<_>, Vec<_>) = ends.into_iter().partition(|(end, _)| *end <= now);
        ends = running;
        for (_, key) in ended {
            table.end(key, SendOutcome::Answered, now);
            table.note_load(key, fleet.load(index_of(&table, key)), now);
        }
        let held = now.since(request.arrived);
        let since = now - Duration::from_millis(15);
        let query = PlacementQuery {
            work: WORK,
            far_cost: Duration::ZERO,
            saturation_slowdown: 1.0,
            since,
            tried: &[],
            now,
        };
        let input = PlacementInput {
            best: table.best(ServerScope::Near, &query),
            work: WORK,
            far_cost: Duration::ZERO,
            objective: OBJECTIVE,
            held,
            time_left: DEADLINE.saturating_sub(held),
            rest_left: None,
            gives_way: false,
            stage: request.stage,
        };
        match decide_placement(&input) {
            PlacementDecision::Send(placement) => {
                table.start(placement.server, now);
                let index = index_of(&table, placement.server);
                let end = fleet.start(index, now);
                tally.count(request.arrived, end);
                ends.push((end.unwrap_or(now), placement.server));
            }
            PlacementDecision::ProbeNear => {
                for key in table.stale_servers(8, ServerScope::Near, since, now) {
                    table.note_load(key, fleet.load(index_of(&table, key)), now);
                }
                request.stage = ProbeStage::Near;
                due.insert((now, order), request);
            }
            PlacementDecision::ProbeFar => {
                request.stage = ProbeStage::All;
                due.insert((now, order), request);
            }
            PlacementDecision::Wait(pause) => {
                request.stage = ProbeStage::Known;
                due.insert((now + pause, order), request);
            }
            PlacementDecision::Refuse(_) => {
                tally.refused += 1;
                tally.refused_late += u64::from(held > OBJECTIVE / PROMPT_REFUSAL_DIVISOR);
            }
        }
    }
    tally
}

/// Index of a server in the fleet.
fn index_of(table: &LoadTable, key: ServerKey) -> usize {
    let server = table.server(key).unwrap();
    server.instance.parse().unwrap()
}

/// A load, and the least that callers must get at it.
struct LoadCase {
    load_percent: u64,
    /// Least share of requests answered within the objective.
    min_prompt_share: f64,
}

#[test]
fn more_answers_meet_the_objective_than_with_random_choice() {
    // Random choice sends a third of the requests to slow servers, which answer after the
    // objective. Two thirds of the slots run at the usual speed. The last case requires answers to
    // nine tenths of the requests that these slots can serve.
    let cases = [
        LoadCase {
            load_percent: 20,
            min_prompt_share: 0.98,
        },
        LoadCase {
            load_percent: 40,
            min_prompt_share: 0.95,
        },
        LoadCase {
            load_percent: 60,
            min_prompt_share: 0.75,
        },
        LoadCase {
            load_percent: 120,
            min_prompt_share: 0.50,
        },
    ];
    for case in cases {
        let arrivals = arrivals(case.load_percent, 7);
        let placed = simulate_placement(&arrivals, 11);
        let random = simulate_random(&arrivals, 11);
        let load = case.load_percent;
        println!("{load}%: placed {placed:?}, random {random:?}");
        assert!(
            placed.prompt_share() >= case.min_prompt_share,
            "{load}%: {placed:?}"
        );
        assert!(
            placed.prompt > random.prompt,
            "{load}%: {placed:?} {random:?}"
        );
        assert!(
            random.prompt_share() < case.min_prompt_share,
            "{load}%: random choice also reaches the bound"
        );
    }
}

#[test]
fn refusals_are_prompt_and_full_servers_get_few_requests() {
    let arrivals = arrivals(150, 3);
    let placed = simulate_placement(&arrivals, 5);
    assert!(placed.refused > 0, "{placed:?}");
    assert_eq!(placed.refused_late, 0, "{placed:?}");
    let lost = placed.dropped as f64 / REQUESTS as f64;
    assert!(lost < 0.05, "{placed:?}");
    let random = simulate_random(&arrivals, 5);
    assert!(random.dropped > placed.dropped * 4, "{placed:?} {random:?}");
}
