//! A configuration as its operator wrote it.

use std::sync::Arc;
use std::time::Duration;

use ggs_model::ServiceName;
use strum::{Display, IntoStaticStr};

/// How often a request may run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum RepeatRule {
    /// Idempotent: running it again changes nothing.
    Idempotent,
    /// Must not run more than once for each attempt of a caller.
    AtMostOnce,
}

/// A share of a route's requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    /// The service that takes the share.
    pub service: ServiceName,
    /// The share, relative to the other targets of the route.
    pub weight: u32,
}

/// One route.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteRule {
    /// Name, for logs and metrics.
    pub name: Arc<str>,
    /// Host that callers name.
    pub host: Arc<str>,
    /// Start of the path; begins and ends with a slash.
    pub prefix: Arc<str>,
    /// Services that take the requests.
    pub targets: Vec<RouteTarget>,
    /// How often a request may run.
    pub repeat: RepeatRule,
    /// Longest time for which a caller is kept waiting.
    pub timeout: Duration,
    /// Time within which an answer is worth most to the caller.
    pub objective: Duration,
    /// Servers to which one request may be sent.
    pub attempts: u32,
    /// Rank; zero is the most urgent.
    pub priority: u32,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServiceRule {
    /// Name.
    pub name: ServiceName,
    /// Path of the health check.
    pub health_path: Arc<str>,
    /// Connections that each server accepts from all gates together.
    pub connections: u32,
}

/// What a caller may send, and how long it may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerLimits {
    /// Longest request body, in bytes.
    pub body_bytes: usize,
    /// Longest time for the head of a request.
    pub head_time: Duration,
    /// Time for which an idle connection is kept.
    pub idle_time: Duration,
}

/// One whole configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteConfig {
    /// Grows with each configuration, in uneven steps.
    pub version: u64,
    /// Limits of callers.
    pub limits: CallerLimits,
    /// All routes.
    pub routes: Vec<RouteRule>,
    /// All services.
    pub services: Vec<ServiceRule>,
}
