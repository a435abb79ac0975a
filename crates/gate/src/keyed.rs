//! Requests with an idempotency key.
//!
//! The gate that issued a key runs its request at most once; other gates forward the request to
//! that gate. A run continues when its caller disconnects, so that a repeat of the key finds the
//! answer.
//!
//! A keyed request gets the verdict "not run" only where the issuing gate knows that nothing ran
//! with the key. Otherwise a caller that repeats a key after a lost answer would take the refusal
//! of the repeat for the outcome of the first request, and send it again with a new key.

use std::rc::Rc;

use actix_http::header::{HeaderMap, HeaderName, HeaderValue};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use ggs_model::{Clock, HeaderNames, RunVerdict};
use ggs_once::{IdempotencyKey, KeptAnswer, KeyAdmission, KeyOutcome, RequestParts, RunPermit};
use ggs_relay::{AnswerBody, RelayBody, RelayFailure, RelayRequest, ServerAnswer};
use tokio::sync::oneshot;
use tokio::time::timeout;

use crate::answer::{self, CallerFault};
use crate::body::GateBody;
use crate::core::GateCore;
use crate::forward::{self, AdmittedRequest, GateAnswer};
use crate::key_forward::send_to_issuer;
use crate::key_refusal::{KeyRefusal, refuse};
use crate::keys::KeyRun;
use crate::request;
use crate::span::RequestSpan;

/// Parses the key of a request; `None` if it has none.
pub(crate) fn read_key(headers: &HeaderMap) -> Result<Option<IdempotencyKey>, CallerFault> {
    let Some(value) = headers.get(HeaderNames::KEY) else {
        return Ok(None);
    };
    let text = value.to_str().map_err(|_| CallerFault::BadKey)?;
    text.parse().map(Some).map_err(|_| CallerFault::BadKey)
}

/// Serves an admitted request that has `key`.
///
/// While another request with the key is running, waits for its end and tries again, up to the
/// deadline of this request.
pub(crate) async fn serve(
    core: &Rc<GateCore>,
    mut admitted: AdmittedRequest,
    key: IdempotencyKey,
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
        let next_run_end = core.keys.next_run_end();
        let now = core.clock.now();
        let admission = core.keys.admit(&key, fingerprint, now);
        match admission {
            KeyAdmission::Run(permit) => return run(core, admitted, permit).await,
            KeyAdmission::OtherIssuer(gate) => return send_to_issuer(core, admitted, gate).await,
            KeyAdmission::Replay(kept) => {
                admitted.span.set_verdict("replayed");
                return replay(&kept);
            }
            KeyAdmission::Running => {
                let time_left = admitted.request.deadline.since(now);
                if timeout(time_left, next_run_end).await.is_err() {
                    return refuse(admitted, &KeyRefusal::STILL_RUNNING);
                }
            }
            KeyAdmission::Finished(RunVerdict::Ran) => {
                return refuse(admitted, &KeyRefusal::ANSWER_NOT_KEPT);
            }
            KeyAdmission::Finished(_) => return refuse(admitted, &KeyRefusal::OUTCOME_UNKNOWN),
            KeyAdmission::Conflict => return refuse(admitted, &KeyRefusal::CONFLICT),
            KeyAdmission::Expired => return refuse(admitted, &KeyRefusal::EXPIRED),
            KeyAdmission::NotIssued => return refuse(admitted, &KeyRefusal::NOT_ISSUED),
            KeyAdmission::Full => return refuse(admitted, &KeyRefusal::MEMORY_FULL),
        }
    }
}

/// Result of a run, for the caller whose request started it.
#[derive(Debug)]
enum RunOutcome {
    /// The whole answer. Repeats of the key get it too, if the limits allow to keep it.
    Kept(KeptAnswer),
    /// The answer is streamed from the server, and only this caller gets it.
    Streamed(Box<GateAnswer>, RequestSpan),
    /// The relay returned no answer.
    Failed(RelayFailure),
}

/// Runs the request in a task of its own, which continues when the caller disconnects.
async fn run(
    core: &Rc<GateCore>,
    admitted: AdmittedRequest,
    permit: RunPermit,
) -> Response<GateBody> {
    let key_run = KeyRun::begin(core, permit);
    let (sender, receiver) = oneshot::channel();
    let core = Rc::clone(core);
    actix_rt::spawn(async move {
        let outcome = run_detached(&core, admitted, key_run).await;
        // If the caller has disconnected, the next request with the key gets the outcome.
        drop(sender.send(outcome));
    });
    match receiver.await {
        Ok(RunOutcome::Kept(kept)) => replay(&kept),
        Ok(RunOutcome::Streamed(relayed, span)) => forward::caller_answer(*relayed, false, span),
        Ok(RunOutcome::Failed(failure)) => answer::relay_failure(&failure),
        Err(_) => {
            let refusal = KeyRefusal::OUTCOME_UNKNOWN;
            answer::failure(refusal.status, refusal.verdict, refusal.reason, None)
        }
    }
}

/// Relays the request and records the outcome of its key.
async fn run_detached(core: &GateCore, admitted: AdmittedRequest, key_run: KeyRun) -> RunOutcome {
    let AdmittedRequest {
        service,
        request,
        mut span,
        ..
    } = admitted;
    // A keyed request is not sent again once it may have run, even if the document allows it.
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
            return RunOutcome::Failed(failure);
        }
    };
    let verdict = forward::answer_verdict(relayed.answer.head.status, false);
    if let AnswerBody::Whole(body) = &relayed.answer.body {
        let kept = kept_answer(&relayed.answer, Bytes::clone(body));
        key_run.end(KeyOutcome::Answered(kept.clone()));
        span.set_verdict(verdict.into());
        return RunOutcome::Kept(kept);
    }
    key_run.end(match verdict {
        RunVerdict::Ran => KeyOutcome::AnswerNotKept,
        RunVerdict::NotRun | RunVerdict::Unknown => KeyOutcome::Unknown,
    });
    RunOutcome::Streamed(Box::new(relayed), span)
}

/// The part of a server's answer that is kept for replays.
fn kept_answer(answer: &ServerAnswer<RelayBody>, body: Bytes) -> KeptAnswer {
    let headers = request::end_to_end_headers(&answer.head.headers);
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

/// Replays a kept answer to a caller.
fn replay(kept: &KeptAnswer) -> Response<GateBody> {
    // The status was that of an answer, so it is valid.
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
