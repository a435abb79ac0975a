//! Tables for a person: status and bill.

use std::collections::BTreeMap;

use comfy_table::{Table, presets};
use ggs_model::{BillAnswer, PartnerName, ServiceName, StatusAnswer};

use crate::fleet::{FleetView, GateLag, GateView, ServiceView};

/// A table with a heading and no frame.
fn plain_table(heading: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(presets::NOTHING);
    table.set_header(heading.iter().copied());
    table
}

/// Gates with what they know.
pub(crate) fn gate_table(fleet: &FleetView) -> String {
    let heading = [
        "gate",
        "data centre",
        "address",
        "state",
        "fleet",
        "table read",
    ];
    let mut table = plain_table(&heading);
    for gate in &fleet.gates {
        let status = gate.status.as_ref();
        let centre = status.map_or_else(String::new, |status| status.data_centre.to_string());
        let revision = status.map_or_else(String::new, |status| status.fleet.0.to_string());
        let age = status.map_or_else(String::new, table_age);
        table.add_row([
            gate.host.clone(),
            centre,
            gate.address.to_string(),
            gate_state(gate),
            revision,
            age,
        ]);
    }
    table.trim_fmt()
}

/// The state of a gate in words.
fn gate_state(gate: &GateView) -> String {
    match &gate.status {
        Some(status) if status.draining => "draining".to_owned(),
        Some(status) if status.stale => "stale".to_owned(),
        Some(_) => "live".to_owned(),
        None if gate.live => "live, no answer".to_owned(),
        None => "gone".to_owned(),
    }
}

/// Time since a gate compared its documents with the table.
fn table_age(status: &StatusAnswer) -> String {
    match status.table_read_ms {
        Some(millis) => format!("{:.1} s ago", millis as f64 / 1_000.0),
        None => "never".to_owned(),
    }
}

/// Services with the gates that have them in force.
pub(crate) fn service_table(services: &[ServiceView], live: usize) -> String {
    let heading = ["service", "partner", "accepted", "in force", "missing on"];
    let mut table = plain_table(&heading);
    for view in services {
        let missing: Vec<_> = view.missing.iter().map(lag_text).collect();
        table.add_row([
            view.service.to_string(),
            view.partner.to_string(),
            view.accepted.0.to_string(),
            format!("{} of {live}", view.in_force),
            missing.join(", "),
        ]);
    }
    table.trim_fmt()
}

/// A gate that lags, with what it has.
pub(crate) fn lag_text(lag: &GateLag) -> String {
    let GateLag {
        host,
        address,
        revision,
        failure,
    } = lag;
    let held = match (revision, failure) {
        (Some(revision), _) => format!("has revision {}", revision.0),
        (None, Some(_)) => "no answer".to_owned(),
        (None, None) => "has none".to_owned(),
    };
    format!("{host} at {address} ({held})")
}

/// Sums of one service over all days.
#[derive(Clone, Copy, Debug, Default)]
struct BillSum {
    days: u64,
    allowed: u64,
    granted: u64,
    spent: u64,
}

/// Probes by partner and service, summed over the days.
pub(crate) fn bill_table(bill: &BillAnswer) -> String {
    let mut sums: BTreeMap<(&PartnerName, &ServiceName), BillSum> = BTreeMap::new();
    for row in &bill.rows {
        let sum = sums.entry((&row.partner, &row.service)).or_default();
        sum.days += 1;
        sum.allowed = sum.allowed.saturating_add(row.allowed);
        sum.granted = sum.granted.saturating_add(row.granted);
        sum.spent = sum.spent.saturating_add(row.spent);
    }
    let heading = ["partner", "service", "days", "allowed", "granted", "spent"];
    let mut table = plain_table(&heading);
    for ((partner, service), sum) in sums {
        table.add_row([
            partner.to_string(),
            service.to_string(),
            sum.days.to_string(),
            sum.allowed.to_string(),
            sum.granted.to_string(),
            sum.spent.to_string(),
        ]);
    }
    table.trim_fmt()
}
