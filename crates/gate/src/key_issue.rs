//! Issues idempotency keys to callers.
//!
//! A key works only while the gate process that issued it runs, so a draining gate has another gate
//! issue it.

use std::time::Duration;

use actix_http::{Method, Response, StatusCode};
use bytes::Bytes;
use ggs_model::{Clock, Incarnation, ServerId};
use ggs_relay::{AnswerBody, AttemptPlan, ServerTransport};
use serde::Serialize;

use crate::answer::{self, CallerFault};
use crate::body::GateBody;
use crate::core::{GateCore, ServiceCore};
use crate::request;

/// Timeout for another gate to issue a key.
const ISSUE_TIMEOUT: Duration = Duration::from_millis(500);

/// A new key, as sent to the caller.
#[derive(Debug, Serialize)]
struct KeyAnswer {
    key: String,
    /// Time for which the key can be used, in milliseconds.
    ttl_ms: u64,
}

/// Serves `POST /v1/keys/{service}`.
///
/// A draining gate issues a key of its own only if no other gate issues one.
pub(crate) async fn serve(core: &GateCore, service_name: &str) -> Response<GateBody> {
    let Some(service) = core.service(service_name) else {
        return answer::fault(CallerFault::UnknownService);
    };
    if core.is_draining()
        && let Some(body) = issue_at_other_gate(core, &service).await
    {
        let mut response = Response::with_body(StatusCode::OK, GateBody::whole(body));
        answer::set_header(&mut response, "content-type", "application/json");
        return response;
    }
    let key = core.keys.issue(core.clock.now()).to_string();
    let ttl_ms = core.settings.key_ttl_ms;
    answer::json(StatusCode::OK, &KeyAnswer { key, ttl_ms })
}

/// Body of the answer with which another gate issues a key; `None` if there is no other gate or it
/// issues none.
async fn issue_at_other_gate(core: &GateCore, service: &ServiceCore) -> Option<Bytes> {
    let now = core.clock.now();
    let name = service.document().document.service.clone();
    let near = &core.settings.data_centre;
    let addresses = core.peers.entries(&name, near, now);
    let address = addresses
        .into_iter()
        .find(|&address| address != core.caller_address())?;
    let deadline = now + ISSUE_TIMEOUT;
    let target = format!("/v1/keys/{name}").parse().ok()?;
    let request = request::own_request(Method::POST, address, target, deadline);
    // A connection from the pool may be stale, and there is only one attempt.
    let plan = AttemptPlan {
        new_connection: true,
        answer_deadline: deadline,
        retry_count: 0,
    };
    // Gates do not check the incarnation that a request is sent to.
    let incarnation = Incarnation::default();
    let server = ServerId {
        address,
        incarnation,
    };
    let answer = core
        .keys
        .transport
        .attempt(server, &request, plan)
        .await
        .ok()?;
    match answer.body {
        AnswerBody::Whole(body) if answer.head.status == StatusCode::OK => Some(body),
        AnswerBody::Whole(_) | AnswerBody::Streamed(_) => None,
    }
}
