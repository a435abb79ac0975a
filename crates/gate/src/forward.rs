//! Requests to services.

use std::rc::Rc;

use actix_http::header::HeaderMap;
use actix_http::{Request, Response, StatusCode};
use ggs_model::{Clock, HeaderNames, RunVerdict};
use ggs_relay::{AnswerBody, RelayAnswer, RelayBody, RelayFailure, RelayLoop, RelayRequest};

use crate::answer::{self, CallerFault};
use crate::body::{GateBody, StreamedBody};
use crate::core::{GateChooser, GateCore, ServiceCore};
use crate::request::{self, RequestTerms, ServiceRequest};
use crate::span::RequestSpan;
use crate::transport::ServiceTransport;

/// The result of relaying a request.
pub(crate) type RelayResult =
    Result<RelayAnswer<RelayBody, GateChooser, ggs_model::BootClock>, RelayFailure>;

/// Serves `/s/{service}/…`.
pub(crate) async fn serve(
    core: &Rc<GateCore>,
    service_name: &str,
    target: &str,
    mut request: Request,
) -> Response<GateBody> {
    let came = core.clock.now();
    let Some(service) = core.service(service_name) else {
        return answer::fault(CallerFault::UnknownService);
    };
    let payload = request.take_payload();
    let head = ServiceRequest {
        method: request.method(),
        target,
        headers: &request.head().headers,
    };
    let document = service.document().document;
    let terms = match RequestTerms::read(&document, &head, came) {
        Ok(terms) => terms,
        Err(fault) => return answer::fault(fault),
    };
    let mut span = match RequestSpan::enter(core, &service, &document, terms.class, came) {
        Ok(span) => span,
        Err(refusal) => {
            let reason = answer::entry_reason(refusal.cause);
            service.metrics().count_refusal(reason);
            return answer::entry_refusal(&refusal);
        }
    };
    let time = terms.deadline.since(came);
    let body = match request::read_body(payload, core.settings.body_limit, time).await {
        Ok(body) => body,
        Err(fault) => return answer::fault(fault),
    };
    let prepared = terms.into_request(&document, &head, body);
    match relay(core, &service, &prepared).await {
        Ok(relayed) => answered(relayed, &prepared, span),
        Err(failure) => {
            span.set_verdict(failure.verdict.into());
            service.metrics().count_refusal(failure.kind.into());
            answer::relay_failure(&failure)
        }
    }
}

/// Relays a prepared request to a server.
pub(crate) async fn relay(
    core: &GateCore,
    service: &ServiceCore,
    request: &RelayRequest,
) -> RelayResult {
    let metrics = service.metrics();
    let transport = ServiceTransport {
        gate: &core.transport,
        metrics: &metrics,
    };
    let relay = RelayLoop {
        transport: &transport,
        chooser: &service.chooser,
        retries: &service.retries,
        clock: core.clock,
    };
    relay.run(request).await
}

/// The caller's answer from the server's.
fn answered(
    relayed: RelayAnswer<RelayBody, GateChooser, ggs_model::BootClock>,
    request: &RelayRequest,
    mut span: RequestSpan,
) -> Response<GateBody> {
    let RelayAnswer { answer, hold } = relayed;
    let status = answer.head.status;
    let verdict = answer_verdict(status, request.idempotent);
    span.set_verdict(if verdict == RunVerdict::Ran {
        "ran"
    } else {
        "unknown"
    });
    let body = match answer.body {
        AnswerBody::Whole(bytes) => GateBody::whole(bytes),
        AnswerBody::Streamed(body) => {
            GateBody::Streamed(Box::new(StreamedBody { body, hold, span }))
        }
    };
    let mut response = Response::with_body(status, body);
    copy_headers(&answer.head.headers, response.headers_mut());
    answer::set_header(&mut response, HeaderNames::VERDICT, verdict.into());
    response
}

/// What a server's own answer says of the request's effect.
pub(crate) fn answer_verdict(status: StatusCode, idempotent: bool) -> RunVerdict {
    if status.is_server_error() && !idempotent {
        RunVerdict::Unknown
    } else {
        RunVerdict::Ran
    }
}

/// Copies the headers that are passed on to callers.
fn copy_headers(from: &HeaderMap, to: &mut HeaderMap) {
    for (name, value) in request::end_to_end(from) {
        if name.as_str() != HeaderNames::REQUEST_ID {
            to.append(name, value);
        }
    }
}
