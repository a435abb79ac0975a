//! The types of a configuration, as its operator wrote it.
//!
//! They are independent of the format in which configurations are stored, which `ggs-platform`
//! reads.

use std::sync::Arc;
use std::time::Duration;

use ggs_access::WorkspaceRule;
use ggs_model::ServiceName;
use strum::{Display, IntoStaticStr};

/// Whether servers may run a request more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RepeatRule {
    /// Yes: running it again changes nothing.
    Idempotent,
    /// No: it must run at most once for each attempt of a caller.
    AtMostOnce,
}

/// A service that takes a share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// Name of the service.
    pub service: ServiceName,
    /// Weight of the share, relative to the other targets of the route.
    pub weight: u32,
}

/// A route: which requests it matches, and how they are handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRule {
    /// Name of the route in logs and metrics.
    pub name: Arc<str>,
    /// Host name in the requests of callers.
    pub host: Arc<str>,
    /// Prefix of the path; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Services that the requests are split over.
    pub targets: Vec<RouteTarget>,
    /// Whether servers may run a request more than once.
    pub repeat: RepeatRule,
    /// Longest time that a caller waits for an answer.
    pub timeout: Duration,
    /// Time within which an answer should come; later ones are worth less to the caller.
    pub objective: Duration,
    /// Most servers that one request may reach, at least 1; sends that arrive at no server do not
    /// count.
    pub attempts: u32,
    /// Priority of the requests; 0 is the most urgent.
    pub priority: u32,
    /// Whether callers need no key, if the configuration has workspaces.
    pub is_public: bool,
}

/// A service, apart from its servers.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Name by which routes refer to it.
    pub name: ServiceName,
    /// Path of the health check on its servers.
    pub health_path: Arc<str>,
    /// Connections that each server accepts from all gates together.
    pub connections: u32,
    /// Requests per second that a server bears from all gates together while it is cold; `None` if cold
    /// servers are only slow.
    pub cold_per_second: Option<f64>,
}

/// Limits on what a caller may send and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time in which a caller may send the head of a request.
    pub head_time: Duration,
    /// Time after which an idle connection of a caller is closed.
    pub idle_time: Duration,
}

/// One complete configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteConfig {
    /// Version, which increases with each configuration, not always by one.
    pub version: u64,
    /// Limits that apply to all callers.
    pub limits: CallerLimits,
    /// All routes.
    pub routes: Vec<RouteRule>,
    /// All services.
    pub services: Vec<ServiceRule>,
    /// Workspaces that callers belong to; `None` if callers need no keys.
    pub workspaces: Option<Vec<WorkspaceRule>>,
}
