//! Plays a service that lacks room, in virtual time, and counts what urgent and less urgent callers get,
//! with and without the order that [`RoomGauge`] brings.
//!
//! Servers turn a part of what is sent away unread. A request may be sent once more, within a budget that
//! allows a retry for each five requests.

use std::time::Duration;

use ggs_limit::FleetRetries;
use ggs_model::Moment;
use ggs_place::{
    ListedServer, LoadSample, LoadTable, PlacementDecision, PlacementInput, PlacementQuery,
    ProbeStage, RoomGauge, RoomOutcome, ServerScope, decide_placement,
};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Priorities of the two kinds of requests; 0 is the most urgent.
const URGENT: u32 = 1;
const LESS_URGENT: u32 = 2;

/// Requests of one play, and the time between two of them at one gate of a large fleet.
const REQUESTS: usize = 4_000;
const REQUEST_INTERVAL: Duration = Duration::from_millis(150);

/// The retry budget of the users, for a fleet of this size.
const RETRY_RATIO: f64 = 0.2;
const RETRY_SLACK: f64 = 298.0;
const GATE_COUNT: usize = 186;

/// What the callers of one kind got.
#[derive(Clone, Copy, Debug, Default)]
struct CallerShare {
    asked: usize,
    served: usize,
}

impl CallerShare {
    fn fraction(self) -> f64 {
        self.served as f64 / self.asked.max(1) as f64
    }
}

/// A load and what is expected of it.
struct ScarcityCase {
    name: &'static str,
    /// Part of the requests that are urgent.
    urgent: f64,
    /// Part of the sends that servers turn away.
    shed: f64,
    /// By how much the urgent must be served better than without the order.
    least_gain: f64,
}

/// Plays a load; returns what the urgent and the less urgent callers got.
fn play(case: &ScarcityCase, is_ordered: bool) -> [CallerShare; 2] {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut gauge = RoomGauge::default();
    let mut shares = [CallerShare::default(); 2];
    let mut retries = FleetRetries::new(RETRY_RATIO, RETRY_SLACK, GATE_COUNT);
    let mut now = Moment::ZERO;
    for _ in 0..REQUESTS {
        now = now + REQUEST_INTERVAL;
        let is_urgent = rng.random_bool(case.urgent);
        let priority = if is_urgent { URGENT } else { LESS_URGENT };
        let share = &mut shares[usize::from(!is_urgent)];
        share.asked += 1;
        retries.record_request();
        for attempt in 0..2 {
            let gives_way = is_ordered && gauge.gives_way(priority, URGENT, now);
            if attempt > 0 {
                let is_allowed = if gives_way {
                    retries.take_surplus()
                } else {
                    retries.take()
                };
                if !is_allowed {
                    break;
                }
            }
            if rng.random_bool(case.shed) {
                gauge.note(RoomOutcome::Lacking, now);
                continue;
            }
            gauge.note(RoomOutcome::Taken, now);
            share.served += 1;
            break;
        }
    }
    shares
}

#[test]
fn retries_go_to_the_urgent_while_a_service_lacks_room() {
    let cases = [
        ScarcityCase {
            name: "half is turned away",
            urgent: 0.3,
            shed: 0.5,
            least_gain: 0.02,
        },
        ScarcityCase {
            name: "most is turned away",
            urgent: 0.3,
            shed: 0.7,
            least_gain: 0.02,
        },
        ScarcityCase {
            name: "half of the load is urgent",
            urgent: 0.5,
            shed: 0.5,
            least_gain: 0.02,
        },
        ScarcityCase {
            name: "nothing is turned away",
            urgent: 0.3,
            shed: 0.0,
            least_gain: 0.0,
        },
        ScarcityCase {
            name: "little is turned away",
            urgent: 0.3,
            shed: 0.05,
            least_gain: -0.02,
        },
        ScarcityCase {
            name: "all are urgent",
            urgent: 1.0,
            shed: 0.5,
            least_gain: 0.0,
        },
        ScarcityCase {
            name: "none is urgent",
            urgent: 0.0,
            shed: 0.5,
            least_gain: 0.0,
        },
    ];
    for case in cases {
        let [urgent_before, others_before] = play(&case, false);
        let [urgent, others] = play(&case, true);
        let gain = urgent.fraction() - urgent_before.fraction();
        assert!(gain >= case.least_gain, "{}: {gain}", case.name);

        if urgent.asked > 0 && others.asked > 0 {
            // Less urgent requests are never served more often, and never less than a quarter as often.
            assert!(
                others.fraction() <= urgent.fraction() + 0.02,
                "{}",
                case.name
            );
            let all = CallerShare {
                asked: urgent.asked + others.asked,
                served: urgent.served + others.served,
            };
            assert!(others.fraction() >= all.fraction() / 4.0, "{}", case.name);
        }
        // What the urgent gain is not lost in sum: the budget is the same.
        let before = urgent_before.served + others_before.served;
        let served = urgent.served + others.served;
        assert!(
            served * 100 >= before * 95,
            "{}: {served} of {before}",
            case.name
        );
    }
}

#[test]
fn the_order_begins_within_a_second_and_ends_after_the_cause() {
    let mut gauge = RoomGauge::default();
    let mut now = Moment::ZERO;
    // Half of the requests are turned away, four a second.
    let mut began_at = None;
    for index in 0..40 {
        now = now + Duration::from_millis(250);
        let lacking = [RoomOutcome::Lacking, RoomOutcome::Taken][index % 2];
        gauge.note(lacking, now);
        if gauge.gives_way(LESS_URGENT, URGENT, now) {
            began_at.get_or_insert(now);
        }
    }
    assert!(
        began_at.is_some_and(|at| at <= Moment::from_millis(3_000)),
        "{began_at:?}"
    );
    // Nothing more is known: it ends by itself.
    assert!(!gauge.gives_way(LESS_URGENT, URGENT, now + Duration::from_secs(4)));
    // Single refusals do not switch it.
    let mut gauge = RoomGauge::default();
    for index in 0..200 {
        now = now + Duration::from_millis(100);
        let lacking = if index % 20 == 0 {
            RoomOutcome::Lacking
        } else {
            RoomOutcome::Taken
        };
        gauge.note(lacking, now);
        assert!(!gauge.gives_way(LESS_URGENT, URGENT, now));
    }
}

#[test]
fn the_last_free_slot_is_left_to_the_urgent() {
    let now = Moment::ZERO;
    let mut table = LoadTable::new(1);
    let server = ListedServer {
        instance: "i-1".into(),
        started_ms: None,
        address: "10.0.0.1:80".parse().unwrap(),
        near: true,
        slots: 2,
        cold_until: None,
    };
    table.replace(vec![server], now);
    let key = table.stale_servers(1, ServerScope::Near, now, now)[0];
    let second = Duration::from_secs(1);
    for (running, gives_way, is_sent) in [
        (0, false, true),
        (0, true, true),
        (1, false, true),
        (1, true, false),
    ] {
        let load = LoadSample {
            running,
            waiting: 0,
            slots: 2,
            pace_percent: 100,
        };
        table.note_load(key, load, now);
        let query = PlacementQuery {
            work: second / 10,
            far_cost: second / 100,
            saturation_slowdown: 1.0,
            since: now,
            tried: &[],
            now,
        };
        let input = PlacementInput {
            best: table.best(ServerScope::Near, &query),
            work: second / 10,
            far_cost: second / 100,
            objective: second,
            held: second,
            time_left: second,
            rest_left: None,
            gives_way,
            stage: ProbeStage::All,
        };
        let decision = decide_placement(&input);
        assert_eq!(
            matches!(decision, PlacementDecision::Send(_)),
            is_sent,
            "{running} {gives_way}"
        );
    }
}
