//! Answers that the gate makes itself: failures and JSON.
//!
//! Each failure tells the caller whether its request ran (the verdict), why it failed, and when it
//! may be sent again. All of it is in headers as well as in the body.

use std::time::Duration;

use actix_http::header::{HeaderName, HeaderValue};
use actix_http::{Response, StatusCode};
use ggs_limit::{AdmissionRefusal, RefusalCause};
use ggs_model::{HeaderNames, RunVerdict};
use ggs_relay::{FailureKind, RelayFailure};
use serde::Serialize;
use strum::IntoStaticStr;

use crate::body::GateBody;

/// Retry delay for a service without a document; the gate may not have received it yet.
const UNKNOWN_SERVICE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Fault in a request that the gate rejects without sending it to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum CallerFault {
    /// The path belongs to no route.
    UnknownPath,
    /// The route does not support the method.
    BadMethod,
    /// No document for the service is in force.
    UnknownService,
    /// The class header is not the name of a class.
    BadClass,
    /// The deadline header is not a number of milliseconds from 1 to 3,600,000.
    BadDeadline,
    /// The attempt header is not a number.
    BadAttempt,
    /// A header is not text.
    BadHeader,
    /// The path or query after the service's name is not valid.
    BadTarget,
    /// The body ended before its announced length, or came too slowly.
    BodyIncomplete,
    /// The body is longer than the gate's limit.
    BodyTooLong,
    /// The key header has a form in which no gate issues keys.
    BadKey,
}

impl CallerFault {
    /// HTTP status of the answer.
    const fn status(self) -> StatusCode {
        match self {
            Self::UnknownPath | Self::UnknownService => StatusCode::NOT_FOUND,
            Self::BadMethod => StatusCode::METHOD_NOT_ALLOWED,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::BadClass
            | Self::BadDeadline
            | Self::BadAttempt
            | Self::BadHeader
            | Self::BadTarget
            | Self::BadKey
            | Self::BodyIncomplete => StatusCode::BAD_REQUEST,
        }
    }
}

/// The JSON body of a failure.
#[derive(Debug, Serialize)]
struct FailureBody<'a> {
    verdict: RunVerdict,
    reason: &'a str,
    retry_after_ms: Option<u64>,
}

/// A failure with its verdict, its reason and the delay after which to retry.
///
/// The standard `retry-after` header has whole seconds, so the delay is rounded up to at least one.
pub(crate) fn failure(
    status: StatusCode,
    verdict: RunVerdict,
    reason: &str,
    retry_after: Option<Duration>,
) -> Response<GateBody> {
    let retry_after_ms = retry_after.map(|wait| wait.as_millis() as u64);
    let body = FailureBody {
        verdict,
        reason,
        retry_after_ms,
    };
    let mut response = json(status, &body);
    set_header(&mut response, HeaderNames::VERDICT, <&str>::from(verdict));
    set_header(&mut response, HeaderNames::REASON, reason);
    if let Some(millis) = retry_after_ms {
        set_header(
            &mut response,
            HeaderNames::RETRY_AFTER_MS,
            &millis.to_string(),
        );
        let seconds = millis.div_ceil(1_000).max(1);
        set_header(&mut response, "retry-after", &seconds.to_string());
    }
    response
}

/// The answer to an invalid request of which nothing ran.
pub(crate) fn fault(fault: CallerFault) -> Response<GateBody> {
    fault_with_verdict(fault, RunVerdict::NotRun)
}

/// The answer to an invalid request. If its key may have been used before, the verdict is not
/// [`RunVerdict::NotRun`].
pub(crate) fn fault_with_verdict(fault: CallerFault, verdict: RunVerdict) -> Response<GateBody> {
    let wait = matches!(fault, CallerFault::UnknownService).then_some(UNKNOWN_SERVICE_RETRY_AFTER);
    failure(fault.status(), verdict, fault.into(), wait)
}

/// The reason that tells callers which admission limit refused a request.
pub(crate) const fn refusal_reason(cause: RefusalCause) -> &'static str {
    match cause {
        RefusalCause::ServiceClass => "service-limit",
        RefusalCause::PartnerShare => "partner-limit",
        RefusalCause::GateTotal => "gate-limit",
    }
}

/// The answer to a request that was not admitted. `verdict` covers earlier uses of its key.
pub(crate) fn admission_refusal(
    refusal: &AdmissionRefusal,
    verdict: RunVerdict,
) -> Response<GateBody> {
    let reason = refusal_reason(refusal.cause);
    let wait = Some(refusal.retry_after);
    failure(StatusCode::SERVICE_UNAVAILABLE, verdict, reason, wait)
}

/// The answer to a request after its last attempt failed.
pub(crate) fn relay_failure(relay_failure: &RelayFailure) -> Response<GateBody> {
    let RelayFailure {
        verdict,
        kind,
        retry_after,
    } = *relay_failure;
    let status = match (verdict, kind) {
        (RunVerdict::NotRun, _) => StatusCode::SERVICE_UNAVAILABLE,
        (_, FailureKind::AnswerTimeout | FailureKind::DeadlinePassed) => {
            StatusCode::GATEWAY_TIMEOUT
        }
        _ => StatusCode::BAD_GATEWAY,
    };
    failure(status, verdict, kind.into(), Some(retry_after))
}

/// A JSON answer.
pub(crate) fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<GateBody> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::with_body(status, GateBody::whole(text.into()));
    set_header(&mut response, "content-type", "application/json");
    response
}

/// Sets a header. A `text` that is not a valid header value is left out.
pub(crate) fn set_header(response: &mut Response<GateBody>, name: &'static str, text: &str) {
    if let Ok(value) = HeaderValue::from_str(text) {
        response
            .headers_mut()
            .insert(HeaderName::from_static(name), value);
    }
}
