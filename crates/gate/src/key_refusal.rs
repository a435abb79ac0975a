//! Refusals of keyed requests, with the verdict that each allows.
//!
//! A refusal says "not run" only where the key was never used, as the caller may then send the
//! request again with another key.

use std::time::Duration;

use actix_http::{Response, StatusCode};
use ggs_model::RunVerdict;

use crate::answer;
use crate::body::GateBody;
use crate::forward::AdmittedRequest;

/// Retry delay that a refusal names if a later request with the same key may succeed.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// A refusal of a keyed request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct KeyRefusal {
    pub(crate) status: StatusCode,
    pub(crate) verdict: RunVerdict,
    pub(crate) reason: &'static str,
    /// Whether the same request with the same key may succeed later.
    retryable: bool,
}

impl KeyRefusal {
    /// The first request with the key is still running.
    pub(crate) const STILL_RUNNING: Self = Self {
        status: StatusCode::GATEWAY_TIMEOUT,
        verdict: RunVerdict::Unknown,
        reason: "key-still-running",
        retryable: true,
    };
    /// The request ran, and its answer was not kept, as it was too large or the limit on all kept
    /// answers was reached.
    pub(crate) const ANSWER_NOT_KEPT: Self = Self {
        status: StatusCode::GONE,
        verdict: RunVerdict::Ran,
        reason: "answer-not-kept",
        retryable: false,
    };
    /// The request may have run.
    pub(crate) const OUTCOME_UNKNOWN: Self = Self {
        status: StatusCode::BAD_GATEWAY,
        verdict: RunVerdict::Unknown,
        reason: "outcome-unknown",
        retryable: false,
    };
    /// The key was used for another request, which may have run.
    pub(crate) const CONFLICT: Self = Self {
        status: StatusCode::CONFLICT,
        verdict: RunVerdict::Unknown,
        reason: "key-conflict",
        retryable: false,
    };
    /// The key has expired, and its use is no longer remembered.
    pub(crate) const EXPIRED: Self = Self {
        status: StatusCode::GONE,
        verdict: RunVerdict::Unknown,
        reason: "key-expired",
        retryable: false,
    };
    /// The key was altered, or has a number that was never issued.
    pub(crate) const NOT_ISSUED: Self = Self {
        status: StatusCode::BAD_REQUEST,
        verdict: RunVerdict::Unknown,
        reason: "key-not-issued",
        retryable: false,
    };
    /// The limit on remembered keys is reached; this key was not used before.
    pub(crate) const MEMORY_FULL: Self = Self {
        status: StatusCode::SERVICE_UNAVAILABLE,
        verdict: RunVerdict::NotRun,
        reason: "key-memory-full",
        retryable: true,
    };
    /// The gate process that issued the key has ended; its record of used keys ended with it.
    pub(crate) const ISSUER_GONE: Self = Self {
        status: StatusCode::GONE,
        verdict: RunVerdict::Unknown,
        reason: "issuer-gone",
        retryable: false,
    };
    /// This gate has no address of the gate that issued the key.
    pub(crate) const ISSUER_UNKNOWN: Self = Self {
        status: StatusCode::SERVICE_UNAVAILABLE,
        verdict: RunVerdict::Unknown,
        reason: "issuer-unknown",
        retryable: true,
    };
    /// The gate that issued the key did not answer.
    pub(crate) const ISSUER_UNREACHABLE: Self = Self {
        status: StatusCode::GATEWAY_TIMEOUT,
        verdict: RunVerdict::Unknown,
        reason: "issuer-unreachable",
        retryable: true,
    };
}

/// Answers with a refusal and counts it in the metrics of the service.
pub(crate) fn refuse(mut admitted: AdmittedRequest, refusal: &KeyRefusal) -> Response<GateBody> {
    admitted.span.set_verdict(refusal.verdict.into());
    admitted.service.metrics().count_refusal(refusal.reason);
    let wait = refusal.retryable.then_some(RETRY_AFTER);
    answer::failure(refusal.status, refusal.verdict, refusal.reason, wait)
}
