//! State that the tasks of one gate share.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use actix_http::ServiceConfig;
use foldhash::{HashMap, HashMapExt};
use ggs_limit::RetryBudget;
use ggs_member::{GateRecord, GateState, PeerTable, PeerTiming};
use ggs_model::{BootClock, Clock, GateId, Incarnation, Moment, ServiceName};
use ggs_observe::EventLog;
use ggs_place::{ListedServer, ProbeBucket, ServerKey};
use ggs_relay::{ConnectionOptions, ConnectionPool};
use ggs_route::RouteTable;

use crate::catalog::ServerCatalog;
use crate::contacts::{GATE_LEASE, GateContacts};
use crate::follow::{ConfigFollow, ServerFollow};
use crate::metrics::EdgeMetrics;
use crate::pending::PendingNews;
use crate::service::ServiceState;
use crate::settings::EdgeSettings;

/// Time without a tick after which a gate takes itself for one that was suspended.
const WAKE_PAUSE: std::time::Duration = std::time::Duration::from_secs(1);

/// Part of the allowed questions that is asked, so that gates which differ in what they know of the
/// fleet stay within it together.
const ASK_MARGIN: f64 = 0.7;

/// Part of a server's connections that the gates take together.
const CONNECTION_MARGIN: f64 = 0.8;

/// Fewest connections that a gate may hold to a server.
const MIN_CONNECTIONS: usize = 4;

/// Time for which a connection to a server is kept idle; servers close theirs after ten seconds or
/// more.
const IDLE_LIMIT: std::time::Duration = std::time::Duration::from_secs(8);

/// Longest time for a new connection to a server.
const CONNECT_TIME: std::time::Duration = std::time::Duration::from_millis(120);

/// Where a server is found: its service, and its key in the service's load table.
type ServerPlace = (Rc<ServiceState>, ServerKey);

/// State of one gate.
#[derive(Debug)]
pub(crate) struct EdgeCore<W, S> {
    /// Settings in force.
    pub(crate) settings: RefCell<Rc<EdgeSettings>>,
    /// Names and formats of the platform.
    pub(crate) wire: W,
    /// The platform's store.
    pub(crate) store: S,
    /// Where events go.
    pub(crate) log: EventLog,
    /// Counters and latencies.
    pub(crate) metrics: EdgeMetrics,
    /// The host's clock.
    pub(crate) clock: BootClock,
    /// Connections to servers.
    pub(crate) pool: ConnectionPool,
    /// How the bytes of answers are read.
    pub(crate) codec: ServiceConfig,
    /// Routes in force; `None` until a configuration was read.
    pub(crate) routes: RefCell<Option<Rc<RouteTable>>>,
    /// Servers.
    pub(crate) catalog: RefCell<ServerCatalog>,
    /// Live gates.
    pub(crate) gates: RefCell<PeerTable>,
    /// Addresses at which other gates are reached.
    pub(crate) contacts: RefCell<GateContacts>,
    /// Questions that may be asked.
    pub(crate) asks: RefCell<ProbeBucket>,
    /// Gates of the data centre that meet its callers, by their addresses for datagrams.
    pub(crate) group_peers: RefCell<Vec<SocketAddr>>,
    /// Questions that the gates of the data centre may ask in a second.
    near_asks: Cell<f64>,
    /// This gate's part of them.
    ask_share: Cell<f64>,
    /// Loads and sends that the other gates were not told yet.
    pub(crate) news: PendingNews,
    /// How far configurations are known.
    pub(crate) configs: ConfigFollow,
    /// How far the list of servers is known.
    pub(crate) follow: ServerFollow,
    services: RefCell<HashMap<ServiceName, Rc<ServiceState>>>,
    /// Servers by the name of their run.
    instances: RefCell<HashMap<Arc<str>, ServerPlace>>,
    servers_known: Cell<bool>,
    draining: Cell<bool>,
}

impl<W, S> EdgeCore<W, S> {
    /// A core that knows neither routes nor servers.
    pub(crate) fn new(settings: EdgeSettings, wire: W, store: S, log: EventLog) -> Rc<Self> {
        let clock = BootClock;
        let now = clock.now();
        let timing = PeerTiming {
            lease: GATE_LEASE,
            wake_pause: WAKE_PAUSE,
            withdraw_percent: 100,
            withdraw_cap_percent: 100,
            ..PeerTiming::default()
        };
        let options = ConnectionOptions {
            connect_timeout: CONNECT_TIME,
            idle_limit: IDLE_LIMIT,
            ..ConnectionOptions::default()
        };
        Rc::new(Self {
            gates: RefCell::new(PeerTable::new(own_record(&settings), timing, now)),
            contacts: RefCell::new(GateContacts::default()),
            catalog: RefCell::new(ServerCatalog::new(settings.server_heartbeat)),
            settings: RefCell::new(Rc::new(settings)),
            wire,
            store,
            log,
            metrics: EdgeMetrics::new(),
            clock,
            pool: ConnectionPool::new(options),
            codec: ServiceConfig::default(),
            routes: RefCell::new(None),
            asks: RefCell::new(ProbeBucket::new(now)),
            group_peers: RefCell::new(Vec::new()),
            near_asks: Cell::new(0.0),
            ask_share: Cell::new(0.0),
            news: PendingNews::default(),
            configs: ConfigFollow::default(),
            follow: ServerFollow::default(),
            services: RefCell::new(HashMap::new()),
            instances: RefCell::new(HashMap::new()),
            servers_known: Cell::new(false),
            draining: Cell::new(false),
        })
    }

    /// The settings in force.
    pub(crate) fn settings(&self) -> Rc<EdgeSettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// The routes in force.
    pub(crate) fn routes(&self) -> Option<Rc<RouteTable>> {
        self.routes.borrow().as_ref().map(Rc::clone)
    }

    /// The service called `name`.
    pub(crate) fn service(&self, name: &ServiceName) -> Rc<ServiceState> {
        if let Some(service) = self.services.borrow().get(name) {
            return Rc::clone(service);
        }
        let bounds = &self.settings().bounds;
        let gates = self.fleet_size();
        let retries = RetryBudget::new(bounds.retry_ratio, bounds.retry_slack, gates);
        let service = ServiceState::new(name.clone(), retries);
        let mut services = self.services.borrow_mut();
        services.insert(name.clone(), Rc::clone(&service));
        service
    }

    /// Requests that servers work on for this gate.
    pub(crate) fn requests_at_servers(&self) -> usize {
        let services = self.services.borrow();
        let boards = services.values().map(|service| service.table.borrow());
        boards.map(|board| board.in_flight()).sum()
    }

    /// Gates of the fleet, this one included.
    pub(crate) fn fleet_size(&self) -> usize {
        self.contacts.borrow().fleet_size().max(1)
    }

    /// Live gates of the data centre, this one included.
    pub(crate) fn near_gates(&self) -> u32 {
        let settings = self.settings();
        let gates = self.gates.borrow();
        let handed = gates.handed_out(self.clock.now());
        let near = handed.live.iter();
        let near = near.filter(|gate| gate.data_centre == settings.data_centre);
        near.count().max(1) as u32
    }

    /// Whether routes and servers are known and the gate does not drain.
    pub(crate) fn is_ready(&self) -> bool {
        let knows = self.servers_known.get() && self.routes.borrow().is_some();
        knows && !self.draining.get()
    }

    /// Whether the gate finishes its work and ends.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Starts to drain.
    pub(crate) fn set_draining(&self) {
        self.draining.set(true);
        self.gates.borrow_mut().drain();
    }

    /// Gives every service the servers that may get requests, and takes the size of the fleet into
    /// the shares of questions, second sends and connections.
    pub(crate) fn refresh_services(&self, now: Moment) {
        let settings = self.settings();
        let mut lists: HashMap<ServiceName, Vec<ListedServer>> = HashMap::new();
        let catalog = self.catalog.borrow();
        for (record, cold_until) in catalog.usable() {
            let list = lists.entry(record.service.clone()).or_default();
            list.push(ListedServer {
                instance: Arc::clone(&record.instance),
                address: record.address,
                near: record.data_centre == settings.data_centre,
                slots: record.slots,
                cold_until: Some(cold_until).filter(|until| *until > now),
            });
        }
        let servers = lists.values().flatten();
        let near = servers.filter(|server| server.near).count();
        let near_asks = settings.bounds.asks_per_second * near as f64 * ASK_MARGIN;
        self.near_asks.set(near_asks);
        self.set_ask_share(self.ask_share.get());
        for name in lists.keys() {
            self.service(name);
        }
        self.metrics.set_servers(lists.values().map(Vec::len).sum());
        let mut instances = HashMap::new();
        for (name, service) in self.services.borrow().iter() {
            let servers = lists.remove(name).unwrap_or_default();
            let mut board = service.table.borrow_mut();
            board.replace(servers, now);
            for (key, server) in board.servers() {
                let place = (Rc::clone(service), key);
                instances.insert(Arc::clone(&server.instance), place);
            }
        }
        *self.instances.borrow_mut() = instances;
        drop(catalog);
        self.refresh_shares();
        self.refresh_groups(now);
    }

    /// The service and the place of a server that may get requests.
    pub(crate) fn find_server(&self, instance: &str) -> Option<ServerPlace> {
        let instances = self.instances.borrow();
        let (service, key) = instances.get(instance)?;
        Some((Rc::clone(service), *key))
    }

    /// Takes this gate's part of the questions of its data centre.
    pub(crate) fn set_ask_share(&self, share: f64) {
        self.ask_share.set(share);
        let rate = self.near_asks.get() * share;
        self.asks.borrow_mut().set_rate(rate);
    }

    /// Notes that the list of servers was read.
    pub(crate) fn set_servers_known(&self) {
        self.servers_known.set(true);
    }

    /// Takes the size of the fleet into all shares.
    fn refresh_shares(&self) {
        let gates = self.fleet_size();
        let bounds = &self.settings().bounds;
        let routes = self.routes();
        let mut shares = Vec::new();
        for (name, service) in self.services.borrow().iter() {
            let mut retries = service.retries.borrow_mut();
            retries.set_gates(bounds.retry_slack, gates);
            let rule = routes
                .as_ref()
                .and_then(|routes| routes.service(name.as_str()));
            let Some(rule) = rule else { continue };
            let share = f64::from(rule.connections) * CONNECTION_MARGIN / gates as f64;
            let share = (share as usize).max(MIN_CONNECTIONS);
            let board = service.table.borrow();
            shares.extend(board.servers().map(|(_, server)| (server.address, share)));
        }
        self.pool.replace_shares(shares);
    }
}

/// What this run of the gate says of itself; it is handed out once it is ready.
fn own_record(settings: &EdgeSettings) -> GateRecord {
    let gate = GateId {
        host: settings.host.clone(),
        incarnation: Incarnation(rand::random()),
    };
    GateRecord {
        gate,
        data_centre: settings.data_centre.clone(),
        callers: settings.listen_callers,
        peers: settings.listen_gates,
        state: GateState::Live,
    }
}
