//! What control costs each gate, and how fast documents spread, at several sizes.
//!
//! A measurement and not a check:
//! `cargo test --release --test control_cost -- --ignored --nocapture`.

mod support;

use std::time::{Duration, Instant};

use awc::http::Method;
use ggs_model::{
    DataCentre, Incarnation, ServerEntry, ServerId, ServerState, ServiceDocument, ServiceName,
};
use support::operators::{accept, document, revision, wait_handed_out, wait_in_force};
use support::{GateProcess, StandinProcess, accept_document, call};

/// Time over which costs are sampled.
const SAMPLE_TIME: Duration = Duration::from_secs(20);

/// Time for gates to start and meet.
const START_LIMIT: Duration = Duration::from_secs(30);

/// Clock ticks per second in `/proc`.
const TICKS_PER_SECOND: f64 = 100.0;

/// Edits whose spread is measured.
const EDITS: u32 = 20;

/// Sizes of one measurement.
struct Size {
    gates: usize,
    services: usize,
    servers: usize,
}

/// What one gate has used so far.
#[derive(Clone, Copy)]
struct GateUsage {
    sent: f64,
    received: f64,
    ticks: f64,
    resident_kib: f64,
}

async fn usage(gate: &GateProcess) -> GateUsage {
    let answer = call(Method::GET, &gate.url("/metrics"), &[], "")
        .await
        .unwrap();
    let text = String::from_utf8(answer.body).unwrap();
    let traffic = |direction: &str| {
        let mut lines = text
            .lines()
            .filter(|line| line.starts_with("ggs_peer_traffic"));
        let line = lines.find(|line| line.contains(direction)).unwrap();
        line.rsplit(' ').next().unwrap().parse().unwrap()
    };
    let process = gate.child.id();
    let stat = std::fs::read_to_string(format!("/proc/{process}/stat")).unwrap();
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap().split(' ').collect();
    let ticks = |index: usize| fields[index].parse::<f64>().unwrap();
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap();
    let resident = status
        .lines()
        .find(|line| line.starts_with("VmRSS"))
        .unwrap();
    GateUsage {
        sent: traffic("sent"),
        received: traffic("received"),
        ticks: ticks(11) + ticks(12),
        resident_kib: resident.split_whitespace().nth(1).unwrap().parse().unwrap(),
    }
}

/// Length of an answer of the platform and the reads of its kind so far.
async fn platform_reads(platform: &StandinProcess) -> (f64, f64) {
    let url = format!("http://{}/admin/counts", platform.addresses[0].1);
    let counts = call(Method::GET, &url, &[], "").await.unwrap();
    let counts: serde_json::Value = serde_json::from_slice(&counts.body).unwrap();
    let count = |name: &str| counts[name].as_f64().unwrap();
    (count("table_reads"), count("host_reads"))
}

async fn answer_length(platform: &StandinProcess, path: &str) -> f64 {
    let url = format!("{}{path}", platform.url());
    call(Method::GET, &url, &[], "").await.unwrap().body.len() as f64
}

async fn fill_platform(platform: &StandinProcess, size: &Size) {
    for service in 0..size.services {
        let name = format!("service-{service}");
        accept_document(&platform.url(), ServiceDocument::new(&name, "wagowa")).await;
    }
    for server in 0..size.servers {
        let entry = ServerEntry {
            service: ServiceName::new(&format!("service-{}", server % size.services)),
            server: ServerId {
                address: format!("10.0.{}.{}:80", server / 250, server % 250)
                    .parse()
                    .unwrap(),
                incarnation: Incarnation(server as u64),
            },
            data_centre: DataCentre::new("dc1"),
            state: ServerState::Live,
        };
        let url = format!("http://{}/admin/hosts", platform.addresses[0].1);
        let body = serde_json::to_string(&entry).unwrap();
        call(Method::PUT, &url, &[], &body).await.unwrap();
    }
}

/// Costs of idle gates, over all gates.
async fn measure_costs(platform: &StandinProcess, gates: &[GateProcess], size: &Size) {
    let (table_before, hosts_before) = platform_reads(platform).await;
    let mut before = Vec::new();
    for gate in gates {
        before.push(usage(gate).await);
    }
    actix_rt::time::sleep(SAMPLE_TIME).await;
    let seconds = SAMPLE_TIME.as_secs_f64();
    let (table_after, hosts_after) = platform_reads(platform).await;
    let count = gates.len() as f64;
    let (mut sent, mut received, mut core, mut resident) = (0.0, 0.0, 0.0_f64, 0.0_f64);
    for (gate, before) in gates.iter().zip(before) {
        let after = usage(gate).await;
        sent += (after.sent - before.sent) / seconds / count;
        received += (after.received - before.received) / seconds / count;
        core = core.max((after.ticks - before.ticks) / TICKS_PER_SECOND / seconds * 100.0);
        resident = resident.max(after.resident_kib / 1024.0);
    }
    let head = answer_length(platform, "/table/rows/documents%2Fhead").await;
    let hosts = answer_length(platform, "/hosts").await;
    let table_rate = (table_after - table_before) / seconds / count;
    let hosts_rate = (hosts_after - hosts_before) / seconds / count;
    println!(
        "{} gates, {} services, {} servers: peers sent {sent:.0} B/s, received {received:.0} B/s; \
         table {table_rate:.2} reads/s of {head} B, host list {hosts_rate:.3} reads/s of {hosts} B, \
         platform {:.0} B/s; highest processor {core:.2}% of a core, highest memory {resident:.1} MiB",
        size.gates,
        size.services,
        size.servers,
        table_rate * head + hosts_rate * hosts,
    );
}

/// Times from the operator's answer until a document is in force on all gates.
async fn measure_spread(gates: &[GateProcess]) {
    let mut base = revision(&gates[0], "service-0").await;
    let mut times = Vec::new();
    let mut accepted = Vec::new();
    for round in 0..EDITS {
        let through = &gates[round as usize % gates.len()];
        let start = Instant::now();
        let id = u128::from(round) + 1_000;
        base = accept(through, id, base, &document("service-0", round)).await;
        accepted.push(start.elapsed());
        times.push(wait_in_force(gates, "service-0", base, Duration::from_secs(15)).await);
    }
    times.sort_unstable();
    accepted.sort_unstable();
    let middle = times.len() / 2;
    println!(
        "{} gates, {EDITS} edits: accepted after median {:?}, worst {:?}; then in force on all after \
         median {:?}, worst {:?}",
        gates.len(),
        accepted[middle],
        accepted.last().unwrap(),
        times[middle],
        times.last().unwrap(),
    );
}

#[actix_rt::test]
#[ignore = "a measurement that takes minutes"]
async fn control_cost() {
    let sizes = [
        Size {
            gates: 3,
            services: 3,
            servers: 40,
        },
        Size {
            gates: 9,
            services: 3,
            servers: 40,
        },
        Size {
            gates: 18,
            services: 3,
            servers: 40,
        },
        Size {
            gates: 18,
            services: 61,
            servers: 40,
        },
        Size {
            gates: 18,
            services: 61,
            servers: 740,
        },
    ];
    for size in sizes {
        let platform = StandinProcess::platform(&[]);
        fill_platform(&platform, &size).await;
        let gates = GateProcess::spawn_group(size.gates, &platform.url());
        wait_handed_out(&gates, size.gates - 1, START_LIMIT).await;
        wait_in_force(&gates, "service-0", 1, START_LIMIT).await;
        actix_rt::time::sleep(Duration::from_secs(6)).await;
        measure_costs(&platform, &gates, &size).await;
        measure_spread(&gates).await;
    }
}
