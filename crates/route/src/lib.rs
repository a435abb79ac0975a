//! Finds the service of a request and the limits that apply to it.
//!
//! [`RouteConfig`] is one complete configuration, as its operator wrote it. [`RouteTable`] holds
//! the same data prepared for lookups: among the routes of a host, the one with the longest
//! matching path prefix wins. [`WeightedSplit`] distributes the requests of a route over several
//! services by weight. [`CallerPatience`] tells callers that come back from those that are new.
//!
//! Nothing here does I/O or reads a clock.

mod config;
mod patience;
mod split;
mod table;

pub use config::{CallerLimits, RepeatRule, RouteConfig, RouteRule, RouteTarget, ServiceRule};
pub use patience::CallerPatience;
pub use split::WeightedSplit;
pub use table::{ActiveRoute, RouteTable};
