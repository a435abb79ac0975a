//! Cases: services of today's sizes, load, faults and signals.

use ggs_model::RequestClass;

/// Milliseconds per second.
pub(crate) const MILLIS: f64 = 1_000.0;

/// A service of today.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceShape {
    /// Partner and service.
    pub(crate) name: &'static str,
    /// Number of servers.
    pub(crate) servers: usize,
    /// Requests that a server works on at once.
    pub(crate) slots: u32,
    /// Mean service time of an urgent read in milliseconds.
    pub(crate) service_ms: f64,
    /// One-way delay to a server in the gate's data centre, in milliseconds.
    pub(crate) near_ms: f64,
    /// One-way delay to a server in another data centre, in milliseconds.
    pub(crate) far_ms: f64,
    /// Server time that a probe takes, in milliseconds.
    pub(crate) probe_ms: f64,
}

/// Today's services; service times are assumed, sizes and delays are the brief's.
pub(crate) const SERVICES: [ServiceShape; 6] = [
    service("wagowa/roster", 25, 8.0, 0.5),
    service("wagowa/ledger", 10, 10.0, 0.5),
    service("wagowa/yield", 5, 20.0, 0.5),
    service("harusi/lead", 20, 8.0, 1.5),
    service("harusi/booking", 10, 10.0, 1.5),
    service("harusi/media", 5, 20.0, 1.5),
];

/// A service with the values that all of today's share.
const fn service(name: &'static str, servers: usize, service_ms: f64, far_ms: f64) -> ServiceShape {
    ServiceShape {
        name,
        servers,
        slots: 3,
        service_ms,
        near_ms: 0.1,
        far_ms,
        probe_ms: 5.0,
    }
}

/// What goes wrong in a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Fault {
    /// Nothing.
    Calm,
    /// Servers are ten times slower for 50 ms to 5 s, 3% of the time each.
    Stragglers,
    /// One server fails each request at once and says that it is idle.
    FailFast,
    /// Every fifth of the run one server drains; the list shows it 1 s later.
    Drain,
    /// Every fifth of the run one server is replaced by a cold one, five times slower for 2 s.
    ColdStart,
    /// One gate is lost half way.
    GateLost,
    /// One of three data centres is lost half way; the list shows it 2 s later.
    DataCentreLost,
}

/// How reports come about.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reports {
    /// The load some milliseconds ago.
    Aged(u64),
    /// A third of the servers always say that they are idle.
    Lying,
}

/// One case.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FleetCase {
    /// The service.
    pub(crate) service: ServiceShape,
    /// Arriving work as a share of what healthy servers can do.
    pub(crate) load: f64,
    /// Gates that serve the service.
    pub(crate) gates: usize,
    /// What goes wrong.
    pub(crate) fault: Fault,
    /// How reports come about.
    pub(crate) reports: Reports,
    /// Paid probes as a share of server time.
    pub(crate) budget: f64,
    /// Milliseconds between messages of in-flight counts among gates; zero sends none.
    pub(crate) peer_ms: u64,
    /// Share of the work that long exports make.
    pub(crate) exports: f64,
    /// Urgent reads and exports to send.
    pub(crate) requests: usize,
    /// Seed of arrivals, work and faults.
    pub(crate) seed: u64,
}

impl FleetCase {
    /// A calm case with fresh reports and no paid probes.
    pub(crate) const fn new(service: ServiceShape, load: f64) -> Self {
        Self {
            service,
            load,
            gates: 4,
            fault: Fault::Calm,
            reports: Reports::Aged(0),
            budget: 0.0,
            peer_ms: 0,
            exports: 0.0,
            requests: 100_000,
            seed: 1,
        }
    }

    /// Mean work of a request in milliseconds.
    pub(crate) const fn mean_work(&self, class: RequestClass) -> f64 {
        match class {
            RequestClass::Export => self.service.service_ms * EXPORT_FACTOR,
            RequestClass::Urgent | RequestClass::Standard => self.service.service_ms,
        }
    }

    /// Share of requests that are exports.
    pub(crate) const fn export_chance(&self) -> f64 {
        let exports = self.exports / EXPORT_FACTOR;
        exports / (exports + 1.0 - self.exports)
    }

    /// Requests per millisecond over all gates.
    pub(crate) fn rate(&self) -> f64 {
        let chance = self.export_chance();
        let export = self.mean_work(RequestClass::Export);
        let work = chance * export + (1.0 - chance) * self.service.service_ms;
        let lost = if self.fault == Fault::DataCentreLost {
            2.0 / 3.0
        } else {
            1.0
        };
        self.load * lost * self.service.servers as f64 * f64::from(self.service.slots) / work
    }

    /// Length of the run in milliseconds.
    pub(crate) fn length_ms(&self) -> f64 {
        self.requests as f64 / self.rate()
    }
}

/// Mean work of an export in mean urgent reads.
const EXPORT_FACTOR: f64 = 25.0;
