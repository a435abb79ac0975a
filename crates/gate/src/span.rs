//! Span of one request, from its admission to the end of its answer.
//!
//! A streamed answer may end long after its head was sent, or the caller may disconnect before.
//! Releasing the admission in `drop` covers every case.

use std::rc::Rc;

use ggs_limit::{AdmissionPermit, AdmissionRefusal, AdmissionRequest};
use ggs_model::{Clock, Moment, RequestClass, ServiceDocument};
use ggs_observe::ServiceMetrics;

use crate::core::{GateCore, ServiceCore};

/// Holds the admission of a request and measures the time until its answer ends. Dropping it
/// releases the admission and records the request with its verdict in the metrics.
#[derive(Debug)]
pub(crate) struct RequestSpan {
    core: Rc<GateCore>,
    permit: Option<AdmissionPermit>,
    metrics: Rc<ServiceMetrics>,
    class: RequestClass,
    verdict: &'static str,
    received_at: Moment,
}

impl RequestSpan {
    /// Admits a request that was received at `received_at`. The verdict is `not-run` until it is
    /// set.
    pub(crate) fn admit(
        core: &Rc<GateCore>,
        service: &ServiceCore,
        document: &ServiceDocument,
        class: RequestClass,
        received_at: Moment,
    ) -> Result<Self, AdmissionRefusal> {
        let request = AdmissionRequest {
            service: &document.service,
            partner: &document.partner,
            class,
            limits: &document.in_flight,
        };
        let permit = core.limits.borrow_mut().admit(&request)?;
        core.metrics.in_flight.inc();
        Ok(Self {
            core: Rc::clone(core),
            permit: Some(permit),
            metrics: service.metrics(),
            class,
            verdict: "not-run",
            received_at,
        })
    }

    /// Sets the verdict under which the metrics count the request.
    pub(crate) fn set_verdict(&mut self, verdict: &'static str) {
        self.verdict = verdict;
    }
}

impl Drop for RequestSpan {
    fn drop(&mut self) {
        let elapsed = self.core.clock.now().since(self.received_at);
        self.metrics
            .observe_request(self.class, self.verdict, elapsed);
        self.core.metrics.in_flight.dec();
        if let Some(permit) = self.permit.take() {
            self.core.limits.borrow_mut().release(permit);
        }
    }
}
