//! Gates told to end under load, one and then all in turn: nothing is cut and nothing refused
//! (issue 4, point 5).

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use awc::http::Method;
use ggs_load::{LoadPlan, LoadSummary, LoadTarget, TrafficShare, run_load};
use ggs_model::{RequestClass, ServiceDocument};
use rustix::process::Signal;
use support::{GateProcess, StandinProcess, accept_document, call, wait_for_peers};

/// Time for which a gate may drain: its entry answers' life, the longest export and a margin.
const DRAIN_LIMIT: Duration = Duration::from_secs(10);

/// Starts a platform, servers and gates that see one another.
async fn start(gates: usize) -> (StandinProcess, StandinProcess, Vec<GateProcess>) {
    let platform = StandinProcess::platform(&[]);
    let servers = StandinProcess::servers(&platform.url(), "yield", 6, &[]);
    accept_document(&platform.url(), ServiceDocument::new("yield", "wagowa")).await;
    let gates = GateProcess::spawn_group(gates, &platform.url());
    for gate in &gates {
        gate.wait_for_service("yield").await;
        wait_for_peers(gate, gates.len() - 1).await;
    }
    (platform, servers, gates)
}

/// Reads, keyed writes and exports of about two seconds, through any of the gates.
async fn load(gates: &[SocketAddr], length: Duration) -> LoadSummary {
    let reads = TrafficShare {
        weight: 60.0,
        ..TrafficShare::new("yield", RequestClass::Urgent)
    };
    let writes = TrafficShare {
        weight: 30.0,
        keyed: true,
        ..TrafficShare::new("yield", RequestClass::Standard)
    };
    let exports = TrafficShare {
        bytes: 700_000,
        pace_ms: 50,
        ..TrafficShare::new("yield", RequestClass::Export)
    };
    let mut plan = LoadPlan::new(
        LoadTarget::Gates(gates.to_vec()),
        vec![reads, writes, exports],
    );
    plan.rate = 100.0;
    plan.length = length;
    // A refusal must show as a failure and not be hidden by another try.
    plan.retries = 0;
    run_load(plan).await.expect("load")
}

/// Checks that every call was answered whole.
fn assert_all_answered(summary: &LoadSummary) {
    for share in &summary.shares {
        assert!(share.calls > 0, "{share:?}");
        assert_eq!(share.answered, share.calls, "{share:?}");
    }
    assert_eq!(summary.wrong(), 0);
}

#[actix_rt::test]
async fn a_gate_told_to_end_finishes_its_export() {
    let (_platform, _servers, mut gates) = start(2).await;
    let url = gates[0].url("/s/yield/season?bytes=700000&pace_ms=50&token=season");
    let headers = [("ggs-class", "export")];
    let export = call(Method::GET, &url, &headers, "");
    let told = async {
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        gates[0].child.signal(Signal::TERM);
    };
    let (answer, ()) = futures_util::future::join(export, told).await;
    assert_eq!(answer.expect("whole export").body.len(), 700_000);
    let status = gates[0].child.wait(DRAIN_LIMIT).await.expect("ended");
    assert!(status.success(), "{status}");
}

#[actix_rt::test]
async fn replacing_all_gates_in_turn_cuts_and_refuses_nothing() {
    let (platform, _servers, mut gates) = start(3).await;
    let mut addresses: Vec<SocketAddr> = gates
        .iter()
        .map(|gate| gate.settings.listen_callers)
        .collect();
    // Replacements join before the old gates leave, as operators would do it.
    let mut seeds: Vec<SocketAddr> = gates
        .iter()
        .map(|gate| gate.settings.listen_peers)
        .collect();
    let mut fresh = Vec::new();
    for index in 0..3 {
        let mut settings = GateProcess::settings(&format!("new-{index}"), &platform.url());
        settings.peers.clone_from(&seeds);
        seeds.push(settings.listen_peers);
        addresses.push(settings.listen_callers);
        fresh.push(GateProcess::spawn(settings));
    }
    for gate in &fresh {
        gate.wait_for_service("yield").await;
        wait_for_peers(gate, 5).await;
    }
    let roll = async {
        for gate in &mut gates {
            actix_rt::time::sleep(Duration::from_millis(500)).await;
            gate.child.signal(Signal::TERM);
            let status = gate.child.wait(DRAIN_LIMIT).await.expect("ended");
            assert!(status.success(), "{status}");
        }
    };
    let (summary, ()) =
        futures_util::future::join(load(&addresses, Duration::from_secs(12)), roll).await;
    assert_all_answered(&summary);
}
