//! Metrics of a gate in the Prometheus text format.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS: [f64; 16] = [
    0.0005, 0.001, 0.002, 0.003, 0.005, 0.0075, 0.01, 0.02, 0.03, 0.05, 0.1, 0.25, 0.5, 1.0, 5.0,
    30.0,
];

/// Labels of request metrics.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// Partner that owns the service.
    pub partner: String,
    /// Class of the request.
    pub class: &'static str,
    /// `ok`, or the verdict of a failure.
    pub verdict: &'static str,
}

/// A latency histogram with the gate's buckets.
fn latency_histogram() -> Histogram {
    Histogram::new(LATENCY_BUCKETS)
}

/// All metrics of one gate.
#[derive(Debug)]
pub struct GateMetrics {
    registry: Registry,
    /// Time from a request's head to the end of its answer, in seconds.
    pub latency: Family<RequestLabels, Histogram, fn() -> Histogram>,
    /// Requests in flight.
    pub in_flight: Gauge,
    /// Attempts sent to servers.
    pub attempts: Counter,
    /// Open caller connections.
    pub callers: Gauge,
}

impl Default for GateMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl GateMetrics {
    /// Metrics at zero.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("ggs");
        let latency = Family::new_with_constructor(latency_histogram as fn() -> Histogram);
        let in_flight = Gauge::default();
        let attempts = Counter::default();
        let callers = Gauge::default();
        registry.register_with_unit(
            "request_latency",
            "Time from request head to end of answer",
            Unit::Seconds,
            latency.clone(),
        );
        registry.register(
            "requests_in_flight",
            "Requests in flight",
            in_flight.clone(),
        );
        registry.register(
            "server_attempts",
            "Attempts sent to servers",
            attempts.clone(),
        );
        registry.register(
            "caller_connections",
            "Open caller connections",
            callers.clone(),
        );
        Self {
            registry,
            latency,
            in_flight,
            attempts,
            callers,
        }
    }

    /// The metrics in the Prometheus text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        // Writing to a `String` does not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
