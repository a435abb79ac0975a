//! Checks that the connections of all gates together stay within a server's limit while the gates'
//! views of each other lag.
//!
//! A gate that has just started, or was paused, is unknown to others for up to a lease, during
//! which they still divide the limit by too few gates.

use std::time::Duration;

use ggs_limit::{ConnectionShare, MAX_GATES, MAX_UNNOTICED_PAUSE, SHARE_GROWTH_DELAY};
use ggs_model::Moment;
use proptest::prelude::*;

/// Time between two observations.
const STEP: Duration = Duration::from_millis(500);

/// Upper bound, in steps, of the time until a view shows that a gate started, stopped or resumed; a
/// lease of 4 s.
const MAX_LAG_STEPS: usize = 8;

/// Steps without a heartbeat after which a view drops a gate: the rest of a lease of 4 s whose last
/// heartbeat arrived one second before the gate stopped.
const LEASE_STEPS: usize = 6;

/// Steps for which a view keeps lost gates; shorter here than the hour that gates use.
const KEEP_STEPS: usize = 40;

/// The run of one gate: it starts at step `start`, may pause once, and stops at step `end`.
#[derive(Clone, Debug)]
struct GateRun {
    start: usize,
    end: usize,
    pause: std::ops::Range<usize>,
    /// Steps by which its view of the other gates lags.
    lag: usize,
    /// Steps without a heartbeat after which it drops another gate from its view.
    forget_after: usize,
}

impl GateRun {
    /// Returns whether the gate runs in a step.
    fn runs(&self, step: usize) -> bool {
        (self.start..self.end).contains(&step) && !self.pause.contains(&step)
    }

    /// Returns whether the gate's view shows another gate, from heartbeats received while both ran.
    fn knows(&self, other: &Self, step: usize) -> bool {
        let seen = step.saturating_sub(self.lag);
        let mut received = seen.saturating_sub(self.forget_after)..=seen;
        received.any(|at| self.runs(at) && other.runs(at))
    }
}

/// Generates runs that start before step `starts` and pause for fewer than `pauses` steps, at least
/// `before` steps after their start.
fn gate_run(
    starts: usize,
    before: usize,
    pauses: usize,
    forget_after: &'static [usize],
) -> impl Strategy<Value = GateRun> {
    let pause = prop_oneof![Just(0), 1..pauses];
    let times = (0..starts, 1_usize..200, before..before + 100);
    let view = (0..MAX_LAG_STEPS, prop::sample::select(forget_after));
    (times, pause, view).prop_map(
        |((start, length, at), pause, (lag, forget_after))| GateRun {
            start,
            end: start + length,
            pause: start + at..start + at + pause,
            lag,
            forget_after,
        },
    )
}

/// Returns the most connections that all gates hold together in any step. The connections of a
/// paused gate count for its first `counted` steps of pause. With `naive`, each gate divides the
/// whole limit by the gates that it knows.
fn highest_sum(gates: &[GateRun], limit: u32, counted: usize, naive: bool) -> u32 {
    let mut shares: Vec<Option<ConnectionShare>> = vec![None; gates.len()];
    let mut held = vec![0; gates.len()];
    let mut highest = 0;
    for step in 0..360 {
        let now = Moment::ZERO + STEP * step as u32;
        for (at, gate) in gates.iter().enumerate() {
            if step >= gate.end || step >= gate.pause.start + counted {
                held[at] = 0;
            }
            if !gate.runs(step) {
                continue;
            }
            let others = gates.iter().enumerate().filter(|(other, _)| *other != at);
            let known = others.filter(|(_, other)| gate.knows(other, step));
            let known = 1 + known.count() as u32;
            let share = shares[at].get_or_insert_with(|| ConnectionShare::new(now));
            share.observe(known, now);
            held[at] = if naive {
                limit / known
            } else {
                share.connections(limit)
            };
        }
        highest = highest.max(held.iter().sum());
    }
    highest
}

/// Generates connection limits of servers.
fn limits() -> impl Strategy<Value = u32> {
    prop_oneof![Just(250_u32), 1_u32..1_000]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn shares_stay_within_the_limit_while_gates_start_stop_and_pause(
        gates in prop::collection::vec(gate_run(150, 0, 120, &[LEASE_STEPS, KEEP_STEPS]), 1..=MAX_GATES as usize),
        limit in limits(),
    ) {
        let counted = (MAX_UNNOTICED_PAUSE.as_millis() / STEP.as_millis()) as usize;
        prop_assert!(highest_sum(&gates, limit, counted, false) <= limit);
    }

    #[test]
    fn shares_of_gates_that_know_each_other_stay_within_the_limit_during_long_pauses(
        gates in prop::collection::vec(gate_run(20, 40, KEEP_STEPS - MAX_LAG_STEPS, &[KEEP_STEPS]), 1..=MAX_GATES as usize),
        limit in limits(),
    ) {
        prop_assert!(highest_sum(&gates, limit, usize::MAX / 2, false) <= limit);
    }
}

#[test]
fn dividing_the_whole_limit_by_the_known_gates_exceeds_it() {
    let run = |start, lag| GateRun {
        start,
        end: 360,
        pause: 360..360,
        lag,
        forget_after: LEASE_STEPS,
    };
    // The second gate knows the first at once; the first knows the second only a lease later.
    let gates = [run(0, MAX_LAG_STEPS - 1), run(50, 0)];
    assert_eq!(highest_sum(&gates, 250, 0, true), 375);
    assert!(highest_sum(&gates, 250, 0, false) <= 250);
}

/// Expected shares of one gate, before and after [`SHARE_GROWTH_DELAY`].
struct ShareCase {
    gates: u32,
    limit: u32,
    new: u32,
    settled: u32,
}

#[test]
fn shares_of_new_and_settled_gates() {
    let cases = [
        (1, 250, 2, 132),
        (18, 250, 2, 9),
        (60, 250, 2, 4),
        (1, 10, 0, 10),
        (10, 10, 0, 1),
        (18, 10, 0, 0),
        (60, 10, 0, 0),
        (1, 1, 0, 1),
        (18, 1, 0, 0),
        (60, 60, 1, 1),
    ];
    let cases = cases.map(|(gates, limit, new, settled)| ShareCase {
        gates,
        limit,
        new,
        settled,
    });
    for case in cases {
        let mut share = ConnectionShare::new(Moment::ZERO);
        let name = format!("{} gates, limit {}", case.gates, case.limit);
        assert_eq!(share.connections(case.limit), case.new, "{name}");
        let mut now = Moment::ZERO;
        while now.since(Moment::ZERO) < SHARE_GROWTH_DELAY {
            now = now + STEP;
            share.observe(case.gates, now);
        }
        assert_eq!(share.connections(case.limit), case.settled, "{name}");
        // After a long pause of its own, the gate is back at its base share.
        share.observe(case.gates, now + SHARE_GROWTH_DELAY);
        assert_eq!(share.connections(case.limit), case.new, "{name}");
    }
}
