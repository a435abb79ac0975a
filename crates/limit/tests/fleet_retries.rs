//! Checks that the retries of a whole fleet stay within the fleet's budget in every window.
//!
//! Each gate spends its own part without messages to the others, and a gate that restarts begins
//! with a full bucket.

use ggs_limit::FleetRetries;
use proptest::prelude::*;

/// Retries allowed per request.
const RATIO: f64 = 0.2;

/// Retries that the fleet may make beyond the ratio in any window.
const SLACK: f64 = 64.0;

/// Number of gates in the fleet.
const GATE_COUNT: usize = 19;

/// One request: the gate that receives it, whether its first attempt fails, and whether the gate
/// restarts first.
#[derive(Clone, Copy, Debug)]
struct BudgetStep {
    gate: usize,
    fails: bool,
    restarts: bool,
}

/// Generates sequences in which 90% of the requests fail and some gates restart.
fn steps() -> impl Strategy<Value = Vec<BudgetStep>> {
    let step = (
        0..GATE_COUNT,
        prop::bool::weighted(0.9),
        prop::bool::weighted(0.002),
    );
    let step = step.prop_map(|(gate, fails, restarts)| BudgetStep {
        gate,
        fails,
        restarts,
    });
    proptest::collection::vec(step, 0..3_000)
}

/// Runs the steps; returns for each whether its request was retried.
fn simulate(steps: &[BudgetStep], mut take: impl FnMut(&mut FleetRetries) -> bool) -> Vec<bool> {
    let new = || FleetRetries::new(RATIO, SLACK, GATE_COUNT);
    let mut gates: Vec<_> = (0..GATE_COUNT).map(|_| new()).collect();
    let mut retried = Vec::new();
    for step in steps {
        let retries = &mut gates[step.gate];
        if step.restarts {
            *retries = new();
        }
        retries.record_request();
        retried.push(step.fails && take(retries));
    }
    retried
}

/// Returns whether some window has more retries than its budget: the ratio times its requests, plus
/// the slack.
fn exceeds(retried: &[bool]) -> bool {
    let mut lowest = 0.0_f64;
    let mut balance = 0.0;
    retried.iter().any(|was_retried| {
        balance += f64::from(u8::from(*was_retried)) - RATIO;
        let exceeds = balance - lowest > SLACK;
        lowest = lowest.min(balance);
        exceeds
    })
}

proptest! {
    #[test]
    fn retries_of_the_fleet_stay_within_the_budget_in_every_window(steps in steps()) {
        let retried = simulate(&steps, FleetRetries::take);
        prop_assert!(!exceeds(&retried));
    }
}

#[test]
fn retries_without_a_budget_exceed_it() {
    let step = |index| BudgetStep {
        gate: index % GATE_COUNT,
        fails: true,
        restarts: false,
    };
    let steps: Vec<_> = (0..500).map(step).collect();
    assert!(exceeds(&simulate(&steps, |_| true)));
    assert!(!exceeds(&simulate(&steps, FleetRetries::take)));
}
