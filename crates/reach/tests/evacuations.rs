//! Evacuations of data centres: from the store, from other gates, and after a restore.

use std::time::Duration;

use ggs_model::{DataCentre, Moment};
use ggs_reach::{EvacuationNews, EvacuationTable, FeedPosition, RESTORE_GRACE};

/// A read of the operator's feed and the evacuated data centres after it.
struct ReadCase {
    name: &'static str,
    whole: bool,
    evacuated: &'static [&'static str],
    returned: &'static [&'static str],
    position: (u64, u64),
    expected: &'static [&'static str],
}

/// Names of data centres.
fn names(texts: &[&str]) -> Vec<DataCentre> {
    texts.iter().map(|text| DataCentre::from(*text)).collect()
}

/// A position of an era and a version.
fn position((era, version): (u64, u64)) -> FeedPosition {
    FeedPosition { era, version }
}

/// The evacuated data centres.
fn evacuated(table: &EvacuationTable, now: Moment) -> Vec<DataCentre> {
    let entries = table.entries(now).into_iter();
    entries.map(|(name, _)| name).collect()
}

#[test]
fn reads_of_the_store_are_applied_in_order() {
    let cases = [
        ReadCase {
            name: "a first read",
            whole: true,
            evacuated: &["a"],
            returned: &[],
            position: (0, 5),
            expected: &["a"],
        },
        ReadCase {
            name: "a second one",
            whole: false,
            evacuated: &["b"],
            returned: &[],
            position: (0, 7),
            expected: &["a", "b"],
        },
        ReadCase {
            name: "an older read",
            whole: true,
            evacuated: &[],
            returned: &["a"],
            position: (0, 6),
            expected: &["a", "b"],
        },
        ReadCase {
            name: "one is taken back",
            whole: false,
            evacuated: &[],
            returned: &["a"],
            position: (0, 9),
            expected: &["b"],
        },
        ReadCase {
            name: "taken back and evacuated again",
            whole: false,
            evacuated: &["a"],
            returned: &["b"],
            position: (0, 10),
            expected: &["a"],
        },
        ReadCase {
            name: "a read of all rows",
            whole: true,
            evacuated: &["c"],
            returned: &[],
            position: (0, 12),
            expected: &["c"],
        },
        ReadCase {
            name: "a restored store lacks it",
            whole: true,
            evacuated: &[],
            returned: &[],
            position: (1, 3),
            expected: &["c"],
        },
        ReadCase {
            name: "it is written again",
            whole: false,
            evacuated: &["c"],
            returned: &[],
            position: (1, 4),
            expected: &["c"],
        },
    ];
    let mut table = EvacuationTable::default();
    let mut now = Moment::from_millis(1_000);
    for case in cases {
        now = now + Duration::from_millis(100);
        let news = EvacuationNews {
            whole: case.whole,
            evacuated: names(case.evacuated),
            returned: names(case.returned),
        };
        table.apply(&news, position(case.position), now);
        assert_eq!(
            evacuated(&table, now),
            names(case.expected),
            "{}",
            case.name
        );
    }
    assert!(!table.expire(now + 2 * RESTORE_GRACE));
}

#[test]
fn a_restored_store_that_stays_without_the_row_ends_the_evacuation() {
    let now = Moment::from_millis(1_000);
    let mut table = EvacuationTable::default();
    let news = EvacuationNews {
        evacuated: names(&["a"]),
        ..EvacuationNews::default()
    };
    assert!(table.apply(&news, position((0, 5)), now));
    let whole = EvacuationNews {
        whole: true,
        ..EvacuationNews::default()
    };
    assert!(!table.apply(&whole, position((1, 2)), now));
    assert!(!table.expire(now + RESTORE_GRACE / 2));
    // Another gate that hears of it then waits as long.
    let mut other = EvacuationTable::default();
    let half = now + RESTORE_GRACE / 2;
    assert!(other.replace(table.entries(half), table.position(), half));
    assert!(other.contains(&"a".into()));
    for table in [&mut table, &mut other] {
        assert!(table.expire(now + RESTORE_GRACE));
        assert!(table.is_used() && table.entries(now).is_empty());
    }
}

#[test]
fn news_of_other_gates_replace_older_knowledge_only() {
    let now = Moment::from_millis(1_000);
    let mut table = EvacuationTable::default();
    let entries = |texts: &[&str]| {
        names(texts)
            .into_iter()
            .map(|name| (name, None))
            .collect::<Vec<_>>()
    };
    assert!(table.replace(entries(&["a"]), position((0, 5)), now));
    assert!(!table.replace(entries(&[]), position((0, 5)), now));
    assert!(!table.replace(entries(&["b"]), position((0, 4)), now));
    assert!(table.contains(&"a".into()));
    assert!(table.replace(entries(&[]), position((0, 6)), now));
    assert!(!table.contains(&"a".into()));
    // A restored store gives out versions again.
    assert!(table.replace(entries(&["b"]), position((1, 1)), now));
}
