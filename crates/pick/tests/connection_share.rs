//! Shares of a server's connections never add up to more than its limit.

use std::time::Duration;

use ggs_model::Moment;
use ggs_pick::ConnectionShare;
use proptest::collection::vec;
use proptest::prelude::*;

const LIMIT: u32 = 250;
const MAX_GATES: usize = 24;
const LAG_TICKS: usize = 5;
const TICK: Duration = Duration::from_secs(1);

/// Times at which a gate lives, and how late its view is at each tick.
#[derive(Clone, Debug)]
struct GateRun {
    from: usize,
    until: usize,
    lags: Vec<usize>,
}

fn gate_run() -> impl Strategy<Value = GateRun> {
    (0..40_usize, 1..60_usize, vec(0..=LAG_TICKS, 60)).prop_map(|(from, length, lags)| GateRun {
        from,
        until: from + length,
        lags,
    })
}

impl GateRun {
    fn lives(&self, tick: usize) -> bool {
        (self.from..self.until).contains(&tick)
    }

    /// Gates that this one sees at a tick, itself with them.
    fn view(&self, runs: &[Self], tick: usize) -> u32 {
        let seen = tick.saturating_sub(self.lags[tick]);
        let others = runs
            .iter()
            .filter(|run| !std::ptr::eq(*run, self) && run.lives(seen));
        others.count() as u32 + 1
    }
}

/// The largest sum of shares over a run of gates.
fn largest_sum(runs: &[GateRun], mut share: impl FnMut(usize, u32, usize) -> u32) -> u32 {
    let sum = |tick: usize| {
        let live = runs.iter().enumerate().filter(|(_, run)| run.lives(tick));
        live.map(|(index, run)| share(index, run.view(runs, tick), tick))
            .sum()
    };
    (0..60).map(sum).max().unwrap_or(0)
}

/// Shares by the part under test.
fn kept(runs: &[GateRun]) -> u32 {
    let at = |tick: usize| Moment::ZERO + TICK * tick as u32;
    let start = |run: &GateRun| {
        ConnectionShare::new(
            LIMIT,
            MAX_GATES as u32,
            TICK * LAG_TICKS as u32,
            at(run.from),
        )
    };
    let mut shares: Vec<ConnectionShare> = runs.iter().map(start).collect();
    largest_sum(runs, |index, gates, tick| {
        shares[index].observe(gates, at(tick));
        shares[index].share(at(tick))
    })
}

/// Shares that follow each view at once.
fn naive(runs: &[GateRun]) -> u32 {
    largest_sum(runs, |_, gates, _| LIMIT / gates)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn shares_never_exceed_the_limit_while_views_lag(runs in vec(gate_run(), 1..=MAX_GATES)) {
        prop_assert!(kept(&runs) <= LIMIT);
    }
}

#[test]
fn the_naive_share_exceeds_the_limit_when_a_gate_joins() {
    let run = |from, lag| GateRun {
        from,
        until: 60,
        lags: vec![lag; 60],
    };
    let runs = [run(0, LAG_TICKS), run(0, LAG_TICKS), run(20, 0)];
    assert!(naive(&runs) > LIMIT);
    assert!(kept(&runs) <= LIMIT);
}

#[test]
fn a_gate_cut_off_or_frozen_falls_back_to_its_floor() {
    let lag = Duration::from_secs(5);
    let mut share = ConnectionShare::new(LIMIT, 25, lag, Moment::ZERO);
    share.observe(5, Moment::ZERO + lag);
    assert_eq!(share.share(Moment::ZERO + lag), 2 + 200 / 5);
    assert_eq!(share.share(Moment::ZERO + lag * 3), 2);
}
