//! Second sends of a whole fleet in any window, against the bound that the fleet is held to.

use ggs_limit::FleetBudget;
use proptest::prelude::*;

/// Second sends allowed for each request.
const RATIO: f64 = 0.2;

/// Second sends allowed beyond the ratio, over the fleet.
const SLACK: f64 = 64.0;

/// Gates of the fleet.
const GATES: usize = 19;

/// One step of a day: a gate and whether the request wants a second send.
#[derive(Clone, Copy, Debug)]
struct BudgetStep {
    gate: usize,
    wants: bool,
    restarts: bool,
}

/// Days in which most requests fail and some gates start anew.
fn steps() -> impl Strategy<Value = Vec<BudgetStep>> {
    let step = (
        0..GATES,
        prop::bool::weighted(0.9),
        prop::bool::weighted(0.002),
    );
    let step = step.prop_map(|(gate, wants, restarts)| BudgetStep {
        gate,
        wants,
        restarts,
    });
    proptest::collection::vec(step, 0..3_000)
}

/// Plays a day; yields, step by step, whether a second send was made.
fn play(steps: &[BudgetStep], mut take: impl FnMut(&mut FleetBudget) -> bool) -> Vec<bool> {
    let new = || FleetBudget::new(RATIO, SLACK, GATES);
    let mut budgets: Vec<_> = (0..GATES).map(|_| new()).collect();
    let mut sends = Vec::new();
    for step in steps {
        let budget = &mut budgets[step.gate];
        if step.restarts {
            *budget = new();
        }
        budget.record_request();
        sends.push(step.wants && take(budget));
    }
    sends
}

/// Whether some span of the day has more second sends than its bound.
fn exceeds(sends: &[bool]) -> bool {
    let mut least = 0.0_f64;
    let mut balance = 0.0;
    sends.iter().any(|sent| {
        balance += f64::from(u8::from(*sent)) - RATIO;
        let exceeds = balance - least > SLACK;
        least = least.min(balance);
        exceeds
    })
}

proptest! {
    #[test]
    fn no_span_of_a_day_exceeds_the_bound_of_the_fleet(steps in steps()) {
        let sends = play(&steps, FleetBudget::take);
        prop_assert!(!exceeds(&sends));
    }
}

#[test]
fn sends_without_a_budget_exceed_the_bound() {
    let step = |index| BudgetStep {
        gate: index % GATES,
        wants: true,
        restarts: false,
    };
    let steps: Vec<_> = (0..500).map(step).collect();
    assert!(exceeds(&play(&steps, |_| true)));
    assert!(!exceeds(&play(&steps, FleetBudget::take)));
}
