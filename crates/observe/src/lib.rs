//! Numbered log events and metrics.

mod event;
mod log;
mod metrics;

pub use event::{LogEvent, LogLevel};
pub use log::{EventLog, LogFormat};
pub use metrics::{GateMetrics, RequestLabels};
