//! Transport to servers that also reads what each answer's headers report about the server.
//!
//! A report that a server is leaving or has another incarnation is recorded here once for each
//! attempt, whether the relay then uses or rejects the answer. Most answers report nothing new, so
//! the updates go into a short list that another task empties.

use std::cell::RefCell;

use actix_http::header::HeaderMap;
use ggs_model::{HeaderNames, Incarnation, ServerId};
use ggs_observe::ServiceMetrics;
use ggs_relay::{
    AttemptFailure, AttemptPlan, ConnectionPool, HttpTransport, RelayBody, RelayRequest,
    ServerAnswer, ServerTransport,
};
use tokio::sync::Notify;

/// Limit on updates that wait to be taken. Further ones are dropped, as each later answer of the
/// server reports the same again.
const MAX_PENDING_UPDATES: usize = 1_024;

/// What an answer reports about its server beyond its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ServerUpdate {
    /// The server that the attempt was sent to, with the incarnation that the gate knew.
    pub(crate) server: ServerId,
    /// The incarnation that answered, if the answer names it.
    pub(crate) incarnation: Option<Incarnation>,
    /// Whether the answer reports that the server is leaving.
    pub(crate) leaving: bool,
}

/// Makes attempts over HTTP and records what the answers report about their servers.
#[derive(Debug)]
pub(crate) struct GateTransport {
    inner: HttpTransport,
    updates: RefCell<Vec<ServerUpdate>>,
    updates_ready: Notify,
}

impl GateTransport {
    /// Creates a transport that uses the connections of `pool`.
    pub(crate) fn new(pool: ConnectionPool) -> Self {
        let inner = HttpTransport::new(pool);
        Self {
            inner,
            updates: RefCell::new(Vec::new()),
            updates_ready: Notify::new(),
        }
    }

    /// The pool of connections to servers.
    pub(crate) fn pool(&self) -> &ConnectionPool {
        self.inner.pool()
    }

    /// Waits until there are updates and takes them all.
    pub(crate) async fn take_updates(&self) -> Vec<ServerUpdate> {
        loop {
            let updates = std::mem::take(&mut *self.updates.borrow_mut());
            if !updates.is_empty() {
                return updates;
            }
            self.updates_ready.notified().await;
        }
    }

    /// Makes an attempt and records what its answer reports about the server.
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

    /// Records an update if the headers report that `server` is leaving or has another incarnation.
    fn record_update(&self, server: ServerId, headers: &HeaderMap) {
        let leaving = headers.contains_key(HeaderNames::LEAVING);
        let incarnation = headers.get(HeaderNames::INCARNATION);
        let incarnation = incarnation.and_then(|value| value.to_str().ok()?.parse().ok());
        let has_new_incarnation =
            incarnation.is_some_and(|incarnation| incarnation != server.incarnation);
        let mut updates = self.updates.borrow_mut();
        if !(leaving || has_new_incarnation) || updates.len() >= MAX_PENDING_UPDATES {
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

/// Makes attempts for one service and counts them in its metrics.
#[derive(Debug)]
pub(crate) struct ServiceTransport<'a> {
    /// Transport that all services of the gate share.
    pub(crate) gate: &'a GateTransport,
    /// Metrics of the service.
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
