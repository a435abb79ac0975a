//! Simulates many gates and one table, with faults of both, and counts the probes that reach the
//! servers.
//!
//! The servers must never receive more probes than the document allows, and the bill must never
//! show fewer than they received. A naive split by a stale number of gates must fail the same
//! check, which shows that the check can fail.

use std::collections::VecDeque;
use std::time::Duration;

use ggs_budget::{
    BillDay, BudgetAction, BudgetRow, ClockReading, DebitOutcome, DebitPlan, ProbeBudget,
    RowReading,
};
use ggs_model::{GateId, HostName, Incarnation, MeasuringBudget, Moment, PartnerName, WallTime};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Length of a window in milliseconds.
const WINDOW_MS: u64 = 2_000;

/// Time after which a lowered budget applies: the window in which it was accepted has ended, and
/// probes in flight have arrived. The 500 ms are the clock skew (300) plus the probe timeout (200).
const BUDGET_DELAY_MS: u64 = WINDOW_MS + 500;

/// Length of a simulation in milliseconds.
const RUN_MS: u64 = 24_000;

/// Wall time at the start; shortly before midnight, so that a simulation spans two days.
const WALL_START_MS: u64 = 86_400_000 * 20_000 - 9_000;

/// Time after which a write without an answer counts as unanswered.
const TIMEOUT_MS: u64 = 300;

/// How gates decide whether to send a probe.
#[derive(Clone, Copy, Debug, PartialEq)]
enum GatePolicy {
    /// Debits probes from the table before it sends them.
    DebitFirst,
    /// Spends the budget divided by the number of gates 3 s ago.
    FixedSplit,
}

/// Probability of each fault in thousandths: per call, or per 100 ms for `freeze` and `kill`.
#[derive(Clone, Copy, Debug)]
struct FaultRates {
    lost: u32,
    slow: u32,
    refused: u32,
    freeze: u32,
    kill: u32,
}

#[derive(Debug)]
enum GateCall {
    None,
    Read {
        at: u64,
        /// The rows, with the versions of the budget row and the document row.
        rows: Option<(RowReading, u64, u64)>,
    },
    Write {
        reported_at: u64,
        /// Outcome that is reported to the gate; `None` for the actual outcome of the write.
        outcome: Option<DebitOutcome>,
        number: usize,
    },
}

struct SimGate {
    budget: ProbeBudget,
    /// Milliseconds by which its wall clock is ahead of true time.
    skew: u64,
    poll_at: u64,
    frozen_until: u64,
    call: GateCall,
    /// Versions of the budget row and the document row that the next write depends on.
    versions: (u64, u64),
    /// Index of the window in which the gate last sent, under [`GatePolicy::FixedSplit`].
    split_window: u64,
    /// Probes sent in that window.
    split_spent: u32,
}

/// A write that has not reached the table yet.
struct PendingWrite {
    at: u64,
    number: usize,
    versions: (u64, u64),
    plan: DebitPlan,
}

struct Simulation {
    policy: GatePolicy,
    random: SmallRng,
    rates: FaultRates,
    gates: Vec<SimGate>,
    incarnations: u64,
    row: Option<BudgetRow>,
    archived: Vec<BillDay>,
    row_version: u64,
    budget: MeasuringBudget,
    document_version: u64,
    pending: VecDeque<PendingWrite>,
    /// Whether each write took effect, by its number.
    written: Vec<bool>,
    /// Times at which probes reached the servers.
    arrivals: Vec<u64>,
    /// Each allowance with the time from which it applies.
    allowances: Vec<(u64, u32)>,
    /// Each number of gates with the time from which it applies.
    gate_counts: Vec<(u64, usize)>,
}

impl Simulation {
    fn new(policy: GatePolicy, seed: u64, rates: FaultRates, probes: u32) -> Self {
        Self {
            policy,
            random: SmallRng::seed_from_u64(seed),
            rates,
            gates: Vec::new(),
            incarnations: 0,
            row: None,
            archived: Vec::new(),
            row_version: 0,
            budget: MeasuringBudget {
                probes,
                window_ms: WINDOW_MS,
            },
            document_version: 1,
            pending: VecDeque::new(),
            written: Vec::new(),
            arrivals: Vec::new(),
            allowances: vec![(0, probes)],
            gate_counts: vec![(0, 0)],
        }
    }

    fn chance(&mut self, thousandths: u32) -> bool {
        self.random.random_ratio(thousandths, 1_000)
    }

    fn new_gate(&mut self, time: u64) -> SimGate {
        self.incarnations += 1;
        let gate = GateId {
            host: HostName::new("entry"),
            incarnation: Incarnation(self.incarnations),
        };
        SimGate {
            budget: ProbeBudget::new(gate, self.random.random()),
            skew: self.random.random_range(0..299),
            poll_at: time,
            frozen_until: 0,
            call: GateCall::None,
            versions: (0, 0),
            split_window: 0,
            split_spent: 0,
        }
    }

    fn add_gate(&mut self, time: u64) {
        let gate = self.new_gate(time);
        self.gates.push(gate);
        self.gate_counts.push((time, self.gates.len()));
    }

    fn set_probes(&mut self, time: u64, probes: u32) {
        self.budget.probes = probes;
        self.document_version += 1;
        self.allowances.push((time, probes));
    }

    /// Applies the writes that have reached the table by `time`.
    fn apply_writes(&mut self, time: u64) {
        for _ in 0..self.pending.len() {
            let Some(write) = self.pending.pop_front() else {
                return;
            };
            if write.at > time {
                self.pending.push_back(write);
                continue;
            }
            if write.versions == (self.row_version, self.document_version) {
                self.row_version += 1;
                self.written[write.number] = true;
                self.row = Some(write.plan.row);
                self.archived.extend(
                    write
                        .plan
                        .archive
                        .into_iter()
                        .flat_map(|archive| archive.days),
                );
            }
        }
    }

    /// Starts a write. Returns what is reported to the gate, and when.
    fn start_write(&mut self, time: u64, versions: (u64, u64), plan: DebitPlan) -> GateCall {
        let number = self.written.len();
        self.written.push(false);
        if self.chance(self.rates.refused) {
            let (reported_at, outcome) = (time + 5, Some(DebitOutcome::Refused));
            return GateCall::Write {
                reported_at,
                outcome,
                number,
            };
        }
        let max_delay_ms = if self.chance(self.rates.slow) {
            4_000
        } else {
            20
        };
        let at = time + self.random.random_range(1..max_delay_ms);
        self.pending.push_back(PendingWrite {
            at,
            number,
            versions,
            plan,
        });
        let unanswered = at > time + TIMEOUT_MS || self.chance(self.rates.lost);
        let reported_at = if unanswered { time + TIMEOUT_MS } else { at };
        let outcome = unanswered.then_some(DebitOutcome::Unanswered);
        GateCall::Write {
            reported_at,
            outcome,
            number,
        }
    }

    fn start_read(&mut self, time: u64) -> GateCall {
        let max_delay_ms = if self.chance(self.rates.slow) {
            3_000
        } else {
            20
        };
        let at = time + self.random.random_range(1..max_delay_ms);
        let rows = RowReading {
            row: self.row.clone(),
            budget: self.budget,
            partner: PartnerName::new("wagowa"),
        };
        let rows = (!self.chance(self.rates.refused)).then_some((
            rows,
            self.row_version,
            self.document_version,
        ));
        GateCall::Read { at, rows }
    }

    fn step_gate(&mut self, index: usize, time: u64) {
        if time.is_multiple_of(100) && self.chance(self.rates.kill) {
            self.gates[index] = self.new_gate(time);
        }
        if time.is_multiple_of(100) && self.chance(self.rates.freeze) {
            self.gates[index].frozen_until = time + self.random.random_range(1..3 * WINDOW_MS);
        }
        let gate = &mut self.gates[index];
        if gate.frozen_until > time {
            return;
        }
        // The boot clocks of the gates differ by arbitrary offsets.
        let reading = ClockReading {
            now: Moment::from_millis(time + gate.skew * 1_000),
            wall: WallTime(WALL_START_MS + time + gate.skew),
        };
        match std::mem::replace(&mut gate.call, GateCall::None) {
            GateCall::Read { at, rows } if at <= time => {
                let read = rows.as_ref().map(|rows| &rows.0);
                if let Some(plan) = gate.budget.handle_read(reading, read) {
                    let versions = rows.map_or((0, 0), |rows| (rows.1, rows.2));
                    gate.versions = versions;
                    self.gates[index].call = self.start_write(time, versions, plan);
                }
            }
            GateCall::Write {
                reported_at,
                outcome,
                number,
            } if reported_at <= time => {
                let actual = if self.written[number] {
                    DebitOutcome::Written
                } else {
                    DebitOutcome::Conflict
                };
                gate.budget.handle_write(reading, outcome.unwrap_or(actual));
            }
            GateCall::None if gate.poll_at <= time => {
                self.poll_gate(index, time, reading);
            }
            call => gate.call = call,
        }
    }

    fn poll_gate(&mut self, index: usize, time: u64, reading: ClockReading) {
        let action = match self.policy {
            GatePolicy::DebitFirst => self.gates[index].budget.poll(reading, self.budget, true),
            GatePolicy::FixedSplit => self.split_action(index, time, reading),
        };
        match action {
            BudgetAction::Wait(length) => {
                self.gates[index].poll_at = time + length.as_millis() as u64;
            }
            BudgetAction::Read => self.gates[index].call = self.start_read(time),
            BudgetAction::Probe => {
                let delay_ms = self.random.random_range(0..200);
                self.arrivals.push(time + delay_ms);
            }
        }
    }

    /// The naive split: an equal share for each gate that existed 3 s ago.
    fn split_action(&mut self, index: usize, time: u64, reading: ClockReading) -> BudgetAction {
        let known = self
            .gate_counts
            .iter()
            .rev()
            .find(|(at, _)| at + 3_000 <= time);
        let gates = known.map_or(1, |(_, gates)| (*gates).max(1));
        let share = self.budget.probes / gates as u32;
        let gate = &mut self.gates[index];
        let window = reading.wall.0 / WINDOW_MS;
        if gate.split_window != window {
            gate.split_window = window;
            gate.split_spent = 0;
        }
        if gate.split_spent >= share {
            return BudgetAction::Wait(Duration::from_millis(20));
        }
        gate.split_spent += 1;
        BudgetAction::Probe
    }

    /// Number of probes on the bill over all days.
    fn billed(&self) -> u64 {
        let today = self.row.iter().flat_map(|row| &row.days);
        let days = today.chain(&self.archived);
        days.map(|day| day.granted - day.returned).sum()
    }

    fn run(&mut self, gates: usize, changes: &[(u64, u32)]) -> Result<(), String> {
        let mut changes = changes.iter().copied().peekable();
        for time in (0..RUN_MS).step_by(5) {
            // Gates start one by one, a second apart.
            if time.is_multiple_of(1_000) && self.gates.len() < gates {
                self.add_gate(time);
            }
            while let Some((at, probes)) = changes.next_if(|change| change.0 <= time) {
                self.set_probes(at, probes);
            }
            self.apply_writes(time);
            for index in 0..self.gates.len() {
                self.step_gate(index, time);
            }
            let arrived = self.arrivals.iter().filter(|at| **at <= time).count() as u64;
            if self.policy == GatePolicy::DebitFirst && arrived > self.billed() {
                return Err(format!(
                    "servers received {arrived} probes, but {} are billed",
                    self.billed()
                ));
            }
        }
        self.check_intervals()
    }

    /// Checks the interval of the window length that starts at each arrival.
    fn check_intervals(&mut self) -> Result<(), String> {
        self.arrivals.sort_unstable();
        for (index, from) in self.arrivals.iter().enumerate() {
            let to = from + WINDOW_MS;
            let count = self.arrivals[index..]
                .iter()
                .take_while(|at| **at < to)
                .count();
            let allowed = self.allowed_between(from.saturating_sub(BUDGET_DELAY_MS), to);
            if count > allowed as usize {
                return Err(format!(
                    "{count} probes from {from} ms to {to} ms, but {allowed} are allowed"
                ));
            }
        }
        Ok(())
    }

    /// The largest allowance that applies at any time from `from` to `to`.
    fn allowed_between(&self, from: u64, to: u64) -> u32 {
        let ends = self.allowances.iter().skip(1).map(|allowance| allowance.0);
        let spans = self.allowances.iter().zip(ends.chain([u64::MAX]));
        let within = spans.filter(|((start, _), end)| *start <= to && *end > from);
        within.map(|((_, probes), _)| *probes).max().unwrap_or(0)
    }
}

fn rates() -> impl Strategy<Value = FaultRates> {
    (0_u32..300, 0_u32..200, 0_u32..300, 0_u32..20, 0_u32..20).prop_map(
        |(lost, slow, refused, freeze, kill)| FaultRates {
            lost,
            slow,
            refused,
            freeze,
            kill,
        },
    )
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(400))]

    #[test]
    fn servers_never_receive_more_probes_than_the_document_allows(
        seed: u64, rates in rates(), probes in 0_u32..60, gates in 1_usize..7,
        changes in prop::collection::vec((1_u64..RUN_MS, 0_u32..60), 0..4),
    ) {
        let mut changes = changes;
        changes.sort_unstable();
        let mut simulation = Simulation::new(GatePolicy::DebitFirst, seed, rates, probes);
        prop_assert_eq!(simulation.run(gates, &changes), Ok(()));
    }
}

const NO_FAULTS: FaultRates = FaultRates {
    lost: 0,
    slow: 0,
    refused: 0,
    freeze: 0,
    kill: 0,
};

#[test]
fn a_split_by_a_stale_gate_count_exceeds_the_budget() {
    let mut simulation = Simulation::new(GatePolicy::FixedSplit, 1, NO_FAULTS, 40);
    let found = simulation.run(4, &[]);
    println!("fixed split: {found:?}");
    assert!(found.is_err(), "the fixed split did not exceed the budget");
    let mut simulation = Simulation::new(GatePolicy::DebitFirst, 1, NO_FAULTS, 40);
    assert_eq!(simulation.run(4, &[]), Ok(()));
}

#[test]
fn a_fleet_without_faults_uses_most_of_the_budget() {
    for gates in [1, 4, 8, 18] {
        let mut simulation = Simulation::new(GatePolicy::DebitFirst, 1, NO_FAULTS, 40);
        assert_eq!(simulation.run(gates, &[]), Ok(()));
        let used = simulation.arrivals.len() as f64 / (40.0 * (RUN_MS / WINDOW_MS) as f64);
        let writes = simulation.written.len() as f64;
        let writes = writes / (gates as u64 * RUN_MS / WINDOW_MS) as f64;
        let used_percent = used * 100.0;
        println!(
            "{gates} gates: {used_percent:.1}% of the budget sent, {writes:.2} writes per gate and window"
        );
        // A partner can expect at least half of the allowance in its document.
        assert!(
            used > 0.5,
            "{gates} gates used only {used_percent:.1}% of the budget"
        );
    }
}
