//! Rows that the probe budget keeps in the platform's table.
//!
//! The budget row of a service holds the grants of all gates for two windows and the bill of the
//! current day. The bill of a past day is kept in a row of its own.

use ggs_model::{GateId, PartnerName};
use serde::{Deserialize, Serialize};

/// Probes that one gate debited for one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GateGrant {
    /// The gate that debited, with its incarnation. A gate debits once for each window, so the gate
    /// and the window identify a write whose answer was lost.
    pub gate: GateId,
    /// The partner that pays for the probes.
    pub partner: PartnerName,
    /// Probes that the gate may send.
    pub count: u32,
    /// Probes that the gate did not send, as it reported after the window had ended; `None` until
    /// then.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub returned: Option<u32>,
}

impl GateGrant {
    /// Upper bound on the probes that the gate has sent.
    pub(crate) fn max_spent(&self) -> u32 {
        self.count.saturating_sub(self.returned.unwrap_or(0))
    }
}

/// What one partner pays for one service on one day.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BillDay {
    /// Days since the epoch.
    pub day: u64,
    /// The partner that owned the service.
    pub partner: PartnerName,
    /// Probes that the document allowed in the day's windows up to and including the last debit's.
    /// When the bill is archived, the remaining windows of the day are added to the entry of the
    /// partner that owns the service by then, if it has one.
    pub asked: u64,
    /// Probes debited.
    pub granted: u64,
    /// Debited probes that gates reported as not sent.
    pub returned: u64,
}

/// The row `budget/{service}`: the grants for two windows and the bill of the current day.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetRow {
    /// Length of the windows in milliseconds.
    pub window_ms: u64,
    /// Index of the latest window for which a gate debited.
    pub window: u64,
    /// Grants for that window.
    pub grants: Vec<GateGrant>,
    /// Grants for the window before it.
    pub previous: Vec<GateGrant>,
    /// The bill of that window's day, with one entry for each partner that owned the service then.
    pub days: Vec<BillDay>,
}

impl BudgetRow {
    /// Key of a service's row.
    ///
    /// ```
    /// assert_eq!(ggs_budget::BudgetRow::key("ledger"), "budget/ledger");
    /// ```
    pub fn key(service: &str) -> String {
        format!("budget/{service}")
    }
}

/// The row `budget/bill/{day}/{service}`: the bill of a past day.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BillArchive {
    /// One entry for each partner that owned the service on the day.
    pub days: Vec<BillDay>,
}

impl BillArchive {
    /// Key of the row with a service's bill for `day`, in days since the epoch.
    ///
    /// ```
    /// assert_eq!(ggs_budget::BillArchive::key(20_790, "ledger"), "budget/bill/020790/ledger");
    /// ```
    pub fn key(day: u64, service: &str) -> String {
        format!("budget/bill/{day:06}/{service}")
    }

    /// Key of the row for this bill of `service`; `None` if the bill has no entries.
    pub fn row_key(&self, service: &str) -> Option<String> {
        let day = self.days.first()?.day;
        Some(Self::key(day, service))
    }
}
