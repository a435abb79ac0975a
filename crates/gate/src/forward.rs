//! Serves requests to services.
//!
//! A request is validated and admitted, its body is read, and it is relayed to a server. Requests
//! with an idempotency key take the path in [`keyed`], which runs them at most once.

use std::rc::Rc;

use actix_http::header::HeaderMap;
use actix_http::{Request, Response, StatusCode};
use ggs_limit::AdmissionRefusal;
use ggs_model::{Clock, HeaderNames, Moment, RunVerdict, ServiceName};
use ggs_relay::{AnswerBody, RelayAnswer, RelayBody, RelayFailure, RelayLoop, RelayRequest};

use crate::answer::{self, CallerFault};
use crate::body::{GateBody, StreamedBody};
use crate::chooser::GateChooser;
use crate::core::{GateCore, ServiceCore};
use crate::keyed;
use crate::request::{self, RequestParameters, ServiceRequest};
use crate::span::RequestSpan;
use crate::transport::ServiceTransport;

/// The answer of a server, or why the relay returned none.
pub(crate) type RelayResult = Result<GateAnswer, RelayFailure>;

/// A server's answer, with the guard that keeps its attempt counted as in flight.
pub(crate) type GateAnswer = RelayAnswer<RelayBody, GateChooser, ggs_model::BootClock>;

/// An admitted request with its body.
#[derive(Debug)]
pub(crate) struct AdmittedRequest {
    /// Name of the service, from its document.
    pub(crate) service_name: ServiceName,
    /// State of the service at this gate.
    pub(crate) service: Rc<ServiceCore>,
    /// The request, ready for the relay.
    pub(crate) request: RelayRequest,
    /// Holds the admission and measures the request.
    pub(crate) span: RequestSpan,
}

/// Why a request was not admitted: it is invalid, or a limit refused it.
#[derive(Debug)]
enum AdmissionError {
    Invalid(CallerFault),
    Refused(AdmissionRefusal),
}

impl From<CallerFault> for AdmissionError {
    fn from(fault: CallerFault) -> Self {
        Self::Invalid(fault)
    }
}

/// Serves `/s/{service}/…`. If a keyed request is not admitted, the verdict covers earlier uses of
/// its key.
pub(crate) async fn serve(
    core: &Rc<GateCore>,
    service_name: &str,
    target: &str,
    mut request: Request,
    arrived_at: Moment,
) -> Response<GateBody> {
    let key = match keyed::read_key(&request.head().headers) {
        Ok(key) => key,
        Err(fault) => return answer::fault(fault),
    };
    let admitted = admit(core, service_name, target, &mut request, arrived_at).await;
    match (admitted, key) {
        (Ok(admitted), None) => relay_unkeyed(core, admitted).await,
        (Ok(admitted), Some(key)) => keyed::serve(core, admitted, key).await,
        (Err(error), key) => {
            let now = core.clock.now();
            let verdict = key.map_or(RunVerdict::NotRun, |key| {
                core.keys.refusal_verdict(&key, now)
            });
            match error {
                AdmissionError::Invalid(fault) => answer::fault_with_verdict(fault, verdict),
                AdmissionError::Refused(refusal) => answer::admission_refusal(&refusal, verdict),
            }
        }
    }
}

/// Validates and admits a request, and reads its body.
async fn admit(
    core: &Rc<GateCore>,
    service_name: &str,
    target: &str,
    request: &mut Request,
    received_at: Moment,
) -> Result<AdmittedRequest, AdmissionError> {
    let service = core.service(service_name);
    let service = service.ok_or(CallerFault::UnknownService)?;
    service.record_request(received_at);
    let payload = request.take_payload();
    let head = ServiceRequest {
        method: request.method(),
        target,
        headers: &request.head().headers,
    };
    let document = service.document().document;
    let parameters = RequestParameters::read(&document, &head, received_at)?;
    let span = RequestSpan::admit(core, &service, &document, parameters.class, received_at);
    let span = span.map_err(|refusal| {
        let reason = answer::refusal_reason(refusal.cause);
        service.metrics().count_refusal(reason);
        AdmissionError::Refused(refusal)
    })?;
    let time_limit = parameters.deadline.since(core.clock.now());
    let body = request::read_body(payload, core.settings.body_limit, time_limit).await?;
    let request = parameters.into_request(&document, &head, body);
    Ok(AdmittedRequest {
        service_name: document.service.clone(),
        service,
        request,
        span,
    })
}

/// Relays a request without a key.
async fn relay_unkeyed(core: &GateCore, admitted: AdmittedRequest) -> Response<GateBody> {
    let AdmittedRequest {
        service,
        request,
        mut span,
        ..
    } = admitted;
    match relay(core, &service, &request).await {
        Ok(relayed) => caller_answer(relayed, request.idempotent, span),
        Err(failure) => {
            span.set_verdict(failure.verdict.into());
            service.metrics().count_refusal(failure.kind.into());
            answer::relay_failure(&failure)
        }
    }
}

/// Relays a request to a server, with retries.
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

/// Turns a server's answer into the answer to the caller.
pub(crate) fn caller_answer(
    relayed: GateAnswer,
    idempotent: bool,
    mut span: RequestSpan,
) -> Response<GateBody> {
    let RelayAnswer { answer, guard } = relayed;
    let status = answer.head.status;
    let verdict = answer_verdict(status, idempotent);
    span.set_verdict(if verdict == RunVerdict::Ran {
        "ran"
    } else {
        "unknown"
    });
    let body = match answer.body {
        AnswerBody::Whole(bytes) => GateBody::whole(bytes),
        AnswerBody::Streamed(body) => GateBody::Streamed(Box::new(StreamedBody {
            body,
            guard: Some(guard),
            span,
        })),
    };
    let mut response = Response::with_body(status, body);
    copy_headers(&answer.head.headers, response.headers_mut());
    answer::set_header(&mut response, HeaderNames::VERDICT, verdict.into());
    response
}

/// Verdict on a request that a server answered: unknown after a 5xx status to a non-idempotent
/// request, otherwise `Ran`.
pub(crate) fn answer_verdict(status: StatusCode, idempotent: bool) -> RunVerdict {
    if status.is_server_error() && !idempotent {
        RunVerdict::Unknown
    } else {
        RunVerdict::Ran
    }
}

/// Copies the headers that are forwarded to callers: all end-to-end headers but the request id,
/// which is the number of the attempt at the server.
pub(crate) fn copy_headers(from: &HeaderMap, to: &mut HeaderMap) {
    for (name, value) in request::end_to_end_headers(from) {
        if name.as_str() != HeaderNames::REQUEST_ID {
            to.append(name, value);
        }
    }
}
