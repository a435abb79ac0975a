//! Numbered log events and metrics.

mod event;
mod labels;
mod log;
mod metrics;
mod service;

pub use event::{LogEvent, LogLevel};
pub use labels::RequestLabels;
pub use log::{EventLog, LogFormat};
pub use metrics::{GateMetrics, LATENCY_BUCKETS};
pub use service::ServiceMetrics;
