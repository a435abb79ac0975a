//! Log events and metrics of one request, from its route to its final answer.
//!
//! When a caller disconnects, the future of its request is dropped. So a span that is dropped before
//! [`RequestSpan::end`] logs that the caller disconnected.

use std::cell::{Cell, RefCell};
use std::time::Duration;

use actix_http::{Request, StatusCode};
use ggs_access::AccessRefusal;
use ggs_model::Clock;
use ggs_observe::LogEvent;
use ggs_place::Placement;
use ggs_relay::FailureKind;
use ggs_route::ActiveRoute;

use crate::answer::LocalAnswer;
use crate::core::EdgeCore;
use crate::placement::PlacementRefusal;
use crate::ports::EdgeWire;
use crate::request::{EdgeRequest, RequestOrigin};
use crate::service::ServiceState;

/// Logs what happens to one request and measures how long it takes.
pub(crate) struct RequestSpan<'a, W, S> {
    core: &'a EdgeCore<W, S>,
    request: &'a EdgeRequest,
    id: String,
    /// Instance of the server chosen last; empty if none was.
    server: RefCell<String>,
    ended: Cell<bool>,
}

impl<'a, W, S> RequestSpan<'a, W, S>
where
    W: EdgeWire,
{
    /// Starts the span of a request.
    pub(crate) fn start(core: &'a EdgeCore<W, S>, request: &'a EdgeRequest) -> Self {
        Self {
            core,
            request,
            id: request.id_text(core.wire.headers()),
            server: RefCell::default(),
            ended: Cell::new(false),
        }
    }

    /// Sets the server to which the request is sent next.
    pub(crate) fn set_server(&self, service: &ServiceState, placement: &Placement) {
        let table = service.table.borrow();
        let server = table.server(placement.server);
        let server = server.map(|server| server.instance.to_string());
        *self.server.borrow_mut() = server.unwrap_or_default();
    }

    /// Forgets the server to which the request was sent last, as it goes through another gate.
    pub(crate) fn clear_server(&self) {
        self.server.borrow_mut().clear();
    }

    /// Logs that neither this gate nor another reaches a server for the request.
    pub(crate) fn log_unreachable(&self, service: &ServiceState) {
        let pairs = slog::o!(
            "request" => self.id.clone(),
            "service" => service.name.to_string(),
            "held_ms" => self.held_ms(),
            "left_ms" => self.left_ms(),
        );
        let log = &self.core.log;
        let message = "no server is reached, and no other gate takes the request";
        log.emit(LogEvent::RequestRefused, message, pairs);
    }

    /// Logs a failed send.
    pub(crate) fn log_failed_send(
        &self,
        service: &ServiceState,
        placement: &Placement,
        kind: FailureKind,
    ) {
        let pairs = slog::o!(
            "request" => self.id.clone(),
            "service" => service.name.to_string(),
            "server" => self.server.borrow().clone(),
            "expected_ms" => placement.expected.as_millis() as u64,
            "has_slot" => placement.has_slot,
            "pace_percent" => placement.pace_percent,
            "cause" => kind.to_string(),
            "method" => self.request.method.to_string(),
            "target" => self.request.target.to_string(),
            "body_bytes" => self.request.body.bytes.len(),
            "held_ms" => self.held_ms(),
        );
        let log = &self.core.log;
        log.emit(LogEvent::AttemptFailed, "request to server failed", pairs);
    }

    /// Logs that no server is expected to answer the request in time.
    pub(crate) fn log_refusal(&self, service: &ServiceState, refusal: &PlacementRefusal) {
        let expected = refusal.best.map(|best| best.expected.as_millis() as u64);
        let pairs = slog::o!(
            "request" => self.id.clone(),
            "service" => service.name.to_string(),
            "servers" => service.table.borrow().len(),
            "best_expected_ms" => expected,
            "retry_after_ms" => refusal.retry_after.as_millis() as u64,
            "held_ms" => self.held_ms(),
            "left_ms" => self.left_ms(),
        );
        let log = &self.core.log;
        log.emit(
            LogEvent::RequestRefused,
            "no server is expected to answer in time; request refused",
            pairs,
        );
    }

    /// Logs that the gate's retry budget for the service is exhausted.
    pub(crate) fn log_retry_denied(&self, service: &ServiceState) {
        let pairs = slog::o!(
            "request" => self.id.clone(),
            "service" => service.name.to_string(),
            "held_ms" => self.held_ms(),
            "left_ms" => self.left_ms(),
        );
        let log = &self.core.log;
        let message = "retry budget is exhausted; request is not retried";
        log.emit(LogEvent::RequestRefused, message, pairs);
    }

    /// Logs that the request is not sent, as servers ended each time they ran it.
    pub(crate) fn log_quarantine(&self, service: &ServiceState, left: Duration) {
        let pairs = slog::o!(
            "request" => self.id.clone(),
            "service" => service.name.to_string(),
            "retry_after_ms" => left.as_millis() as u64,
            "held_ms" => self.held_ms(),
            "left_ms" => self.left_ms(),
        );
        let log = &self.core.log;
        let message = "request is in quarantine and is not sent";
        log.emit(LogEvent::RequestRefused, message, pairs);
    }

    /// Logs the final answer and counts it in the metrics.
    pub(crate) fn end(&self, status: StatusCode) {
        let pairs = slog::o!(
            "request" => self.id.clone(),
            "route" => self.request.route.rule().name.to_string(),
            "status" => status.as_u16(),
            "server" => self.server.borrow().clone(),
            "held_ms" => self.held_ms(),
            "left_ms" => self.left_ms(),
            "from_gate" => self.request.origin == RequestOrigin::Gate,
        );
        self.ended.set(true);
        let log = &self.core.log;
        log.emit(LogEvent::RequestEnded, "request completed", pairs);
        let metrics = &self.core.metrics;
        if self.request.origin == RequestOrigin::Gate {
            // The gate of the caller counts the request.
            metrics.count_taken(status.as_u16());
            return;
        }
        let elapsed = self.core.clock.now().since(self.request.read_at);
        let priority = self.request.priority();
        metrics.observe_request(priority, status.as_u16(), elapsed);
    }

    /// Milliseconds since the head of the request was read.
    fn held_ms(&self) -> u64 {
        let now = self.core.clock.now();
        now.since(self.request.read_at).as_millis() as u64
    }

    /// Milliseconds until the gate must have answered.
    fn left_ms(&self) -> u64 {
        let now = self.core.clock.now();
        self.request.answer_by.since(now).as_millis() as u64
    }
}

impl<W, S> EdgeCore<W, S>
where
    W: EdgeWire,
{
    /// Logs that a caller has no key for a route.
    pub(crate) fn log_unauthorized(
        &self,
        request: &Request,
        route: &ActiveRoute,
        refusal: AccessRefusal,
    ) {
        let id = &self.wire.headers().request_id;
        let id = request.head().headers.get(id);
        let id = id.and_then(|value| value.to_str().ok()).unwrap_or_default();
        let pairs = slog::o!(
            "request" => id.to_owned(),
            "route" => route.rule().name.to_string(),
            "cause" => refusal.to_string(),
            "version" => self.config_feed.version(),
        );
        let message = "caller has no key for the route";
        self.log.emit(LogEvent::CallerUnauthorized, message, pairs);
    }

    /// Logs that a request was answered before its body was read, unless it had none to read.
    pub(crate) fn log_unread_request(&self, request: &Request, answer: LocalAnswer) {
        if !matches!(
            answer,
            LocalAnswer::BodyTooLong | LocalAnswer::NoMemory | LocalAnswer::LateUnsent
        ) {
            return;
        }
        let id = &self.wire.headers().request_id;
        let id = request.head().headers.get(id);
        let id = id.and_then(|value| value.to_str().ok()).unwrap_or_default();
        let pairs = slog::o!(
            "request" => id.to_owned(),
            "cause" => answer.to_string(),
            "status" => answer.status().as_u16(),
            "held_bytes" => self.body_budget.held(),
        );
        let message = "request answered before its body was read";
        self.log.emit(LogEvent::BodyNotRead, message, pairs);
    }
}

impl<W, S> Drop for RequestSpan<'_, W, S> {
    fn drop(&mut self) {
        if self.ended.get() {
            return;
        }
        let now = self.core.clock.now();
        let pairs = slog::o!(
            "request" => self.id.clone(),
            "route" => self.request.route.rule().name.to_string(),
            "server" => self.server.borrow().clone(),
            "held_ms" => now.since(self.request.read_at).as_millis() as u64,
        );
        let message = "caller disconnected before its answer was ready";
        self.core.log.emit(LogEvent::CallerLeft, message, pairs);
    }
}
