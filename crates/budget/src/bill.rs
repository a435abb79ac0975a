//! Converts rows of the platform's table into the rows of the bill.
//!
//! The current day's bill is part of a service's budget row; past days have rows of their own. Both
//! end up in the same form, so that a reader of the bill need not know where a day is stored.

use std::fmt;

use ggs_model::{BillRow, ServiceName};
use serde::Deserialize;

use crate::window::DAY_MS;
use crate::{BillArchive, BillDay, BudgetRow};

/// A row of the platform's table that cannot be read as a bill.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BillParseError {
    /// Key of the row.
    pub key: String,
    /// What is wrong with its key or value.
    pub cause: String,
}

impl fmt::Display for BillParseError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self { key, cause } = self;
        write!(formatter, "table row \"{key}\" is not a bill: {cause}")
    }
}

impl std::error::Error for BillParseError {}

/// Parses the bill entries in a row of the platform's table from its key and value.
///
/// # Errors
///
/// Returns the key of a row that is not a bill, and the reason.
///
/// ```
/// let value = serde_json::json!({ "days": [
///     { "day": 20790, "partner": "wagowa", "asked": 100, "granted": 40, "returned": 4 },
/// ]});
/// let rows = ggs_budget::bill_rows("budget/bill/020790/ledger", &value).unwrap();
/// assert_eq!(rows[0].service.as_str(), "ledger");
/// assert_eq!(rows[0].spent, 36);
/// ```
pub fn bill_rows(key: &str, value: &serde_json::Value) -> Result<Vec<BillRow>, BillParseError> {
    let fail = |cause: String| BillParseError {
        key: key.to_owned(),
        cause,
    };
    let name = key.strip_prefix("budget/");
    let name = name.ok_or_else(|| fail("its key does not start with budget/".to_owned()))?;
    let archived = name.strip_prefix("bill/");
    let (service, days) = if let Some((_, service)) = archived.and_then(|rest| rest.split_once('/'))
    {
        let archive = BillArchive::deserialize(value);
        let archive = archive.map_err(|error| fail(error.to_string()))?;
        (service, archive.days)
    } else {
        let row = BudgetRow::deserialize(value);
        let row = row.map_err(|error| fail(error.to_string()))?;
        (name, row.days)
    };
    let service = ServiceName::new(service);
    let rows = days.into_iter().map(|day| bill_row(&service, day));
    Ok(rows.collect())
}

/// One row of the bill, with the day as its window. `spent` is an upper bound on the probes sent,
/// because a grant that its gate has not settled counts as spent in full. It is exact once all
/// grants are settled.
fn bill_row(service: &ServiceName, day: BillDay) -> BillRow {
    BillRow {
        partner: day.partner,
        service: service.clone(),
        window_start_ms: day.day * DAY_MS,
        window_ms: DAY_MS,
        allowed: day.asked,
        granted: day.granted,
        spent: day.granted.saturating_sub(day.returned),
    }
}
