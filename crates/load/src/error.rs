//! Why a run did not take place.

use std::fmt;

use ggs_model::ServiceName;

/// Why a run of load could not be started or carried on.
#[derive(Debug)]
pub enum LoadError {
    /// The plan has no traffic or a rate that is not a positive number.
    BadPlan {
        /// What is wrong.
        cause: String,
    },
    /// No gate answered which addresses to use.
    NoEntries {
        /// The service that was asked for.
        service: ServiceName,
        /// What the last gate said.
        cause: String,
    },
}

impl fmt::Display for LoadError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BadPlan { cause } => write!(formatter, "plan cannot be run: {cause}"),
            Self::NoEntries { service, cause } => {
                write!(
                    formatter,
                    "no gate named addresses for service \"{service}\": {cause}"
                )
            }
        }
    }
}

impl std::error::Error for LoadError {}
