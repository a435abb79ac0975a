//! When requests are quarantined, and that gates agree whatever the order of their messages.

use std::time::Duration;

use ggs_model::Moment;
use ggs_quarantine::{CRASH_LIMIT, CrashTable, RequestDigest, ServerRun};
use proptest::prelude::*;

const REQUEST: RequestDigest = RequestDigest([1; 16]);

/// A report on [`REQUEST`].
#[derive(Clone, Copy, Debug)]
enum Report {
    Crash(u64),
    Answer,
}

use Report::{Answer, Crash};

/// Reports, and whether the request is quarantined after them.
struct TableCase {
    name: &'static str,
    reports: &'static [Report],
    quarantined: bool,
}

const CASES: [TableCase; 6] = [
    TableCase {
        name: "two servers ended",
        reports: &[Crash(1), Crash(2)],
        quarantined: false,
    },
    TableCase {
        name: "three servers ended",
        reports: &[Crash(1), Crash(2), Crash(3)],
        quarantined: true,
    },
    TableCase {
        name: "one server is reported by three gates",
        reports: &[Crash(1), Crash(1), Crash(1)],
        quarantined: false,
    },
    TableCase {
        name: "a server answered in between",
        reports: &[Crash(1), Answer, Crash(2), Crash(3)],
        quarantined: false,
    },
    TableCase {
        name: "a server answered before the first crash",
        reports: &[Answer, Crash(1), Crash(2), Crash(3)],
        quarantined: true,
    },
    TableCase {
        name: "a server answered after the last crash",
        reports: &[Crash(1), Crash(2), Crash(3), Answer],
        quarantined: false,
    },
];

/// Applies a report to a table.
fn apply(table: &mut CrashTable, report: Report, now: Moment) {
    match report {
        Crash(run) => table.record_crash(REQUEST, ServerRun(run), now),
        Answer => table.record_answer(REQUEST, now),
    };
}

#[test]
fn a_request_is_quarantined_when_enough_servers_ended_and_none_answered() {
    for case in CASES {
        let mut table = CrashTable::default();
        for report in case.reports {
            apply(&mut table, *report, Moment::ZERO);
        }
        let left = table.quarantine_left(&REQUEST, Moment::ZERO);
        assert_eq!(left.is_some(), case.quarantined, "{}", case.name);
    }
}

#[test]
fn crashes_that_lie_far_apart_are_forgotten() {
    let mut table = CrashTable::default();
    for run in 0..10 {
        let now = Moment::ZERO + Duration::from_mins(3) * run;
        table.record_crash(REQUEST, ServerRun(u64::from(run)), now);
        assert_eq!(table.quarantine_left(&REQUEST, now), None);
    }
}

#[test]
fn the_table_keeps_to_a_bounded_number_of_requests() {
    let mut table = CrashTable::default();
    for run in 0..CRASH_LIMIT as u64 {
        table.record_crash(REQUEST, ServerRun(run), Moment::ZERO);
    }
    for index in 0..6_000_u32 {
        let mut digest = [2; 16];
        digest[..4].copy_from_slice(&index.to_be_bytes());
        table.record_crash(RequestDigest(digest), ServerRun(1), Moment::ZERO);
    }
    // Requests that are only suspected give way to one that is quarantined.
    assert!(table.quarantine_left(&REQUEST, Moment::ZERO).is_some());
    assert_eq!(table.quarantined(Moment::ZERO).count(), 1);
}

fn reports() -> impl Strategy<Value = Vec<Report>> {
    let report = prop_oneof![4 => (0..4_u64).prop_map(Crash), 1 => Just(Answer)];
    prop::collection::vec(report, 1..8)
}

proptest! {
    #[test]
    fn gates_agree_after_they_have_told_one_another(first in reports(), second in reports()) {
        let mut tables = [CrashTable::default(), CrashTable::default()];
        for (table, reports) in tables.iter_mut().zip([&first, &second]) {
            for report in reports {
                apply(table, *report, Moment::ZERO);
            }
        }
        let records = tables.each_ref().map(|table| table.record_of(&REQUEST));
        let [one, other] = &mut tables;
        if let Some(record) = &records[1] {
            one.merge(record, Moment::ZERO);
        }
        if let Some(record) = &records[0] {
            other.merge(record, Moment::ZERO);
        }
        let left = [one, other].map(|table| table.quarantine_left(&REQUEST, Moment::ZERO).is_some());
        prop_assert_eq!(left[0], left[1]);
    }
}
