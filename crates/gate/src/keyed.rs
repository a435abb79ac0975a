//! Requests with an issued key.
//!
//! The gate that issued a key runs its request at most once; other gates pass the request on to it.
//! A run goes on when its caller leaves, so that a repeat of the key finds the answer. "Not run" is
//! said of a keyed request only where the issuing gate knows that nothing ran under the key: a caller
//! that repeats a key after a lost answer must not take the refusal of the repeat for the fate of the
//! first request, and send it again under a new key.

use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, Response, StatusCode};
use bytes::Bytes;
use ggs_limit::CallPlace;
use ggs_model::{Clock, GateId, HeaderNames, Incarnation, RequestClass, RunVerdict, ServerId};
use ggs_once::{KeptAnswer, KeyAdmission, KeyOutcome, RequestKey, RequestParts, RunTicket};
use ggs_relay::{
    AnswerBody, AttemptPlan, BodyWatch, RelayBody, RelayFailure, RelayRequest, ServerAnswer,
    ServerTransport,
};
use serde::Serialize;
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::answer::{self, CallerFault};
use crate::body::{GateBody, StreamedBody};
use crate::core::{GateCore, ServiceCore};
use crate::forward::{self, AdmittedRequest, GateAnswer};
use crate::keys::KeyRun;
use crate::request;
use crate::span::RequestSpan;

/// Time after which a refused request with a key is worth sending again.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// Time for another gate to issue a key.
const ISSUE_TIME: Duration = Duration::from_millis(500);

/// A key for a caller.
#[derive(Debug, Serialize)]
struct KeyAnswer {
    key: String,
    /// Time for which the key can be used, in milliseconds.
    ttl_ms: u64,
}

/// Serves `POST /v1/keys/{service}`.
///
/// A gate that drains asks another for the key: its own would be of no use once it has ended.
pub(crate) async fn issue(core: &GateCore, service_name: &str) -> Response<GateBody> {
    let Some(service) = core.service(service_name) else {
        return answer::fault(CallerFault::UnknownService);
    };
    if core.is_draining()
        && let Some(text) = issue_elsewhere(core, &service).await
    {
        let mut response = Response::with_body(StatusCode::OK, GateBody::whole(text));
        answer::set_header(&mut response, "content-type", "application/json");
        return response;
    }
    let key = core.keys.issue(core.clock.now()).to_string();
    let ttl_ms = core.settings.key_ttl_ms;
    answer::json(StatusCode::OK, &KeyAnswer { key, ttl_ms })
}

/// The answer of another gate that issues a key; `None` if none does.
async fn issue_elsewhere(core: &GateCore, service: &ServiceCore) -> Option<Bytes> {
    let now = core.clock.now();
    let name = service.document().document.service.clone();
    let near = &core.settings.data_centre;
    let addresses = core.peers.entries(&name, near, now);
    let address = addresses
        .into_iter()
        .find(|&address| address != core.caller_address())?;
    let mut headers = HeaderMap::new();
    headers.insert(HOST, HeaderValue::from_str(&address.to_string()).ok()?);
    let deadline = now + ISSUE_TIME;
    let request = RelayRequest {
        method: Method::POST,
        target: format!("/v1/keys/{name}").parse().ok()?,
        headers,
        body: Bytes::new(),
        class: RequestClass::Standard,
        idempotent: true,
        place: CallPlace::Outermost,
        deadline,
        watch: BodyWatch::Deadline,
        trust_refusals: false,
    };
    let plan = AttemptPlan {
        fresh: true,
        answer_by: deadline,
        retry: 0,
    };
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
        AnswerBody::Whole(text) if answer.head.status == StatusCode::OK => Some(text),
        AnswerBody::Whole(_) | AnswerBody::Streamed(_) => None,
    }
}

/// The key that a request carries, if any.
pub(crate) fn read_key(headers: &HeaderMap) -> Result<Option<RequestKey>, CallerFault> {
    let Some(value) = headers.get(HeaderNames::KEY) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| CallerFault::BadKey)?;
    text.parse().map(Some).map_err(|_| CallerFault::BadKey)
}

/// Serves an admitted request that carries `key`.
pub(crate) async fn serve(
    core: &Rc<GateCore>,
    mut admitted: AdmittedRequest,
    key: RequestKey,
) -> Response<GateBody> {
    let request = &admitted.request;
    let target = request.target.to_string();
    let fingerprint = core.keys.fingerprint(&RequestParts {
        service: admitted.service_name.as_str(),
        method: request.method.as_str(),
        path: &target,
        body: &request.body,
    });
    loop {
        let next_end = core.keys.next_end();
        let now = core.clock.now();
        let admission = core.keys.admit(&key, fingerprint, now);
        match admission {
            KeyAdmission::Run(ticket) => return run(core, admitted, ticket).await,
            KeyAdmission::Elsewhere(gate) => return pass_on(core, admitted, gate).await,
            KeyAdmission::Replay(kept) => {
                admitted.span.set_verdict("replayed");
                return replay(&kept);
            }
            KeyAdmission::Running => {
                let left = admitted.request.deadline.since(now);
                if timeout(left, next_end).await.is_err() {
                    return refuse(admitted, &KeyRefusal::STILL_RUNNING);
                }
            }
            KeyAdmission::Settled(RunVerdict::Ran) => {
                return refuse(admitted, &KeyRefusal::ANSWER_NOT_KEPT);
            }
            KeyAdmission::Settled(_) => return refuse(admitted, &KeyRefusal::OUTCOME_UNKNOWN),
            KeyAdmission::Conflict => return refuse(admitted, &KeyRefusal::CONFLICT),
            KeyAdmission::Expired => return refuse(admitted, &KeyRefusal::EXPIRED),
            KeyAdmission::NotIssued => return refuse(admitted, &KeyRefusal::NOT_ISSUED),
            KeyAdmission::Full => return refuse(admitted, &KeyRefusal::MEMORY_FULL),
        }
    }
}

/// An answer that the gate gives itself to a keyed request.
#[derive(Clone, Copy, Debug)]
struct KeyRefusal {
    status: StatusCode,
    verdict: RunVerdict,
    reason: &'static str,
    /// Whether the same request may succeed later.
    passing: bool,
}

impl KeyRefusal {
    /// The first request with the key has not ended.
    const STILL_RUNNING: Self = Self {
        status: StatusCode::GATEWAY_TIMEOUT,
        verdict: RunVerdict::Unknown,
        reason: "key-still-running",
        passing: true,
    };
    /// The request ran, and its answer was too large to keep.
    const ANSWER_NOT_KEPT: Self = Self {
        status: StatusCode::GONE,
        verdict: RunVerdict::Ran,
        reason: "answer-not-kept",
        passing: false,
    };
    /// The request may have run.
    const OUTCOME_UNKNOWN: Self = Self {
        status: StatusCode::BAD_GATEWAY,
        verdict: RunVerdict::Unknown,
        reason: "outcome-unknown",
        passing: false,
    };
    /// The key was used for another request, which may have run.
    const CONFLICT: Self = Self {
        status: StatusCode::CONFLICT,
        verdict: RunVerdict::Unknown,
        reason: "key-conflict",
        passing: false,
    };
    /// The key's life has ended, and with it the memory of its use.
    const EXPIRED: Self = Self {
        status: StatusCode::GONE,
        verdict: RunVerdict::Unknown,
        reason: "key-expired",
        passing: false,
    };
    /// The key was altered, or names a number that was never issued.
    const NOT_ISSUED: Self = Self {
        status: StatusCode::BAD_REQUEST,
        verdict: RunVerdict::Unknown,
        reason: "key-not-issued",
        passing: false,
    };
    /// No memory is left for a key that was not used before.
    const MEMORY_FULL: Self = Self {
        status: StatusCode::SERVICE_UNAVAILABLE,
        verdict: RunVerdict::NotRun,
        reason: "key-memory-full",
        passing: true,
    };
    /// The run of the gate that issued the key has ended, and with it the memory of its use.
    const ISSUER_GONE: Self = Self {
        status: StatusCode::GONE,
        verdict: RunVerdict::Unknown,
        reason: "issuer-gone",
        passing: false,
    };
    /// This gate knows no address of the gate that issued the key.
    const ISSUER_UNKNOWN: Self = Self {
        status: StatusCode::SERVICE_UNAVAILABLE,
        verdict: RunVerdict::Unknown,
        reason: "issuer-unknown",
        passing: true,
    };
    /// The gate that issued the key did not answer.
    const ISSUER_UNREACHABLE: Self = Self {
        status: StatusCode::GATEWAY_TIMEOUT,
        verdict: RunVerdict::Unknown,
        reason: "issuer-unreachable",
        passing: true,
    };
}

/// Answers with a refusal.
fn refuse(mut admitted: AdmittedRequest, refusal: &KeyRefusal) -> Response<GateBody> {
    admitted.span.set_verdict(refusal.verdict.into());
    admitted.service.metrics().count_refusal(refusal.reason);
    let wait = refusal.passing.then_some(RETRY_AFTER);
    answer::failure(refusal.status, refusal.verdict, refusal.reason, wait)
}

/// How a run ended, for the caller that started it.
#[derive(Debug)]
enum RunEnd {
    Kept(KeptAnswer),
    Streamed(Box<GateAnswer>, RequestSpan),
    Failed(RelayFailure),
}

/// Runs the request; the run goes on when the caller leaves.
async fn run(
    core: &Rc<GateCore>,
    admitted: AdmittedRequest,
    ticket: RunTicket,
) -> Response<GateBody> {
    let key_run = KeyRun::begin(core, ticket);
    let (sender, receiver) = oneshot::channel();
    let core = Rc::clone(core);
    actix_rt::spawn(async move {
        let end = run_detached(&core, admitted, key_run).await;
        // A caller that left is told by the next request with the key.
        drop(sender.send(end));
    });
    match receiver.await {
        Ok(RunEnd::Kept(kept)) => replay(&kept),
        Ok(RunEnd::Streamed(relayed, span)) => forward::answered(*relayed, false, span),
        Ok(RunEnd::Failed(failure)) => answer::relay_failure(&failure),
        Err(_) => {
            let refusal = KeyRefusal::OUTCOME_UNKNOWN;
            answer::failure(refusal.status, refusal.verdict, refusal.reason, None)
        }
    }
}

/// Relays the request and ends its run.
async fn run_detached(core: &GateCore, admitted: AdmittedRequest, key_run: KeyRun) -> RunEnd {
    let AdmittedRequest {
        service,
        request,
        mut span,
        ..
    } = admitted;
    // Whatever the document says, a request with a key is not sent again once it may have run.
    let request = RelayRequest {
        idempotent: false,
        ..request
    };
    let relayed = match forward::relay(core, &service, &request).await {
        Ok(relayed) => relayed,
        Err(failure) => {
            span.set_verdict(failure.verdict.into());
            service.metrics().count_refusal(failure.kind.into());
            key_run.end(match failure.verdict {
                RunVerdict::NotRun => KeyOutcome::NotRun,
                RunVerdict::Ran | RunVerdict::Unknown => KeyOutcome::Unknown,
            });
            return RunEnd::Failed(failure);
        }
    };
    let verdict = forward::answer_verdict(relayed.answer.head.status, false);
    if let AnswerBody::Whole(body) = &relayed.answer.body {
        let kept = kept_answer(&relayed.answer, Bytes::clone(body));
        key_run.end(KeyOutcome::Answered(kept.clone()));
        span.set_verdict(verdict.into());
        return RunEnd::Kept(kept);
    }
    key_run.end(match verdict {
        RunVerdict::Ran => KeyOutcome::AnsweredUnkept,
        RunVerdict::NotRun | RunVerdict::Unknown => KeyOutcome::Unknown,
    });
    RunEnd::Streamed(Box::new(relayed), span)
}

/// What is kept of a server's answer.
fn kept_answer(answer: &ServerAnswer<RelayBody>, body: Bytes) -> KeptAnswer {
    let headers = request::end_to_end(&answer.head.headers);
    let headers = headers.iter().map(|(name, value)| {
        let value = Bytes::copy_from_slice(value.as_bytes());
        (name.as_str().to_owned(), value)
    });
    KeptAnswer {
        status: answer.head.status.as_u16(),
        headers: headers.collect(),
        body,
    }
}

/// The caller's answer from a kept one.
fn replay(kept: &KeptAnswer) -> Response<GateBody> {
    // The status came from an answer, so it is valid.
    let status = StatusCode::from_u16(kept.status).unwrap_or(StatusCode::BAD_GATEWAY);
    let mut response = Response::with_body(status, GateBody::whole(Bytes::clone(&kept.body)));
    for (name, value) in &kept.headers {
        let name = HeaderName::from_bytes(name.as_bytes());
        let value = HeaderValue::from_bytes(value);
        if let (Ok(name), Ok(value)) = (name, value)
            && name.as_str() != HeaderNames::REQUEST_ID
        {
            response.headers_mut().append(name, value);
        }
    }
    let verdict = forward::answer_verdict(status, false);
    answer::set_header(&mut response, HeaderNames::VERDICT, verdict.into());
    response
}

/// Passes the request on to the gate that issued its key, once.
async fn pass_on(
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
    let Some(address) = core.caller_of(&issuer) else {
        return refuse(admitted, &KeyRefusal::ISSUER_UNKNOWN);
    };
    let server = ServerId {
        address,
        incarnation: issuer.incarnation,
    };
    let request = passed_request(core, &admitted);
    let plan = AttemptPlan {
        fresh: true,
        answer_by: request.deadline,
        retry: u32::from(request.place == CallPlace::Retried),
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
            hold: None,
            span: admitted.span,
        })),
    };
    let mut response = Response::with_body(answer.head.status, body);
    forward::copy_headers(&answer.head.headers, response.headers_mut());
    answer::set_header(&mut response, HeaderNames::VERDICT, verdict.into());
    response
}
