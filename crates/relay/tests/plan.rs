//! What follows a failed attempt: a table of cases, and rules that hold for every case.

use ggs_model::RunVerdict;
use ggs_relay::{AttemptFailure, FailureKind, NextStep, RetryContext, next_step};
use proptest::prelude::*;

/// Every kind of failure.
const KINDS: [FailureKind; 11] = [
    FailureKind::NoServer,
    FailureKind::NoCapacity,
    FailureKind::NoConnection,
    FailureKind::DeadlinePassed,
    FailureKind::ConnectFailed,
    FailureKind::ConnectionLost,
    FailureKind::AnswerTimeout,
    FailureKind::BadAnswer,
    FailureKind::ServerError,
    FailureKind::Refused,
    FailureKind::Leaving,
];

/// Steps that cost a retry, and the one that does not.
const SAME: NextStep = NextStep::SameServer { costs_retry: true };
const OTHER: NextStep = NextStep::OtherServer { costs_retry: true };
const FREE: NextStep = NextStep::OtherServer { costs_retry: false };

/// One case: a failure of a first attempt, and the step that follows.
struct PlanCase {
    name: &'static str,
    failure: AttemptFailure,
    idempotent: bool,
    may_retry: bool,
    step: NextStep,
}

/// A failure after the request was sent.
const fn sent(kind: FailureKind, reused: bool) -> AttemptFailure {
    AttemptFailure {
        kind,
        sent: true,
        reused,
    }
}

#[test]
fn each_failure_has_its_step() {
    let case = |name, failure, idempotent, may_retry, step| PlanCase {
        name,
        failure,
        idempotent,
        may_retry,
        step,
    };
    let dead = AttemptFailure::unsent(FailureKind::ConnectFailed);
    let refused = sent(FailureKind::Refused, false);
    let leaving = sent(FailureKind::Leaving, false);
    let lost_kept = sent(FailureKind::ConnectionLost, true);
    let silent_kept = sent(FailureKind::AnswerTimeout, true);
    let silent_new = sent(FailureKind::AnswerTimeout, false);
    let garbled = sent(FailureKind::BadAnswer, false);
    let cases = [
        case("dead server, write", dead, false, true, FREE),
        case("dead server, inner hop", dead, true, false, FREE),
        case("refused write", refused, false, true, OTHER),
        case("refused, inner hop", refused, true, false, NextStep::GiveUp),
        case("leaving server, read", leaving, true, true, FREE),
        case("leaving server, write", leaving, false, true, FREE),
        case("leaving server, inner hop", leaving, true, false, FREE),
        case("lost kept connection, read", lost_kept, true, true, SAME),
        case(
            "silent kept connection, read",
            silent_kept,
            true,
            true,
            SAME,
        ),
        case("silent new connection, read", silent_new, true, true, OTHER),
        case(
            "lost connection, write",
            lost_kept,
            false,
            true,
            NextStep::GiveUp,
        ),
        case("garbled answer, read", garbled, true, true, OTHER),
        case(
            "garbled answer, write",
            garbled,
            false,
            true,
            NextStep::GiveUp,
        ),
        case(
            "lost connection, inner hop",
            lost_kept,
            true,
            false,
            NextStep::GiveUp,
        ),
    ];
    for PlanCase {
        name,
        failure,
        idempotent,
        may_retry,
        step,
    } in cases
    {
        let context = RetryContext {
            failure,
            attempts: 1,
            idempotent,
            may_retry,
            deadline_passed: false,
        };
        assert_eq!(next_step(&context), step, "{name}");
    }
}

proptest! {
    #[test]
    fn a_write_that_may_have_run_is_never_sent_again(
        kind in 0..KINDS.len(),
        reused: bool,
        may_retry: bool,
        attempts in 1_u32..5,
        deadline_passed: bool,
    ) {
        let failure = sent(KINDS[kind], reused);
        let context = RetryContext { failure, attempts, idempotent: false, may_retry, deadline_passed };
        if failure.verdict() != RunVerdict::NotRun {
            prop_assert_eq!(next_step(&context), NextStep::GiveUp);
        }
    }

    #[test]
    fn attempts_are_bounded_and_none_starts_late(
        kind in 0..KINDS.len(),
        was_sent: bool,
        reused: bool,
        idempotent: bool,
        may_retry: bool,
        attempts in 1_u32..6,
        deadline_passed: bool,
    ) {
        let failure = AttemptFailure { kind: KINDS[kind], sent: was_sent, reused };
        let context = RetryContext { failure, attempts, idempotent, may_retry, deadline_passed };
        if deadline_passed || attempts >= 3 {
            prop_assert_eq!(next_step(&context), NextStep::GiveUp);
        }
    }
}
