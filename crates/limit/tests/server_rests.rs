//! Tests of the rests that servers ask a gate for.

use ggs_limit::ServerRests;
use ggs_model::Moment;

/// Answers of one server, and the end of its rest after them.
struct RestCase {
    name: &'static str,
    /// Start of the run, moment of the answer, and end of the rest that it asks for.
    answers: &'static [(u64, u64, u64)],
    /// The listed run, the moment of the question, and the end of the rest.
    asked: (u64, u64, Option<u64>),
}

const CASES: &[RestCase] = &[
    RestCase {
        name: "a rest",
        answers: &[(1, 0, 3_000)],
        asked: (1, 2_999, Some(3_000)),
    },
    RestCase {
        name: "a rest that is over",
        answers: &[(1, 0, 3_000)],
        asked: (1, 3_000, None),
    },
    RestCase {
        name: "a shorter rest later",
        answers: &[(1, 0, 3_000), (1, 100, 600)],
        asked: (1, 700, Some(3_000)),
    },
    RestCase {
        name: "a longer rest later",
        answers: &[(1, 0, 3_000), (1, 100, 4_000)],
        asked: (1, 3_500, Some(4_000)),
    },
    RestCase {
        name: "the next run of the server",
        answers: &[(1, 0, 3_000)],
        asked: (2, 100, None),
    },
    RestCase {
        name: "a shorter rest of the next run",
        answers: &[(1, 0, 60_000), (2, 100, 600)],
        asked: (2, 500, Some(600)),
    },
];

#[test]
fn a_rest_holds_for_one_run_and_the_longest_counts() {
    for case in CASES {
        let mut rests = ServerRests::default();
        for (started_ms, at_ms, until_ms) in case.answers {
            let (until, now) = (Moment::from_millis(*until_ms), Moment::from_millis(*at_ms));
            rests.record("i-1", Some(*started_ms), until, now);
        }
        let (started_ms, at_ms, until_ms) = case.asked;
        let until = rests.until("i-1", Some(started_ms), Moment::from_millis(at_ms));
        assert_eq!(until, until_ms.map(Moment::from_millis), "{}", case.name);
    }
}

#[test]
fn only_the_first_answer_of_many_begins_a_rest() {
    let mut rests = ServerRests::default();
    let begun = (0..3).map(|at_ms| {
        let until = Moment::from_millis(1_000 + at_ms);
        rests.record("i-1", None, until, Moment::from_millis(at_ms))
    });
    assert_eq!(begun.collect::<Vec<_>>(), [true, false, false]);
    assert!(rests.expire(Moment::from_millis(1_001)).is_empty());
    assert_eq!(rests.expire(Moment::from_millis(1_002)), ["i-1".into()]);
}
