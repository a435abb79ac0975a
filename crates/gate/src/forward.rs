//! Requests to services.

use std::rc::Rc;

use actix_http::header::HeaderMap;
use actix_http::{Request, Response, StatusCode};
use ggs_model::{Clock, HeaderNames, Moment, RequestClass, RunVerdict};
use ggs_observe::RequestLabels;
use ggs_relay::{AnswerBody, RelayAnswer, RelayBody, RelayFailure, RelayLoop, RelayRequest};

use crate::answer::{self, CallerFault};
use crate::body::{GateBody, StreamedBody};
use crate::core::{GateChooser, GateCore, ServiceCore};
use crate::request::{self, CallerTerms, ServiceRequest};

/// The result of relaying a request.
pub(crate) type RelayResult =
    Result<RelayAnswer<RelayBody, GateChooser, ggs_model::BootClock>, RelayFailure>;

/// Counts one request from its head to the end of its answer.
#[derive(Debug)]
pub(crate) struct RequestSpan {
    core: Rc<GateCore>,
    labels: RequestLabels,
    came: Moment,
}

impl RequestSpan {
    /// Starts to count a request that came at `came`.
    pub(crate) fn new(
        core: &Rc<GateCore>,
        partner: &str,
        class: RequestClass,
        came: Moment,
    ) -> Self {
        core.metrics.in_flight.inc();
        let labels = RequestLabels {
            partner: partner.to_owned(),
            class: class.into(),
            verdict: "unknown",
        };
        Self {
            core: Rc::clone(core),
            labels,
            came,
        }
    }

    /// Notes what became of the request.
    pub(crate) fn set_verdict(&mut self, verdict: &'static str) {
        self.labels.verdict = verdict;
    }

    /// Notes that the answer was cut after its head.
    pub(crate) fn set_cut(&mut self) {
        self.labels.verdict = "cut";
    }
}

impl Drop for RequestSpan {
    fn drop(&mut self) {
        let elapsed = self.core.clock.now().since(self.came);
        let metrics = &self.core.metrics;
        metrics
            .latency
            .get_or_create(&self.labels)
            .observe(elapsed.as_secs_f64());
        metrics.in_flight.dec();
    }
}

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
    let prepared = prepare(core, &service, &head, payload, came).await;
    let prepared = match prepared {
        Ok(prepared) => prepared,
        Err(fault) => return answer::fault(fault),
    };
    let partner = service.document().document.partner.clone();
    let mut span = RequestSpan::new(core, partner.as_str(), prepared.class, came);
    match relay(core, &service, &prepared).await {
        Ok(relayed) => answered(relayed, &prepared, span),
        Err(failure) => {
            span.set_verdict(failure.verdict.into());
            answer::relay_failure(&failure)
        }
    }
}

/// Checks a request and reads its body.
async fn prepare(
    core: &GateCore,
    service: &ServiceCore,
    head: &ServiceRequest<'_>,
    payload: actix_http::Payload,
    came: Moment,
) -> Result<RelayRequest, CallerFault> {
    let document = service.document().document;
    let terms = CallerTerms::read(head.headers)?;
    let time = terms
        .deadline
        .unwrap_or_else(|| document.default_deadline(terms.class));
    let body = request::read_body(payload, core.settings.body_limit, time).await?;
    request::prepare(core, &document, head, terms, body, came)
}

/// Relays a prepared request to a server.
pub(crate) async fn relay(
    core: &GateCore,
    service: &ServiceCore,
    request: &RelayRequest,
) -> RelayResult {
    let relay = RelayLoop {
        transport: &core.transport,
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
