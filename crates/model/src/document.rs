//! Service documents: the settings of one service, which its team edits.
//!
//! A document sets a service's deadlines, limits, retry and probe budgets, and rules for its
//! requests. Fields that it leaves out take the values in `defaults`.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::{PartnerName, RequestClass, ServiceName};

/// Position of a change in the order of all accepted changes of the fleet.
///
/// Each accepted change takes the next number; 0 stands for a service without a document.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct DocumentRevision(pub u64);

/// Most load probes that may be sent to the servers of one service; the partner pays for them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct MeasuringBudget {
    /// Probes that all gates together may send in one window; 0 allows none.
    pub probes: u32,
    /// Length of a window in milliseconds.
    pub window_ms: u64,
}

/// A rule for the requests of one method and path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RequestRule {
    /// Method, in upper case; `*` covers all methods.
    pub method: Arc<str>,
    /// Prefix of the path after `/s/{service}`.
    pub path: Arc<str>,
    /// Whether the request must not run twice, so that it may be retried only if it did not run.
    #[serde(default)]
    pub non_idempotent: bool,
    /// Class of the request, overriding the caller's header; `None` keeps the caller's.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub class: Option<RequestClass>,
}

impl RequestRule {
    /// Whether the rule applies to a request.
    pub fn covers(&self, method: &str, path: &str) -> bool {
        (&*self.method == "*" || &*self.method == method) && path.starts_with(&*self.path)
    }
}

/// A limit for each request class; the field that holds it defines its unit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ClassLimits {
    /// Limit for urgent requests.
    pub urgent: u64,
    /// Limit for standard requests.
    pub standard: u64,
    /// Limit for exports.
    pub export: u64,
}

impl ClassLimits {
    /// Limit for `class`.
    pub const fn of(&self, class: RequestClass) -> u64 {
        match class {
            RequestClass::Urgent => self.urgent,
            RequestClass::Standard => self.standard,
            RequestClass::Export => self.export,
        }
    }
}

/// Settings of one service, as its team edits them.
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
    /// Service that the document configures.
    pub service: ServiceName,
    /// Partner that owns the service.
    pub partner: PartnerName,
    /// Rules in order of precedence; only the first that applies to a request is used.
    #[serde(default)]
    pub rules: Vec<RequestRule>,
    /// Time to answer if the caller sets no deadline, in milliseconds; for exports, the longest
    /// time without progress.
    #[serde(default = "defaults::deadline_ms")]
    pub deadline_ms: ClassLimits,
    /// Most requests of each class in flight at one gate.
    #[serde(default = "defaults::in_flight")]
    pub in_flight: ClassLimits,
    /// Budget of load probes, shared by all gates.
    #[serde(default = "defaults::measuring")]
    pub measuring: MeasuringBudget,
    /// Retry budget, as a percentage of answered requests.
    #[serde(default = "defaults::retry_percent")]
    pub retry_percent: u32,
    /// Most servers that outlier ejection may exclude at once, as a percentage of the service's
    /// servers.
    #[serde(default = "defaults::eject_percent")]
    pub eject_percent: u32,
    /// Requests that one server processes concurrently.
    #[serde(default = "defaults::slots")]
    pub slots: u32,
    /// Most connections that one server accepts from all gates together.
    #[serde(default = "defaults::connections")]
    pub connections: u32,
    /// Whether an answer with the `ggs-refused` header guarantees that the request did not run.
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

    /// Class of a request: that of the first rule that applies, if it sets one, else `requested`.
    pub fn class_of(&self, method: &str, path: &str, requested: RequestClass) -> RequestClass {
        let rule = self.rules.iter().find(|rule| rule.covers(method, path));
        rule.and_then(|rule| rule.class).unwrap_or(requested)
    }

    /// Whether a request must not run twice; if no rule applies, true for `POST` and `PATCH`.
    pub fn is_non_idempotent(&self, method: &str, path: &str) -> bool {
        let rule = self.rules.iter().find(|rule| rule.covers(method, path));
        rule.map_or(matches!(method, "POST" | "PATCH"), |rule| {
            rule.non_idempotent
        })
    }

    /// Time to answer a request of `class` whose caller sets no deadline.
    pub const fn default_deadline(&self, class: RequestClass) -> Duration {
        Duration::from_millis(self.deadline_ms.of(class))
    }
}

/// A document with the revision at which it was accepted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct VersionedDocument {
    /// Revision of the change that wrote the document.
    pub revision: DocumentRevision,
    /// Document as of that revision.
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
