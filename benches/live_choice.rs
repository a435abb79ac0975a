//! The choice of server over real processes: the policy of gates against the naive one, in turn.
//!
//! One platform and twelve stand-in servers serve two groups of three gates; the groups differ in
//! `server_choice` alone. Each round runs every case with both groups, under the same arrivals and
//! the same stragglers. Figures of single runs depend on the machine and on what else it does, so
//! ratios are printed with their spread, and nothing is asserted.
//!
//! `cargo bench --bench live_choice -- [SEED] [ROUNDS]`; the defaults take under 2 minutes.

#[path = "../tests/support/mod.rs"]
mod support;

use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use actix_rt::time::sleep;
use ggs_load::{LoadPlan, LoadSummary, LoadTarget, TrafficShare, run_load};
use ggs_model::{DataCentre, RequestClass, ServiceDocument};
use ggs_settings::ChoicePolicy;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use support::{GateProcess, StandinProcess, accept_document, wait_for_peers};

/// Name of the service.
const SERVICE: &str = "roster";

/// Servers of the service.
const SERVERS: usize = 12;

/// Slots of a server.
const SLOTS: usize = 3;

/// Time that a request runs, in milliseconds, as servers are told.
const SERVICE_MS: u64 = 8;

/// Gates of each policy, each with a caller of its own.
const GATES: usize = 3;

/// Length of a measured run.
const RUN_LENGTH: Duration = Duration::from_millis(2_500);

/// Length of the load before a measured run, which is not counted.
const WARM_LENGTH: Duration = Duration::from_millis(400);

/// Length of the run that measures how long a request takes on an idle server.
const CALIBRATION_LENGTH: Duration = Duration::from_secs(2);

/// Calls a second of that run.
const CALIBRATION_RATE: f64 = 50.0;

/// Shortest time that a server is slow, in milliseconds.
const SLOW_MS_MIN: f64 = 50.0;

/// Longest time that a server is slow, in milliseconds.
const SLOW_MS_MAX: f64 = 2_000.0;

/// Longest time between two slow servers, in milliseconds.
const SLOW_GAP_MS: f64 = 300.0;

/// Seed when none is given.
const DEFAULT_SEED: u64 = 1;

/// Rounds when no number is given.
const DEFAULT_ROUNDS: u64 = 5;

/// What goes wrong with servers in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ServerTrouble {
    /// One server after another is ten times as slow.
    Stragglers,
    /// One server answers everything with 500 at once.
    FailFast,
}

/// One row of the comparison.
struct CompareCase {
    name: &'static str,
    /// Calls, as a share of what the servers can take.
    load: f64,
    trouble: ServerTrouble,
}

const CASES: [CompareCase; 3] = [
    CompareCase {
        name: "70%, stragglers",
        load: 0.70,
        trouble: ServerTrouble::Stragglers,
    },
    CompareCase {
        name: "85%, stragglers",
        load: 0.85,
        trouble: ServerTrouble::Stragglers,
    },
    CompareCase {
        name: "70%, one fails fast",
        load: 0.70,
        trouble: ServerTrouble::FailFast,
    },
];

/// What one run of a case showed.
#[derive(Clone, Copy, Debug)]
struct RunFigures {
    /// 99th percentile of urgent calls, mean over the callers, in milliseconds.
    urgent_p99: f64,
    /// Urgent calls that were answered, as a share of all.
    answered: f64,
    /// Calls that the failing server took, as a multiple of its fair share; 1 without one.
    failing_share: f64,
    /// Longest time that a caller was late with a call, in milliseconds.
    start_lag: f64,
}

/// Processes and seeds of the whole comparison.
struct LiveBench {
    servers: StandinProcess,
    signals: Vec<GateProcess>,
    least: Vec<GateProcess>,
    /// Calls a second that the servers can take.
    capacity: f64,
}

fn main() {
    // Cargo adds "--bench".
    let numbers = std::env::args().filter_map(|argument| argument.parse().ok());
    let numbers: Vec<u64> = numbers.collect();
    let seed = numbers.first().copied().unwrap_or(DEFAULT_SEED);
    let rounds = numbers.get(1).copied().unwrap_or(DEFAULT_ROUNDS);
    actix_rt::System::new().block_on(compare(seed, rounds));
}

/// Runs all rounds and prints the results.
async fn compare(seed: u64, rounds: u64) {
    let platform = StandinProcess::platform(&[]);
    let bench = LiveBench::start(&platform.url()).await;
    println!(
        "seed {seed}, {rounds} rounds, capacity {:.0} calls/s",
        bench.capacity
    );
    let mut results: [Vec<[RunFigures; 2]>; CASES.len()] = Default::default();
    for round in 0..rounds {
        for (case, pairs) in CASES.iter().zip(&mut results) {
            let seed = seed.wrapping_mul(1_000).wrapping_add(round);
            let pair = bench.pair(case, seed, round % 2 == 1).await;
            print_pair(case, round, &pair);
            pairs.push(pair);
        }
    }
    for (case, pairs) in CASES.iter().zip(&results) {
        print_case(case, pairs);
    }
}

impl LiveBench {
    /// Starts all processes and measures the servers.
    async fn start(platform: &str) -> Self {
        let (slots, millis) = (SLOTS.to_string(), SERVICE_MS.to_string());
        let arguments = ["--slots", &slots, "--service-ms", &millis];
        let servers = StandinProcess::servers(platform, SERVICE, SERVERS, &arguments);
        accept_document(platform, ServiceDocument::new(SERVICE, "wagowa")).await;
        let signals = start_group(platform, ChoicePolicy::Signals).await;
        let least = start_group(platform, ChoicePolicy::LeastInFlight).await;
        // A run takes longer than it is told to, because timers round up.
        let mut plan = plan(LoadTarget::Direct(servers.addresses[0].0), CALIBRATION_RATE);
        plan.length = CALIBRATION_LENGTH;
        let summary = run_load(plan).await.expect("calibration");
        let run_seconds = summary.shares[0].latency.p50_us as f64 / 1e6;
        let capacity = (SERVERS * SLOTS) as f64 / run_seconds;
        Self {
            servers,
            signals,
            least,
            capacity,
        }
    }

    /// Runs a case with both policies: `signals` first in the result, in time unless `swapped`.
    async fn pair(&self, case: &CompareCase, seed: u64, swapped: bool) -> [RunFigures; 2] {
        if swapped {
            let least = self.run(case, &self.least, seed).await;
            return [self.run(case, &self.signals, seed).await, least];
        }
        let signals = self.run(case, &self.signals, seed).await;
        [signals, self.run(case, &self.least, seed).await]
    }

    /// Runs a case with one group of gates.
    async fn run(&self, case: &CompareCase, gates: &[GateProcess], seed: u64) -> RunFigures {
        let rate = case.load * self.capacity;
        finish(start_callers(gates, rate, WARM_LENGTH, seed)).await;
        let mut random = StdRng::seed_from_u64(seed);
        let troubled = random.random_range(0..SERVERS);
        if case.trouble == ServerTrouble::FailFast {
            let faults = r#"{"fail_fast": 500}"#;
            self.servers.set_faults(troubled, faults).await;
        }
        let before = self.servers.calls_taken().await;
        let callers = start_callers(gates, rate, RUN_LENGTH, seed);
        if case.trouble == ServerTrouble::Stragglers {
            self.slow_in_turn(&mut random).await;
        }
        let summaries = finish(callers).await;
        let after = self.servers.calls_taken().await;
        self.servers.set_faults(troubled, "{}").await;
        let taken = after
            .iter()
            .zip(&before)
            .map(|(after, before)| after - before);
        let taken: Vec<u64> = taken.collect();
        let failing_share = match case.trouble {
            ServerTrouble::Stragglers => 1.0,
            ServerTrouble::FailFast => {
                taken[troubled] as f64 * SERVERS as f64 / taken.iter().sum::<u64>() as f64
            }
        };
        RunFigures {
            failing_share,
            ..figures(&summaries)
        }
    }

    /// Makes one server after another slow, for the length of a run.
    async fn slow_in_turn(&self, random: &mut StdRng) {
        let end = Instant::now() + RUN_LENGTH;
        loop {
            let server = random.random_range(0..SERVERS);
            let gap = random.random_range(0.0..SLOW_GAP_MS);
            // Short spells are as usual as long ones.
            let exponent = random.random_range(0.0..1.0);
            let spell = SLOW_MS_MIN * (SLOW_MS_MAX / SLOW_MS_MIN).powf(exponent);
            sleep(time_until(end, gap)).await;
            if Instant::now() >= end {
                return;
            }
            let faults = r#"{"slow_factor": 10.0}"#;
            self.servers.set_faults(server, faults).await;
            sleep(time_until(end, spell)).await;
            self.servers.set_faults(server, "{}").await;
        }
    }
}

/// Milliseconds as a time that does not pass `end`.
fn time_until(end: Instant, millis: f64) -> Duration {
    let left = end.saturating_duration_since(Instant::now());
    Duration::from_secs_f64(millis / 1_000.0).min(left)
}

/// Starts gates of a policy, each in a data centre of its own so that it names itself first.
async fn start_group(platform: &str, policy: ChoicePolicy) -> Vec<GateProcess> {
    let settings = (0..GATES).map(|index| {
        let mut settings = GateProcess::settings(&format!("{policy}-{index}"), platform);
        settings.data_centre = DataCentre::new(&format!("dc{index}"));
        settings.server_choice = policy;
        settings
    });
    let mut settings: Vec<_> = settings.collect();
    let peers: Vec<_> = { &settings }
        .iter()
        .map(|settings| settings.listen_peers)
        .collect();
    for settings in &mut settings {
        settings.peers.clone_from(&peers);
    }
    let gates: Vec<_> = settings.into_iter().map(GateProcess::spawn).collect();
    for gate in &gates {
        gate.wait_for_service(SERVICE).await;
        wait_for_peers(gate, GATES - 1).await;
    }
    gates
}

/// A plan with four urgent calls to one standard call.
fn plan(target: LoadTarget, rate: f64) -> LoadPlan {
    let mut urgent = TrafficShare::new(SERVICE, RequestClass::Urgent);
    urgent.weight = 4.0;
    let standard = TrafficShare::new(SERVICE, RequestClass::Standard);
    let mut plan = LoadPlan::new(target, vec![urgent, standard]);
    plan.rate = rate;
    plan
}

/// Starts a caller for each gate, on a thread of its own; together they make `rate` calls a second.
fn start_callers(
    gates: &[GateProcess],
    rate: f64,
    length: Duration,
    seed: u64,
) -> Vec<JoinHandle<LoadSummary>> {
    let callers = gates.iter().enumerate().map(|(index, gate)| {
        let target = LoadTarget::Gates(vec![gate.settings.listen_callers]);
        let mut plan = plan(target, rate / GATES as f64);
        plan.length = length;
        plan.seed = seed.wrapping_mul(GATES as u64).wrapping_add(index as u64);
        std::thread::spawn(|| {
            let summary = actix_rt::System::new().block_on(run_load(plan));
            summary.expect("load")
        })
    });
    callers.collect()
}

/// Waits for callers without holding up the runtime.
async fn finish(callers: Vec<JoinHandle<LoadSummary>>) -> Vec<LoadSummary> {
    while callers.iter().any(|caller| !caller.is_finished()) {
        sleep(Duration::from_millis(5)).await;
    }
    let summaries = callers
        .into_iter()
        .map(|caller| caller.join().expect("caller"));
    summaries.collect()
}

/// Figures of one run from those of its callers.
fn figures(summaries: &[LoadSummary]) -> RunFigures {
    let urgent = || summaries.iter().map(|summary| &summary.shares[0]);
    let p99 = urgent()
        .map(|share| share.latency.p99_us as f64)
        .sum::<f64>();
    let calls: u64 = urgent().map(|share| share.calls).sum();
    let answered: u64 = urgent().map(|share| share.answered).sum();
    let lag = summaries.iter().map(|summary| summary.start_lag_us).max();
    RunFigures {
        urgent_p99: p99 / summaries.len() as f64 / 1_000.0,
        answered: answered as f64 / calls as f64,
        failing_share: 1.0,
        start_lag: lag.unwrap_or_default() as f64 / 1_000.0,
    }
}

/// Prints both runs of a case in one round.
fn print_pair(case: &CompareCase, round: u64, pair: &[RunFigures; 2]) {
    let [signals, least] = pair;
    println!(
        "round {round}, {:<20} p99 ratio {:.3}  ({:.1} / {:.1} ms, answered {:.4} / {:.4}, \
         failing server's share {:.2} / {:.2}, callers late by {:.0} / {:.0} ms)",
        case.name,
        signals.urgent_p99 / least.urgent_p99,
        signals.urgent_p99,
        least.urgent_p99,
        signals.answered,
        least.answered,
        signals.failing_share,
        least.failing_share,
        signals.start_lag,
        least.start_lag,
    );
}

/// Prints what the rounds of a case come to.
fn print_case(case: &CompareCase, pairs: &[[RunFigures; 2]]) {
    let ratios = pairs
        .iter()
        .map(|[signals, least]| signals.urgent_p99 / least.urgent_p99);
    println!(
        "{}: p99 ratio signals / least-in-flight {}",
        case.name,
        spread(ratios)
    );
    for (index, policy) in ["signals", "least-in-flight"].into_iter().enumerate() {
        let answered = pairs.iter().map(|pair| pair[index].answered);
        println!("  {policy}: urgent calls answered {}", spread(answered));
        if case.trouble == ServerTrouble::FailFast {
            let share = pairs.iter().map(|pair| pair[index].failing_share);
            println!("  {policy}: times fair share {}", spread(share));
        }
    }
}

/// Median, least and greatest of some figures.
fn spread(figures: impl Iterator<Item = f64>) -> String {
    let mut sorted: Vec<_> = figures.collect();
    sorted.sort_by(f64::total_cmp);
    let (Some(least), Some(greatest)) = (sorted.first(), sorted.last()) else {
        return "none".to_owned();
    };
    let middle = sorted.len() / 2;
    let median = f64::midpoint(sorted[(sorted.len() - 1) / 2], sorted[middle]);
    format!("median {median:.3}, from {least:.3} to {greatest:.3}")
}
