//! The measuring budget over real processes, counted at the servers (issue 4, points 2 and 8).

mod support;

use std::sync::Arc;
use std::time::{Duration, Instant};

use awc::http::Method;
use futures_util::future::join;
use ggs_follow::{AcceptOutcome, DocumentEdit, accept_edit};
use ggs_model::{
    BillAnswer, BootClock, Clock, DocumentRevision, EditId, MeasuringBudget, ServiceDocument,
};
use ggs_store::HttpPlatform;
use rustix::process::Signal;
use support::{GateProcess, READY_LIMIT, StandinProcess, accept_document, call, wait_until};

/// Length of a window in milliseconds.
const WINDOW_MS: u64 = 2_000;

/// Probes in a window at first.
const PROBES: u32 = 20;

/// Probes in a window after the document was changed.
const LOWERED: u32 = 6;

/// Time between two requests of the load that makes measuring worthwhile.
const CALL_EVERY: Duration = Duration::from_millis(20);

/// A document with a budget of `probes`.
fn document(probes: u32) -> ServiceDocument {
    ServiceDocument {
        measuring: MeasuringBudget {
            probes,
            window_ms: WINDOW_MS,
        },
        ..ServiceDocument::new("roster", "wagowa")
    }
}

/// Lowers the budget; yields the wall time at which that was known to be accepted.
async fn lower_budget(platform: &str) -> u64 {
    let store = HttpPlatform::builder(platform).build();
    let edit = DocumentEdit {
        id: EditId(2),
        base: DocumentRevision(1),
        document: Arc::new(document(LOWERED)),
    };
    let outcome = accept_edit(&store, &edit, DocumentRevision(1)).await;
    assert!(matches!(outcome, AcceptOutcome::Accepted(_)), "{outcome:?}");
    BootClock.wall().0
}

/// Sends reads through all gates until `until`, whatever becomes of them.
async fn keep_busy(urls: Vec<String>, until: Instant) {
    while Instant::now() < until {
        for url in &urls {
            let read = call(Method::GET, url, &[("ggs-deadline-ms", "100")], "");
            // A gate that is dead or frozen does not answer.
            let _ = actix_rt::time::timeout(Duration::from_millis(100), read).await;
        }
        actix_rt::time::sleep(CALL_EVERY).await;
    }
}

/// Times at which servers were put to measuring, in wall milliseconds.
async fn measured(servers: &StandinProcess) -> Vec<u64> {
    let mut times = Vec::new();
    for (_, admin) in &servers.addresses {
        let url = format!("http://{admin}/admin/probes");
        let answer = call(Method::GET, &url, &[], "").await.expect("probes");
        let record: serde_json::Value = serde_json::from_slice(&answer.body).expect("json");
        for kind in ["load", "health", "unused_connections"] {
            let found = record[kind].as_array().expect("times");
            times.extend(found.iter().map(|time| time.as_u64().expect("time")));
        }
    }
    times.sort_unstable();
    times
}

/// The largest count in any interval of a window's length that begins at or after `from`.
fn largest_count(times: &[u64], from: u64) -> usize {
    let starts = times.iter().enumerate().filter(|(_, time)| **time >= from);
    let counts = starts.map(|(index, start)| {
        let within = times[index..].iter();
        within.take_while(|time| **time < start + WINDOW_MS).count()
    });
    counts.max().unwrap_or(0)
}

/// Reads the bill from a gate.
async fn read_bill(gate: &GateProcess) -> BillAnswer {
    let url = gate.url("/v1/bill");
    let answer = call(Method::GET, &url, &[], "").await.expect("bill");
    assert_eq!(answer.status, 200);
    serde_json::from_slice(&answer.body).expect("bill")
}

#[actix_rt::test]
async fn servers_see_no_more_than_the_document_allows() {
    let platform = StandinProcess::platform(&[]);
    let servers = StandinProcess::servers(&platform.url(), "roster", 3, &[]);
    accept_document(&platform.url(), document(PROBES)).await;
    let mut gates = GateProcess::spawn_group(3, &platform.url());
    for gate in &gates {
        gate.wait_for_service("roster").await;
    }
    let urls = gates.iter().map(|gate| gate.url("/s/roster/tare"));
    let load = keep_busy(urls.collect(), Instant::now() + Duration::from_secs(24));
    let faults = async {
        let seconds = |count| actix_rt::time::sleep(Duration::from_secs(count));
        wait_until("a first probe", READY_LIMIT, || async {
            !measured(&servers).await.is_empty()
        })
        .await;
        seconds(3).await;
        // Writes take effect and their answers are lost.
        platform.set_faults(0, r#"{"lose_answers": 3}"#).await;
        seconds(3).await;
        // A gate is killed, and a new run takes its place.
        let settings = gates[0].settings.clone();
        gates[0].child.signal(Signal::KILL);
        gates[0] = GateProcess::spawn(settings);
        // Another is frozen with its grant and wakes two windows later.
        gates[1].child.signal(Signal::STOP);
        seconds(5).await;
        gates[1].child.signal(Signal::CONT);
        // The store is down for longer than a window.
        platform.set_faults(0, r#"{"down": "unavailable"}"#).await;
        seconds(4).await;
        platform.set_faults(0, "{}").await;
        seconds(2).await;
        let lowered = lower_budget(&platform.url()).await;
        seconds(5).await;
        lowered
    };
    let ((), lowered) = join(load, faults).await;
    let times = measured(&servers).await;
    let bill = read_bill(&gates[2]).await;
    let largest = largest_count(&times, 0);
    // The window in which the change was accepted ends within its length.
    let after = largest_count(&times, lowered + WINDOW_MS);
    let billed: u64 = bill.rows.iter().map(|row| row.spent).sum();
    let granted: u64 = bill.rows.iter().map(|row| row.granted).sum();
    let total = times.len();
    println!(
        "{total} seen, {billed} billed, {granted} granted; at most {largest} in an interval, \
         {after} once lowered"
    );
    assert!(total as u64 > u64::from(PROBES), "hardly measured: {total}");
    assert!(largest <= PROBES as usize, "{largest} in an interval");
    assert!(after <= LOWERED as usize, "{after} after the change");
    assert!(after > 0, "nothing measured after the change");
    assert!(billed >= total as u64, "{billed} billed, {total} seen");
    assert!(bill.rows.iter().all(|row| row.partner.as_str() == "wagowa"));
    // The bill outlives every gate.
    for gate in &gates {
        gate.child.signal(Signal::KILL);
    }
    let fresh = GateProcess::spawn(GateProcess::settings("fresh", &platform.url()));
    fresh.wait_for_service("roster").await;
    let kept = read_bill(&fresh).await;
    let kept: u64 = kept.rows.iter().map(|row| row.spent).sum();
    assert!(kept >= total as u64, "{kept} billed, {total} seen");
}

#[actix_rt::test]
async fn a_service_without_callers_or_budget_is_not_measured() {
    let platform = StandinProcess::platform(&[]);
    let servers = StandinProcess::servers(&platform.url(), "roster", 2, &[]);
    accept_document(&platform.url(), document(PROBES)).await;
    let gate = GateProcess::spawn(GateProcess::settings("entry-1", &platform.url()));
    gate.wait_for_service("roster").await;
    actix_rt::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(measured(&servers).await, [0_u64; 0]);
    assert_eq!(read_bill(&gate).await.rows, []);
}
