//! Looks up routes by host and longest path prefix.
//!
//! A table is built once for each configuration and not changed after that, except for the state of
//! the splits.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use foldhash::{HashMap, HashMapExt};
use ggs_access::{AccessError, AccessTable};
use ggs_model::ServiceName;

use crate::{CallerLimits, CallerPatience, RouteConfig, RouteRule, ServiceRule, WeightedSplit};

/// A route of the table, with the state of its split over services.
#[derive(Debug)]
pub struct ActiveRoute {
    rule: RouteRule,
    split: RefCell<WeightedSplit>,
    patience: CallerPatience,
}

impl ActiveRoute {
    /// A route whose split starts at `phase`.
    pub fn new(rule: RouteRule, phase: u64) -> Self {
        let weights: Vec<_> = rule.targets.iter().map(|target| target.weight).collect();
        Self {
            rule,
            split: RefCell::new(WeightedSplit::new(&weights, phase)),
            patience: CallerPatience::default(),
        }
    }

    /// The configuration of the route.
    pub fn rule(&self) -> &RouteRule {
        &self.rule
    }

    /// How long the callers of the route usually wait.
    pub fn patience(&self) -> &CallerPatience {
        &self.patience
    }

    /// The service that takes the next request; `None` if the route has no targets.
    pub fn next_service(&self) -> Option<&ServiceName> {
        let index = self.split.borrow_mut().next_index();
        self.rule.targets.get(index).map(|target| &target.service)
    }
}

/// All routes, services and limits of one configuration.
///
/// ```
/// use std::time::Duration;
/// use ggs_route::{CallerLimits, RouteConfig, RouteTable};
///
/// let second = Duration::from_secs(1);
/// let limits = CallerLimits { body_bytes: 1 << 20, head_time: second, idle_time: second };
/// let config =
///     RouteConfig { version: 3, limits, routes: vec![], services: vec![], workspaces: None };
/// let table = RouteTable::new(config, 0).unwrap();
/// assert_eq!(table.version(), 3);
/// assert!(table.find("shop.example", "/a/b").is_none());
/// ```
#[derive(Debug)]
pub struct RouteTable {
    version: u64,
    limits: CallerLimits,
    hosts: HashMap<Arc<str>, HashMap<Arc<str>, Rc<ActiveRoute>>>,
    services: HashMap<ServiceName, ServiceRule>,
    access: Option<AccessTable>,
}

impl RouteTable {
    /// Builds the table of a configuration; `phase` is where the splits of its routes start, as in
    /// [`WeightedSplit::new`].
    ///
    /// # Errors
    ///
    /// Fails if two workspaces have the same name or key.
    pub fn new(config: RouteConfig, phase: u64) -> Result<Self, AccessError> {
        let mut hosts: HashMap<_, HashMap<_, _>> = HashMap::new();
        for rule in config.routes {
            let (host, prefix) = (Arc::clone(&rule.host), Arc::clone(&rule.prefix));
            let route = Rc::new(ActiveRoute::new(rule, phase));
            hosts.entry(host).or_default().insert(prefix, route);
        }
        let services = config.services.into_iter();
        Ok(Self {
            version: config.version,
            limits: config.limits,
            hosts,
            services: services.map(|rule| (rule.name.clone(), rule)).collect(),
            access: config.workspaces.map(AccessTable::new).transpose()?,
        })
    }

    /// Version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Limits that apply to all callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// The configuration of the service with this name.
    pub fn service(&self, name: &str) -> Option<&ServiceRule> {
        self.services.get(name)
    }

    /// Workspaces and their keys; `None` if callers need no keys.
    pub fn access(&self) -> Option<&AccessTable> {
        self.access.as_ref()
    }

    /// All services, in no particular order.
    pub fn services(&self) -> impl Iterator<Item = &ServiceRule> {
        self.services.values()
    }

    /// The hosts that have routes, in no particular order.
    pub fn hosts(&self) -> impl Iterator<Item = &str> {
        self.hosts.keys().map(|host| &**host)
    }

    /// All routes, in no particular order.
    pub fn routes(&self) -> impl Iterator<Item = &Rc<ActiveRoute>> {
        self.hosts.values().flat_map(HashMap::values)
    }

    /// The route of `host` with the longest prefix that matches `path`.
    ///
    /// A port in `host` is ignored, and so is its case.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<ActiveRoute>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        // Prefixes end with a slash, so only parts of the path that end with a slash can match.
        let ends = path.bytes().enumerate().rev();
        let ends = ends.filter(|(_, byte)| *byte == b'/');
        ends.map(|(index, _)| &path[..=index])
            .find_map(|prefix| routes.get(prefix))
    }
}
