//! Leaving servers and the roster: words that come late or twice, restarts, and bad host lists.

use std::time::Duration;

use ggs_member::{LeavingSet, MAX_NOTICES, ServerRoster};
use ggs_model::{DataCentre, Incarnation, Moment, ServerEntry, ServerId, ServerState, ServiceName};
use proptest::prelude::*;

use Step::{Answer, List, Word};

fn server(index: usize, run: u64) -> ServerId {
    ServerId {
        address: format!("127.0.0.1:{}", 10_000 + index).parse().unwrap(),
        incarnation: Incarnation(run),
    }
}

fn entry(index: usize, run: u64, state: ServerState) -> ServerEntry {
    ServerEntry {
        service: ServiceName::new("roster"),
        server: server(index, run),
        data_centre: DataCentre::new("dc-1"),
        state,
    }
}

fn live(indexes: std::ops::Range<usize>) -> Vec<ServerEntry> {
    indexes
        .map(|index| entry(index, 1, ServerState::Live))
        .collect()
}

fn usable(roster: &ServerRoster) -> Vec<ServerId> {
    let views = roster.usable(&ServiceName::new("roster"));
    views.iter().map(|view| view.server).collect()
}

/// A step of a fault case.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The list shows the server with this run and state.
    List(u64, ServerState),
    /// A server's answer or a gate's word says that this run leaves.
    Word(u64),
    /// An answer names this run.
    Answer(u64),
}

/// A fault case: what happens to one server, and the run that may be used afterwards.
struct LeavingCase {
    name: &'static str,
    steps: &'static [Step],
    usable: Option<u64>,
}

const LIVE: ServerState = ServerState::Live;
const LEAVING: ServerState = ServerState::Leaving;

const LEAVING_CASES: [LeavingCase; 12] = [
    LeavingCase {
        name: "listed",
        steps: &[List(1, LIVE)],
        usable: Some(1),
    },
    LeavingCase {
        name: "the list says so",
        steps: &[List(1, LIVE), List(1, LEAVING)],
        usable: None,
    },
    LeavingCase {
        name: "the list lags",
        steps: &[List(1, LIVE), Word(1), List(1, LIVE)],
        usable: None,
    },
    LeavingCase {
        name: "twice",
        steps: &[List(1, LIVE), Word(1), Word(1)],
        usable: None,
    },
    LeavingCase {
        name: "before the list",
        steps: &[Word(1), List(1, LIVE)],
        usable: None,
    },
    LeavingCase {
        name: "an old answer after the word",
        steps: &[List(1, LIVE), Word(1), Answer(1)],
        usable: None,
    },
    LeavingCase {
        name: "restarted, listed",
        steps: &[List(1, LIVE), Word(1), List(2, LIVE)],
        usable: Some(2),
    },
    LeavingCase {
        name: "restarted, answered",
        steps: &[List(1, LIVE), Word(1), Answer(2)],
        usable: Some(2),
    },
    LeavingCase {
        name: "restarted, list lags",
        steps: &[List(1, LIVE), Word(1), Answer(2), List(1, LIVE)],
        usable: Some(2),
    },
    LeavingCase {
        name: "late word",
        steps: &[List(1, LIVE), List(2, LIVE), Word(1)],
        usable: Some(2),
    },
    LeavingCase {
        name: "late word and answer",
        steps: &[List(2, LIVE), Word(1), Answer(1)],
        usable: Some(2),
    },
    LeavingCase {
        name: "restart leaves too",
        steps: &[List(1, LIVE), Word(1), Answer(2), Word(2)],
        usable: None,
    },
];

/// Keeps the run and one flag per address, set by whatever came last.
#[derive(Default)]
struct NaiveRoster {
    run: u64,
    live: bool,
}

impl NaiveRoster {
    fn take(&mut self, step: Step) {
        match step {
            List(run, state) => {
                *self = Self {
                    run,
                    live: state == LIVE,
                }
            }
            Word(_) => self.live = false,
            Answer(run) => self.run = run,
        }
    }
}

#[test]
fn first_sign_counts_and_a_restarted_server_is_another() {
    let mut naive_faults = Vec::new();
    for case in LEAVING_CASES {
        let mut roster = ServerRoster::default();
        let mut naive = NaiveRoster::default();
        for (second, step) in case.steps.iter().enumerate() {
            let now = Moment::from_millis(second as u64 * 1_000);
            naive.take(*step);
            match *step {
                List(run, state) => {
                    roster.apply_list(&[entry(0, run, state)], now);
                }
                Word(run) => {
                    roster.mark_leaving(server(0, run), now);
                }
                Answer(run) => roster.record_incarnation(server(0, run)),
            }
        }
        let expected: Vec<_> = case.usable.map(|run| server(0, run)).into_iter().collect();
        assert_eq!(usable(&roster), expected, "{}", case.name);
        if naive.live.then_some(naive.run) != case.usable {
            naive_faults.push(case.name);
        }
    }
    let expected = [
        "the list lags",
        "before the list",
        "restarted, answered",
        "restarted, list lags",
        "late word",
        "late word and answer",
    ];
    assert_eq!(naive_faults, expected);
}

#[test]
fn shrunken_lists_are_not_followed_in_one_go() {
    struct Case {
        name: &'static str,
        list: std::ops::Range<usize>,
        /// Usable servers after the first such list, after 9 s, 10 s, and 300 s of them.
        usable: [usize; 4],
    }
    let cases = [
        Case {
            name: "empty",
            list: 0..0,
            usable: [20, 20, 20, 20],
        },
        Case {
            name: "one left",
            list: 0..1,
            usable: [15, 15, 12, 1],
        },
        Case {
            name: "one gone",
            list: 0..19,
            usable: [19, 19, 19, 19],
        },
        Case {
            name: "all new",
            list: 20..40,
            usable: [30, 30, 23, 20],
        },
    ];
    for case in cases {
        let mut roster = ServerRoster::default();
        roster.apply_list(&live(0..20), Moment::ZERO);
        let list = live(case.list);
        let mut counts = Vec::new();
        for second in 1..=301 {
            roster.apply_list(&list, Moment::from_millis(second * 1_000));
            counts.push(usable(&roster).len());
        }
        let seen = [counts[0], counts[9], counts[10], counts[300]];
        assert_eq!(seen, case.usable, "{}", case.name);
        roster.apply_list(&live(0..20), Moment::from_millis(302_000));
        assert!(
            usable(&roster).len() >= 20,
            "{}: the list is back",
            case.name
        );
    }
}

#[test]
fn words_outlive_any_lag_of_the_list_and_are_bounded() {
    let mut roster = ServerRoster::default();
    roster.apply_list(&live(0..2), Moment::ZERO);
    roster.mark_leaving(server(0, 1), Moment::ZERO);
    for minute in 0..60 {
        roster.apply_list(&live(0..2), Moment::from_millis(minute * 60_000));
    }
    assert_eq!(usable(&roster), [server(1, 1)], "an hour of lag");
    let mut leaving = LeavingSet::default();
    for run in 0..MAX_NOTICES as u64 * 2 {
        leaving.mark(server(0, run), Moment::from_millis(run));
    }
    assert_eq!(leaving.len(), MAX_NOTICES);
    leaving.prune(|_| false, Moment::from_millis(3_600_000));
    assert!(leaving.is_empty());
}

proptest! {
    /// The order and number of words never matter.
    #[test]
    fn leaving_set_is_the_set_of_all_words(words in prop::collection::vec((0..4usize, 0..3u64), 0..40)) {
        let mut leaving = LeavingSet::default();
        let mut naive = std::collections::BTreeSet::new();
        for (second, (index, run)) in words.into_iter().enumerate() {
            let now = Moment::ZERO + Duration::from_secs(second as u64);
            let first = leaving.mark(server(index, run), now);
            prop_assert_eq!(first, naive.insert(server(index, run)));
        }
        let all: std::collections::BTreeSet<_> = leaving.all().collect();
        prop_assert_eq!(all, naive);
    }
}
