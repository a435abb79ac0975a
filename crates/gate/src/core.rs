//! State that the tasks of one gate share.

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
use crate::keys::KeyDesk;
use crate::peers::GatePeers;
use crate::servers::GateServers;
use crate::transport::GateTransport;

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
    /// Admits requests.
    pub(crate) limits: RefCell<AdmissionLimits>,
    /// Decides the gate's share of the connections to each server.
    share: RefCell<ConnectionShare>,
    /// Services by name.
    services: RefCell<HashMap<ServiceName, Rc<ServiceCore>>>,
    /// The platform's services.
    pub(crate) platform: HttpPlatform,
    /// Documents and how far they reach.
    pub(crate) documents: FollowedDocuments,
    /// Servers of all services.
    pub(crate) servers: GateServers,
    /// The other gates.
    pub(crate) peers: GatePeers,
    /// Whether the gate finishes its work and ends.
    draining: Cell<bool>,
    /// The address that callers reach.
    caller_address: SocketAddr,
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
    pub(crate) retries: RefCell<ChainRetries>,
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
    pub(crate) fn new(settings: GateSettings, peers: GatePeers, log: EventLog) -> Rc<Self> {
        let total = settings.in_flight_limit;
        let pool = ConnectionPool::new(ConnectionOptions::default());
        let own = peers.own();
        let platform = HttpPlatform::builder(&settings.platform).build();
        let keys = KeyDesk::new(&settings, own.gate.clone());
        Rc::new(Self {
            settings,
            keys,
            id: own.gate,
            clock: BootClock,
            log,
            metrics: GateMetrics::new(),
            transport: GateTransport::new(pool),
            limits: RefCell::new(AdmissionLimits::new(GateCapacity { total, partners: 1 })),
            share: RefCell::new(ConnectionShare::new(BootClock.now())),
            services: RefCell::new(HashMap::new()),
            platform,
            documents: FollowedDocuments::default(),
            servers: GateServers::default(),
            draining: Cell::new(false),
            caller_address: own.callers,
            peers,
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
            let document = Arc::clone(&versioned.document);
            *service.metrics.borrow_mut() = self.service_metrics(&versioned);
            *service.document.borrow_mut() = versioned;
            let mut retries = service.retries.borrow_mut();
            retries.set_percent(document.retry_percent);
            let mut chooser = service.chooser.borrow_mut();
            chooser.set_eject_percent(document.eject_percent);
            drop((retries, chooser));
            self.refresh_servers(&service);
            self.refresh_shares();
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
        self.refresh_shares();
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
            total: self.settings.in_flight_limit,
            partners: partners.len() as u32,
        };
        self.limits.borrow_mut().set_capacity(capacity);
    }

    /// Gives every service's chooser the servers that take new work.
    pub(crate) fn refresh_all_servers(&self) {
        let services: Vec<_> = self.services.borrow().values().map(Rc::clone).collect();
        for service in services {
            self.refresh_servers(&service);
        }
        self.refresh_shares();
    }

    /// Takes the number of gates that may hold connections to servers, this one included.
    pub(crate) fn note_gates(&self, known: u32, now: Moment) {
        if self.share.borrow_mut().observe(known, now) {
            self.refresh_shares();
        }
    }

    /// Gives the pool the gate's share of each server's connections; a server of several services
    /// has the smallest.
    fn refresh_shares(&self) {
        let share = self.share.borrow();
        let mut shares = HashMap::new();
        for service in self.services.borrow().values() {
            let document = Arc::clone(&service.document.borrow().document);
            let own = share.connections(document.connections) as usize;
            for view in self.servers.usable(&document.service) {
                let least = shares.entry(view.server.address).or_insert(own);
                *least = own.min(*least);
            }
        }
        self.transport.pool().replace_connection_limits(shares);
    }

    /// Gives a service's chooser the servers that take new work.
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

    /// The address for callers of another gate that lives.
    pub(crate) fn caller_address_of(&self, gate: &GateId) -> Option<SocketAddr> {
        self.peers.address_of(gate, self.clock.now())
    }

    /// Whether the gate finishes its work and ends.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Starts to drain.
    pub(crate) fn start_draining(&self) {
        self.draining.set(true);
        self.peers.drain();
    }

    /// The address that callers reach.
    pub(crate) fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }
}
