//! Checks that the retries of a whole fleet stay within the fleet's budget in every window.
//!
//! Each gate spends its own part without messages to the others, and a gate that restarts begins
//! with a full bucket.

use ggs_limit::FleetBudget;
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

/// Runs the steps; returns for each whether a retry was sent.
fn simulate(steps: &[BudgetStep], mut take: impl FnMut(&mut FleetBudget) -> bool) -> Vec<bool> {
    let new = || FleetBudget::new(RATIO, SLACK, GATE_COUNT);
    let mut budgets: Vec<_> = (0..GATE_COUNT).map(|_| new()).collect();
    let mut retries = Vec::new();
    for step in steps {
        let budget = &mut budgets[step.gate];
        if step.restarts {
            *budget = new();
        }
        budget.record_request();
        retries.push(step.fails && take(budget));
    }
    retries
}

/// Returns whether some window has more retries than its budget: the ratio times its requests, plus
/// the slack.
fn exceeds(retries: &[bool]) -> bool {
    let mut lowest = 0.0_f64;
    let mut balance = 0.0;
    retries.iter().any(|retried| {
        balance += f64::from(u8::from(*retried)) - RATIO;
        let exceeds = balance - lowest > SLACK;
        lowest = lowest.min(balance);
        exceeds
    })
}

proptest! {
    #[test]
    fn retries_of_the_fleet_stay_within_the_budget_in_every_window(steps in steps()) {
        let retries = simulate(&steps, FleetBudget::take);
        prop_assert!(!exceeds(&retries));
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
    assert!(!exceeds(&simulate(&steps, FleetBudget::take)));
}
