//! Lookup of routes.

use std::cell::RefCell;
use std::rc::Rc;
use std::sync::Arc;

use foldhash::{HashMap, HashMapExt};
use ggs_model::ServiceName;

use crate::{CallerLimits, RouteConfig, RouteRule, ServiceRule, WeightedSplit};

/// A route in force.
#[derive(Debug)]
pub struct ActiveRoute {
    rule: RouteRule,
    split: RefCell<WeightedSplit>,
}

impl ActiveRoute {
    /// A route whose split starts at `phase`.
    fn new(rule: RouteRule, phase: u64) -> Self {
        let weights: Vec<_> = rule.targets.iter().map(|target| target.weight).collect();
        Self {
            rule,
            split: RefCell::new(WeightedSplit::new(&weights, phase)),
        }
    }

    /// What the operator wrote.
    pub fn rule(&self) -> &RouteRule {
        &self.rule
    }

    /// The service that takes the next request; `None` if the route names none.
    pub fn next_service(&self) -> Option<&ServiceName> {
        let part = self.split.borrow_mut().next_part();
        self.rule.targets.get(part).map(|target| &target.service)
    }
}

/// All routes in force.
///
/// ```
/// use std::time::Duration;
/// use ggs_route::{CallerLimits, RouteConfig, RouteTable};
///
/// let second = Duration::from_secs(1);
/// let limits = CallerLimits { body_bytes: 1 << 20, head_time: second, idle_time: second };
/// let config = RouteConfig { version: 3, limits, routes: vec![], services: vec![] };
/// let table = RouteTable::new(config, 0);
/// assert_eq!(table.version(), 3);
/// assert!(table.find("shop.example", "/a/b").is_none());
/// ```
#[derive(Debug)]
pub struct RouteTable {
    version: u64,
    limits: CallerLimits,
    hosts: HashMap<Arc<str>, HashMap<Arc<str>, Rc<ActiveRoute>>>,
    services: HashMap<ServiceName, ServiceRule>,
}

impl RouteTable {
    /// Prepares a configuration; `phase` sets where its splits start.
    pub fn new(config: RouteConfig, phase: u64) -> Self {
        let mut hosts: HashMap<_, HashMap<_, _>> = HashMap::new();
        for rule in config.routes {
            let (host, prefix) = (Arc::clone(&rule.host), Arc::clone(&rule.prefix));
            let route = Rc::new(ActiveRoute::new(rule, phase));
            hosts.entry(host).or_default().insert(prefix, route);
        }
        let services = config.services.into_iter();
        Self {
            version: config.version,
            limits: config.limits,
            hosts,
            services: services.map(|rule| (rule.name.clone(), rule)).collect(),
        }
    }

    /// Version of the configuration.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Limits of callers.
    pub fn limits(&self) -> CallerLimits {
        self.limits
    }

    /// The rule of a service.
    pub fn service(&self, name: &str) -> Option<&ServiceRule> {
        self.services.get(name)
    }

    /// All services.
    pub fn services(&self) -> impl Iterator<Item = &ServiceRule> {
        self.services.values()
    }

    /// The hosts that routes name.
    pub fn hosts(&self) -> impl Iterator<Item = &str> {
        self.hosts.keys().map(|host| &**host)
    }

    /// The route with the longest prefix of `path` among those of `host`.
    ///
    /// A `host` may carry a port, and its case does not matter.
    pub fn find(&self, host: &str, path: &str) -> Option<&Rc<ActiveRoute>> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let routes = match self.hosts.get(name) {
            Some(routes) => routes,
            None => self.hosts.get(name.to_ascii_lowercase().as_str())?,
        };
        // Prefixes end with a slash, so only the parts of the path up to a slash can be one.
        let ends = path.bytes().enumerate().rev();
        let ends = ends.filter(|(_, byte)| *byte == b'/');
        ends.map(|(index, _)| &path[..=index])
            .find_map(|prefix| routes.get(prefix))
    }
}
