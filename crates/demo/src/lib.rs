//! A whole system in one process over loopback: gates, stand-ins and load.
//!
//! All parts talk over sockets, as they would on hosts of their own; no process is started.

mod error;
mod program;
mod report;
mod scene;

pub use program::run;
