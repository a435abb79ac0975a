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
const SAME_SERVER: NextStep = NextStep::SameServer { costs_retry: true };
const OTHER_SERVER: NextStep = NextStep::OtherServer { costs_retry: true };
const OTHER_SERVER_FREE: NextStep = NextStep::OtherServer { costs_retry: false };

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
fn each_failure_leads_to_expected_next_step() {
    let case = |name, failure, idempotent, may_retry, step| PlanCase {
        name,
        failure,
        idempotent,
        may_retry,
        step,
    };
    let connect_failed = AttemptFailure::unsent(FailureKind::ConnectFailed);
    let refused = sent(FailureKind::Refused, false);
    let leaving = sent(FailureKind::Leaving, false);
    let lost_reused = sent(FailureKind::ConnectionLost, true);
    let timed_out_reused = sent(FailureKind::AnswerTimeout, true);
    let timed_out_new = sent(FailureKind::AnswerTimeout, false);
    let bad_answer = sent(FailureKind::BadAnswer, false);
    let cases = [
        case(
            "connect failed, write",
            connect_failed,
            false,
            true,
            OTHER_SERVER_FREE,
        ),
        case(
            "connect failed, inner hop",
            connect_failed,
            true,
            false,
            OTHER_SERVER_FREE,
        ),
        case("refused, write", refused, false, true, OTHER_SERVER),
        case("refused, inner hop", refused, true, false, NextStep::GiveUp),
        case(
            "leaving server, read",
            leaving,
            true,
            true,
            OTHER_SERVER_FREE,
        ),
        case(
            "leaving server, write",
            leaving,
            false,
            true,
            OTHER_SERVER_FREE,
        ),
        case(
            "leaving server, inner hop",
            leaving,
            true,
            false,
            OTHER_SERVER_FREE,
        ),
        case(
            "reused connection lost, read",
            lost_reused,
            true,
            true,
            SAME_SERVER,
        ),
        case(
            "reused connection timed out, read",
            timed_out_reused,
            true,
            true,
            SAME_SERVER,
        ),
        case(
            "new connection timed out, read",
            timed_out_new,
            true,
            true,
            OTHER_SERVER,
        ),
        case(
            "connection lost, write",
            lost_reused,
            false,
            true,
            NextStep::GiveUp,
        ),
        case("bad answer, read", bad_answer, true, true, OTHER_SERVER),
        case(
            "bad answer, write",
            bad_answer,
            false,
            true,
            NextStep::GiveUp,
        ),
        case(
            "connection lost, inner hop",
            lost_reused,
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
    fn non_idempotent_request_that_may_have_run_is_never_retried(
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
    fn no_attempt_after_the_deadline_or_the_attempt_limit(
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
