//! What the demonstration prints at its end.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use comfy_table::presets::UTF8_FULL_CONDENSED;
use comfy_table::{CellAlignment, Table};
use ggs_load::LoadSummary;
use ggs_model::{BillAnswer, PartnerName, ServiceName};

use crate::scene::{DemoScene, SERVICES};

/// What must hold in every run, as counted at the servers and by the callers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct DemoChecks {
    /// Non-idempotent calls that ran more than once.
    pub(crate) repeated: u64,
    /// Callers that got another's answer, or a part that was given for the whole.
    pub(crate) wrong: u64,
    /// Calls that were answered.
    pub(crate) answered: u64,
    /// Services whose servers were probed more often than their documents allow in all windows that
    /// the run touched.
    pub(crate) overspent: Vec<&'static str>,
}

impl DemoChecks {
    /// Counts, given the windows that the run touched.
    pub(crate) fn new(scene: &DemoScene, summary: &LoadSummary, windows: u64) -> Self {
        let overspent = SERVICES.iter().enumerate().filter_map(|(index, service)| {
            let limit = u64::from(service.probes) * windows;
            (probes_seen(scene, index) > limit).then_some(service.name)
        });
        Self {
            repeated: repeated_runs(scene),
            wrong: summary.wrong(),
            answered: summary.shares.iter().map(|share| share.answered).sum(),
            overspent: overspent.collect(),
        }
    }

    /// Whether all held.
    pub(crate) fn hold(&self) -> bool {
        let bad = self.repeated + self.wrong;
        bad == 0 && self.answered > 0 && self.overspent.is_empty()
    }
}

/// Non-idempotent calls that ran more than once, over all servers.
fn repeated_runs(scene: &DemoScene) -> u64 {
    let mut runs: BTreeMap<String, u64> = BTreeMap::new();
    for (index, server) in &scene.servers {
        if !SERVICES[*index].keyed {
            continue;
        }
        for (token, count) in server.run_counts() {
            *runs.entry(token).or_default() += count;
        }
    }
    runs.values().filter(|count| **count > 1).count() as u64
}

/// Probes that the servers of a service saw.
fn probes_seen(scene: &DemoScene, index: usize) -> u64 {
    let servers = scene
        .servers
        .iter()
        .filter(|(service, _)| *service == index);
    let probes = servers.map(|(_, server)| {
        let probes = server.probes();
        (probes.load.len() + probes.health.len()) as u64
    });
    probes.sum()
}

/// The bill of a gate next to what the servers saw; the error says why there is none.
pub(crate) async fn bill_table(scene: &DemoScene, gate: SocketAddr) -> Result<String, String> {
    let url = format!("http://{gate}/v1/bill");
    let answer = awc::Client::default().get(url).send().await;
    let mut answer = answer.map_err(|error| error.to_string())?;
    if !answer.status().is_success() {
        return Err(format!("gate answered {}", answer.status()));
    }
    let bill = answer.json::<BillAnswer>().await;
    let bill = bill.map_err(|error| error.to_string())?;
    let mut table = new_table(["partner", "service", "allowed", "granted", "spent", "seen"]);
    for (index, service) in SERVICES.iter().enumerate() {
        let partner = PartnerName::new(service.partner);
        let name = ServiceName::new(service.name);
        let rows = { &bill.rows }.iter();
        let rows = rows.filter(|row| row.partner == partner && row.service == name);
        let (allowed, granted, spent) = rows.fold((0, 0, 0), |sum, row| {
            (sum.0 + row.allowed, sum.1 + row.granted, sum.2 + row.spent)
        });
        let counts = [allowed, granted, spent, probes_seen(scene, index)];
        let mut row = vec![service.partner.to_owned(), service.name.to_owned()];
        row.extend(counts.map(|count| count.to_string()));
        table.add_row(row);
    }
    align(&mut table, 2);
    Ok(table.to_string())
}

/// A table with a header.
fn new_table<const N: usize>(header: [&str; N]) -> Table {
    let mut table = Table::new();
    table.load_style(UTF8_FULL_CONDENSED).set_header(header);
    table
}

/// Aligns the columns of numbers, which follow `names` others.
fn align(table: &mut Table, names: usize) {
    for column in table.column_iter_mut().skip(names) {
        column.set_cell_alignment(CellAlignment::Right);
    }
}
