//! State that the tasks of one gate share.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use foldhash::{HashMap, HashMapExt, HashSet};
use ggs_limit::{AdmissionLimits, GateCapacity, RetryAllowance};
use ggs_model::{BootClock, GateId, Moment, ServerEntry, ServiceName, VersionedDocument};
use ggs_observe::{EventLog, GateMetrics, ServiceMetrics};
use ggs_pick::{ServerChooser, ServerSeed, SignalChooser};
use ggs_relay::{ConnectionOptions, ConnectionPool};
use ggs_settings::GateSettings;
use ggs_store::HttpPlatform;

use crate::keys::KeyDesk;
use crate::transport::GateTransport;

/// The policy that gates use.
pub(crate) type GateChooser = SignalChooser;

/// Requests in flight at one gate.
const TOTAL_LIMIT: u32 = 2_048;

/// State of one gate.
#[derive(Debug)]
pub(crate) struct GateCore {
    /// What the settings file said.
    pub(crate) settings: GateSettings,
    /// This run of the gate.
    pub(crate) id: GateId,
    /// The host's clock.
    pub(crate) clock: BootClock,
    /// Where events go.
    pub(crate) log: EventLog,
    /// The gate's metrics.
    pub(crate) metrics: GateMetrics,
    /// Makes attempts at servers.
    pub(crate) transport: GateTransport,
    /// Keys that this run of the gate issued.
    pub(crate) keys: KeyDesk,
    /// The platform.
    pub(crate) platform: HttpPlatform,
    /// Admits requests.
    pub(crate) limits: RefCell<AdmissionLimits>,
    /// Services by name.
    services: RefCell<HashMap<ServiceName, Rc<ServiceCore>>>,
    /// The latest host list.
    listed: RefCell<Vec<ServerEntry>>,
    /// Addresses for callers of the other gates that live.
    gates: RefCell<HashMap<GateId, SocketAddr>>,
    /// Whether the gate finishes its work and ends.
    draining: Cell<bool>,
    /// The address that callers reach, once bound.
    caller_address: Cell<SocketAddr>,
}

/// State of one service at one gate.
#[derive(Debug)]
pub(crate) struct ServiceCore {
    /// The document in force.
    document: RefCell<VersionedDocument>,
    /// The service's metrics; replaced when another partner takes the service over.
    metrics: RefCell<Rc<ServiceMetrics>>,
    /// Chooses servers.
    pub(crate) chooser: Rc<RefCell<GateChooser>>,
    /// Grants retries.
    pub(crate) retries: RefCell<RetryAllowance>,
    /// When the last request came.
    last_request: Cell<Option<Moment>>,
}

impl ServiceCore {
    /// The document in force.
    pub(crate) fn document(&self) -> VersionedDocument {
        self.document.borrow().clone()
    }

    /// Notes a request that came at `now`.
    pub(crate) fn note_request(&self, now: Moment) {
        self.last_request.set(Some(now));
    }

    /// When the last request came.
    pub(crate) fn last_request(&self) -> Option<Moment> {
        self.last_request.get()
    }

    /// The service's metrics.
    pub(crate) fn metrics(&self) -> Rc<ServiceMetrics> {
        Rc::clone(&self.metrics.borrow())
    }
}

impl GateCore {
    /// A core that knows no service yet.
    pub(crate) fn new(settings: GateSettings, id: GateId, log: EventLog) -> Rc<Self> {
        let pool = ConnectionPool::new(ConnectionOptions::default());
        let caller_address = Cell::new(settings.listen_callers);
        let keys = KeyDesk::new(&settings, id.clone());
        let platform = HttpPlatform::builder(&settings.platform).build();
        Rc::new(Self {
            settings,
            keys,
            platform,
            id,
            clock: BootClock,
            log,
            metrics: GateMetrics::new(),
            transport: GateTransport::new(pool),
            limits: RefCell::new(AdmissionLimits::new(GateCapacity {
                total: TOTAL_LIMIT,
                partners: 1,
            })),
            services: RefCell::new(HashMap::new()),
            listed: RefCell::new(Vec::new()),
            gates: RefCell::new(HashMap::new()),
            draining: Cell::new(false),
            caller_address,
        })
    }

    /// The service called `name`.
    pub(crate) fn service(&self, name: &str) -> Option<Rc<ServiceCore>> {
        self.services.borrow().get(name).map(Rc::clone)
    }

    /// All services with their names.
    pub(crate) fn services(&self) -> Vec<(ServiceName, Rc<ServiceCore>)> {
        let services = self.services.borrow();
        let services = services.iter();
        services
            .map(|(name, service)| (name.clone(), Rc::clone(service)))
            .collect()
    }

    /// Puts a document in force unless a newer one already is; tells whether it was.
    pub(crate) fn put_in_force(&self, versioned: VersionedDocument) -> bool {
        let name = versioned.document.service.clone();
        if let Some(service) = self.service(name.as_str()) {
            if service.document.borrow().revision >= versioned.revision {
                return false;
            }
            *service.metrics.borrow_mut() = self.service_metrics(&versioned);
            *service.document.borrow_mut() = versioned;
            service
                .retries
                .borrow_mut()
                .set_percent(service.document().document.retry_percent);
            self.refresh_servers(&service);
            return true;
        }
        let retries = RetryAllowance::new(versioned.document.retry_percent);
        let chooser = SignalChooser::builder()
            .seed(rand::random())
            .eject_percent(versioned.document.eject_percent)
            .build();
        let service = Rc::new(ServiceCore {
            metrics: RefCell::new(self.service_metrics(&versioned)),
            document: RefCell::new(versioned),
            chooser: Rc::new(RefCell::new(chooser)),
            retries: RefCell::new(retries),
            last_request: Cell::new(None),
        });
        self.refresh_servers(&service);
        self.services.borrow_mut().insert(name, service);
        self.refresh_capacity();
        true
    }

    /// Metrics of the service that a document describes.
    fn service_metrics(&self, versioned: &VersionedDocument) -> Rc<ServiceMetrics> {
        let document = &versioned.document;
        let metrics = self.metrics.service(&document.service, &document.partner);
        metrics.set_revision(versioned.revision);
        metrics.set_probes_allowed(document.measuring.probes);
        Rc::new(metrics)
    }

    /// Tells the admission limits how many partners share the gate.
    fn refresh_capacity(&self) {
        let services = self.services.borrow();
        let partners: HashSet<_> = services
            .values()
            .map(|service| service.document().document.partner.clone())
            .collect();
        let capacity = GateCapacity {
            total: TOTAL_LIMIT,
            partners: partners.len() as u32,
        };
        self.limits.borrow_mut().set_capacity(capacity);
    }

    /// Takes a new host list.
    pub(crate) fn set_listed(&self, listed: Vec<ServerEntry>) {
        *self.listed.borrow_mut() = listed;
        let services: Vec<_> = self.services.borrow().values().map(Rc::clone).collect();
        for service in services {
            self.refresh_servers(&service);
        }
    }

    /// Gives a service's chooser the servers that take new work.
    fn refresh_servers(&self, service: &ServiceCore) {
        let document = Arc::clone(&service.document.borrow().document);
        let listed = self.listed.borrow();
        let open = listed.iter().filter(|entry| {
            entry.service == document.service && entry.state == ggs_model::ServerState::Live
        });
        let seeds: Vec<ServerSeed> = open
            .map(|entry| ServerSeed {
                server: entry.server,
                slots: document.slots,
                near: entry.data_centre == self.settings.data_centre,
            })
            .collect();
        let now = ggs_model::Clock::now(&self.clock);
        service.chooser.borrow_mut().replace_servers(&seeds, now);
    }

    /// The address for callers of another gate that lives.
    pub(crate) fn caller_of(&self, gate: &GateId) -> Option<SocketAddr> {
        self.gates.borrow().get(gate).copied()
    }

    /// Whether the gate finishes its work and ends.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Starts to drain.
    pub(crate) fn set_draining(&self) {
        self.draining.set(true);
    }

    /// The address that callers reach.
    pub(crate) fn caller_address(&self) -> SocketAddr {
        self.caller_address.get()
    }

    /// Sets the address that callers reach, after binding it.
    pub(crate) fn set_caller_address(&self, address: SocketAddr) {
        self.caller_address.set(address);
    }
}
