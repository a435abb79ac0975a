//! Metrics of a gate, which operators read as text from the metrics address.
//!
//! The exported names are kept as they are, because operators depend on them: load probes are
//! exported as `asks`, and probes without an answer in time as `ask_silences`.

use std::cell::RefCell;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use foldhash::HashSet;
use ggs_access::AccessRefusal;
use ggs_observe::LATENCY_BUCKETS;
use ggs_place::SendOutcome;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::{Registry, Unit};

use crate::connect::ConnectOutcome;

/// Labels of requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    /// Priority of the route; zero is the most urgent.
    priority: u32,
    /// HTTP status of the final answer.
    status: u16,
}

/// Labels of latencies.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct PriorityLabels {
    priority: u32,
}

/// Labels of sends to servers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct SendLabels {
    service: String,
    outcome: &'static str,
}

/// Labels of connections to servers, and of requests to other gates.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct OutcomeLabels {
    outcome: &'static str,
}

/// Labels of what is counted for each service.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ServiceLabels {
    service: String,
}

/// Labels of requests with a quota.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ChargeLabels {
    workspace: String,
    outcome: &'static str,
}

/// Labels of what a gate holds of a quota.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct WorkspaceLabels {
    workspace: String,
}

/// Most workspaces that have counters of their own; the others are counted together.
const MAX_COUNTED_WORKSPACES: usize = 256;

/// Label of the workspaces that are counted together.
const OTHER_WORKSPACES: &str = "others";

/// Labels of requests without a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct CauseLabels {
    cause: &'static str,
}

/// Labels of requests of other gates.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct StatusLabels {
    status: u16,
}

/// The metrics of one gate.
pub(crate) struct EdgeMetrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    latency: Family<PriorityLabels, Histogram>,
    sends: Family<SendLabels, Counter>,
    connects: Family<OutcomeLabels, Counter>,
    rests: Counter,
    unauthorized: Family<CauseLabels, Counter>,
    charges: Family<ChargeLabels, Counter>,
    quota_held: Family<WorkspaceLabels, Gauge>,
    detours: Family<OutcomeLabels, Counter>,
    taken: Family<StatusLabels, Counter>,
    trials: Family<OutcomeLabels, Counter>,
    probes: Counter,
    probe_failures: Counter,
    store_failures: Counter,
    config_version: Gauge,
    servers: Gauge,
    evacuated: Gauge,
    yields: Family<ServiceLabels, Counter>,
    /// Workspaces that have counters of their own.
    counted: RefCell<HashSet<Arc<str>>>,
}

impl fmt::Debug for EdgeMetrics {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("EdgeMetrics")
            .finish_non_exhaustive()
    }
}

impl EdgeMetrics {
    /// Creates and registers all metrics, at zero.
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("ggs_edge");
        let requests = Family::default();
        registry.register("requests", "Final answers to callers", requests.clone());
        let sends = Family::default();
        registry.register("sends", "Sends to servers by how they ended", sends.clone());
        let connects = Family::default();
        let help = "Connections to servers by how opening them ended";
        registry.register("connects", help, connects.clone());
        let rests = Counter::default();
        let help = "Answers in which servers asked this gate for rest";
        registry.register("rests", help, rests.clone());
        // Exported from the start, like the detours.
        let charges: Family<ChargeLabels, Counter> = Family::default();
        let labels = ChargeLabels {
            workspace: OTHER_WORKSPACES.to_owned(),
            outcome: "refused",
        };
        charges.get_or_create(&labels).inc_by(0);
        let help = "Requests with a quota by whether the quota allowed them";
        registry.register("quota_charges", help, charges.clone());
        let quota_held: Family<WorkspaceLabels, Gauge> = Family::default();
        let labels = WorkspaceLabels {
            workspace: OTHER_WORKSPACES.to_owned(),
        };
        quota_held.get_or_create(&labels).set(0);
        let help = "Requests that this gate may send of a quota without asking its holder";
        registry.register("quota_held", help, quota_held.clone());
        let unauthorized: Family<CauseLabels, Counter> = Family::default();
        let labels = CauseLabels { cause: "unknown" };
        unauthorized.get_or_create(&labels).inc_by(0);
        let help = "Requests without a key that a workspace has";
        registry.register("unauthorized", help, unauthorized.clone());
        let detours: Family<OutcomeLabels, Counter> = Family::default();
        // Exported from the start, as a rise from zero raises an alarm.
        let labels = OutcomeLabels {
            outcome: "answered",
        };
        detours.get_or_create(&labels).inc_by(0);
        let help = "Requests to other gates, as servers were not reached, by how they ended";
        registry.register("detours", help, detours.clone());
        let taken: Family<StatusLabels, Counter> = Family::default();
        taken.get_or_create(&StatusLabels { status: 200 }).inc_by(0);
        let help = "Requests of other gates by the status of the answer";
        registry.register("detours_taken", help, taken.clone());
        let trials: Family<OutcomeLabels, Counter> = Family::default();
        let labels = OutcomeLabels { outcome: "failed" };
        trials.get_or_create(&labels).inc_by(0);
        let help = "Trials of requests in quarantine by how they ended";
        registry.register("quarantine_trials", help, trials.clone());
        let probes = Counter::default();
        registry.register("asks", "Questions for the load of servers", probes.clone());
        let probe_failures = Counter::default();
        let help = "Questions that were not answered in time";
        registry.register("ask_silences", help, probe_failures.clone());
        let store_failures = Counter::default();
        let help = "Calls to the platform's store that failed";
        registry.register("store_failures", help, store_failures.clone());
        let config_version = Gauge::default();
        let help = "Version of the configuration in force";
        registry.register("config_version", help, config_version.clone());
        let servers = Gauge::default();
        let help = "Servers that take new requests";
        registry.register("servers", help, servers.clone());
        let evacuated = Gauge::default();
        let help = "Data centres to whose servers nothing is sent";
        registry.register("evacuated_data_centres", help, evacuated.clone());
        let yields = Family::default();
        let help = "Decisions in which a request gave way to more urgent ones of its service";
        registry.register("yields", help, yields.clone());
        // The histograms come last: collectors that cut off long texts then lose nothing else.
        let new_latency: fn() -> Histogram = || Histogram::new(LATENCY_BUCKETS);
        let latency = Family::new_with_constructor(new_latency);
        let help = "Time from the head of a request to its final answer";
        registry.register_with_unit("latency", help, Unit::Seconds, latency.clone());
        Self {
            registry,
            requests,
            latency,
            sends,
            connects,
            rests,
            unauthorized,
            charges,
            quota_held,
            counted: RefCell::default(),
            detours,
            taken,
            trials,
            probes,
            probe_failures,
            store_failures,
            config_version,
            servers,
            evacuated,
            yields,
        }
    }

    /// Counts a final answer, and records the time since the head of its request.
    pub(crate) fn observe_request(&self, priority: u32, status: u16, elapsed: Duration) {
        let labels = RequestLabels { priority, status };
        self.requests.get_or_create(&labels).inc();
        let latency = self.latency.get_or_create(&PriorityLabels { priority });
        latency.observe(elapsed.as_secs_f64());
    }

    /// Counts a finished send of a request to a server.
    pub(crate) fn count_send(&self, service: &str, outcome: SendOutcome) {
        let labels = SendLabels {
            service: service.to_owned(),
            outcome: outcome.into(),
        };
        self.sends.get_or_create(&labels).inc();
    }

    /// Counts how opening a connection to a server ended.
    pub(crate) fn count_connect(&self, outcome: ConnectOutcome) {
        let labels = OutcomeLabels {
            outcome: outcome.into(),
        };
        self.connects.get_or_create(&labels).inc();
    }

    /// Counts an answer in which a server asked for rest.
    pub(crate) fn count_rest(&self) {
        self.rests.inc();
    }

    /// Label of a workspace. Only so many have one of their own.
    fn workspace_label(&self, workspace: &Arc<str>) -> String {
        let mut counted = self.counted.borrow_mut();
        let has_counter = counted.len() < MAX_COUNTED_WORKSPACES || counted.contains(&**workspace);
        if !has_counter {
            return OTHER_WORKSPACES.to_owned();
        }
        counted.insert(Arc::clone(workspace));
        workspace.to_string()
    }

    /// Sets the requests that this gate may still send of a quota without asking its holder.
    pub(crate) fn set_quota_held(&self, workspace: &Arc<str>, requests: u32) {
        let labels = WorkspaceLabels {
            workspace: self.workspace_label(workspace),
        };
        self.quota_held.get_or_create(&labels).set(requests.into());
    }

    /// Counts a request with a quota.
    pub(crate) fn count_charge(&self, workspace: &Arc<str>, is_granted: bool) {
        let labels = ChargeLabels {
            workspace: self.workspace_label(workspace),
            outcome: if is_granted { "charged" } else { "refused" },
        };
        self.charges.get_or_create(&labels).inc();
    }

    /// Counts a request without a key that a workspace has.
    pub(crate) fn count_unauthorized(&self, refusal: AccessRefusal) {
        let labels = CauseLabels {
            cause: refusal.into(),
        };
        self.unauthorized.get_or_create(&labels).inc();
    }

    /// Counts how a request to another gate ended.
    pub(crate) fn count_detour(&self, outcome: &'static str) {
        self.detours.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    /// Counts how a trial of a request in quarantine ended.
    pub(crate) fn count_trial(&self, outcome: &'static str) {
        self.trials.get_or_create(&OutcomeLabels { outcome }).inc();
    }

    /// Counts an answer to a request of another gate.
    pub(crate) fn count_taken(&self, status: u16) {
        self.taken.get_or_create(&StatusLabels { status }).inc();
    }

    /// Counts a load probe and whether it was answered in time.
    pub(crate) fn count_probe(&self, answered: bool) {
        self.probes.inc();
        if !answered {
            self.probe_failures.inc();
        }
    }

    /// Counts a failed call to the store.
    pub(crate) fn count_store_failure(&self) {
        self.store_failures.inc();
    }

    /// Sets the version of the configuration in force.
    pub(crate) fn set_config_version(&self, version: u64) {
        self.config_version.set(version as i64);
    }

    /// Sets the number of servers that can get new requests.
    pub(crate) fn set_servers(&self, servers: usize) {
        self.servers.set(servers as i64);
    }

    /// Exports the counters of a service from its first request on.
    pub(crate) fn add_service(&self, service: &str) {
        let labels = ServiceLabels {
            service: service.to_owned(),
        };
        self.yields.get_or_create(&labels).inc_by(0);
    }

    /// Counts a decision in which a request gave way to more urgent ones.
    pub(crate) fn count_yield(&self, service: &str) {
        let labels = ServiceLabels {
            service: service.to_owned(),
        };
        self.yields.get_or_create(&labels).inc();
    }

    /// Sets the number of evacuated data centres.
    pub(crate) fn set_evacuated(&self, count: usize) {
        self.evacuated.set(count as i64);
    }

    /// Encodes all metrics as text.
    pub(crate) fn render(&self) -> Result<String, fmt::Error> {
        let mut text = String::new();
        encode(&mut text, &self.registry)?;
        Ok(text)
    }
}
