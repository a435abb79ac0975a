//! Which service a request goes to, and under which limits.
//!
//! [`RouteConfig`] is one whole configuration as its operator wrote it. [`RouteTable`] is the same,
//! prepared for lookups: among the routes of a host the longest prefix of the path wins.
//! [`WeightedSplit`] deals the requests of a route out over several services. All are pure.

mod config;
mod split;
mod table;

pub use config::{CallerLimits, RepeatRule, RouteConfig, RouteRule, RouteTarget, ServiceRule};
pub use split::WeightedSplit;
pub use table::{ActiveRoute, RouteTable};
