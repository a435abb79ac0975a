//! Ranking of servers that failed a request, refused it or did not answer in time.
//!
//! A server that fails its requests fast reports a low load. Without the failure rate it would be
//! chosen as often as a healthy server, and without the decay it would never be chosen again.

use std::time::Duration;

use ggs_model::Moment;
use ggs_place::{
    ListedServer, LoadSample, LoadTable, PlacementQuery, SendOutcome, ServerKey, ServerScope,
};

/// Choices per case; ranks are random, so a single one says little.
const CHOICES: usize = 200;

/// A table of two equal servers, and their keys.
fn table() -> (LoadTable, ServerKey, ServerKey) {
    let mut table = LoadTable::new(3);
    let server = |port: u16| ListedServer {
        instance: port.to_string().into(),
        started_ms: None,
        address: ([10, 0, 0, 1], port).into(),
        near: true,
        slots: 3,
        cold_until: None,
    };
    table.replace(vec![server(1), server(2)], Moment::ZERO);
    let mut keys: Vec<_> = table.servers().map(|(key, _)| key).collect();
    keys.sort_unstable();
    (table, keys[0], keys[1])
}

/// How often `wanted` is the best of two idle servers at `now`, out of [`CHOICES`].
fn times_chosen(
    table: &mut LoadTable,
    wanted: ServerKey,
    keys: [ServerKey; 2],
    now: Moment,
) -> usize {
    let free = LoadSample {
        running: 0,
        waiting: 0,
        slots: 3,
        pace_percent: 100,
    };
    for key in keys {
        table.note_load(key, free, now);
    }
    let query = PlacementQuery {
        work: Duration::from_millis(50),
        far_cost: Duration::ZERO,
        saturation_slowdown: 1.0,
        since: now,
        tried: &[],
        now,
    };
    let choices = (0..CHOICES).filter_map(|_| table.best(ServerScope::Near, &query));
    choices.filter(|best| best.server == wanted).count()
}

/// How a request to a server ended, and whether the server is avoided after it.
struct OutcomeCase {
    name: &'static str,
    end: fn(&mut LoadTable, ServerKey, Moment),
    /// Whether the other server is always chosen.
    avoided: bool,
}

#[test]
fn servers_that_fail_are_not_chosen_until_the_failure_rate_decays() {
    let cases = [
        OutcomeCase {
            name: "answered",
            end: |table, key, now| table.end(key, SendOutcome::Answered, now),
            avoided: false,
        },
        OutcomeCase {
            name: "failed",
            end: |table, key, now| table.end(key, SendOutcome::Failed, now),
            avoided: true,
        },
        OutcomeCase {
            name: "refused",
            end: |table, key, now| table.end(key, SendOutcome::Refused, now),
            avoided: true,
        },
        OutcomeCase {
            name: "the caller left",
            end: |table, key, now| table.end(key, SendOutcome::Abandoned, now),
            avoided: false,
        },
        OutcomeCase {
            name: "did not answer in time",
            end: |table, key, now| {
                table.end(key, SendOutcome::Abandoned, now);
                table.note_timeout(key, now);
            },
            avoided: true,
        },
    ];
    for case in cases {
        let (mut table, one, two) = table();
        let now = Moment::from_millis(100);
        table.start(one, now);
        (case.end)(&mut table, one, now);
        let later = now + Duration::from_millis(5);
        let chosen = times_chosen(&mut table, one, [one, two], later);
        assert_eq!(
            chosen == 0,
            case.avoided,
            "{}: {chosen} of {CHOICES}",
            case.name
        );
        let decayed = now + Duration::from_secs(20);
        let chosen = times_chosen(&mut table, one, [one, two], decayed);
        assert!(chosen > CHOICES / 4, "{}: {chosen} after 20 s", case.name);
    }
}

#[test]
fn a_server_that_limits_requests_gets_its_rate_and_is_not_left_unused() {
    const WINDOW_MS: u64 = 4_000;
    const TIME_MS: u64 = 20_000;
    for per_second in [0.0, 0.4, 2.3, 40.0] {
        let (mut table, limited, other) = table();
        table.set_quota(limited, Some(per_second), Moment::ZERO);
        let mut sent_ms = Vec::new();
        for at_ms in (0..TIME_MS).step_by(7) {
            let now = Moment::from_millis(at_ms);
            let sends = times_chosen(&mut table, limited, [limited, other], now) > 0;
            if sends {
                table.start(limited, now);
                table.end(limited, SendOutcome::Answered, now);
                sent_ms.push(at_ms);
            }
        }
        let in_window = |start: u64| {
            let sent = sent_ms.iter();
            let sent = sent.filter(|at| (start..start + WINDOW_MS).contains(*at));
            sent.count() as f64
        };
        let most = sent_ms.iter().map(|start| in_window(*start));
        let most = most.fold(0.0, f64::max);
        let seconds = WINDOW_MS as f64 / 1_000.0;
        assert!(
            most <= per_second * seconds + 2.0,
            "{most} of {per_second} a second"
        );
        let total = per_second * TIME_MS as f64 / 1_000.0;
        let used = sent_ms.len() as f64;
        assert!(used >= total * 0.9 - 1.0, "{used} of {total} in all");
    }
}
