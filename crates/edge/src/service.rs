//! What a gate knows of one service and its routes.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::sync::Arc;

use foldhash::{HashMap, HashMapExt};
use ggs_limit::RetryBudget;
use ggs_model::ServiceName;
use ggs_place::{LoadTable, WorkEstimate};
use ggs_route::RouteRule;

/// Answers without a load after which a service counts as one whose servers tell none.
const MAX_ANSWERS_WITHOUT_LOAD_COUNT: u32 = 8;

/// State of one service at one gate.
#[derive(Debug)]
pub(crate) struct ServiceState {
    /// Its name.
    pub(crate) name: ServiceName,
    /// Its servers.
    pub(crate) table: RefCell<LoadTable>,
    /// The gate's part of the second sends.
    pub(crate) retries: RefCell<RetryBudget>,
    /// Work of the routes that lead here, by name.
    estimates: RefCell<HashMap<Arc<str>, WorkEstimate>>,
    /// Answers to questions that told no load, in a row.
    answers_without_load: Cell<u32>,
}

impl ServiceState {
    /// A service without servers.
    pub(crate) fn new(name: ServiceName, retries: RetryBudget) -> Rc<Self> {
        Rc::new(Self {
            name,
            table: RefCell::new(LoadTable::new(rand::random())),
            retries: RefCell::new(retries),
            estimates: RefCell::new(HashMap::new()),
            answers_without_load: Cell::new(0),
        })
    }

    /// Work of a route on this service.
    pub(crate) fn work(&self, rule: &RouteRule) -> WorkEstimate {
        let estimates = self.estimates.borrow();
        let known = estimates.get(&rule.name).copied();
        known.unwrap_or_else(|| WorkEstimate::from_objective(rule.objective))
    }

    /// Keeps a newer estimate of a route's work.
    pub(crate) fn set_work(&self, rule: &RouteRule, work: WorkEstimate) {
        self.estimates
            .borrow_mut()
            .insert(Arc::clone(&rule.name), work);
    }

    /// Notes whether the answer to a question told a load.
    pub(crate) fn record_probe_answer(&self, has_load: bool) {
        let answers_without_load = if has_load {
            0
        } else {
            self.answers_without_load.get() + 1
        };
        self.answers_without_load.set(answers_without_load);
    }

    /// Whether asking the servers tells their load.
    pub(crate) fn reports_load(&self) -> bool {
        self.answers_without_load.get() < MAX_ANSWERS_WITHOUT_LOAD_COUNT
    }
}
