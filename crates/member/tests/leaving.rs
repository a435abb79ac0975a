//! Leaving servers and the roster: notices that arrive late or twice, restarts, and wrong host
//! lists.
//!
//! Guards against using a server that is leaving because the host list lags, against ignoring a
//! restarted server because of a notice for its earlier incarnation, and against losing most
//! servers to one wrong host list.

use std::time::Duration;

use ggs_member::{LeavingSet, MAX_NOTICES, ServerRoster};
use ggs_model::{DataCentre, Incarnation, Moment, ServerEntry, ServerId, ServerState, ServiceName};
use proptest::prelude::*;

use Step::{Answer, List, Notice};

fn server(index: usize, incarnation: u64) -> ServerId {
    ServerId {
        address: format!("127.0.0.1:{}", 10_000 + index).parse().unwrap(),
        incarnation: Incarnation(incarnation),
    }
}

fn entry(index: usize, incarnation: u64, state: ServerState) -> ServerEntry {
    ServerEntry {
        service: ServiceName::new("roster"),
        server: server(index, incarnation),
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

/// One event in a [`LeavingCase`].
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The host list shows the server with this incarnation and state.
    List(u64, ServerState),
    /// The server's answer or another gate tells that this incarnation is leaving.
    Notice(u64),
    /// An answer names this incarnation.
    Answer(u64),
}

/// Events about one server, and the incarnation that may be used afterwards.
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
        name: "list shows the server as leaving",
        steps: &[List(1, LIVE), List(1, LEAVING)],
        usable: None,
    },
    LeavingCase {
        name: "list lags",
        steps: &[List(1, LIVE), Notice(1), List(1, LIVE)],
        usable: None,
    },
    LeavingCase {
        name: "notice repeated",
        steps: &[List(1, LIVE), Notice(1), Notice(1)],
        usable: None,
    },
    LeavingCase {
        name: "notice before the list",
        steps: &[Notice(1), List(1, LIVE)],
        usable: None,
    },
    LeavingCase {
        name: "late answer after the notice",
        steps: &[List(1, LIVE), Notice(1), Answer(1)],
        usable: None,
    },
    LeavingCase {
        name: "restarted, new incarnation listed",
        steps: &[List(1, LIVE), Notice(1), List(2, LIVE)],
        usable: Some(2),
    },
    LeavingCase {
        name: "restarted, new incarnation answers",
        steps: &[List(1, LIVE), Notice(1), Answer(2)],
        usable: Some(2),
    },
    LeavingCase {
        name: "restarted, list lags",
        steps: &[List(1, LIVE), Notice(1), Answer(2), List(1, LIVE)],
        usable: Some(2),
    },
    LeavingCase {
        name: "late notice",
        steps: &[List(1, LIVE), List(2, LIVE), Notice(1)],
        usable: Some(2),
    },
    LeavingCase {
        name: "late notice and answer",
        steps: &[List(2, LIVE), Notice(1), Answer(1)],
        usable: Some(2),
    },
    LeavingCase {
        name: "restarted incarnation leaves too",
        steps: &[List(1, LIVE), Notice(1), Answer(2), Notice(2)],
        usable: None,
    },
];

/// Keeps one incarnation and one flag per address, as the last event set them.
#[derive(Default)]
struct NaiveRoster {
    incarnation: u64,
    live: bool,
}

impl NaiveRoster {
    fn apply(&mut self, step: Step) {
        match step {
            List(incarnation, state) => {
                *self = Self {
                    incarnation,
                    live: state == LIVE,
                }
            }
            Notice(_) => self.live = false,
            Answer(incarnation) => self.incarnation = incarnation,
        }
    }
}

#[test]
fn first_notice_marks_one_incarnation_and_a_restart_is_usable() {
    let mut naive_faults = Vec::new();
    for case in LEAVING_CASES {
        let mut roster = ServerRoster::default();
        let mut naive = NaiveRoster::default();
        for (second, step) in case.steps.iter().enumerate() {
            let now = Moment::from_millis(second as u64 * 1_000);
            naive.apply(*step);
            match *step {
                List(incarnation, state) => {
                    roster.apply_list(&[entry(0, incarnation, state)], now);
                }
                Notice(incarnation) => {
                    roster.mark_leaving(server(0, incarnation), now);
                }
                Answer(incarnation) => roster.record_incarnation(server(0, incarnation)),
            }
        }
        let expected: Vec<_> = case
            .usable
            .map(|incarnation| server(0, incarnation))
            .into_iter()
            .collect();
        assert_eq!(usable(&roster), expected, "{}", case.name);
        if naive.live.then_some(naive.incarnation) != case.usable {
            naive_faults.push(case.name);
        }
    }
    // The cases that one incarnation and one flag per address can't get right.
    let expected = [
        "list lags",
        "notice before the list",
        "restarted, new incarnation answers",
        "restarted, list lags",
        "late notice",
        "late notice and answer",
    ];
    assert_eq!(naive_faults, expected);
}

#[test]
fn servers_missing_from_a_list_are_removed_at_a_limited_rate() {
    struct Case {
        name: &'static str,
        list: std::ops::Range<usize>,
        /// Usable servers after the first such list, and 9 s, 10 s and 300 s later.
        usable: [usize; 4],
    }
    let cases = [
        Case {
            name: "empty list",
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
            "{}: the full list is back",
            case.name
        );
    }
}

#[test]
fn notices_last_while_the_list_lags_and_their_number_is_bounded() {
    let mut roster = ServerRoster::default();
    roster.apply_list(&live(0..2), Moment::ZERO);
    roster.mark_leaving(server(0, 1), Moment::ZERO);
    for minute in 0..60 {
        roster.apply_list(&live(0..2), Moment::from_millis(minute * 60_000));
    }
    assert_eq!(usable(&roster), [server(1, 1)], "the list lags by an hour");
    let mut leaving = LeavingSet::default();
    for incarnation in 0..MAX_NOTICES as u64 * 2 {
        leaving.mark(server(0, incarnation), Moment::from_millis(incarnation));
    }
    assert_eq!(leaving.len(), MAX_NOTICES);
    leaving.prune(|_| false, Moment::from_millis(3_600_000));
    assert!(leaving.is_empty());
}

proptest! {
    /// The result does not depend on the order of notices or on how often each is received.
    #[test]
    fn leaving_set_holds_each_server_once(notices in prop::collection::vec((0..4usize, 0..3u64), 0..40)) {
        let mut leaving = LeavingSet::default();
        let mut naive = std::collections::BTreeSet::new();
        for (second, (index, incarnation)) in notices.into_iter().enumerate() {
            let now = Moment::ZERO + Duration::from_secs(second as u64);
            let first = leaving.mark(server(index, incarnation), now);
            prop_assert_eq!(first, naive.insert(server(index, incarnation)));
        }
        let all: std::collections::BTreeSet<_> = leaving.all().collect();
        prop_assert_eq!(all, naive);
    }
}
