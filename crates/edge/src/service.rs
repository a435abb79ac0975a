//! The state that a gate keeps for each service: its servers and their loads, its retry budget, and
//! the processing times of its routes.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use foldhash::{HashMap, HashMapExt};
use ggs_limit::FleetRetries;
use ggs_model::{Moment, ServiceName};
use ggs_place::{LoadTable, RoomGauge, WorkEstimate};
use ggs_reach::{DetourTable, ServerReach};
use ggs_route::RouteRule;

/// Consecutive probes without a load report after which the servers of a service are taken to
/// report none and are no longer probed. Failed probes do not count.
const MAX_ANSWERS_WITHOUT_LOAD_COUNT: u32 = 8;

/// The state of one service at this gate.
#[derive(Debug)]
pub(crate) struct ServiceState {
    /// Name of the service.
    pub(crate) name: ServiceName,
    /// Its servers with their loads.
    pub(crate) table: RefCell<LoadTable>,
    /// This gate's share of the service's retry budget.
    pub(crate) retries: RefCell<FleetRetries>,
    /// How often its servers turn requests away or have no slot for them.
    pub(crate) room: RefCell<RoomGauge>,
    /// How often its servers have no slot for a request that would be answered in time.
    pub(crate) slots: RefCell<RoomGauge>,
    /// Priority of its most urgent requests, by the configuration; 0 is the highest.
    pub(crate) most_urgent: Cell<u32>,
    /// Whether this gate reaches its servers.
    pub(crate) reach: RefCell<ServerReach>,
    /// When its servers are tried again, if this gate may not reach them.
    pub(crate) tried_again_at: Cell<Moment>,
    /// Gates that take its requests while this one does not reach its servers.
    pub(crate) detours: RefCell<DetourTable>,
    /// Estimated processing times of the routes to this service, by name of the route.
    estimates: RefCell<HashMap<Arc<str>, WorkEstimate>>,
    /// Consecutive probes without a load report; failed ones do not count.
    answers_without_load: Cell<u32>,
}

impl ServiceState {
    /// A service without servers.
    pub(crate) fn new(name: ServiceName, retries: FleetRetries) -> Rc<Self> {
        Rc::new(Self {
            name,
            table: RefCell::new(LoadTable::new(rand::random())),
            retries: RefCell::new(retries),
            room: RefCell::default(),
            slots: RefCell::default(),
            most_urgent: Cell::new(u32::MAX),
            reach: RefCell::default(),
            tried_again_at: Cell::new(Moment::ZERO),
            detours: RefCell::new(DetourTable::new(rand::random())),
            estimates: RefCell::new(HashMap::new()),
            answers_without_load: Cell::new(0),
        })
    }

    /// Estimated processing time of a route's requests; starts from the objective of the route.
    pub(crate) fn work(&self, rule: &RouteRule) -> WorkEstimate {
        let estimates = self.estimates.borrow();
        let known = estimates.get(&rule.name).copied();
        known.unwrap_or_else(|| WorkEstimate::from_objective(rule.objective))
    }

    /// Replaces the estimate of a route.
    pub(crate) fn set_work(&self, rule: &RouteRule, work: WorkEstimate) {
        self.estimates
            .borrow_mut()
            .insert(Arc::clone(&rule.name), work);
    }

    /// Records whether a probe that did not fail brought a load report.
    pub(crate) fn record_probe(&self, has_load: bool) {
        let answers_without_load = if has_load {
            0
        } else {
            self.answers_without_load.get() + 1
        };
        self.answers_without_load.set(answers_without_load);
    }

    /// Whether the servers are still expected to report their load when probed.
    pub(crate) fn reports_load(&self) -> bool {
        self.answers_without_load.get() < MAX_ANSWERS_WITHOUT_LOAD_COUNT
    }
}
