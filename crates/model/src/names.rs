//! Names of services, partners, data centres and hosts.
//!
//! Each kind has its own type, so that the compiler rejects one where another is expected. A clone
//! shares the text and allocates nothing.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Declares a name type that holds a shared immutable string.
macro_rules! shared_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Copies `text` into a new name; any text is accepted.
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// Text of the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
                formatter.write_str(&self.0)
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                Self::new(text)
            }
        }

        impl Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

shared_name!(
    /// Name of a service, for example `ledger`.
    ServiceName
);
shared_name!(
    /// Name of the partner that owns a service and pays for the load probes to its servers.
    PartnerName
);
shared_name!(
    /// Name of a data centre.
    DataCentre
);
shared_name!(
    /// Name of a host that runs a gate.
    HostName
);
