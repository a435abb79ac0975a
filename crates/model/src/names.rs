//! Shared immutable names.

use std::borrow::Borrow;
use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

/// Declares a name type over a shared immutable string.
macro_rules! shared_name {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// A name with this text.
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// The name's text.
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
    /// Name of the partner that owns a service and pays for watching its servers.
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
