//! When requests are quarantined, and that gates agree whatever the order of their messages.

use std::collections::BTreeMap;
use std::time::Duration;

use ggs_model::Moment;
use ggs_quarantine::{
    CRASH_LIMIT, CrashChange, CrashRecord, CrashSpan, CrashTable, RequestDigest, ServerRun,
    TRIAL_RETRY_PAUSE, TrialEnd, trial_pause,
};
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

/// A send that ended its server in the moment that it began, in a second of its own for each run.
const fn span_of(run: u64) -> CrashSpan {
    let at = Moment::from_millis(run * 1_000);
    CrashSpan {
        sent_at: at,
        lost_at: at,
    }
}

/// A send between two times in milliseconds.
fn span(sent_ms: u64, lost_ms: u64) -> CrashSpan {
    CrashSpan {
        sent_at: Moment::from_millis(sent_ms),
        lost_at: Moment::from_millis(lost_ms),
    }
}

/// Applies a report to a table.
fn apply(table: &mut CrashTable, report: Report, now: Moment) {
    match report {
        Crash(run) => table.record_crash(REQUEST, ServerRun(run), span_of(run), now),
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
        table.record_crash(REQUEST, ServerRun(run.into()), span_of(run.into()), now);
        assert_eq!(table.quarantine_left(&REQUEST, now), None);
    }
}

// Guards against entries that nothing ever removes.
#[test]
fn a_record_that_says_nothing_is_forgotten() {
    let mut table = CrashTable::default();
    let empty = CrashRecord {
        request: REQUEST,
        crashes: BTreeMap::new(),
        answered: false,
        failed_trials: 0,
    };
    assert_eq!(table.merge(&empty, Moment::ZERO), CrashChange::Unchanged);
    let other = RequestDigest([2; 16]);
    table.record_crash(other, ServerRun(1), span_of(1), Moment::ZERO);
    assert_eq!(table.record_of(&REQUEST), None);
    // The newest of its changes decides how long a request is known.
    let later = Moment::ZERO + Duration::from_secs(100);
    table.record_crash(other, ServerRun(2), span_of(2), later);
    let last = later + Duration::from_secs(100);
    table.merge(&empty, last);
    assert_eq!(table.crash_count(&other), 2);
    table.merge(&empty, last + Duration::from_secs(30));
    assert_eq!(table.record_of(&other), None);
    table.merge(&empty, last + Duration::from_secs(31));
    assert_eq!(table.crash_count(&other), 0);
}

#[test]
fn the_table_keeps_to_a_bounded_number_of_requests() {
    let mut table = CrashTable::default();
    for run in 0..CRASH_LIMIT as u64 {
        table.record_crash(REQUEST, ServerRun(run), span_of(run), Moment::ZERO);
    }
    for index in 0..6_000_u32 {
        let mut digest = [2; 16];
        digest[..4].copy_from_slice(&index.to_be_bytes());
        let (request, now) = (RequestDigest(digest), Moment::ZERO);
        table.record_crash(request, ServerRun(1), span_of(1), now);
    }
    // Requests that are only suspected give way to one that is quarantined.
    assert!(table.quarantine_left(&REQUEST, Moment::ZERO).is_some());
    assert_eq!(table.quarantined(Moment::ZERO).count(), 1);
}

/// Sends of one request that ended their servers, and whether it is quarantined after them.
struct SpanCase {
    name: &'static str,
    spans_ms: &'static [(u64, u64)],
    quarantined: bool,
}

const SPAN_CASES: [SpanCase; 6] = [
    SpanCase {
        name: "a page that many read when all servers of a service ended",
        spans_ms: &[(0, 80), (20, 81), (35, 80), (70, 82), (79, 83)],
        quarantined: false,
    },
    SpanCase {
        name: "the same, and retries that met two more servers before these ended",
        spans_ms: &[(0, 80), (20, 81), (85, 90), (84, 90), (82, 91)],
        quarantined: false,
    },
    SpanCase {
        name: "a page whose retries met servers of the same service that ended milliseconds later",
        spans_ms: &[(0, 80), (81, 84), (85, 90), (86, 95), (93, 100)],
        quarantined: false,
    },
    SpanCase {
        name: "a request that is sent on as soon as its server has ended",
        spans_ms: &[(0, 20), (20, 41), (41, 63)],
        quarantined: true,
    },
    SpanCase {
        name: "a request that comes again seconds later",
        spans_ms: &[(0, 90), (1_000, 1_090), (5_000, 5_088)],
        quarantined: true,
    },
    SpanCase {
        name: "copies of a request that end their servers, three times",
        spans_ms: &[
            (0, 90),
            (10, 100),
            (1_000, 1_090),
            (1_010, 1_100),
            (2_000, 2_090),
            (2_010, 2_100),
        ],
        quarantined: true,
    },
];

// Guards against a quarantine of a harmless page whose servers ended in one accident.
#[test]
fn crashes_of_overlapping_sends_count_once() {
    for case in SPAN_CASES {
        let mut table = CrashTable::default();
        let mut now = Moment::ZERO;
        for (run, (sent_ms, lost_ms)) in (1..).zip(case.spans_ms) {
            let span = span(*sent_ms, *lost_ms);
            now = span.lost_at;
            table.record_crash(REQUEST, ServerRun(run), span, now);
        }
        let left = table.quarantine_left(&REQUEST, now);
        assert_eq!(left.is_some(), case.quarantined, "{}", case.name);
    }
}

/// A table in which a request has been quarantined since the returned moment.
fn quarantined_table() -> (CrashTable, Moment) {
    let mut table = CrashTable::default();
    for run in 1..=CRASH_LIMIT as u64 {
        let span = span(run * 100, run * 100 + 50);
        table.record_crash(REQUEST, ServerRun(run), span, span.lost_at);
    }
    (table, Moment::from_millis(350))
}

// Guards against a quarantine that nothing can end.
#[test]
fn a_request_in_quarantine_is_tried_after_times_that_grow() {
    let (mut table, mut now) = quarantined_table();
    for failed_trials in 0..6 {
        let pause = trial_pause(failed_trials);
        assert_eq!(table.quarantine_left(&REQUEST, now), Some(pause));
        now = now + pause;
        assert_eq!(table.quarantine_left(&REQUEST, now), Some(Duration::ZERO));
        table.start_trial(&REQUEST, now + Duration::from_secs(4));
        // Nobody else tries it meanwhile.
        let left = table.quarantine_left(&REQUEST, now);
        assert_eq!(left, Some(TRIAL_RETRY_PAUSE));
        table.end_trial(&REQUEST, TrialEnd::Failed, now);
    }
    let change = table.record_answer(REQUEST, now);
    assert_eq!(change, CrashChange::Released);
    assert_eq!(table.quarantine_left(&REQUEST, now), None);
}

#[test]
fn a_trial_that_reached_no_server_comes_again_soon_and_one_that_was_given_up_too() {
    let (mut table, since) = quarantined_table();
    let now = since + trial_pause(0);
    table.start_trial(&REQUEST, now + Duration::from_secs(4));
    table.end_trial(&REQUEST, TrialEnd::Unsent, now);
    assert_eq!(
        table.quarantine_left(&REQUEST, now),
        Some(TRIAL_RETRY_PAUSE)
    );
    let now = now + TRIAL_RETRY_PAUSE;
    table.start_trial(&REQUEST, now + Duration::from_secs(4));
    let now = now + Duration::from_secs(4);
    assert_eq!(table.quarantine_left(&REQUEST, now), Some(Duration::ZERO));
}

// A gate that asked another one for the trial learns of its failure twice.
#[test]
fn a_failed_trial_counts_once_at_the_gate_that_asked_for_it() {
    let (mut table, since) = quarantined_table();
    let now = since + trial_pause(0);
    table.start_trial(&REQUEST, now + Duration::from_secs(4));
    let mut told = table.record_of(&REQUEST).unwrap();
    told.failed_trials = 1;
    table.merge(&told, now);
    table.end_trial(&REQUEST, TrialEnd::Failed, now);
    assert_eq!(table.failed_trials(&REQUEST), 1);
    assert_eq!(table.quarantine_left(&REQUEST, now), Some(trial_pause(1)));
}

// The operators allow three sends later than some seconds after the third crash.
#[test]
fn a_request_that_ends_its_servers_is_tried_seldom() {
    let (mut table, since) = quarantined_table();
    let mut trials_s = Vec::new();
    for second in 0..24 * 3_600 {
        let now = since + Duration::from_secs(second);
        if table.quarantine_left(&REQUEST, now) == Some(Duration::ZERO) {
            trials_s.push(second);
            table.start_trial(&REQUEST, now);
            table.end_trial(&REQUEST, TrialEnd::Failed, now);
        }
    }
    let within = |time_s: u64| trials_s.iter().filter(|at| **at < time_s).count();
    assert!(within(3_600) <= 3, "{trials_s:?}");
    assert!(within(24 * 3_600) <= 26, "{trials_s:?}");
}

fn reports() -> impl Strategy<Value = Vec<Report>> {
    let report = prop_oneof![4 => (0..4_u64).prop_map(Crash), 1 => Just(Answer)];
    prop::collection::vec(report, 1..8)
}

proptest! {
    #[test]
    fn sends_that_were_all_at_servers_at_one_moment_never_quarantine(
        spans in prop::collection::vec((0..1_000_u64, 1_001..1_100_u64), 1..30),
    ) {
        let mut table = CrashTable::default();
        for (run, (sent_ms, lost_ms)) in (1..).zip(spans) {
            let span = span(sent_ms, lost_ms);
            table.record_crash(REQUEST, ServerRun(run), span, span.lost_at);
        }
        prop_assert_eq!(table.quarantine_left(&REQUEST, Moment::from_millis(1_200)), None);
    }

    #[test]
    fn three_sends_one_after_the_other_quarantine_in_any_order_of_the_news(
        // Servers that end within 20 ms count once.
        steps in prop::collection::vec((0..2_000_u64, 21..500_u64), CRASH_LIMIT),
        order in Just([0, 1, 2]).prop_shuffle(),
    ) {
        let mut at_ms = 0;
        let mut spans = Vec::new();
        for (pause_ms, time_ms) in steps {
            let sent_ms = at_ms + pause_ms;
            at_ms = sent_ms + time_ms;
            spans.push(span(sent_ms, at_ms));
        }
        let mut table = CrashTable::default();
        let now = Moment::from_millis(at_ms);
        for index in order {
            table.record_crash(REQUEST, ServerRun(index as u64), spans[index], now);
        }
        prop_assert!(table.quarantine_left(&REQUEST, now).is_some());
    }

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
