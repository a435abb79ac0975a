//! Which servers may get requests, from feeds that lag, lapse, lie and are cut.

use std::sync::Arc;
use std::time::Duration;

use ggs_edge::{
    CatalogDiff, FeedChange, FeedCursor, FeedPage, FeedValue, ServerCatalog, ServerRecord,
    max_read_backoff,
};
use ggs_model::Moment;

/// Time between two writes of a server.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Time within which a gate that regains the store must know which servers have left: the platform
/// counts a host as in touch three seconds after its disruption.
const SYNC_TIME_MS: u64 = 3_000;

/// Failures in a row after which the longest pause between reads is reached.
const MANY_FAILURE_COUNT: u32 = 30;

/// A server's row.
fn row(started_ms: u64, draining: bool) -> FeedValue<ServerRecord> {
    FeedValue::Present(ServerRecord {
        instance: Arc::from("i-1"),
        started_ms: Some(started_ms),
        service: "ledger".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        data_centre: "dc-1".into(),
        slots: 3,
        draining,
        cold_left: Duration::ZERO,
    })
}

/// What the store answers at a moment, in milliseconds.
struct ReadStep {
    at_ms: u64,
    whole: bool,
    value: Option<FeedValue<ServerRecord>>,
}

/// Longest time from the store's return to the next read, in milliseconds.
fn max_backoff_ms() -> u64 {
    let pauses = (1..MANY_FAILURE_COUNT).map(|failures| max_read_backoff(failures, 1));
    pauses.max().unwrap().as_millis() as u64
}

/// A read of changes.
fn read(at_ms: u64, value: FeedValue<ServerRecord>) -> ReadStep {
    ReadStep {
        at_ms,
        whole: false,
        value: Some(value),
    }
}

/// A read of the whole table, which is empty.
fn read_empty(at_ms: u64) -> ReadStep {
    ReadStep {
        at_ms,
        whole: true,
        value: None,
    }
}

/// Reads, and whether the server may get requests at a moment after them.
struct CatalogCase {
    name: &'static str,
    steps: Vec<ReadStep>,
    checked_at_ms: u64,
    usable: bool,
}

/// Feeds and what must follow from them.
fn catalog_cases() -> Vec<CatalogCase> {
    vec![
        CatalogCase {
            name: "listed",
            steps: vec![read(0, row(1, false))],
            checked_at_ms: 0,
            usable: true,
        },
        CatalogCase {
            name: "draining",
            steps: vec![read(0, row(1, false)), read(1_000, row(1, true))],
            checked_at_ms: 1_000,
            usable: false,
        },
        CatalogCase {
            name: "a late word of the same run changes nothing",
            steps: vec![read(0, row(1, true)), read(1_000, row(1, false))],
            checked_at_ms: 1_000,
            usable: false,
        },
        CatalogCase {
            name: "a new run under the same name is a new server",
            steps: vec![read(0, row(1, true)), read(1_000, row(2, false))],
            checked_at_ms: 1_000,
            usable: true,
        },
        CatalogCase {
            name: "removed while the feed is followed",
            steps: vec![read(0, row(1, false)), read(1_000, FeedValue::Removed)],
            checked_at_ms: 1_000,
            usable: false,
        },
        CatalogCase {
            name: "missing in a whole read while the feed is followed",
            steps: vec![read(0, row(1, false)), read_empty(1_000)],
            checked_at_ms: 1_000,
            usable: false,
        },
        CatalogCase {
            name: "lapsed while the store was away",
            steps: vec![read(0, row(1, false)), read(6_000, FeedValue::Removed)],
            checked_at_ms: 7_900,
            usable: true,
        },
        CatalogCase {
            name: "lapsed and back",
            steps: vec![
                read(0, row(1, false)),
                read(6_000, FeedValue::Removed),
                read(7_500, row(1, false)),
            ],
            checked_at_ms: 9_500,
            usable: true,
        },
        CatalogCase {
            name: "still missing when the gate is in touch again",
            steps: vec![
                read(0, row(1, false)),
                read(6_000 + max_backoff_ms(), FeedValue::Removed),
            ],
            checked_at_ms: 6_000 + SYNC_TIME_MS,
            usable: false,
        },
        CatalogCase {
            name: "leaving before the store was away",
            steps: vec![
                read(0, row(1, false)),
                read(500, row(1, true)),
                read(6_000, FeedValue::Removed),
            ],
            checked_at_ms: 6_000,
            usable: false,
        },
        CatalogCase {
            name: "a row that cannot be read names no server",
            steps: vec![
                read(0, row(1, false)),
                read(1_000, FeedValue::Unreadable("slots: missing".to_owned())),
            ],
            checked_at_ms: 1_000,
            usable: false,
        },
    ]
}

#[test]
fn leaving_servers_are_dropped_and_lapsed_ones_kept_for_a_moment() {
    for case in catalog_cases() {
        let mut catalog = ServerCatalog::new(HEARTBEAT);
        let mut cursor = 0;
        for step in case.steps {
            cursor += 1;
            let key: Arc<str> = Arc::from("i-1");
            let changes = step.value.map(|value| FeedChange { key, value });
            let page = FeedPage {
                whole: step.whole,
                changes: changes.into_iter().collect(),
                cursor: FeedCursor(cursor),
            };
            catalog.apply(page, Moment::from_millis(step.at_ms));
        }
        let mut diff = CatalogDiff::default();
        catalog.expire(Moment::from_millis(case.checked_at_ms), &mut diff);
        assert_eq!(
            catalog.usable().next().is_some(),
            case.usable,
            "{}",
            case.name
        );
    }
}
