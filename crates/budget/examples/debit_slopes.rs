//! Prints the size of a budget row in bytes and the time of a debit, for several numbers of gates.

use std::time::Instant;

use ggs_budget::{BudgetRow, DebitRequest, ProbeWindow, plan_debit};
use ggs_model::{GateId, HostName, Incarnation, MeasuringBudget, PartnerName, WallTime};

/// Length of a window in milliseconds.
const WINDOW_MS: u64 = 10_000;

fn main() {
    for gates in [6, 12, 18] {
        let partner = PartnerName::new("wagowa");
        let mut row: Option<BudgetRow> = None;
        let start = Instant::now();
        let windows = 200;
        for window in 0..windows {
            for number in 0..gates {
                let gate = GateId {
                    host: HostName::new(&format!("entry-{number}")),
                    incarnation: Incarnation(u64::MAX - number),
                };
                let wall = WallTime(1_796_256_000_000 + window * WINDOW_MS);
                let request = DebitRequest {
                    gate: &gate,
                    window: ProbeWindow::at(wall, WINDOW_MS).expect("long enough"),
                    budget: MeasuringBudget {
                        probes: 100,
                        window_ms: WINDOW_MS,
                    },
                    partner: &partner,
                    settled: None,
                };
                row = Some(plan_debit(row.as_ref(), &request).expect("granted").row);
            }
        }
        let nanos = start.elapsed().as_nanos() as u64 / (windows * gates);
        let bytes = serde_json::to_vec(&row).map_or(0, |text| text.len());
        println!("{gates} gates: row of {bytes} bytes, {nanos} ns per debit");
    }
}
