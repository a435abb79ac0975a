//! What a table makes of servers that fail, hang or cannot be reached.

use std::time::Duration;

use ggs_model::Moment;
use ggs_place::{
    ListedServer, LoadSample, LoadTable, PlacementQuery, SendOutcome, ServerKey, ServerScope,
};

/// Choices after which a ranking shows.
const CHOICES: usize = 200;

/// A table of two equal servers.
fn table() -> (LoadTable, ServerKey, ServerKey) {
    let mut table = LoadTable::new(3);
    let server = |port: u16| ListedServer {
        instance: port.to_string().into(),
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

/// How often a server is the best of both at a moment.
fn chosen(table: &mut LoadTable, wanted: ServerKey, keys: [ServerKey; 2], now: Moment) -> usize {
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

/// What a server did and what its place is worth after it.
struct TrustCase {
    name: &'static str,
    act: fn(&mut LoadTable, ServerKey, Moment),
    /// Whether the other server is always taken.
    avoided: bool,
}

#[test]
fn servers_that_fail_are_taken_last_until_they_are_trusted_again() {
    let cases = [
        TrustCase {
            name: "answered",
            act: |table, key, now| table.end(key, SendOutcome::Answered, now),
            avoided: false,
        },
        TrustCase {
            name: "failed",
            act: |table, key, now| table.end(key, SendOutcome::Failed, now),
            avoided: true,
        },
        TrustCase {
            name: "refused",
            act: |table, key, now| table.end(key, SendOutcome::Refused, now),
            avoided: true,
        },
        TrustCase {
            name: "the caller left",
            act: |table, key, now| table.end(key, SendOutcome::Abandoned, now),
            avoided: false,
        },
        TrustCase {
            name: "did not answer in time",
            act: |table, key, now| {
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
        (case.act)(&mut table, one, now);
        let later = now + Duration::from_millis(5);
        let taken = chosen(&mut table, one, [one, two], later);
        assert_eq!(
            taken == 0,
            case.avoided,
            "{}: {taken} of {CHOICES}",
            case.name
        );
        let trusted = now + Duration::from_secs(20);
        let taken = chosen(&mut table, one, [one, two], trusted);
        assert!(taken > CHOICES / 4, "{}: {taken} after 20 s", case.name);
    }
}
