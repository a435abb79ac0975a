//! A quota over a fleet of gates in virtual time, with gates that end, freeze and start again, a fleet
//! that parts, and lost datagrams. No window may have more requests than the quota allows, and a
//! workspace gets nearly all of it.
//!
//! A question and its answer take no time here; a question that gets no answer costs the request that
//! waits nothing but its turn.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use ggs_limit::{
    FleetReach, HolderCandidate, HolderTable, LedgerView, QuotaAsk, QuotaBounds, QuotaGrant,
    QuotaLedger, QuotaRule, QuotaStock, StockDecision,
};
use ggs_model::{DataCentre, Moment};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// How far the quotas may be exceeded; the users' bounds.
const BOUNDS: QuotaBounds = QuotaBounds {
    window: Duration::from_secs(5),
    over: 0.1,
    slack: 20.0,
};

/// Part of the quota that a workspace gets that asks for more; from the issue.
const USED_FRACTION: f64 = 0.95;

/// Time before the requests are counted.
const START: Duration = Duration::from_secs(10);

/// Time from the start of a gate until it holds quotas, and between two of its ticks.
const SETTLE_TIME: Duration = Duration::from_millis(450);
const TICK: Duration = Duration::from_millis(500);

/// Time in which a new holder makes itself known again.
const ANNOUNCE_TIME: Duration = Duration::from_millis(1_200);

/// Most datagrams that are lost; from the issue.
const MAX_LOSS: f64 = 0.03;

/// Data centres of the fleet.
const CENTRES: usize = 3;

/// A gate of the fleet.
struct SimGate {
    stock: QuotaStock,
    ledger: QuotaLedger,
    holders: HolderTable,
    reach: FleetReach,
    /// Until when it is away, and whether it starts again or wakes with what it knew.
    away_until: Moment,
    started_at: Moment,
    alone_until: Moment,
}

impl SimGate {
    fn new(now: Moment, rng: &mut SmallRng) -> Self {
        Self {
            stock: QuotaStock::new(rng.random_range(0.0..1.0)),
            ledger: QuotaLedger::new(now),
            holders: HolderTable::default(),
            reach: FleetReach::default(),
            away_until: Moment::ZERO,
            started_at: now,
            alone_until: Moment::ZERO,
        }
    }
}

/// A fleet with one workspace.
struct SimFleet {
    gates: Vec<SimGate>,
    rule: QuotaRule,
    /// Gates of the smaller part while the fleet is parted.
    part: BTreeSet<usize>,
    loss: f64,
    rng: SmallRng,
    sent: Vec<Moment>,
    /// Questions between gates.
    asks: usize,
}

/// What happens to the fleet.
#[derive(Clone, Copy, Debug)]
enum FleetFault {
    None,
    /// Gates that are drawn end and start again.
    Restart {
        share: f64,
    },
    /// They freeze and wake with what they knew.
    Freeze {
        share: f64,
    },
    /// The holder ends, or freezes.
    HolderRestart,
    HolderFreeze,
    /// The fleet parts in two, along a data centre or not.
    Part {
        share: f64,
        along_centre: bool,
    },
}

impl SimFleet {
    fn new(count: usize, rule: QuotaRule, loss: f64, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let gates = (0..count).map(|_| SimGate::new(Moment::ZERO, &mut rng));
        Self {
            gates: gates.collect(),
            rule,
            part: BTreeSet::new(),
            loss,
            rng,
            sent: Vec::new(),
            asks: 0,
        }
    }

    fn candidates(&self) -> Vec<HolderCandidate> {
        let gates = 0..self.gates.len();
        let gates = gates.map(|gate| HolderCandidate {
            address: address_of(gate),
            capacity: 1,
        });
        gates.collect()
    }

    fn is_running(&self, gate: usize, now: Moment) -> bool {
        self.gates[gate].away_until <= now
    }

    /// Whether a question from one gate to another is answered.
    fn answers(&mut self, from: usize, to: usize, now: Moment) -> bool {
        let is_parted = self.part.contains(&from) != self.part.contains(&to);
        // Each of two questions and its answer may be lost.
        let lost = 1.0 - (1.0 - self.loss).powi(2);
        let is_lost = self.rng.random_bool(lost * lost);
        !is_parted && !is_lost && self.is_running(to, now)
    }

    /// What a gate does from time to time: it counts the live gates of each data centre.
    fn tick(&mut self, gate: usize, now: Moment) {
        for centre in 0..CENTRES {
            let members: Vec<_> = (0..self.gates.len())
                .filter(|g| g % CENTRES == centre)
                .collect();
            let reached = |other: &&usize| {
                let together = self.part.contains(other) == self.part.contains(&gate);
                together && self.is_running(**other, now)
            };
            let live = members.iter().filter(reached).count();
            let name = DataCentre::from(["a", "b", "c"][centre]);
            let reach = &mut self.gates[gate].reach;
            if live > 0 {
                reach.note(&name, live, members.len(), now);
            } else {
                reach.note_known(&name, members.len());
            }
        }
        self.gates[gate].ledger.tick(now);
        let opened = self.gates[gate].ledger.opened_within(ANNOUNCE_TIME, now);
        if !opened.is_empty() {
            self.announce(gate, now);
        }
        let stands_in = self.gates[gate]
            .ledger
            .is_blind(Duration::from_secs(2), now);
        for silent in self.gates[gate].holders.due_retries(stands_in, now) {
            let other = usize::from(silent.port()) - 1;
            if self.answers(gate, other, now) {
                self.gates[gate].holders.note_heard(silent);
            }
        }
    }

    /// Whether a gate may hold quotas.
    fn can_hold(&mut self, gate: usize, now: Moment) -> bool {
        let runs_since = self.gates[gate].ledger.runs_since(now);
        now.since(runs_since.max(self.gates[gate].started_at)) >= SETTLE_TIME
    }

    /// A gate grants from its own account.
    fn grant(&mut self, gate: usize, asker: usize, ask: &QuotaAsk, now: Moment) -> QuotaGrant {
        let candidates = self.candidates();
        let rule = self.rule;
        if !self.gates[gate].ledger.has_account("w") {
            self.announce(gate, now);
        }
        let gate_state = &mut self.gates[gate];
        let reach = gate_state.reach.fraction(now) * (1.0 + BOUNDS.over / 2.0);
        let view = LedgerView {
            reach: reach.min(1.0),
            standing: gate_state
                .holders
                .standing("w", &candidates, address_of(gate)),
        };
        let asker = address_of(asker);
        gate_state
            .ledger
            .grant("w", &rule, &BOUNDS, asker, ask, &view, now)
    }

    /// A gate makes itself known to those that would hold the quota in its place.
    fn announce(&mut self, gate: usize, now: Moment) {
        let mut others = self.candidates();
        others.retain(|other| other.address != address_of(gate));
        for _ in 0..3 {
            let next = self.gates[gate].holders.choose("w", &others, now);
            let Some(next) = next else { return };
            others.retain(|other| other.address != next);
            let other = usize::from(next.port()) - 1;
            if self.answers(gate, other, now) {
                self.gates[other].holders.note_heard(address_of(gate));
            }
        }
    }

    /// A gate answers a question, or passes it on; `None` if it cannot hold quotas.
    fn answer(
        &mut self,
        gate: usize,
        asker: usize,
        ask: &QuotaAsk,
        hops: u32,
        now: Moment,
    ) -> Option<QuotaGrant> {
        if !self.can_hold(gate, now) {
            return None;
        }
        let own = address_of(gate);
        let holder = self.gates[gate]
            .holders
            .choose("w", &self.candidates(), now)?;
        if holder == own || hops >= 2 {
            return Some(self.grant(gate, asker, ask, now));
        }
        let other = usize::from(holder.port()) - 1;
        if let Some(grant) = self.ask(gate, other, ask, hops + 1, now) {
            return Some(grant);
        }
        let holder = self.gates[gate]
            .holders
            .choose("w", &self.candidates(), now)?;
        (holder == own).then(|| self.grant(gate, asker, ask, now))
    }

    /// A gate asks another; `None` if there is no grant.
    fn ask(
        &mut self,
        from: usize,
        to: usize,
        ask: &QuotaAsk,
        hops: u32,
        now: Moment,
    ) -> Option<QuotaGrant> {
        self.asks += 1;
        if !self.answers(from, to, now) {
            self.gates[from].holders.note_silent(address_of(to), now);
            return None;
        }
        let grant = self.answer(to, from, ask, hops, now);
        if grant.is_none() {
            self.gates[from].holders.note_unable(address_of(to), now);
        }
        grant
    }

    /// A request arrives at a gate.
    fn request(&mut self, gate: usize, now: Moment) -> bool {
        let rule = self.rule;
        let count = self.gates.len();
        if now < self.gates[gate].alone_until {
            return self.gates[gate].stock.take_spare(&rule, count, now);
        }
        let mut decision = self.gates[gate].stock.take(false, now);
        self.gates[gate].stock.join();
        if decision == StockDecision::Ask {
            let grant = (0..3).find_map(|_| {
                let own = address_of(gate);
                let holder = self.gates[gate]
                    .holders
                    .choose("w", &self.candidates(), now)?;
                let ask = self.gates[gate].stock.start_ask(holder, now);
                let other = usize::from(holder.port()) - 1;
                if holder != own {
                    return self.ask(gate, other, &ask, 0, now);
                }
                if self.can_hold(gate, now) {
                    return Some(self.grant(gate, gate, &ask, now));
                }
                self.gates[gate].holders.note_unable(own, now);
                None
            });
            if let Some(grant) = grant {
                self.gates[gate].stock.end_ask(&grant, now);
            } else {
                self.gates[gate].stock.fail_ask();
                self.gates[gate].alone_until = now + Duration::from_millis(200);
            }
            decision = self.gates[gate].stock.retake(now);
        }
        self.gates[gate].stock.leave();
        match decision {
            StockDecision::Granted => true,
            StockDecision::Refused(_) => false,
            StockDecision::Ask | StockDecision::Wait => {
                self.gates[gate].stock.fail_ask();
                self.gates[gate].stock.take_spare(&rule, count, now)
            }
        }
    }

    /// Begins a fault that lasts for `time`.
    fn begin(&mut self, fault: FleetFault, time: Duration, now: Moment) {
        let holder = HolderTable::default().choose("w", &self.candidates(), now);
        let holder = usize::from(holder.unwrap().port()) - 1;
        let count = self.gates.len();
        let mut drawn = |share: f64| -> Vec<usize> {
            (0..count).filter(|_| self.rng.random_bool(share)).collect()
        };
        let (gates, restarts) = match fault {
            FleetFault::None => return,
            FleetFault::Restart { share } => (drawn(share), true),
            FleetFault::Freeze { share } => (drawn(share), false),
            FleetFault::HolderRestart => (vec![holder], true),
            FleetFault::HolderFreeze => (vec![holder], false),
            FleetFault::Part {
                share,
                along_centre,
            } => {
                self.part = if along_centre {
                    (0..count).filter(|gate| gate % CENTRES == 0).collect()
                } else {
                    drawn(share).into_iter().collect()
                };
                return;
            }
        };
        for gate in gates {
            let back = now + time;
            if restarts {
                self.gates[gate] = SimGate::new(back, &mut self.rng);
            }
            self.gates[gate].away_until = back;
        }
    }
}

/// Address of a gate, whose port tells its number.
fn address_of(gate: usize) -> SocketAddr {
    ([10, 0, 0, 1], gate as u16 + 1).into()
}

/// The demand of the workspace and the fault.
#[derive(Clone, Copy, Debug)]
struct FleetCase {
    gates: usize,
    per_second: f64,
    /// Requests per second as a multiple of the quota's.
    demand: f64,
    /// The requests go to one gate of this many.
    spread: usize,
    loss: f64,
    fault: FleetFault,
    fault_time: Duration,
    seed: u64,
}

/// Times of the requests that were sent, from [`START`] on, and of all that arrived.
fn play(case: &FleetCase) -> (SimFleet, Vec<Moment>) {
    let rule = QuotaRule {
        per_second: case.per_second,
        burst: case.per_second,
    };
    let mut fleet = SimFleet::new(case.gates, rule, case.loss, case.seed);
    let interval = Duration::from_secs_f64(1.0 / (case.per_second * case.demand));
    let (begin, end) = (
        START + Duration::from_secs(4),
        START + Duration::from_secs(16),
    );
    let mut arrivals = Vec::new();
    let mut now = Moment::ZERO;
    let mut next_tick = now;
    let mut next_request = now + START;
    let mut faulted = false;
    while now < Moment::ZERO + end {
        now = next_tick.min(next_request);
        if !faulted && now >= Moment::ZERO + begin {
            faulted = true;
            fleet.begin(case.fault, case.fault_time, now);
        }
        if now >= Moment::ZERO + begin + case.fault_time {
            fleet.part.clear();
        }
        if now == next_tick {
            for gate in 0..case.gates {
                if fleet.is_running(gate, now) {
                    fleet.tick(gate, now);
                }
            }
            next_tick = now + TICK;
            continue;
        }
        next_request = now + interval;
        arrivals.push(now);
        let gate = fleet.rng.random_range(0..case.gates.div_ceil(case.spread));
        if fleet.is_running(gate, now) && fleet.request(gate, now) {
            fleet.sent.push(now);
        }
    }
    (fleet, arrivals)
}

/// The most of these moments in one window.
fn most_in_window(times: &[Moment]) -> usize {
    let windows = times.iter().enumerate().map(|(index, start)| {
        let end = times.partition_point(|at| *at < *start + BOUNDS.window);
        end - index
    });
    windows.max().unwrap_or(0)
}

/// Most requests in a window by the users' rule.
fn allowed(rule: &QuotaRule) -> f64 {
    let quota = rule.per_second * BOUNDS.window.as_secs_f64() + rule.burst;
    quota * (1.0 + BOUNDS.over) + BOUNDS.slack
}

/// A quota and a demand without faults.
struct DemandCase {
    name: &'static str,
    per_second: f64,
    demand: f64,
    spread: usize,
}

#[test]
fn a_workspace_gets_its_quota_and_no_more() {
    let cases = [
        DemandCase {
            name: "twice the quota, evenly",
            per_second: 330.0,
            demand: 2.0,
            spread: 1,
        },
        DemandCase {
            name: "twice, at a quarter of the gates",
            per_second: 330.0,
            demand: 2.0,
            spread: 4,
        },
        DemandCase {
            name: "seven times",
            per_second: 100.0,
            demand: 7.0,
            spread: 1,
        },
        DemandCase {
            name: "twice a small quota",
            per_second: 5.0,
            demand: 2.0,
            spread: 1,
        },
        DemandCase {
            name: "twice the smallest quota",
            per_second: 1.0,
            demand: 2.0,
            spread: 1,
        },
        DemandCase {
            name: "most of the quota",
            per_second: 330.0,
            demand: 0.9,
            spread: 1,
        },
        DemandCase {
            name: "most of it, at a quarter of the gates",
            per_second: 40.0,
            demand: 0.9,
            spread: 4,
        },
        DemandCase {
            name: "most of a small quota",
            per_second: 2.0,
            demand: 0.9,
            spread: 1,
        },
    ];
    for case in cases {
        let (fleet, arrivals) = play(&FleetCase {
            gates: 116,
            per_second: case.per_second,
            demand: case.demand,
            spread: case.spread,
            loss: 0.0,
            fault: FleetFault::None,
            fault_time: Duration::ZERO,
            seed: 1,
        });
        let most = most_in_window(&fleet.sent) as f64;
        assert!(
            most <= allowed(&fleet.rule),
            "{}: {most} in a window",
            case.name
        );
        if case.demand <= 0.9 {
            assert_eq!(fleet.sent.len(), arrivals.len(), "{}", case.name);
            continue;
        }
        // From any moment on, five seconds later the quota of that time has been used.
        let window = BOUNDS.window;
        let last = *arrivals.last().unwrap() - window;
        for start in arrivals.iter().filter(|at| **at <= last) {
            let from = fleet.sent.partition_point(|at| *at < *start);
            let until = fleet.sent.partition_point(|at| *at < *start + window);
            let used = (until - from) as f64;
            let usable = fleet.rule.per_second * window.as_secs_f64() * USED_FRACTION;
            assert!(used >= usable.floor(), "{}: {used} of {usable}", case.name);
        }
    }
}

/// Draws a fault.
fn faults() -> impl Strategy<Value = FleetFault> {
    prop_oneof![
        Just(FleetFault::None),
        (0.1..=1.0).prop_map(|share| FleetFault::Restart { share }),
        (0.1..=1.0).prop_map(|share| FleetFault::Freeze { share }),
        Just(FleetFault::HolderRestart),
        Just(FleetFault::HolderFreeze),
        (0.2..0.8, any::<bool>()).prop_map(|(share, along_centre)| FleetFault::Part {
            share,
            along_centre
        }),
    ]
}

/// Draws a case.
fn cases() -> impl Strategy<Value = FleetCase> {
    let demand = prop_oneof![Just(0.6), Just(0.9), Just(2.0), Just(7.0)];
    let load = (12..130_usize, 1.0..120.0, demand, 1..5_usize);
    let fault = (0.0..MAX_LOSS, faults(), 200..6_000_u64, any::<u64>());
    (load, fault).prop_map(
        |((gates, per_second, demand, spread), (loss, fault, ms, seed))| FleetCase {
            gates,
            per_second,
            demand,
            spread,
            loss,
            fault,
            fault_time: Duration::from_millis(ms),
            seed,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    #[test]
    fn no_window_has_more_than_the_quota_under_faults(case in cases()) {
        let (fleet, _) = play(&case);
        let most = most_in_window(&fleet.sent) as f64;
        prop_assert!(most <= allowed(&fleet.rule), "{most} of {}", allowed(&fleet.rule));
    }
}

/// A fault whose figures stand in `docs/design/tenants.md`.
struct FigureCase {
    name: &'static str,
    fault: FleetFault,
    loss: f64,
    /// Least part of the quota of the five seconds from the fault on that is used.
    least_used: f64,
}

#[test]
fn faults_cost_a_bounded_part_of_the_quota() {
    let cases = [
        FigureCase {
            name: "none",
            fault: FleetFault::None,
            loss: 0.0,
            least_used: 0.95,
        },
        FigureCase {
            name: "3% of datagrams lost",
            fault: FleetFault::None,
            loss: 0.03,
            least_used: 0.9,
        },
        FigureCase {
            name: "parted along a data centre",
            fault: FleetFault::Part {
                share: 0.3,
                along_centre: true,
            },
            loss: 0.0,
            least_used: 0.6,
        },
        FigureCase {
            name: "parted in halves",
            fault: FleetFault::Part {
                share: 0.5,
                along_centre: false,
            },
            loss: 0.0,
            least_used: 0.6,
        },
        FigureCase {
            name: "holder ends",
            fault: FleetFault::HolderRestart,
            loss: 0.0,
            least_used: 0.3,
        },
        FigureCase {
            name: "holder freezes and wakes",
            fault: FleetFault::HolderFreeze,
            loss: 0.0,
            least_used: 0.3,
        },
        FigureCase {
            name: "a third of the gates ends",
            fault: FleetFault::Restart { share: 0.33 },
            loss: 0.0,
            least_used: 0.3,
        },
        FigureCase {
            name: "all gates end",
            fault: FleetFault::Restart { share: 1.0 },
            loss: 0.0,
            least_used: 0.3,
        },
    ];
    for case in cases {
        let (fleet, _) = play(&FleetCase {
            gates: 116,
            per_second: 100.0,
            demand: 2.0,
            spread: 1,
            loss: case.loss,
            fault: case.fault,
            fault_time: Duration::from_secs(2),
            seed: 3,
        });
        let most = most_in_window(&fleet.sent) as f64 / allowed(&fleet.rule);
        let from = Moment::ZERO + START + Duration::from_secs(4);
        let from_index = fleet.sent.partition_point(|at| *at < from);
        let until_index = fleet.sent.partition_point(|at| *at < from + BOUNDS.window);
        let quota = fleet.rule.per_second * BOUNDS.window.as_secs_f64();
        let used = (until_index - from_index) as f64 / quota;
        println!(
            "{}: most {most:.2} of what is allowed, {used:.2} of the quota used",
            case.name
        );
        assert!(most <= 1.0, "{}: {most}", case.name);
        assert!(used >= case.least_used, "{}: {used}", case.name);
    }
}

#[test]
fn a_gate_asks_as_often_however_many_gates_there_are() {
    for gates in [100, 300, 1_000] {
        for (per_second, demand) in [(330.0, 0.6), (330.0, 7.0), (5.0, 0.6)] {
            let (fleet, arrivals) = play(&FleetCase {
                gates,
                per_second,
                demand,
                spread: 1,
                loss: 0.0,
                fault: FleetFault::None,
                fault_time: Duration::ZERO,
                seed: 1,
            });
            let asks = fleet.asks as f64 / arrivals.len() as f64;
            println!(
                "{gates} gates, {per_second} a second, demand {demand}: {asks:.2} asks a request"
            );
            assert!(asks <= 1.05, "{gates} gates: {asks} asks a request");
        }
    }
}
