//! Forwards keyed requests to the gate that issued the key.
//!
//! Only that gate knows whether the key was used. If it cannot be reached, the request is refused
//! with the verdict "unknown", because it may have run there earlier.

use std::rc::Rc;

use actix_http::Response;
use actix_http::header::{HeaderName, HeaderValue};
use ggs_limit::ChainPosition;
use ggs_model::{GateId, HeaderNames, RunVerdict, ServerId};
use ggs_relay::{AnswerBody, AttemptPlan, RelayBody, RelayRequest, ServerAnswer, ServerTransport};

use crate::answer;
use crate::body::{GateBody, StreamedBody};
use crate::core::GateCore;
use crate::forward::{self, AdmittedRequest};
use crate::key_refusal::{KeyRefusal, refuse};

/// Sends the request to the gate that issued its key, in a single attempt.
///
/// If another gate has already forwarded the request here, or the issuer was an earlier process on
/// this host, the issuing process is gone.
pub(crate) async fn send_to_issuer(
    core: &Rc<GateCore>,
    admitted: AdmittedRequest,
    issuer: GateId,
) -> Response<GateBody> {
    let already_forwarded = admitted
        .request
        .headers
        .contains_key(HeaderNames::PASSED_BY);
    if already_forwarded || issuer.host == core.id.host {
        return refuse(admitted, &KeyRefusal::ISSUER_GONE);
    }
    let Some(address) = core.caller_address_of(&issuer) else {
        return refuse(admitted, &KeyRefusal::ISSUER_UNKNOWN);
    };
    let server = ServerId {
        address,
        incarnation: issuer.incarnation,
    };
    let request = request_to_issuer(core, &admitted);
    // A connection from the pool may be stale, and there is only one attempt.
    let plan = AttemptPlan {
        new_connection: true,
        answer_deadline: request.deadline,
        retry_count: u32::from(request.position == ChainPosition::Retried),
    };
    match core.keys.transport.attempt(server, &request, plan).await {
        Ok(answer) => answer_from_issuer(admitted, answer),
        // The issuer may have run the request earlier, whatever the outcome of this attempt.
        Err(_) => refuse(admitted, &KeyRefusal::ISSUER_UNREACHABLE),
    }
}

/// The request to send to the issuing gate: with the path of the service, and marked as forwarded.
fn request_to_issuer(core: &GateCore, admitted: &AdmittedRequest) -> RelayRequest {
    let mut request = admitted.request.clone();
    let target = format!("/s/{}{}", admitted.service_name, request.target);
    // The name and the target are valid, so the new target is too.
    request.target = target.parse().unwrap_or(request.target);
    let name = HeaderName::from_static(HeaderNames::PASSED_BY);
    if let Ok(value) = HeaderValue::from_str(core.id.host.as_str()) {
        request.headers.insert(name, value);
    }
    request
}

/// Turns the answer of the issuing gate into the answer to the caller. One without a verdict does
/// not come from a gate.
fn answer_from_issuer(
    mut admitted: AdmittedRequest,
    answer: ServerAnswer<RelayBody>,
) -> Response<GateBody> {
    let verdict = answer.head.headers.get(HeaderNames::VERDICT);
    let verdict = verdict.and_then(|value| value.to_str().ok()?.parse::<RunVerdict>().ok());
    let Some(verdict) = verdict else {
        return refuse(admitted, &KeyRefusal::ISSUER_UNREACHABLE);
    };
    admitted.span.set_verdict(verdict.into());
    let body = match answer.body {
        AnswerBody::Whole(bytes) => GateBody::whole(bytes),
        AnswerBody::Streamed(body) => GateBody::Streamed(Box::new(StreamedBody {
            body,
            guard: None,
            span: admitted.span,
        })),
    };
    let mut response = Response::with_body(answer.head.status, body);
    forward::copy_headers(&answer.head.headers, response.headers_mut());
    answer::set_header(&mut response, HeaderNames::VERDICT, verdict.into());
    response
}
