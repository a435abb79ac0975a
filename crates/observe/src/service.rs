//! Metrics of one service.
//!
//! Looking up a label set in a family takes a lock and hashes every label. The metrics found are
//! cached here, so that counting a request costs a short scan and allocates nothing.

use std::cell::RefCell;
use std::fmt;
use std::time::Duration;

use ggs_model::{DocumentRevision, RequestClass};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;

use crate::labels::{OutcomeLabels, ReasonLabels, RequestLabels, ServiceLabels};
use crate::metrics::LatencyFamily;

/// Cache of metrics of a family, keyed by the labels that vary within one service.
pub(crate) struct HandleCache<K, M> {
    handles: RefCell<Vec<(K, M)>>,
}

impl<K, M> Default for HandleCache<K, M> {
    fn default() -> Self {
        let handles = RefCell::new(Vec::new());
        Self { handles }
    }
}

impl<K, M> fmt::Debug for HandleCache<K, M> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let count = self.handles.borrow().len();
        formatter
            .debug_struct("HandleCache")
            .field("handles", &count)
            .finish()
    }
}

impl<K: PartialEq, M> HandleCache<K, M> {
    /// Calls `record` with the metric for `key`, which `look_up` returns on the first use of `key`.
    fn with(&self, key: K, look_up: impl FnOnce() -> M, record: impl FnOnce(&M)) {
        let mut handles = self.handles.borrow_mut();
        if let Some((_, metric)) = handles.iter().find(|(cached, _)| *cached == key) {
            return record(metric);
        }
        let metric = look_up();
        record(&metric);
        handles.push((key, metric));
    }
}

/// Metrics of one service at one gate.
///
/// ```
/// use std::time::Duration;
/// use ggs_model::RequestClass;
/// use ggs_observe::GateMetrics;
///
/// let metrics = GateMetrics::new();
/// let service = metrics.service(&"ledger".into(), &"wagowa".into());
/// service.observe_request(RequestClass::Urgent, "ran", Duration::from_millis(4));
/// assert!(metrics.render().contains("ggs_request_latency_seconds_count"));
/// ```
#[derive(Debug)]
pub struct ServiceMetrics {
    pub(crate) labels: ServiceLabels,
    pub(crate) request_handles: HandleCache<(RequestClass, &'static str), Histogram>,
    pub(crate) refusal_handles: HandleCache<&'static str, Counter>,
    pub(crate) attempt_handles: HandleCache<&'static str, Counter>,
    pub(crate) latency: LatencyFamily,
    pub(crate) refusals: Family<ReasonLabels, Counter>,
    pub(crate) attempts: Family<OutcomeLabels, Counter>,
    pub(crate) retries: Counter,
    pub(crate) probes_allowed: Gauge,
    pub(crate) probes_granted: Counter,
    pub(crate) probes_spent: Counter,
    pub(crate) document_revision: Gauge,
    pub(crate) servers: Gauge,
    pub(crate) servers_leaving: Gauge,
}

impl ServiceMetrics {
    /// Counts a request that took `elapsed`; for `verdict` see [`RequestLabels::verdict`].
    pub fn observe_request(&self, class: RequestClass, verdict: &'static str, elapsed: Duration) {
        let look_up = || {
            let partner = self.labels.partner.0.as_str().to_owned();
            let class = class.into();
            let labels = RequestLabels {
                partner,
                class,
                verdict,
            };
            self.latency.get_or_create_owned(&labels)
        };
        let seconds = elapsed.as_secs_f64();
        let observe = |histogram: &Histogram| histogram.observe(seconds);
        self.request_handles
            .with((class, verdict), look_up, observe);
    }

    /// Counts a request that the gate answered itself, without sending it to a server.
    pub fn count_refusal(&self, reason: &'static str) {
        let look_up = || {
            let ServiceLabels { partner, service } = self.labels.clone();
            let labels = ReasonLabels {
                partner,
                service,
                reason,
            };
            self.refusals.get_or_create_owned(&labels)
        };
        self.refusal_handles.with(reason, look_up, |counter| {
            counter.inc();
        });
    }

    /// Counts an attempt at a server, by its outcome.
    pub fn count_attempt(&self, outcome: &'static str) {
        let look_up = || {
            let ServiceLabels { partner, service } = self.labels.clone();
            let labels = OutcomeLabels {
                partner,
                service,
                outcome,
            };
            self.attempts.get_or_create_owned(&labels)
        };
        self.attempt_handles.with(outcome, look_up, |counter| {
            counter.inc();
        });
    }

    /// Counts an attempt after the first of a request.
    pub fn count_retry(&self) {
        self.retries.inc();
    }

    /// Sets the number of probes that the document allows all gates in one window.
    pub fn set_probes_allowed(&self, probes: u32) {
        self.probes_allowed.set(i64::from(probes));
    }

    /// Counts probes granted to this gate.
    pub fn count_probes_granted(&self, probes: u64) {
        self.probes_granted.inc_by(probes);
    }

    /// Counts probes that this gate sent.
    pub fn count_probes_spent(&self, probes: u64) {
        self.probes_spent.inc_by(probes);
    }

    /// Sets the revision of the document in force.
    pub fn set_revision(&self, revision: DocumentRevision) {
        self.document_revision.set(revision.0 as i64);
    }

    /// Sets the numbers of servers that accept new requests (`live`) and that are leaving.
    pub fn set_servers(&self, live: usize, leaving: usize) {
        self.servers.set(live as i64);
        self.servers_leaving.set(leaving as i64);
    }
}
