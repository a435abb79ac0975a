//! Metrics of a gate in the OpenMetrics text format.
//!
//! [`GateMetrics`] holds every metric family of a gate; [`ServiceMetrics`] holds the metrics of one
//! service in these families.

use std::sync::atomic::AtomicU64;

use ggs_model::{PartnerName, ServiceName};
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

use crate::labels::{
    CallLabels, DirectionLabels, OutcomeLabels, PartnerLabel, ReasonLabels, RequestLabels,
    ServiceLabel, ServiceLabels,
};
use crate::service::{HandleCache, ServiceMetrics};

/// Upper bounds of the latency buckets, in seconds.
pub const LATENCY_BUCKETS: [f64; 20] = [
    0.0005, 0.001, 0.0015, 0.002, 0.003, 0.005, 0.0075, 0.01, 0.015, 0.02, 0.03, 0.05, 0.1, 0.25,
    0.5, 1.0, 2.5, 5.0, 10.0, 30.0,
];

/// Creates an empty histogram with the buckets of [`LATENCY_BUCKETS`].
fn latency_histogram() -> Histogram {
    Histogram::new(LATENCY_BUCKETS)
}

/// Latency histograms by request labels.
pub(crate) type LatencyFamily = Family<RequestLabels, Histogram, fn() -> Histogram>;

/// All metrics of one gate.
#[derive(Debug)]
pub struct GateMetrics {
    registry: Registry,
    /// Time from the head of a request to the end of its answer, in seconds.
    pub latency: LatencyFamily,
    /// Number of requests in flight.
    pub in_flight: Gauge,
    /// Number of open caller connections.
    pub caller_connections: Gauge,
    /// Highest fleet revision up to which every change is in force at this gate.
    pub fleet_revision: Gauge,
    /// Time since the documents were last known to be up to date, in seconds.
    pub document_age: Gauge<f64, AtomicU64>,
    /// 1 while the documents may be out of date, because neither the platform's table nor a gate
    /// that reaches it has confirmed them for too long; else 0.
    pub documents_stale: Gauge,
    /// Number of live gates, including this one.
    pub gates_live: Gauge,
    /// Number of issued idempotency keys that the gate keeps in memory.
    pub key_entries: Gauge,
    refusals: Family<ReasonLabels, Counter>,
    attempts: Family<OutcomeLabels, Counter>,
    retries: Family<ServiceLabels, Counter>,
    probes_allowed: Family<ServiceLabels, Gauge>,
    probes_granted: Family<ServiceLabels, Counter>,
    probes_spent: Family<ServiceLabels, Counter>,
    document_revision: Family<ServiceLabels, Gauge>,
    servers: Family<ServiceLabels, Gauge>,
    servers_leaving: Family<ServiceLabels, Gauge>,
    platform_failures: Family<CallLabels, Counter>,
    peer_bytes: Family<DirectionLabels, Counter>,
}

impl Default for GateMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl GateMetrics {
    /// Registers all metrics, each at zero.
    pub fn new() -> Self {
        let metrics = Self {
            registry: Registry::with_prefix("ggs"),
            latency: Family::new_with_constructor(latency_histogram),
            in_flight: Gauge::default(),
            caller_connections: Gauge::default(),
            fleet_revision: Gauge::default(),
            document_age: Gauge::default(),
            documents_stale: Gauge::default(),
            gates_live: Gauge::default(),
            key_entries: Gauge::default(),
            refusals: Family::default(),
            attempts: Family::default(),
            retries: Family::default(),
            probes_allowed: Family::default(),
            probes_granted: Family::default(),
            probes_spent: Family::default(),
            document_revision: Family::default(),
            servers: Family::default(),
            servers_leaving: Family::default(),
            platform_failures: Family::default(),
            peer_bytes: Family::default(),
        };
        metrics.register_all()
    }

    /// Registers every metric under its name.
    fn register_all(mut self) -> Self {
        let mut registry = std::mem::take(&mut self.registry);
        self.register_requests(&mut registry);
        self.register_documents(&mut registry);
        self.register_servers(&mut registry);
        self.register_peers_and_platform(&mut registry);
        self.registry = registry;
        self
    }

    /// Registers the metrics of requests.
    fn register_requests(&self, registry: &mut Registry) {
        let help = "Time from request head to end of answer";
        registry.register_with_unit("request_latency", help, Unit::Seconds, self.latency.clone());
        let help = "Requests in flight";
        registry.register("requests_in_flight", help, self.in_flight.clone());
        let help = "Requests answered by the gate itself without sending them to a server";
        registry.register("requests_refused", help, self.refusals.clone());
        let help = "Open caller connections";
        registry.register("caller_connections", help, self.caller_connections.clone());
        let help = "Issued keys that the gate remembers";
        registry.register("key_entries", help, self.key_entries.clone());
    }

    /// Registers the metrics of documents.
    fn register_documents(&self, registry: &mut Registry) {
        let help = "Highest fleet revision of which every change is in force";
        registry.register("fleet_revision", help, self.fleet_revision.clone());
        let help = "Revision of the document in force";
        registry.register("document_revision", help, self.document_revision.clone());
        let help = "Time since the documents were last known to be the newest";
        let age = self.document_age.clone();
        registry.register_with_unit("document_age", help, Unit::Seconds, age);
        let help = "1 while cut off from the table and from every gate that reaches it";
        registry.register("documents_stale", help, self.documents_stale.clone());
    }

    /// Registers the metrics of servers and of load probes.
    fn register_servers(&self, registry: &mut Registry) {
        let help = "Attempts sent to servers, by outcome";
        registry.register("server_attempts", help, self.attempts.clone());
        let help = "Attempts after the first of a request";
        registry.register("request_retries", help, self.retries.clone());
        let help = "Servers that take new work";
        registry.register("servers", help, self.servers.clone());
        let help = "Servers that are leaving";
        registry.register("servers_leaving", help, self.servers_leaving.clone());
        let help = "Probes that the document allows all gates in one window";
        registry.register("probes_allowed", help, self.probes_allowed.clone());
        let help = "Probes granted to this gate";
        registry.register("probes_granted", help, self.probes_granted.clone());
        let help = "Probes that this gate sent";
        registry.register("probes_spent", help, self.probes_spent.clone());
    }

    /// Registers the metrics of other gates and of the platform.
    fn register_peers_and_platform(&self, registry: &mut Registry) {
        let help = "Gates seen live, this one included";
        registry.register("gates_live", help, self.gates_live.clone());
        let help = "Platform calls that failed, by call";
        registry.register("platform_failures", help, self.platform_failures.clone());
        let help = "Traffic with other gates";
        let bytes = self.peer_bytes.clone();
        registry.register_with_unit("peer_traffic", help, Unit::Bytes, bytes);
    }

    /// Counts a failed platform call; `call` is its name, for example `table-get`.
    pub fn count_platform_failure(&self, call: &'static str) {
        self.platform_failures
            .get_or_create(&CallLabels { call })
            .inc();
    }

    /// Counts bytes sent to other gates.
    pub fn count_peer_sent(&self, bytes: u64) {
        let direction = "sent";
        let labels = DirectionLabels { direction };
        self.peer_bytes.get_or_create(&labels).inc_by(bytes);
    }

    /// Counts bytes received from other gates.
    pub fn count_peer_received(&self, bytes: u64) {
        let direction = "received";
        let labels = DirectionLabels { direction };
        self.peer_bytes.get_or_create(&labels).inc_by(bytes);
    }

    /// Looks up the metrics of one service.
    ///
    /// A caller keeps the result, because the lookup is slow compared with counting a request.
    pub fn service(&self, service: &ServiceName, partner: &PartnerName) -> ServiceMetrics {
        let labels = ServiceLabels {
            partner: PartnerLabel(partner.clone()),
            service: ServiceLabel(service.clone()),
        };
        ServiceMetrics {
            request_handles: HandleCache::default(),
            refusal_handles: HandleCache::default(),
            attempt_handles: HandleCache::default(),
            latency: self.latency.clone(),
            refusals: self.refusals.clone(),
            attempts: self.attempts.clone(),
            retries: self.retries.get_or_create_owned(&labels),
            probes_allowed: self.probes_allowed.get_or_create_owned(&labels),
            probes_granted: self.probes_granted.get_or_create_owned(&labels),
            probes_spent: self.probes_spent.get_or_create_owned(&labels),
            document_revision: self.document_revision.get_or_create_owned(&labels),
            servers: self.servers.get_or_create_owned(&labels),
            servers_leaving: self.servers_leaving.get_or_create_owned(&labels),
            labels,
        }
    }

    /// Renders all metrics in the OpenMetrics text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        // Writing to a `String` does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
