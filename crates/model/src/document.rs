//! Service documents: what a team needs for its service.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{PartnerName, RequestClass, ServiceName};

/// Position of a change in the order of all accepted changes; each accepted change takes the next.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct DocumentRevision(pub u64);

/// What a partner spends at most on measuring the servers of one service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MeasuringBudget {
    /// Probes that all gates together may send in one window.
    pub probes: u32,
    /// Length of a window in milliseconds.
    pub window_ms: u64,
}

/// Requests that a rule covers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestRule {
    /// Method, in upper case; `*` covers all methods.
    pub method: Arc<str>,
    /// Start of the path after `/s/{service}`.
    pub path: Arc<str>,
    /// Whether a request may not be repeated.
    #[serde(default)]
    pub non_idempotent: bool,
    /// Class of the request; overrides the caller's header.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<RequestClass>,
}

impl RequestRule {
    /// Whether the rule covers a request.
    pub fn covers(&self, method: &str, path: &str) -> bool {
        (&*self.method == "*" || &*self.method == method) && path.starts_with(&*self.path)
    }
}

/// A value for each class of request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassLimits {
    /// Value for urgent requests.
    pub urgent: u64,
    /// Value for standard requests.
    pub standard: u64,
    /// Value for exports.
    pub export: u64,
}

impl ClassLimits {
    /// The value for `class`.
    pub const fn of(&self, class: RequestClass) -> u64 {
        match class {
            RequestClass::Urgent => self.urgent,
            RequestClass::Standard => self.standard,
            RequestClass::Export => self.export,
        }
    }
}

/// One service's document, as its team edits it.
///
/// ```
/// use ggs_model::{RequestClass, ServiceDocument};
///
/// let document = ServiceDocument::new("ledger", "wagowa");
/// assert_eq!(document.class_of("GET", "/tare", RequestClass::Urgent), RequestClass::Urgent);
/// assert!(!document.is_non_idempotent("GET", "/tare"));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceDocument {
    /// The service.
    pub service: ServiceName,
    /// The partner that owns it.
    pub partner: PartnerName,
    /// Rules in order; the first that covers a request decides.
    #[serde(default)]
    pub rules: Vec<RequestRule>,
    /// Time to answer when the caller names no deadline, in milliseconds; for exports the longest
    /// time without progress.
    #[serde(default = "defaults::deadline_ms")]
    pub deadline_ms: ClassLimits,
    /// Requests in flight at one gate.
    #[serde(default = "defaults::in_flight")]
    pub in_flight: ClassLimits,
    /// What watching the servers may cost.
    #[serde(default = "defaults::measuring")]
    pub measuring: MeasuringBudget,
    /// Retries allowed as a percentage of answered requests.
    #[serde(default = "defaults::retry_percent")]
    pub retry_percent: u32,
    /// Servers that may be ejected at once, as a percentage of the service's servers.
    #[serde(default = "defaults::eject_percent")]
    pub eject_percent: u32,
    /// Requests that one server works on at once.
    #[serde(default = "defaults::slots")]
    pub slots: u32,
    /// Connections that one server takes from all gates.
    #[serde(default = "defaults::connections")]
    pub connections: u32,
    /// Whether an answer with the `ggs-refused` header promises that the request did not run.
    #[serde(default = "defaults::trust_refusals")]
    pub trust_refusals: bool,
}

impl ServiceDocument {
    /// A document with default values.
    pub fn new(service: &str, partner: &str) -> Self {
        Self {
            service: ServiceName::new(service),
            partner: PartnerName::new(partner),
            rules: Vec::new(),
            deadline_ms: defaults::deadline_ms(),
            in_flight: defaults::in_flight(),
            measuring: defaults::measuring(),
            retry_percent: defaults::retry_percent(),
            eject_percent: defaults::eject_percent(),
            slots: defaults::slots(),
            connections: defaults::connections(),
            trust_refusals: defaults::trust_refusals(),
        }
    }

    /// The class of a request whose caller asked for `asked`.
    pub fn class_of(&self, method: &str, path: &str, asked: RequestClass) -> RequestClass {
        let rule = self.rules.iter().find(|rule| rule.covers(method, path));
        rule.and_then(|rule| rule.class).unwrap_or(asked)
    }

    /// Whether a request may not be repeated; without a rule, `POST` and `PATCH` may not.
    pub fn is_non_idempotent(&self, method: &str, path: &str) -> bool {
        let rule = self.rules.iter().find(|rule| rule.covers(method, path));
        rule.map_or(matches!(method, "POST" | "PATCH"), |rule| {
            rule.non_idempotent
        })
    }

    /// Time to answer a request of `class` when its caller names none.
    pub const fn default_deadline(&self, class: RequestClass) -> Duration {
        Duration::from_millis(self.deadline_ms.of(class))
    }
}

/// A document with the revision at which it was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionedDocument {
    /// When it was accepted, in the order of all changes.
    pub revision: DocumentRevision,
    /// The document.
    pub document: Arc<ServiceDocument>,
}

/// Values of fields that a document leaves out.
mod defaults {
    use super::{ClassLimits, MeasuringBudget};

    pub(super) const fn deadline_ms() -> ClassLimits {
        ClassLimits {
            urgent: 1_000,
            standard: 3_000,
            export: 10_000,
        }
    }

    pub(super) const fn in_flight() -> ClassLimits {
        ClassLimits {
            urgent: 400,
            standard: 200,
            export: 20,
        }
    }

    pub(super) const fn measuring() -> MeasuringBudget {
        MeasuringBudget {
            probes: 0,
            window_ms: 10_000,
        }
    }

    pub(super) const fn retry_percent() -> u32 {
        10
    }

    pub(super) const fn eject_percent() -> u32 {
        30
    }

    pub(super) const fn slots() -> u32 {
        3
    }

    pub(super) const fn connections() -> u32 {
        250
    }

    pub(super) const fn trust_refusals() -> bool {
        true
    }
}
