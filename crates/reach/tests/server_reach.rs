//! Tests of when a gate is taken to be cut off from its servers.

use std::net::SocketAddr;

use ggs_model::Moment;
use ggs_reach::ReachEvent::{Answered, NotAnswered, NotOpened, Opened};
use ggs_reach::{ReachEvent, ReachState, ServerReach};
use proptest::prelude::*;

fn server(number: u8) -> SocketAddr {
    ([10, 0, 0, number], 80).into()
}

/// A series of events and the state after it.
struct ReachCase {
    name: &'static str,
    listed: usize,
    /// Number of the server, event, and time in milliseconds.
    events: &'static [(u8, ReachEvent, u64)],
    state: ReachState,
}

const CASES: &[ReachCase] = &[
    ReachCase {
        name: "four servers cannot be connected to",
        listed: 19,
        events: &[
            (1, NotOpened, 0),
            (2, NotOpened, 100),
            (3, NotOpened, 200),
            (4, NotOpened, 260),
        ],
        state: ReachState::Cut,
    },
    ReachCase {
        name: "all fail in the same moment, as after a pause of the process",
        listed: 19,
        events: &[
            (1, NotOpened, 9_000),
            (2, NotAnswered, 9_000),
            (3, NotAnswered, 9_001),
            (4, NotOpened, 9_001),
            (5, NotOpened, 9_002),
        ],
        state: ReachState::Reached,
    },
    ReachCase {
        name: "one server of many has ended",
        listed: 19,
        events: &[(1, NotOpened, 0), (1, NotOpened, 300), (1, NotOpened, 900)],
        state: ReachState::Reached,
    },
    ReachCase {
        name: "a third of the servers has ended, and the others answer",
        listed: 12,
        events: &[
            (1, NotOpened, 0),
            (2, NotOpened, 100),
            (9, Opened, 120),
            (9, Answered, 121),
            (3, NotOpened, 300),
            (4, NotOpened, 400),
        ],
        state: ReachState::Reached,
    },
    ReachCase {
        name: "the only server has ended",
        listed: 1,
        events: &[(1, NotOpened, 0), (1, NotOpened, 300)],
        state: ReachState::Cut,
    },
    ReachCase {
        name: "open connections live on",
        listed: 6,
        events: &[
            (1, NotOpened, 0),
            (5, Answered, 50),
            (2, NotOpened, 100),
            (3, NotOpened, 200),
            (4, NotOpened, 300),
            (5, Answered, 350),
        ],
        state: ReachState::OpenConnections,
    },
    ReachCase {
        name: "connections open but bring no answer",
        listed: 4,
        events: &[
            (1, Opened, 0),
            (1, NotAnswered, 60),
            (2, NotAnswered, 120),
            (3, Opened, 180),
            (3, NotAnswered, 240),
            (4, NotAnswered, 320),
        ],
        state: ReachState::Silent,
    },
    ReachCase {
        name: "failures long apart",
        listed: 19,
        events: &[
            (1, NotOpened, 0),
            (2, NotOpened, 10_000),
            (3, NotOpened, 20_000),
            (4, NotOpened, 30_000),
        ],
        state: ReachState::Reached,
    },
    ReachCase {
        name: "one server is reached again",
        listed: 4,
        events: &[
            (1, NotOpened, 0),
            (2, NotOpened, 100),
            (3, NotOpened, 200),
            (4, NotOpened, 300),
            (1, Opened, 400),
            (1, Answered, 401),
            (1, Answered, 402),
        ],
        state: ReachState::Cut,
    },
    ReachCase {
        name: "one of two servers is reached again, and the other has ended",
        listed: 2,
        events: &[
            (1, NotOpened, 0),
            (2, NotOpened, 300),
            (2, NotOpened, 600),
            (1, Opened, 600),
            (1, Answered, 601),
        ],
        state: ReachState::Reached,
    },
    ReachCase {
        name: "the connections to the only server have gone silent",
        listed: 1,
        events: &[(1, NotAnswered, 0), (1, NotAnswered, 800)],
        state: ReachState::Silent,
    },
    ReachCase {
        name: "two servers are reached again",
        listed: 4,
        events: &[
            (1, NotOpened, 0),
            (2, NotOpened, 100),
            (3, NotOpened, 200),
            (4, NotOpened, 300),
            (1, Opened, 400),
            (1, Answered, 401),
            (2, Opened, 402),
            (2, Answered, 403),
        ],
        state: ReachState::Reached,
    },
];

#[test]
fn a_cut_is_told_from_servers_that_fail() {
    for case in CASES {
        let mut reach = ServerReach::default();
        for (number, event, at_ms) in case.events {
            let now = Moment::from_millis(*at_ms);
            reach.record(server(*number), *event, case.listed, now);
        }
        assert_eq!(reach.state(), case.state, "{}", case.name);
    }
}

#[test]
fn failures_in_one_moment_call_for_a_trial_and_a_success_for_none() {
    let mut reach = ServerReach::default();
    for number in 1..=4 {
        reach.record(server(number), NotOpened, 19, Moment::ZERO);
    }
    assert_eq!(reach.state(), ReachState::Reached);
    assert!(reach.needs_trial());
    reach.record(server(5), Opened, 19, Moment::ZERO);
    reach.record(server(5), Answered, 19, Moment::ZERO);
    assert!(!reach.needs_trial());
}

proptest! {
    /// Whatever happened before, a gate that gets answers on new connections of all servers uses them.
    #[test]
    fn servers_that_answer_are_used_again(
        events in prop::collection::vec((1_u8..9, 0_usize..4, 0_u64..500), 0..60),
        listed in 1_usize..9,
    ) {
        let kinds = [Opened, NotOpened, Answered, NotAnswered];
        let mut reach = ServerReach::default();
        let mut at_ms = 0;
        for (number, kind, pause) in events {
            at_ms += pause;
            reach.record(server(number), kinds[kind], listed, Moment::from_millis(at_ms));
        }
        for number in 1..=listed as u8 {
            let now = Moment::from_millis(at_ms);
            reach.record(server(number), Opened, listed, now);
            reach.record(server(number), Answered, listed, now);
        }
        prop_assert_eq!(reach.state(), ReachState::Reached);
    }
}
