//! The transport to servers, with a look at the head of each answer.
//!
//! What an answer says of its server (leaving, incarnation) is noted here, once for every attempt,
//! whether the relay then keeps the answer or turns it down. Most answers say nothing new, so the
//! notes are a short list that another task empties.

use std::cell::RefCell;

use actix_http::header::HeaderMap;
use ggs_model::{HeaderNames, Incarnation, ServerId};
use ggs_observe::ServiceMetrics;
use ggs_relay::{
    AttemptFailure, AttemptPlan, ConnectionPool, HttpTransport, RelayBody, RelayRequest,
    ServerAnswer, ServerTransport,
};
use tokio::sync::Notify;

/// Signs kept until they are taken; later ones are dropped, as they come again with each answer.
const MAX_PENDING_UPDATES: usize = 1_024;

/// What an answer said of its server beyond its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ServerUpdate {
    /// The run of the server as the gate knew it.
    pub(crate) server: ServerId,
    /// The run that answered, if the answer names it.
    pub(crate) incarnation: Option<Incarnation>,
    /// Whether the server said that it is leaving.
    pub(crate) leaving: bool,
}

/// Makes attempts over HTTP and notes signs in the heads of answers.
#[derive(Debug)]
pub(crate) struct GateTransport {
    inner: HttpTransport,
    updates: RefCell<Vec<ServerUpdate>>,
    updates_ready: Notify,
}

impl GateTransport {
    /// A transport with the connections of `pool`.
    pub(crate) fn new(pool: ConnectionPool) -> Self {
        let inner = HttpTransport::new(pool);
        Self {
            inner,
            updates: RefCell::new(Vec::new()),
            updates_ready: Notify::new(),
        }
    }

    /// The transport's connections.
    pub(crate) fn pool(&self) -> &ConnectionPool {
        self.inner.pool()
    }

    /// Waits for signs and takes them.
    pub(crate) async fn take_updates(&self) -> Vec<ServerUpdate> {
        loop {
            let updates = std::mem::take(&mut *self.updates.borrow_mut());
            if !updates.is_empty() {
                return updates;
            }
            self.updates_ready.notified().await;
        }
    }

    /// Makes an attempt and notes what its answer says of the server.
    pub(crate) async fn attempt(
        &self,
        server: ServerId,
        request: &RelayRequest,
        plan: AttemptPlan,
    ) -> Result<ServerAnswer<RelayBody>, AttemptFailure> {
        let answer = self.inner.attempt(server, request, plan).await?;
        self.record_update(server, &answer.head.headers);
        Ok(answer)
    }

    /// Notes what a head says of its server.
    fn record_update(&self, server: ServerId, headers: &HeaderMap) {
        let leaving = headers.contains_key(HeaderNames::LEAVING);
        let incarnation = headers.get(HeaderNames::INCARNATION);
        let incarnation = incarnation.and_then(|value| value.to_str().ok()?.parse().ok());
        let is_other = incarnation.is_some_and(|incarnation| incarnation != server.incarnation);
        let mut updates = self.updates.borrow_mut();
        if !(leaving || is_other) || updates.len() >= MAX_PENDING_UPDATES {
            return;
        }
        updates.push(ServerUpdate {
            server,
            incarnation,
            leaving,
        });
        self.updates_ready.notify_one();
    }
}

/// Makes attempts for one service and counts them.
#[derive(Debug)]
pub(crate) struct ServiceTransport<'a> {
    /// The gate's transport.
    pub(crate) gate: &'a GateTransport,
    /// Where attempts are counted.
    pub(crate) metrics: &'a ServiceMetrics,
}

impl ServerTransport for ServiceTransport<'_> {
    type Body = RelayBody;

    async fn attempt(
        &self,
        server: ServerId,
        request: &RelayRequest,
        plan: AttemptPlan,
    ) -> Result<ServerAnswer<RelayBody>, AttemptFailure> {
        if plan.retry_count > 0 {
            self.metrics.count_retry();
        }
        let result = self.gate.attempt(server, request, plan).await;
        match &result {
            Ok(_) => self.metrics.count_attempt("answered"),
            Err(failure) => self.metrics.count_attempt(failure.kind.into()),
        }
        result
    }
}
