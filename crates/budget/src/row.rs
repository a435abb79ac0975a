//! Rows of the platform's table.

use ggs_model::{GateId, PartnerName};
use serde::{Deserialize, Serialize};

/// Probes that one gate debited for one window.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GateGrant {
    /// The run of the gate. A gate debits once for a window, so a write whose answer was lost is
    /// recognised by the gate and the window.
    pub gate: GateId,
    /// The partner that pays.
    pub partner: PartnerName,
    /// Probes that the gate may send.
    pub count: u32,
    /// Probes that the gate reported as not sent, once the window had ended.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub returned: Option<u32>,
}

impl GateGrant {
    /// Probes that the gate may have sent.
    pub(crate) fn spent_at_most(&self) -> u32 {
        self.count.saturating_sub(self.returned.unwrap_or(0))
    }
}

/// What one partner pays for one service on one day.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BillDay {
    /// Days since the epoch.
    pub day: u64,
    /// The partner.
    pub partner: PartnerName,
    /// Probes that the document allowed in the day's windows up to the last debit.
    pub asked: u64,
    /// Probes debited.
    pub granted: u64,
    /// Debited probes that gates reported as not sent.
    pub returned: u64,
}

/// The row `budget/{service}`: grants of two windows, and the bill of the present day.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BudgetRow {
    /// Length of the windows in milliseconds.
    pub window_ms: u64,
    /// The latest window for which a gate debited.
    pub window: u64,
    /// Grants for that window.
    pub grants: Vec<GateGrant>,
    /// Grants for the window before it.
    pub previous: Vec<GateGrant>,
    /// The bill of the window's day, one entry for each partner that owned the service on it.
    pub days: Vec<BillDay>,
}

impl BudgetRow {
    /// Name of a service's row.
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
    /// The day, one entry for each partner that owned the service on it.
    pub days: Vec<BillDay>,
}

impl BillArchive {
    /// Name of the row of a service's past day.
    ///
    /// ```
    /// assert_eq!(ggs_budget::BillArchive::key(20_790, "ledger"), "budget/bill/020790/ledger");
    /// ```
    pub fn key(day: u64, service: &str) -> String {
        format!("budget/bill/{day:06}/{service}")
    }

    /// Name of the row that this bill of `service` belongs in; `None` for an empty one.
    pub fn row_key(&self, service: &str) -> Option<String> {
        let day = self.days.first()?.day;
        Some(Self::key(day, service))
    }
}
