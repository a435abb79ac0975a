//! Label sets of the metrics.
//!
//! Names of fields are the names of the labels in the exposition.

use std::hash::Hash;

use ggs_model::{PartnerName, ServiceName};
use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue, LabelValueEncoder};

/// Declares a label value that shares the text of a name, so that cloning it allocates nothing.
macro_rules! name_label {
    ($(#[$doc:meta])* $label:ident, $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, PartialEq, Eq, Hash)]
        pub(crate) struct $label(pub(crate) $name);

        impl EncodeLabelValue for $label {
            fn encode(&self, encoder: &mut LabelValueEncoder<'_>) -> Result<(), std::fmt::Error> {
                EncodeLabelValue::encode(&self.0.as_str(), encoder)
            }
        }
    };
}

name_label!(
    /// Label value for a partner.
    PartnerLabel,
    PartnerName
);
name_label!(
    /// Label value for a service.
    ServiceLabel,
    ServiceName
);

/// Labels of request metrics.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RequestLabels {
    /// Partner that owns the service.
    pub partner: String,
    /// Class of the request.
    pub class: &'static str,
    /// Outcome of the request: its run verdict (`ran`, `not-run`, `unknown`), or `cut` if the body
    /// of the answer failed before its end.
    pub verdict: &'static str,
}

/// Labels of metrics that each service has once.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ServiceLabels {
    pub(crate) partner: PartnerLabel,
    pub(crate) service: ServiceLabel,
}

/// Labels of requests that the gate answered itself, by the reason for it.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct ReasonLabels {
    pub(crate) partner: PartnerLabel,
    pub(crate) service: ServiceLabel,
    pub(crate) reason: &'static str,
}

/// Labels of attempts at servers.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct OutcomeLabels {
    pub(crate) partner: PartnerLabel,
    pub(crate) service: ServiceLabel,
    pub(crate) outcome: &'static str,
}

/// Labels of platform calls.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct CallLabels {
    pub(crate) call: &'static str,
}

/// Labels of traffic between gates.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub(crate) struct DirectionLabels {
    pub(crate) direction: &'static str,
}
