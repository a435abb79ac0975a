//! Which servers may get requests when the feed is late, loses rows in an outage of the store, or
//! holds rows that cannot be read.

use std::sync::Arc;
use std::time::Duration;

use ggs_edge::{
    CatalogDiff, FeedChange, FeedCursor, FeedPage, FeedValue, ServerCatalog, ServerRecord,
    max_read_backoff,
};
use ggs_model::Moment;

/// Time between two heartbeats of a server.
const HEARTBEAT: Duration = Duration::from_millis(1_500);

/// Time after an outage of the store within which a gate must know which servers have left: the
/// platform counts a host as connected again three seconds after its disruption.
const SYNC_TIME_MS: u64 = 3_000;

/// Consecutive failures after which the longest backoff is reached.
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

/// What a read of the store returns, and when.
struct ReadStep {
    at_ms: u64,
    whole: bool,
    value: Option<FeedValue<ServerRecord>>,
}

/// Longest time from the end of an outage to the next read, in milliseconds.
fn max_backoff_ms() -> u64 {
    let backoffs = (1..MANY_FAILURE_COUNT).map(|failures| max_read_backoff(failures, 1));
    backoffs.max().unwrap().as_millis() as u64
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

/// Feeds, each with the expected result.
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
            name: "a delayed row of the same incarnation does not undo a drain",
            steps: vec![read(0, row(1, true)), read(1_000, row(1, false))],
            checked_at_ms: 1_000,
            usable: false,
        },
        CatalogCase {
            name: "a new incarnation with the same identifier is a new server",
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
            name: "missing in a read of all rows while the feed is followed",
            steps: vec![read(0, row(1, false)), read_empty(1_000)],
            checked_at_ms: 1_000,
            usable: false,
        },
        CatalogCase {
            name: "expired during an outage of the store",
            steps: vec![read(0, row(1, false)), read(6_000, FeedValue::Removed)],
            checked_at_ms: 7_900,
            usable: true,
        },
        CatalogCase {
            name: "expired and written again",
            steps: vec![
                read(0, row(1, false)),
                read(6_000, FeedValue::Removed),
                read(7_500, row(1, false)),
            ],
            checked_at_ms: 9_500,
            usable: true,
        },
        CatalogCase {
            name: "still missing when the gate must know which servers left",
            steps: vec![
                read(0, row(1, false)),
                read(6_000 + max_backoff_ms(), FeedValue::Removed),
            ],
            checked_at_ms: 6_000 + SYNC_TIME_MS,
            usable: false,
        },
        CatalogCase {
            name: "draining before an outage of the store",
            steps: vec![
                read(0, row(1, false)),
                read(500, row(1, true)),
                read(6_000, FeedValue::Removed),
            ],
            checked_at_ms: 6_000,
            usable: false,
        },
        CatalogCase {
            name: "a row that cannot be read",
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
fn drained_servers_are_dropped_and_rows_missing_after_an_outage_are_kept_for_a_grace_period() {
    for case in catalog_cases() {
        let mut catalog = ServerCatalog::new(HEARTBEAT);
        for (version, step) in (1..).zip(case.steps) {
            let key: Arc<str> = Arc::from("i-1");
            let changes = step.value.map(|value| FeedChange { key, value });
            let page = FeedPage {
                whole: step.whole,
                changes: changes.into_iter().collect(),
                cursor: FeedCursor { era: 0, version },
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

/// A page of the store in an era that lists one server or none.
fn page_of_era(era: u64, value: Option<FeedValue<ServerRecord>>) -> FeedPage<ServerRecord> {
    let key: Arc<str> = Arc::from("i-1");
    FeedPage {
        whole: true,
        changes: value
            .map(|value| FeedChange { key, value })
            .into_iter()
            .collect(),
        cursor: FeedCursor { era, version: 1 },
    }
}

#[test]
fn a_server_missing_from_a_restored_store_is_kept_while_it_can_register_again() {
    // The time at which the server's row is back, and whether it is usable at the end.
    let cases = [(Some(1_500), true), (None, false)];
    for (back_at_ms, usable) in cases {
        let mut catalog = ServerCatalog::new(HEARTBEAT);
        let at = Moment::from_millis;
        catalog.apply(page_of_era(0, Some(row(1, false))), at(0));
        catalog.apply(page_of_era(1, None), at(500));
        assert!(catalog.usable().next().is_some(), "dropped at once");
        if let Some(back_at_ms) = back_at_ms {
            catalog.apply(page_of_era(1, Some(row(1, false))), at(back_at_ms));
        }
        let mut diff = CatalogDiff::default();
        catalog.expire(at(SYNC_TIME_MS), &mut diff);
        assert_eq!(catalog.usable().next().is_some(), usable, "{back_at_ms:?}");
    }
}
