//! Tests what follows a failed attempt: a table of cases, and properties that hold for all inputs.
//!
//! In the names of cases, a read is an idempotent request, a write is one that is not, and "retried
//! before" means that an earlier gate is already retrying the request.

use ggs_model::RunVerdict;
use ggs_relay::{AttemptFailure, FailureKind, NextStep, RetryContext, next_step};
use proptest::prelude::*;

/// All kinds of failure.
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

/// Retry on the same server, taken from the retry budget.
const SAME: NextStep = NextStep::SameServer { costs_retry: true };

/// Retry on another server, taken from the retry budget.
const OTHER: NextStep = NextStep::OtherServer { costs_retry: true };

/// Retry on another server, not taken from the retry budget.
const FREE: NextStep = NextStep::OtherServer { costs_retry: false };

/// A failure of a first attempt, and the expected next step.
struct RetryCase {
    name: &'static str,
    failure: AttemptFailure,
    idempotent: bool,
    may_retry: bool,
    step: NextStep,
}

/// Creates a failure of an attempt whose request was sent.
const fn sent(kind: FailureKind, reused: bool) -> AttemptFailure {
    AttemptFailure {
        kind,
        sent: true,
        reused,
    }
}

#[test]
fn each_failure_leads_to_expected_next_step() {
    let case = |name, failure, idempotent, may_retry, step| RetryCase {
        name,
        failure,
        idempotent,
        may_retry,
        step,
    };
    let unsent = AttemptFailure::unsent(FailureKind::ConnectFailed);
    let refused = sent(FailureKind::Refused, false);
    let leaving = sent(FailureKind::Leaving, false);
    let lost_reused = sent(FailureKind::ConnectionLost, true);
    let late_reused = sent(FailureKind::AnswerTimeout, true);
    let late_new = sent(FailureKind::AnswerTimeout, false);
    let bad_answer = sent(FailureKind::BadAnswer, false);
    let cases = [
        case("connect failed, write", unsent, false, true, FREE),
        case("connect failed, retried before", unsent, true, false, FREE),
        case("refused, write", refused, false, true, OTHER),
        case(
            "refused, retried before",
            refused,
            true,
            false,
            NextStep::GiveUp,
        ),
        case("leaving server, read", leaving, true, true, FREE),
        case("leaving server, write", leaving, false, true, FREE),
        case("leaving server, retried before", leaving, true, false, FREE),
        case(
            "reused connection lost, read",
            lost_reused,
            true,
            true,
            SAME,
        ),
        case(
            "reused connection timed out, read",
            late_reused,
            true,
            true,
            SAME,
        ),
        case(
            "new connection timed out, read",
            late_new,
            true,
            true,
            OTHER,
        ),
        case(
            "connection lost, write",
            lost_reused,
            false,
            true,
            NextStep::GiveUp,
        ),
        case("bad answer, read", bad_answer, true, true, OTHER),
        case(
            "bad answer, write",
            bad_answer,
            false,
            true,
            NextStep::GiveUp,
        ),
        case(
            "connection lost, retried before",
            lost_reused,
            true,
            false,
            NextStep::GiveUp,
        ),
    ];
    for RetryCase {
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
    // A second run of a request that is not idempotent would repeat its effect.
    #[test]
    fn non_idempotent_request_that_may_have_run_is_never_retried(
        kind in 0..KINDS.len(),
        reused: bool,
        may_retry: bool,
        attempts in 1_u32..5,
        deadline_passed: bool,
    ) {
        let failure = sent(KINDS[kind], reused);
        let context = RetryContext {
            failure,
            attempts,
            idempotent: false,
            may_retry,
            deadline_passed,
        };
        if failure.verdict() != RunVerdict::NotRun {
            prop_assert_eq!(next_step(&context), NextStep::GiveUp);
        }
    }

    // The limit of 3 attempts is `MAX_ATTEMPTS`, which is private to the crate.
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
