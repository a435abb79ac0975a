//! Connections of several gates to one server (issue 5, shares of connections).

mod support;

use std::time::Duration;

use awc::http::Method;
use futures_util::future::join_all;
use ggs_limit::SHARE_GROWTH_DELAY;
use ggs_model::ServiceDocument;
use support::{GateProcess, StandinProcess, accept_document, call, wait_for_peers};

/// Gates of the test.
const GATES: usize = 3;

/// Connections that a new gate may hold to a server that takes 250.
const NEW_SHARE: u64 = 2;

/// Reads sent at once to each gate.
const BURST: usize = 10;

/// Sends reads at once to every gate; yields how many were answered.
async fn burst(gates: &[GateProcess]) -> usize {
    let urls = gates.iter().map(|gate| gate.url("/s/roster/tare"));
    let urls: Vec<_> = urls.flat_map(|url| vec![url; BURST]).collect();
    let headers = [("ggs-class", "urgent"), ("ggs-deadline-ms", "2000")];
    let calls = urls.iter().map(|url| call(Method::GET, url, &headers, ""));
    let answers = join_all(calls).await;
    let answered = answers.iter().flatten().filter(|one| one.status == 200);
    answered.count()
}

/// Connections that the server has accepted so far.
async fn accepted(servers: &StandinProcess) -> u64 {
    let (_, admin) = &servers.addresses[0];
    let url = format!("http://{admin}/admin/probes");
    let answer = call(Method::GET, &url, &[], "").await.expect("record");
    let record: serde_json::Value = serde_json::from_slice(&answer.body).expect("json");
    record["connections"].as_u64().expect("connections")
}

#[actix_rt::test]
async fn new_gates_hold_the_base_share_until_they_have_settled() {
    let platform = StandinProcess::platform(&[]);
    let servers = StandinProcess::servers(&platform.url(), "roster", 1, &[]);
    let document = ServiceDocument::new("roster", "wagowa");
    assert_eq!(document.connections, 250);
    accept_document(&platform.url(), document).await;
    let gates = GateProcess::spawn_group(GATES, &platform.url());
    for gate in &gates {
        gate.wait_for_service("roster").await;
        wait_for_peers(gate, GATES - 1).await;
    }
    servers.set_faults(0, r#"{"slow_factor": 10}"#).await;
    let answered = burst(&gates).await;
    let new = accepted(&servers).await;
    println!("new gates: {new} connections, {answered} answered");
    assert!(answered > 0);
    assert!(new <= NEW_SHARE * GATES as u64, "{new} connections");

    actix_rt::time::sleep(SHARE_GROWTH_DELAY + Duration::from_secs(2)).await;
    let answered = burst(&gates).await;
    let settled = accepted(&servers).await - new;
    println!("settled gates: {settled} more connections, {answered} answered");
    assert!(
        settled > NEW_SHARE * GATES as u64,
        "{settled} more connections"
    );
}
