//! Shares of many gates whose views lag, against the limit of the server.

use std::time::Duration;

use ggs_limit::{ConnectionShare, MAX_GATES, MAX_UNNOTICED_PAUSE, SHARE_GROWTH_DELAY};
use ggs_model::Moment;
use proptest::prelude::*;

/// Time between two observations.
const STEP: Duration = Duration::from_millis(500);

/// Longest time, in steps, after which a view shows a gate that came, went or woke; a lease of 4 s.
const MAX_LAG: usize = 8;

/// Steps after which a view drops a gate that was not heard: the end of a lease of 4 s whose last
/// heartbeat came a second before.
const LEASE_STEPS: usize = 6;

/// Steps for which a view keeps lost gates; shorter than the hour in use.
const KEEP_STEPS: usize = 40;

/// One gate: it runs in the steps from `start`, pauses once, and ends.
#[derive(Clone, Debug)]
struct GateLife {
    start: usize,
    end: usize,
    pause: std::ops::Range<usize>,
    /// Steps by which its view of the others lags.
    lag: usize,
    /// Steps without a heartbeat after which it drops another.
    forget: usize,
}

impl GateLife {
    /// Whether the gate runs in a step.
    fn runs(&self, step: usize) -> bool {
        (self.start..self.end).contains(&step) && !self.pause.contains(&step)
    }

    /// Whether the gate knows another, which it heard while both ran.
    fn knows(&self, other: &Self, step: usize) -> bool {
        let seen = step.saturating_sub(self.lag);
        let mut heard = seen.saturating_sub(self.forget)..=seen;
        heard.any(|at| self.runs(at) && other.runs(at))
    }
}

/// Lives that start in `starts`, and pause for less than `pauses` steps after at least `before`.
fn life(
    starts: usize,
    before: usize,
    pauses: usize,
    forget: &'static [usize],
) -> impl Strategy<Value = GateLife> {
    let pause = prop_oneof![Just(0), 1..pauses];
    let times = (0..starts, 1_usize..200, before..before + 100);
    let view = (0..MAX_LAG, prop::sample::select(forget));
    (times, pause, view).prop_map(|((start, length, at), pause, (lag, forget))| GateLife {
        start,
        end: start + length,
        pause: start + at..start + at + pause,
        lag,
        forget,
    })
}

/// The most connections that gates hold in any step; those of a paused gate count for `counted`
/// steps.
fn highest_sum(lives: &[GateLife], limit: u32, counted: usize, naive: bool) -> u32 {
    let mut shares: Vec<Option<ConnectionShare>> = vec![None; lives.len()];
    let mut held = vec![0; lives.len()];
    let mut highest = 0;
    for step in 0..360 {
        let now = Moment::ZERO + STEP * step as u32;
        for (at, life) in lives.iter().enumerate() {
            if step >= life.end || step >= life.pause.start + counted {
                held[at] = 0;
            }
            if !life.runs(step) {
                continue;
            }
            let others = lives.iter().enumerate().filter(|(other, _)| *other != at);
            let known = others.filter(|(_, other)| life.knows(other, step));
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

/// Limits of servers.
fn limits() -> impl Strategy<Value = u32> {
    prop_oneof![Just(250_u32), 1_u32..1_000]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(300))]

    #[test]
    fn shares_stay_within_the_limit_while_gates_come_go_and_pause(
        lives in prop::collection::vec(life(150, 0, 120, &[LEASE_STEPS, KEEP_STEPS]), 1..=MAX_GATES as usize),
        limit in limits(),
    ) {
        let counted = (MAX_UNNOTICED_PAUSE.as_millis() / STEP.as_millis()) as usize;
        prop_assert!(highest_sum(&lives, limit, counted, false) <= limit);
    }

    #[test]
    fn shares_of_gates_that_met_hold_through_long_pauses(
        lives in prop::collection::vec(life(20, 40, KEEP_STEPS - MAX_LAG, &[KEEP_STEPS]), 1..=MAX_GATES as usize),
        limit in limits(),
    ) {
        prop_assert!(highest_sum(&lives, limit, usize::MAX / 2, false) <= limit);
    }
}

#[test]
fn dividing_by_the_gates_seen_exceeds_the_limit() {
    let life = |start, lag| GateLife {
        start,
        end: 360,
        pause: 360..360,
        lag,
        forget: LEASE_STEPS,
    };
    // The second gate sees the first at once; the first sees the second a lease later.
    let lives = [life(0, MAX_LAG - 1), life(50, 0)];
    assert_eq!(highest_sum(&lives, 250, 0, true), 375);
    assert!(highest_sum(&lives, 250, 0, false) <= 250);
}

/// Shares of one gate.
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
        // A pause of its own.
        share.observe(case.gates, now + SHARE_GROWTH_DELAY);
        assert_eq!(share.connections(case.limit), case.new, "{name}");
    }
}
