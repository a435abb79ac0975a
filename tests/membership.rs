//! Live gates over real processes: discovery, kills, freezes, goodbyes and many lost at once.

mod support;

use std::time::{Duration, Instant};

use awc::http::Method;
use ggs_follow::FleetDigest;
use ggs_member::{GateRecord, GateState};
use ggs_model::{
    DataCentre, GateId, HostName, Incarnation, ServerEntry, ServerId, ServerState, ServiceDocument,
};
use ggs_peer::{
    LinkEvent, LinkTiming, PROTOCOL_VERSION, PeerHeartbeat, PeerHello, PeerMessage, PeerNode,
};
use rustix::process::Signal;
use support::operators::{handed_out, peer_bytes, status, wait_handed_out};
use support::{
    GateProcess, READY_LIMIT, StandinProcess, accept_document, call, free_address, wait_for_peers,
    wait_until,
};
use tokio::net::TcpListener;

/// Time in which a change of the live gates is known everywhere.
const KNOWN_LIMIT: Duration = Duration::from_secs(15);

/// Time in which a gate that was told to stop is no longer handed out.
const DRAIN_LIMIT: Duration = Duration::from_secs(3);

/// What a gate may spend on control.
const CONTROL_BYTES_PER_SECOND: f64 = 18_000.0;

/// Addresses that a gate hands out for `roster`.
async fn entries(gate: &GateProcess) -> Vec<String> {
    let answer = call(Method::GET, &gate.url("/v1/entries/roster"), &[], "")
        .await
        .unwrap();
    let value: serde_json::Value = serde_json::from_slice(&answer.body).unwrap();
    let addresses = value["addresses"].as_array().unwrap().iter();
    addresses
        .map(|address| address.as_str().unwrap().to_owned())
        .collect()
}

async fn start_platform() -> StandinProcess {
    let platform = StandinProcess::platform(&[]);
    accept_document(&platform.url(), ServiceDocument::new("roster", "wagowa")).await;
    platform
}

#[actix_rt::test]
async fn gates_that_know_one_address_find_all_others() {
    let platform = start_platform().await;
    let first = GateProcess::settings("gate-0", &platform.url());
    let mut all = vec![first.clone()];
    for index in 1..6 {
        let mut settings = GateProcess::settings(&format!("gate-{index}"), &platform.url());
        settings.peers = vec![first.listen_peers];
        all.push(settings);
    }
    let gates: Vec<_> = all.into_iter().map(GateProcess::spawn).collect();
    wait_handed_out(&gates, 5, KNOWN_LIMIT).await;
    gates[5].wait_for_service("roster").await;
    assert_eq!(entries(&gates[5]).await.len(), 6);
}

#[actix_rt::test]
async fn killed_gate_is_withdrawn_and_its_next_run_is_used() {
    let platform = start_platform().await;
    let mut gates = GateProcess::spawn_group(4, &platform.url());
    wait_handed_out(&gates, 3, READY_LIMIT).await;
    let killed = gates.pop().unwrap();
    let settings = killed.settings.clone();
    drop(killed);
    let start = Instant::now();
    wait_handed_out(&gates, 2, KNOWN_LIMIT).await;
    println!(
        "time until a killed gate was withdrawn by 3 gates: {:?}",
        start.elapsed()
    );
    let start = Instant::now();
    gates.push(GateProcess::spawn(settings));
    wait_handed_out(&gates, 3, KNOWN_LIMIT).await;
    println!(
        "time until its next run was handed out: {:?}",
        start.elapsed()
    );
}

#[actix_rt::test]
async fn stopped_gate_is_no_longer_handed_out() {
    let platform = start_platform().await;
    let mut gates = GateProcess::spawn_group(4, &platform.url());
    wait_handed_out(&gates, 3, READY_LIMIT).await;
    let mut stopped = gates.pop().unwrap();
    stopped.child.signal(Signal::TERM);
    let start = Instant::now();
    wait_handed_out(&gates, 2, DRAIN_LIMIT).await;
    println!(
        "time until a stopping gate was no longer handed out: {:?}",
        start.elapsed()
    );
    let address = stopped.settings.listen_callers.to_string();
    for gate in &gates {
        assert!(!entries(gate).await.contains(&address));
    }
    assert!(
        stopped
            .child
            .wait(KNOWN_LIMIT)
            .await
            .is_some_and(|code| code.success())
    );
}

#[actix_rt::test]
async fn woken_gate_keeps_handing_out_the_others_and_is_handed_out_again() {
    let platform = start_platform().await;
    let gates = GateProcess::spawn_group(4, &platform.url());
    wait_handed_out(&gates, 3, READY_LIMIT).await;
    gates[3].child.signal(Signal::STOP);
    wait_handed_out(&gates[..3], 2, KNOWN_LIMIT).await;
    actix_rt::time::sleep(Duration::from_secs(6)).await;
    gates[3].child.signal(Signal::CONT);
    let start = Instant::now();
    let mut least = usize::MAX;
    while start.elapsed() < Duration::from_secs(8) {
        least = least.min(handed_out(&gates[3]).await.len());
        actix_rt::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(least, 3, "the woken gate withdrew live gates");
    wait_handed_out(&gates, 3, KNOWN_LIMIT).await;
}

#[actix_rt::test]
async fn many_gates_lost_at_once_are_not_withdrawn_in_one_go() {
    let platform = start_platform().await;
    let gates = GateProcess::spawn_group(9, &platform.url());
    wait_handed_out(&gates, 8, READY_LIMIT).await;
    let (kept, frozen) = gates.split_at(2);
    for gate in frozen {
        gate.child.signal(Signal::STOP);
    }
    // At most 25% of the known gates per lease of 4 s, and 50% in all.
    let start = Instant::now();
    let mut counts = Vec::new();
    while start.elapsed() < Duration::from_secs(20) {
        let count = handed_out(&kept[0]).await.len();
        if counts.last().is_none_or(|(_, last)| *last != count) {
            counts.push((start.elapsed(), count));
        }
        actix_rt::time::sleep(Duration::from_millis(50)).await;
    }
    println!("gates handed out after 7 of 8 others froze: {counts:?}");
    assert!(counts.iter().all(|(_, count)| *count >= 4), "{counts:?}");
    assert!(
        counts.windows(2).all(|pair| pair[1].1 + 2 >= pair[0].1),
        "{counts:?}"
    );
    let answer = call(Method::GET, &kept[0].url("/v1/entries/roster"), &[], "").await;
    assert_eq!(answer.unwrap().status, 200, "serves on");
    let before = peer_bytes(&kept[0]).await;
    let start = Instant::now();
    for gate in frozen {
        gate.child.signal(Signal::CONT);
    }
    wait_handed_out(&gates, 8, KNOWN_LIMIT).await;
    actix_rt::time::sleep(Duration::from_secs(3)).await;
    let rate = (peer_bytes(&kept[0]).await - before) / start.elapsed().as_secs_f64();
    println!(
        "exchanged while sight returned: {rate:.0} B/s over {:?}",
        start.elapsed()
    );
    assert!(rate < CONTROL_BYTES_PER_SECOND, "{rate} B/s");
    wait_until("settled", READY_LIMIT, || async {
        status(&kept[0]).await.is_some_and(|status| !status.stale)
    })
    .await;
}

/// A gate whose peer address the others cannot reach, as behind a one-way cut.
#[actix_rt::test]
async fn gate_that_cannot_be_dialled_hears_heartbeats_on_its_own_link() {
    let platform = start_platform().await;
    let gate = GateProcess::spawn(GateProcess::settings("gate-0", &platform.url()));
    gate.wait_for_service("roster").await;
    let record = GateRecord {
        gate: GateId {
            host: HostName::new("gate-1"),
            incarnation: Incarnation(1),
        },
        data_centre: DataCentre::new("dc1"),
        callers: free_address(),
        peers: free_address(),
        state: GateState::Live,
    };
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let hello = PeerHello {
        version: PROTOCOL_VERSION,
        record,
    };
    let (node, mut events) = PeerNode::start(listener, hello, LinkTiming::default());
    node.dial(gate.settings.listen_peers);
    let start = Instant::now();
    let mut heard = 0;
    for sequence in 0..6 {
        let heartbeat = PeerHeartbeat {
            sequence,
            state: GateState::Live,
            digest: FleetDigest::default(),
            leaving: Vec::new(),
        };
        node.send_all(&PeerMessage::Heartbeat(heartbeat));
        actix_rt::time::sleep(Duration::from_secs(1)).await;
        while let Ok(event) = events.try_recv() {
            let is_heartbeat = matches!(
                event,
                LinkEvent::Message {
                    message: PeerMessage::Heartbeat(_),
                    ..
                }
            );
            heard += usize::from(is_heartbeat);
        }
    }
    // A lease is 4 s: one heartbeat, sent on connecting, is too few to stay known.
    assert!(heard >= 4, "{heard} heartbeats in {:?}", start.elapsed());
}

#[actix_rt::test]
async fn gates_without_seeds_find_one_another_in_the_host_list() {
    let platform = StandinProcess::platform(&[]);
    accept_document(&platform.url(), ServiceDocument::new("roster", "wagowa")).await;
    let names = ["listed-0", "listed-1", "listed-2"];
    let settings = names.map(|name| GateProcess::settings(name, &platform.url()));
    let url = format!("http://{}/admin/hosts", platform.addresses[0].1);
    for own in &settings {
        let entry = ServerEntry {
            service: "ggs-gates".into(),
            server: ServerId {
                address: own.listen_peers,
                incarnation: Incarnation(0),
            },
            data_centre: own.data_centre.clone(),
            state: ServerState::Live,
        };
        let body = serde_json::to_string(&entry).unwrap();
        let answer = call(Method::PUT, &url, &[], &body).await.unwrap();
        assert_eq!(answer.status, 200);
    }
    let gates = settings.map(GateProcess::spawn);
    for gate in &gates {
        wait_for_peers(gate, 2).await;
    }
}
