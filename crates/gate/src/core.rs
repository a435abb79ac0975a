//! State that the tasks of one gate share, and the updates that follow from a change of it.
//!
//! A new document or another set of usable servers changes several parts at once: the server
//! choosers, the connection limits of the pool, the admission limits and the metrics. They are
//! updated here, so that no task has to know which parts depend on its change.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use foldhash::{HashMap, HashMapExt, HashSet};
use ggs_limit::{AdmissionLimits, ChainRetries, ConnectionShare, GateCapacity};
use ggs_model::{BootClock, Clock, GateId, Moment, ServiceName, VersionedDocument};
use ggs_observe::{EventLog, GateMetrics, ServiceMetrics};
use ggs_pick::{ServerChooser, ServerSpec};
use ggs_relay::{ConnectionOptions, ConnectionPool};
use ggs_settings::GateSettings;
use ggs_store::HttpPlatform;

use crate::chooser::GateChooser;
use crate::documents::FollowedDocuments;
use crate::keys::GateKeys;
use crate::peers::GatePeers;
use crate::servers::GateServers;
use crate::transport::GateTransport;

/// State of one gate, shared by its tasks on one thread.
#[derive(Debug)]
pub(crate) struct GateCore {
    /// Contents of the settings file.
    pub(crate) settings: GateSettings,
    /// Host and incarnation of this gate.
    pub(crate) id: GateId,
    /// Clock of the host, counted from its boot.
    pub(crate) clock: BootClock,
    /// Log for operators.
    pub(crate) log: EventLog,
    /// Metrics of the whole gate; those of a service are in [`ServiceCore`].
    pub(crate) metrics: GateMetrics,
    /// Sends requests to servers.
    pub(crate) transport: GateTransport,
    /// Idempotency keys that this incarnation of the gate issued.
    pub(crate) keys: GateKeys,
    /// Decides which requests are admitted.
    pub(crate) limits: RefCell<AdmissionLimits>,
    /// Computes how many of a server's connections this gate may use.
    connection_share: RefCell<ConnectionShare>,
    /// All services that have a document, by name.
    services: RefCell<HashMap<ServiceName, Rc<ServiceCore>>>,
    /// Client for the platform's table and host list.
    pub(crate) platform: HttpPlatform,
    /// Documents in force, and the revision up to which they are complete.
    pub(crate) documents: FollowedDocuments,
    /// Servers of all services, as the host list and leaving notices show them.
    pub(crate) servers: GateServers,
    /// The other gates and the links to them.
    pub(crate) peers: GatePeers,
    /// Whether the gate is finishing its requests before it ends.
    draining: Cell<bool>,
    /// Address on which the gate accepts callers.
    caller_address: SocketAddr,
}

/// State of one service at one gate.
#[derive(Debug)]
pub(crate) struct ServiceCore {
    /// Document in force.
    document: RefCell<VersionedDocument>,
    /// Metrics of the service. Replaced with each new document, as they are labelled with the
    /// partner, which a document may change.
    metrics: RefCell<Rc<ServiceMetrics>>,
    /// Chooses a server for each attempt.
    pub(crate) chooser: Rc<RefCell<GateChooser>>,
    /// Retry budget of the service.
    pub(crate) retries: RefCell<ChainRetries>,
    /// Arrival of the last request, `None` before the first.
    last_request: Cell<Option<Moment>>,
}

impl ServiceCore {
    /// Returns the document in force.
    pub(crate) fn document(&self) -> VersionedDocument {
        self.document.borrow().clone()
    }

    /// Records that a request arrived at `now`.
    pub(crate) fn record_request(&self, now: Moment) {
        self.last_request.set(Some(now));
    }

    /// Returns the arrival of the last request, `None` before the first.
    pub(crate) fn last_request(&self) -> Option<Moment> {
        self.last_request.get()
    }

    /// Returns the metrics of the service under its present partner.
    pub(crate) fn metrics(&self) -> Rc<ServiceMetrics> {
        Rc::clone(&self.metrics.borrow())
    }
}

impl GateCore {
    /// Creates the state of a gate that has no document and no server yet.
    pub(crate) fn new(settings: GateSettings, peers: GatePeers, log: EventLog) -> Rc<Self> {
        let total = settings.in_flight_limit;
        let pool = ConnectionPool::new(ConnectionOptions::default());
        let own = peers.own();
        let platform = HttpPlatform::builder(&settings.platform).build();
        let keys = GateKeys::new(&settings, own.gate.clone());
        Rc::new(Self {
            settings,
            keys,
            id: own.gate,
            clock: BootClock,
            log,
            metrics: GateMetrics::new(),
            transport: GateTransport::new(pool),
            limits: RefCell::new(AdmissionLimits::new(GateCapacity { total, partners: 1 })),
            connection_share: RefCell::new(ConnectionShare::new(BootClock.now())),
            services: RefCell::new(HashMap::new()),
            platform,
            documents: FollowedDocuments::default(),
            servers: GateServers::default(),
            draining: Cell::new(false),
            caller_address: own.callers,
            peers,
        })
    }

    /// Returns the service called `name`, `None` if it has no document.
    pub(crate) fn service(&self, name: &str) -> Option<Rc<ServiceCore>> {
        self.services.borrow().get(name).map(Rc::clone)
    }

    /// Returns all services that have a document, in no particular order.
    pub(crate) fn services(&self) -> Vec<(ServiceName, Rc<ServiceCore>)> {
        let services = self.services.borrow();
        let services = services.iter();
        services
            .map(|(name, service)| (name.clone(), Rc::clone(service)))
            .collect()
    }

    /// Puts a document in force and returns true, or returns false if the same or a newer revision
    /// is in force already.
    pub(crate) fn put_in_force(&self, versioned: VersionedDocument) -> bool {
        let name = versioned.document.service.clone();
        if let Some(service) = self.service(name.as_str()) {
            if service.document.borrow().revision >= versioned.revision {
                return false;
            }
            let document = Arc::clone(&versioned.document);
            *service.metrics.borrow_mut() = self.service_metrics(&versioned);
            *service.document.borrow_mut() = versioned;
            let mut retries = service.retries.borrow_mut();
            retries.set_percent(document.retry_percent);
            let mut chooser = service.chooser.borrow_mut();
            chooser.set_eject_percent(document.eject_percent);
            drop((retries, chooser));
            self.refresh_servers(&service);
            self.refresh_connection_limits();
            self.refresh_capacity();
            return true;
        }
        let retries = ChainRetries::new(versioned.document.retry_percent);
        let eject_percent = versioned.document.eject_percent;
        let chooser = GateChooser::new(self.settings.server_choice, eject_percent);
        let service = Rc::new(ServiceCore {
            metrics: RefCell::new(self.service_metrics(&versioned)),
            document: RefCell::new(versioned),
            chooser: Rc::new(RefCell::new(chooser)),
            retries: RefCell::new(retries),
            last_request: Cell::new(None),
        });
        self.refresh_servers(&service);
        self.services.borrow_mut().insert(name, service);
        self.refresh_connection_limits();
        self.refresh_capacity();
        true
    }

    /// Creates the metrics of a service, labelled with the partner that its document names.
    fn service_metrics(&self, versioned: &VersionedDocument) -> Rc<ServiceMetrics> {
        let document = &versioned.document;
        let metrics = self.metrics.service(&document.service, &document.partner);
        metrics.set_revision(versioned.revision);
        metrics.set_probes_allowed(document.measuring.probes);
        Rc::new(metrics)
    }

    /// Updates the number of partners among which the admission limits divide the gate.
    fn refresh_capacity(&self) {
        let services = self.services.borrow();
        let partners: HashSet<_> = services
            .values()
            .map(|service| service.document().document.partner.clone())
            .collect();
        let capacity = GateCapacity {
            total: self.settings.in_flight_limit,
            partners: partners.len() as u32,
        };
        self.limits.borrow_mut().set_capacity(capacity);
    }

    /// Updates the server choosers of all services, and the connection limits, after the usable
    /// servers changed.
    pub(crate) fn refresh_all_servers(&self) {
        let services: Vec<_> = self.services.borrow().values().map(Rc::clone).collect();
        for service in services {
            self.refresh_servers(&service);
        }
        self.refresh_connection_limits();
    }

    /// Records the number of gates that may hold connections to servers, this one included, and
    /// updates the connection limits if this changes the gate's share.
    pub(crate) fn record_gate_count(&self, gate_count: u32, now: Moment) {
        if self.connection_share.borrow_mut().observe(gate_count, now) {
            self.refresh_connection_limits();
        }
    }

    /// Sets the pool's connection limit for each server to this gate's share. A server of several
    /// services gets the smallest of their limits.
    fn refresh_connection_limits(&self) {
        let share = self.connection_share.borrow();
        let mut limits = HashMap::new();
        for service in self.services.borrow().values() {
            let document = Arc::clone(&service.document.borrow().document);
            let service_limit = share.connections(document.connections) as usize;
            for view in self.servers.usable(&document.service) {
                let limit = limits.entry(view.server.address).or_insert(service_limit);
                *limit = service_limit.min(*limit);
            }
        }
        self.transport.pool().replace_connection_limits(limits);
    }

    /// Updates the chooser of one service with its usable servers, and the metrics that count them.
    fn refresh_servers(&self, service: &ServiceCore) {
        let document = Arc::clone(&service.document.borrow().document);
        let usable = self.servers.usable(&document.service);
        let specs: Vec<ServerSpec> = usable
            .iter()
            .map(|view| ServerSpec {
                server: view.server,
                slots: document.slots,
                near: view.data_centre == self.settings.data_centre,
            })
            .collect();
        let leaving = self.servers.leaving_count(&document.service);
        service.metrics().set_servers(specs.len(), leaving);
        let now = self.clock.now();
        service.chooser.borrow_mut().replace_servers(&specs, now);
    }

    /// Returns the caller address of another gate, `None` if that incarnation is not known.
    pub(crate) fn caller_address_of(&self, gate: &GateId) -> Option<SocketAddr> {
        self.peers.address_of(gate, self.clock.now())
    }

    /// Returns whether the gate is finishing its requests before it ends.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Starts to drain, and has the other gates stop advertising this one.
    pub(crate) fn start_draining(&self) {
        self.draining.set(true);
        self.peers.drain();
    }

    /// Returns the address on which the gate accepts callers.
    pub(crate) fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }
}
