//! Leaving servers over real processes: the first sign anywhere ends new work everywhere.

mod support;

use std::time::{Duration, Instant};

use awc::http::Method;
use ggs_model::{ServerState, ServiceDocument};
use rustix::process::Signal;
use support::operators::wait_handed_out;
use support::{GateProcess, READY_LIMIT, StandinProcess, accept_document, call, wait_until};

/// Time after the first sign at any gate in which every gate stops to send new work.
const SIGN_LIMIT: Duration = Duration::from_secs(3);

/// Requests that one server took, refused ones included.
async fn calls_taken(servers: &StandinProcess, index: usize) -> u64 {
    let url = format!("http://{}/admin/probes", servers.addresses[index].1);
    let answer = call(Method::GET, &url, &[], "").await.unwrap();
    let record: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
    record["calls"].as_u64().unwrap()
}

/// Sends `count` requests through a gate, four at a time; all must succeed.
async fn send(gate: &GateProcess, count: usize) {
    for _ in 0..count / 4 {
        let calls = (0..4).map(|_| async {
            let url = gate.url("/s/roster/tare?token=a");
            call(Method::GET, &url, &[], "").await
        });
        for answer in futures_util::future::join_all(calls).await {
            let answer = answer.expect("whole answer");
            assert_eq!(
                answer.status,
                200,
                "{}",
                String::from_utf8_lossy(&answer.body)
            );
        }
    }
}

/// Waits until requests through every gate reach a server.
async fn wait_used(gates: &[GateProcess], servers: &StandinProcess, index: usize) {
    for gate in gates {
        let before = calls_taken(servers, index).await;
        let what = format!("server {index} used by {}", gate.settings.host);
        wait_until(&what, READY_LIMIT, || async {
            let _ = call(Method::GET, &gate.url("/s/roster/tare?token=a"), &[], "").await;
            calls_taken(servers, index).await > before
        })
        .await;
    }
}

/// Three gates, and three servers that the host list shows as live for as long as the test runs.
async fn start(arguments: &[&str]) -> (StandinProcess, Vec<GateProcess>, StandinProcess) {
    let platform = StandinProcess::platform(arguments);
    accept_document(&platform.url(), ServiceDocument::new("roster", "wagowa")).await;
    let servers = StandinProcess::servers(&platform.url(), "roster", 3, &[]);
    let gates = GateProcess::spawn_group(3, &platform.url());
    wait_handed_out(&gates, 2, READY_LIMIT).await;
    for index in 0..3 {
        wait_used(&gates, &servers, index).await;
    }
    (platform, gates, servers)
}

#[actix_rt::test]
async fn own_answer_of_a_leaving_server_ends_new_work_at_all_gates() {
    let (_platform, gates, servers) = start(&[]).await;
    let drain = format!("http://{}/admin/drain", servers.addresses[0].1);
    call(Method::POST, &drain, &[], "").await.unwrap();
    let before = calls_taken(&servers, 0).await;
    // Only gate 0 has callers, until it meets the sign; the host list still shows the server as live.
    wait_until("the first sign", READY_LIMIT, || async {
        send(&gates[0], 4).await;
        calls_taken(&servers, 0).await > before
    })
    .await;
    let sign = Instant::now();
    let first = calls_taken(&servers, 0).await;
    actix_rt::time::sleep(SIGN_LIMIT).await;
    let settled = calls_taken(&servers, 0).await;
    for gate in &gates {
        send(gate, 200).await;
    }
    let last = calls_taken(&servers, 0).await;
    println!(
        "work at the leaving server after the sign, {:?}: {}",
        sign.elapsed(),
        last - first
    );
    assert_eq!(last, settled, "new work more than 3 s after the first sign");
}

#[actix_rt::test]
async fn leaving_server_of_the_host_list_gets_no_new_work() {
    let (platform, gates, servers) = start(&[]).await;
    // The list says that a server leaves; the server itself does not, and works on.
    let list = call(Method::GET, &format!("{}/hosts", platform.url()), &[], "")
        .await
        .unwrap();
    let mut list: Vec<ggs_model::ServerEntry> = serde_json::from_slice(&list.body).unwrap();
    let address = servers.addresses[0].0;
    let row = list
        .iter_mut()
        .find(|entry| entry.server.address == address)
        .unwrap();
    row.state = ServerState::Leaving;
    let url = format!("http://{}/admin/hosts", platform.addresses[0].1);
    let body = serde_json::to_string(&*row).unwrap();
    assert_eq!(
        call(Method::PUT, &url, &[], &body).await.unwrap().status,
        200
    );
    actix_rt::time::sleep(SIGN_LIMIT + Duration::from_secs(2)).await;
    let settled = calls_taken(&servers, 0).await;
    for gate in &gates {
        send(gate, 100).await;
    }
    assert_eq!(calls_taken(&servers, 0).await, settled);
}

#[actix_rt::test]
async fn restarted_server_is_used_again() {
    let platform = StandinProcess::platform(&[]);
    accept_document(&platform.url(), ServiceDocument::new("roster", "wagowa")).await;
    let steady = StandinProcess::servers(&platform.url(), "roster", 1, &[]);
    let address = support::free_address().to_string();
    let listen = ["--listen", address.as_str()];
    let mut restarted = StandinProcess::servers(&platform.url(), "roster", 1, &listen);
    let gates = GateProcess::spawn_group(3, &platform.url());
    wait_handed_out(&gates, 2, READY_LIMIT).await;
    wait_used(&gates, &steady, 0).await;
    wait_used(&gates, &restarted, 0).await;
    restarted.child.signal(Signal::TERM);
    let ended = restarted.child.wait(READY_LIMIT).await;
    assert!(ended.is_some_and(|status| status.success()));
    actix_rt::time::sleep(SIGN_LIMIT).await;
    let restarted = StandinProcess::servers(&platform.url(), "roster", 1, &listen);
    let start = Instant::now();
    wait_used(&gates, &restarted, 0).await;
    println!(
        "time until 3 gates used the restarted server: {:?}",
        start.elapsed()
    );
}
