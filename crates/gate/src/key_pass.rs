//! Requests passed on to the gate that issued their key.

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

/// Passes the request on to the gate that issued its key, once.
pub(crate) async fn pass_on(
    core: &Rc<GateCore>,
    admitted: AdmittedRequest,
    issuer: GateId,
) -> Response<GateBody> {
    let passed = admitted
        .request
        .headers
        .contains_key(HeaderNames::PASSED_BY);
    if passed || issuer.host == core.id.host {
        return refuse(admitted, &KeyRefusal::ISSUER_GONE);
    }
    let Some(address) = core.caller_address_of(&issuer) else {
        return refuse(admitted, &KeyRefusal::ISSUER_UNKNOWN);
    };
    let server = ServerId {
        address,
        incarnation: issuer.incarnation,
    };
    let request = passed_request(core, &admitted);
    let plan = AttemptPlan {
        new_connection: true,
        answer_deadline: request.deadline,
        retry_count: u32::from(request.position == ChainPosition::Retried),
    };
    match core.keys.transport.attempt(server, &request, plan).await {
        Ok(answer) => passed_answer(admitted, answer),
        // The request may have run earlier through its issuer, whatever became of this attempt.
        Err(_) => refuse(admitted, &KeyRefusal::ISSUER_UNREACHABLE),
    }
}

/// The request as the issuing gate is to see it.
fn passed_request(core: &GateCore, admitted: &AdmittedRequest) -> RelayRequest {
    let mut request = admitted.request.clone();
    let target = format!("/s/{}{}", admitted.service_name, request.target);
    // Both parts were parsed before.
    request.target = target.parse().unwrap_or(request.target);
    let name = HeaderName::from_static(HeaderNames::PASSED_BY);
    if let Ok(value) = HeaderValue::from_str(core.id.host.as_str()) {
        request.headers.insert(name, value);
    }
    request
}

/// The caller's answer from that of the issuing gate.
fn passed_answer(
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
