//! State that the tasks of one gate share.
//!
//! [`EdgeCore`] holds what a request needs: routes, servers, live gates and connections. It also
//! computes this gate's share of the limits that hold for the whole fleet, such as the rate of load
//! probes and the connections to each server.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::ServiceConfig;
use foldhash::{HashMap, HashMapExt};
use ggs_limit::{ByteBudget, FleetRetries, ServerLimits, ServerRests};
use ggs_member::{GateRecord, GateState, GroupCandidate, PeerPolicy, PeerTable};
use ggs_model::{BootClock, Clock, GateId, Incarnation, Moment, ServiceName};
use ggs_observe::{EventLog, LogEvent};
use ggs_place::{ListedServer, ProbeBucket, ServerKey};
use ggs_quarantine::CrashTable;
use ggs_reach::{EvacuationTable, ServerReach};
use ggs_relay::{ConnectionOptions, ConnectionPool};
use ggs_route::{ActiveRoute, RouteTable};
use rand::seq::IteratorRandom;
use tokio::sync::Notify;

use crate::catalog::ServerCatalog;
use crate::contacts::{GATE_LEASE, GateContacts};
use crate::crashes::CrashNews;
use crate::feeds::{ConfigFeed, ServerFeed};
use crate::metrics::EdgeMetrics;
use crate::pending::PendingUpdates;
use crate::quarantine::UnsavedQuarantine;
use crate::quota::QuotaState;
use crate::service::ServiceState;
use crate::settings::EdgeSettings;

/// Time without a tick of the peer table after which a gate concludes that its own process was
/// suspended. It then withdraws no other gate for a whole lease.
const SUSPEND_THRESHOLD: Duration = Duration::from_secs(1);

/// Fraction of the allowed load probes that the gates send. The rest is a reserve, so that all
/// gates together stay within the limit while they differ in what they know of the fleet.
const PROBE_LIMIT_FRACTION: f64 = 0.7;

/// Fraction of a server's connection limit that all gates together may use.
const CONNECTION_LIMIT_FRACTION: f64 = 0.8;

/// Connections that each gate may hold to a server, however small its share is.
const MIN_CONNECTION_COUNT: usize = 4;

/// Time after which an idle connection to a server is closed. Servers close idle connections after
/// ten seconds or more.
const IDLE_TIMEOUT: Duration = Duration::from_secs(8);

/// Longest time to open a connection to a server.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(120);

/// Most connections to another gate for requests that it takes for this one.
const MAX_GATE_CONNECTION_COUNT: usize = 128;

/// The service of a server, and the server's key in the service's load table.
type ServerLocation = (Rc<ServiceState>, ServerKey);

/// State of one gate.
#[derive(Debug)]
pub(crate) struct EdgeCore<W, S> {
    /// Settings in force.
    pub(crate) settings: RefCell<Rc<EdgeSettings>>,
    /// The platform's names and wire formats.
    pub(crate) wire: W,
    /// The platform's store.
    pub(crate) store: S,
    /// Log of events.
    pub(crate) log: EventLog,
    /// Counters and latencies.
    pub(crate) metrics: EdgeMetrics,
    /// The host's clock.
    pub(crate) clock: BootClock,
    /// Connections to servers.
    pub(crate) pool: ConnectionPool,
    /// Connections to other gates that take requests for this one.
    pub(crate) gate_pool: ConnectionPool,
    /// Whether this gate reaches any servers, of whatever service.
    pub(crate) reach: RefCell<ServerReach>,
    /// Requests that this gate has taken for others and that have not ended.
    pub(crate) detours_in_flight: Cell<usize>,
    /// Bodies of requests and answers that are held in memory.
    pub(crate) body_budget: ByteBudget,
    /// Configuration of the codec that reads answers of servers and gates.
    pub(crate) codec: ServiceConfig,
    /// Routes in force; `None` until the first configuration has been read.
    pub(crate) routes: RefCell<Option<Rc<RouteTable>>>,
    /// Servers as the store lists them.
    pub(crate) catalog: RefCell<ServerCatalog>,
    /// Gates and their leases.
    pub(crate) gates: RefCell<PeerTable>,
    /// Gates that have joined since the last heartbeat of this gate, which logs them.
    pub(crate) joined_gates: RefCell<Vec<String>>,
    /// Addresses at which other gates are reached.
    pub(crate) contacts: RefCell<GateContacts>,
    /// Token bucket for load probes.
    pub(crate) probes: RefCell<ProbeBucket>,
    /// Addresses for datagrams of the gates that load updates are sent to.
    pub(crate) load_update_peers: RefCell<Vec<SocketAddr>>,
    /// Limits that servers named for all gates together.
    pub(crate) server_limits: RefCell<ServerLimits>,
    /// Servers that want no requests of this gate.
    pub(crate) rests: RefCell<ServerRests>,
    /// Requests under which servers ended.
    pub(crate) crashes: RefCell<CrashTable>,
    /// What other gates have to learn of them.
    pub(crate) crash_news: CrashNews,
    /// Requests in quarantine that have to be written to the store.
    pub(crate) unsaved_quarantine: UnsavedQuarantine,
    /// Data centres that operators want empty.
    pub(crate) evacuations: RefCell<EvacuationTable>,
    /// Quotas of workspaces.
    pub(crate) quota: QuotaState,
    /// Live gates of the data centre that serve callers.
    pub(crate) serving: RefCell<Vec<GroupCandidate>>,
    /// Load probes per second that the gates of the data centre may send together.
    near_probes: Cell<f64>,
    /// This gate's share of `near_probes`, from 0 to 1.
    probe_share: Cell<f64>,
    /// Load reports and sends of this gate that have not yet been sent to other gates.
    pub(crate) load_updates: PendingUpdates,
    /// State of the configuration feed.
    pub(crate) config_feed: ConfigFeed,
    /// State of the feed of servers.
    pub(crate) server_feed: ServerFeed,
    services: RefCell<HashMap<ServiceName, Rc<ServiceState>>>,
    /// Servers by their instance identifier.
    instances: RefCell<HashMap<Arc<str>, ServerLocation>>,
    /// Notified when another gate has listed the gates that it knows.
    pub(crate) gates_listed: Notify,
    /// Whether the gate that listed the gates last has a list of servers.
    pub(crate) listed_by_reader: Cell<bool>,
    /// Whether the row of this gate was written to the store.
    pub(crate) registered: Cell<bool>,
    /// Wakes the task that keeps this gate registered when the store was restored from a copy.
    pub(crate) store_restored: Notify,
    /// The newest known era of the store; `None` until the first read.
    store_era: Cell<Option<u64>>,
    servers_known: Cell<bool>,
    draining: Cell<bool>,
}

impl<W, S> EdgeCore<W, S> {
    /// Creates the state of a gate that knows neither routes nor servers.
    pub(crate) fn new(settings: EdgeSettings, wire: W, store: S, log: EventLog) -> Rc<Self> {
        let clock = BootClock;
        let now = clock.now();
        let policy = PeerPolicy {
            lease: GATE_LEASE,
            max_tick_gap: SUSPEND_THRESHOLD,
            // A whole data centre or all gates may be lost at once. Withdrawals have no limit, so
            // that no gate whose lease has expired is advertised even then.
            withdraw_percent: 100,
            withdraw_cap_percent: 100,
            ..PeerPolicy::default()
        };
        let options = ConnectionOptions {
            connect_timeout: CONNECT_TIMEOUT,
            idle_timeout: IDLE_TIMEOUT,
            ..ConnectionOptions::default()
        };
        let body_budget = ByteBudget::new(settings.body_bytes());
        Rc::new(Self {
            gates: RefCell::new(PeerTable::new(own_record(&settings), policy, now)),
            joined_gates: RefCell::default(),
            contacts: RefCell::new(GateContacts::default()),
            catalog: RefCell::new(ServerCatalog::new(settings.server_heartbeat)),
            settings: RefCell::new(Rc::new(settings)),
            wire,
            store,
            log,
            metrics: EdgeMetrics::new(),
            clock,
            pool: ConnectionPool::new(options),
            gate_pool: ConnectionPool::new(ConnectionOptions {
                connection_limit: MAX_GATE_CONNECTION_COUNT,
                ..options
            }),
            reach: RefCell::default(),
            detours_in_flight: Cell::new(0),
            body_budget,
            codec: ServiceConfig::default(),
            routes: RefCell::new(None),
            probes: RefCell::new(ProbeBucket::new(now)),
            load_update_peers: RefCell::new(Vec::new()),
            server_limits: RefCell::new(ServerLimits::default()),
            rests: RefCell::default(),
            crashes: RefCell::default(),
            crash_news: CrashNews::default(),
            unsaved_quarantine: UnsavedQuarantine::default(),
            evacuations: RefCell::default(),
            quota: QuotaState::new(now),
            serving: RefCell::new(Vec::new()),
            near_probes: Cell::new(0.0),
            probe_share: Cell::new(0.0),
            load_updates: PendingUpdates::default(),
            config_feed: ConfigFeed::default(),
            server_feed: ServerFeed::default(),
            services: RefCell::new(HashMap::new()),
            instances: RefCell::new(HashMap::new()),
            gates_listed: Notify::new(),
            listed_by_reader: Cell::new(false),
            registered: Cell::new(false),
            store_restored: Notify::new(),
            store_era: Cell::new(None),
            servers_known: Cell::new(false),
            draining: Cell::new(false),
        })
    }

    /// Returns the settings in force.
    pub(crate) fn settings(&self) -> Rc<EdgeSettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Returns the routes in force; `None` until the first configuration has been read.
    pub(crate) fn routes(&self) -> Option<Rc<RouteTable>> {
        self.routes.borrow().as_ref().map(Rc::clone)
    }

    /// Returns the service called `name`, and creates its state if there is none.
    pub(crate) fn service(&self, name: &ServiceName) -> Rc<ServiceState> {
        if let Some(service) = self.services.borrow().get(name) {
            return Rc::clone(service);
        }
        let bounds = &self.settings().bounds;
        let gates = self.fleet_size();
        let retries = FleetRetries::new(bounds.retry_ratio, bounds.retry_slack, gates);
        let service = ServiceState::new(name.clone(), retries);
        self.metrics.add_service(name.as_str());
        let mut services = self.services.borrow_mut();
        services.insert(name.clone(), Rc::clone(&service));
        service
    }

    /// Usual processing time of the requests of a route, at the first of its services.
    pub(crate) fn expected_work(&self, route: &ActiveRoute) -> Duration {
        let rule = route.rule();
        let first = rule.targets.first();
        first.map_or(Duration::ZERO, |target| {
            self.service(&target.service).work(rule).mean()
        })
    }

    /// Addresses of up to `count` servers of any service, drawn at random, without the one at `address`.
    pub(crate) fn sample_servers(&self, count: usize, address: SocketAddr) -> Vec<SocketAddr> {
        let instances = self.instances.borrow();
        let addresses = instances.values().filter_map(|(service, key)| {
            let table = service.table.borrow();
            table.server(*key).map(|server| server.address)
        });
        let others = addresses.filter(|other| *other != address);
        others.sample(&mut rand::rng(), count)
    }

    /// Number of servers that may get requests, of all services.
    pub(crate) fn server_count(&self) -> usize {
        self.instances.borrow().len()
    }

    /// All services.
    pub(crate) fn services(&self) -> Vec<Rc<ServiceState>> {
        self.services.borrow().values().map(Rc::clone).collect()
    }

    /// Requests of this gate that are in flight at servers.
    pub(crate) fn requests_at_servers(&self) -> usize {
        let services = self.services.borrow();
        let tables = services.values().map(|service| service.table.borrow());
        tables.map(|table| table.in_flight()).sum()
    }

    /// Number of known gates in the fleet; at least one.
    pub(crate) fn fleet_size(&self) -> usize {
        self.contacts.borrow().fleet_size().max(1)
    }

    /// Number of known gates in the data centre whose addresses sort before this one's.
    pub(crate) fn near_rank(&self) -> usize {
        let settings = self.settings();
        let contacts = self.contacts.borrow();
        contacts.rank_of(settings.listen_gates, &settings.data_centre)
    }

    /// Adds this gate to the known ones.
    pub(crate) fn record_own_contact(&self) {
        let own = self.gates.borrow().own().clone();
        let capacity = self.settings().capacity();
        let mut contacts = self.contacts.borrow_mut();
        contacts.record(&own, capacity, self.clock.now());
    }

    /// Number of live gates in the data centre whose addresses sort before this one's.
    pub(crate) fn live_rank(&self) -> usize {
        let gates = self.gates.borrow();
        let own = gates.own();
        let live = gates.reports(self.clock.now());
        live.filter(|(peers, _)| *peers < own.peers).count()
    }

    /// Number of live gates in the data centre; at least one.
    pub(crate) fn near_gate_count(&self) -> u32 {
        let settings = self.settings();
        let gates = self.gates.borrow();
        let advertised = gates.advertised(self.clock.now());
        let near = advertised.live.iter();
        let near = near.filter(|gate| gate.data_centre == settings.data_centre);
        near.count().max(1) as u32
    }

    /// Whether routes and servers are known and the gate is not draining.
    pub(crate) fn is_ready(&self) -> bool {
        let knows = self.servers_known.get() && self.routes.borrow().is_some();
        knows && !self.draining.get()
    }

    /// Whether the gate is draining.
    pub(crate) fn is_draining(&self) -> bool {
        self.draining.get()
    }

    /// Marks the gate as draining, and stops naming it in entry answers.
    pub(crate) fn set_draining(&self) {
        self.draining.set(true);
        self.gates.borrow_mut().drain();
    }

    /// Gives each service the servers that may get requests, and recomputes this gate's shares of
    /// load probes, retries and connections for the present size of the fleet.
    pub(crate) fn refresh_services(&self, now: Moment) {
        let settings = self.settings();
        let mut lists: HashMap<ServiceName, Vec<ListedServer>> = HashMap::new();
        let catalog = self.catalog.borrow();
        let evacuations = self.evacuations.borrow();
        let usable = catalog.usable();
        let usable = usable.filter(|(record, _)| !evacuations.contains(&record.data_centre));
        for (record, cold_until) in usable {
            let list = lists.entry(record.service.clone()).or_default();
            list.push(ListedServer {
                instance: Arc::clone(&record.instance),
                started_ms: record.started_ms,
                address: record.address,
                near: record.data_centre == settings.data_centre,
                slots: record.slots,
                cold_until: Some(cold_until).filter(|until| *until > now),
            });
        }
        let servers = lists.values().flatten();
        let near = servers.filter(|server| server.near).count();
        let near_probes = settings.bounds.probes_per_second * near as f64 * PROBE_LIMIT_FRACTION;
        self.near_probes.set(near_probes);
        self.set_probe_share(self.probe_share.get());
        for name in lists.keys() {
            self.service(name);
        }
        self.metrics.set_servers(lists.values().map(Vec::len).sum());
        let mut instances = HashMap::new();
        let rests = self.rests.borrow();
        for (name, service) in self.services.borrow().iter() {
            let servers = lists.remove(name).unwrap_or_default();
            let mut table = service.table.borrow_mut();
            table.replace(servers, now);
            let mut resting = Vec::new();
            for (key, server) in table.servers() {
                let location = (Rc::clone(service), key);
                instances.insert(Arc::clone(&server.instance), location);
                let rest = rests.until(&server.instance, server.started_ms, now);
                resting.extend(rest.map(|until| (key, until)));
            }
            for (key, until) in resting {
                table.set_rest(key, until);
            }
        }
        *self.instances.borrow_mut() = instances;
        drop((catalog, rests, evacuations));
        self.refresh_shares();
        self.refresh_group(now);
    }

    /// Finds a server that may get requests by its instance identifier.
    pub(crate) fn find_server(&self, instance: &str) -> Option<ServerLocation> {
        let instances = self.instances.borrow();
        let (service, key) = instances.get(instance)?;
        Some((Rc::clone(service), *key))
    }

    /// Sets this gate's share of its data centre's load probes, from 0 to 1.
    pub(crate) fn set_probe_share(&self, share: f64) {
        self.probe_share.set(share);
        let rate = self.near_probes.get() * share;
        self.probes.borrow_mut().set_rate(rate);
    }

    /// Records the era of the store in an answer or a datagram. If the store was restored from a copy
    /// since the last one, logs it, makes the next read of configurations return all rows, and has
    /// this gate registered again.
    pub(crate) fn note_store_era(&self, era: u64) {
        let known = self.store_era.get();
        if known.is_some_and(|known| known >= era) {
            return;
        }
        self.store_era.set(Some(era));
        if let Some(before) = known {
            let pairs = slog::o!("era" => era, "before" => before);
            let message = "store was restored from a copy; its newest changes are lost";
            self.log.emit(LogEvent::StoreRestored, message, pairs);
            self.config_feed.restart();
            self.store_restored.notify_one();
        }
    }

    /// Records that a list of servers has been received.
    pub(crate) fn set_servers_known(&self) {
        self.servers_known.set(true);
    }

    /// Recomputes the shares of retries and connections for the present size of the fleet.
    pub(crate) fn refresh_shares(&self) {
        let gates = self.fleet_size();
        let bounds = &self.settings().bounds;
        let routes = self.routes();
        if let Some(routes) = &routes {
            self.refresh_urgency(routes);
        }
        let mut shares = Vec::new();
        for (name, service) in self.services.borrow().iter() {
            let mut retries = service.retries.borrow_mut();
            retries.set_gates(bounds.retry_slack, gates);
            let rule = routes
                .as_ref()
                .and_then(|routes| routes.service(name.as_str()));
            let Some(rule) = rule else { continue };
            let share = f64::from(rule.connections) * CONNECTION_LIMIT_FRACTION / gates as f64;
            let share = (share as usize).max(MIN_CONNECTION_COUNT);
            let table = service.table.borrow();
            shares.extend(table.servers().map(|(_, server)| (server.address, share)));
        }
        self.pool.replace_connection_limits(shares);
    }
}

/// The record of this incarnation of the gate. It is live from the start, but while the gate is not
/// ready, its heartbeats say that it is draining, so that the gates of its data centre do not name
/// it to callers.
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
