//! Why the demonstration failed.

use std::fmt;
use std::io;
use std::net::SocketAddr;

use ggs_gate::StartError;
use ggs_load::LoadError;

/// Why the demonstration failed.
#[derive(Debug)]
pub(crate) enum DemoError {
    /// A stand-in did not start.
    Standin(io::Error),
    /// A gate did not start.
    Gate(StartError),
    /// A document was not accepted.
    Document {
        /// Its service.
        service: &'static str,
        /// What the platform said.
        cause: String,
    },
    /// A gate got no answer from a service.
    NotReady {
        /// The gate.
        gate: SocketAddr,
        /// The service.
        service: &'static str,
    },
    /// The load could not be run.
    Load(LoadError),
    /// The results could not be printed.
    Output(io::Error),
}

impl fmt::Display for DemoError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Standin(cause) => write!(formatter, "stand-in did not start: {cause}"),
            Self::Gate(cause) => write!(formatter, "gate did not start: {cause}"),
            Self::Document { service, cause } => {
                write!(
                    formatter,
                    "document of service \"{service}\" was not accepted: {cause}"
                )
            }
            Self::NotReady { gate, service } => {
                write!(
                    formatter,
                    "gate {gate} got no answer from service \"{service}\""
                )
            }
            Self::Load(cause) => write!(formatter, "load could not be run: {cause}"),
            Self::Output(cause) => write!(formatter, "results could not be printed: {cause}"),
        }
    }
}

impl std::error::Error for DemoError {}
