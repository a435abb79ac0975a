//! One request of a caller, from its admission to the end of its answer.

use std::rc::Rc;

use ggs_limit::{EntryPass, EntryRefusal, EntryRequest};
use ggs_model::{Clock, Moment, RequestClass, ServiceDocument};
use ggs_observe::ServiceMetrics;

use crate::core::{GateCore, ServiceCore};

/// Keeps a request admitted and measures it; ends when dropped.
#[derive(Debug)]
pub(crate) struct RequestSpan {
    core: Rc<GateCore>,
    pass: Option<EntryPass>,
    metrics: Rc<ServiceMetrics>,
    class: RequestClass,
    verdict: &'static str,
    came: Moment,
}

impl RequestSpan {
    /// Admits a request that came at `came`.
    pub(crate) fn enter(
        core: &Rc<GateCore>,
        service: &ServiceCore,
        document: &ServiceDocument,
        class: RequestClass,
        came: Moment,
    ) -> Result<Self, EntryRefusal> {
        let request = EntryRequest {
            service: &document.service,
            partner: &document.partner,
            class,
            limits: &document.in_flight,
        };
        let pass = core.limits.borrow_mut().enter(&request)?;
        core.metrics.in_flight.inc();
        Ok(Self {
            core: Rc::clone(core),
            pass: Some(pass),
            metrics: service.metrics(),
            class,
            verdict: "not-run",
            came,
        })
    }

    /// Notes what became of the request.
    pub(crate) fn set_verdict(&mut self, verdict: &'static str) {
        self.verdict = verdict;
    }
}

impl Drop for RequestSpan {
    fn drop(&mut self) {
        let elapsed = self.core.clock.now().since(self.came);
        self.metrics
            .observe_request(self.class, self.verdict, elapsed);
        self.core.metrics.in_flight.dec();
        if let Some(pass) = self.pass.take() {
            self.core.limits.borrow_mut().leave(pass);
        }
    }
}
