//! Logs and metrics of a gate.
//!
//! Log events have fixed numbers and names, and metrics are exposed as OpenMetrics text, so that
//! operators can alert on both.

mod event;
mod labels;
mod log;
mod metrics;
mod service;

pub use event::{LogEvent, LogLevel};
pub use labels::RequestLabels;
pub use log::{EventLog, LogFormat, MAX_NAMED_COUNT};
pub use metrics::{GateMetrics, LATENCY_BUCKETS};
pub use service::ServiceMetrics;
