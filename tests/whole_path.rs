//! Requests from one end to the other over real processes, with a gate killed under load (issue 3).

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use awc::http::Method;
use ggs_load::{LoadPlan, LoadSummary, LoadTarget, TrafficShare, run_load};
use ggs_model::{RequestClass, RequestRule, ServiceDocument};
use rustix::process::Signal;
use support::{GateProcess, StandinProcess, accept_document, call, wait_for_peers};

/// Calls a second.
const RATE: f64 = 150.0;

/// Time in which calls are started.
const LENGTH: Duration = Duration::from_secs(5);

/// Time after the start of the load at which a gate is killed or told to end.
const FAULT_AFTER: Duration = Duration::from_secs(2);

/// A document whose credits are non-idempotent and whose season exports are long.
fn document() -> ServiceDocument {
    let mut document = ServiceDocument::new("ledger", "wagowa");
    document.rules.push(RequestRule {
        method: "POST".into(),
        path: "/".into(),
        non_idempotent: true,
        class: None,
    });
    document
}

/// Urgent and standard reads, keyed writes, and exports that take about a second each.
fn traffic() -> Vec<TrafficShare> {
    let urgent = TrafficShare {
        weight: 6.0,
        ..TrafficShare::new("ledger", RequestClass::Urgent)
    };
    let standard = TrafficShare {
        weight: 2.0,
        ..TrafficShare::new("ledger", RequestClass::Standard)
    };
    let keyed = TrafficShare {
        keyed: true,
        ..standard.clone()
    };
    let export = TrafficShare {
        weight: 0.05,
        bytes: 600_000,
        pace_ms: 30,
        ..TrafficShare::new("ledger", RequestClass::Export)
    };
    vec![urgent, standard, keyed, export]
}

/// A system of stand-ins and gates that see one another.
struct World {
    _platform: StandinProcess,
    servers: StandinProcess,
    gates: Vec<GateProcess>,
}

impl World {
    async fn start(gates: usize) -> Self {
        let platform = StandinProcess::platform(&[]);
        let servers = StandinProcess::servers(&platform.url(), "ledger", 6, &[]);
        accept_document(&platform.url(), document()).await;
        let gates = GateProcess::spawn_group(gates, &platform.url());
        for gate in &gates {
            gate.wait_for_service("ledger").await;
            wait_for_peers(gate, gates.len() - 1).await;
        }
        Self {
            _platform: platform,
            servers,
            gates,
        }
    }

    /// Sends the traffic of all classes through all gates.
    async fn load(&self, length: Duration) -> LoadSummary {
        let gates: Vec<SocketAddr> = self
            .gates
            .iter()
            .map(|gate| gate.settings.listen_callers)
            .collect();
        let mut plan = LoadPlan::new(LoadTarget::Gates(gates), traffic());
        plan.rate = RATE;
        plan.length = length;
        run_load(plan).await.expect("load")
    }

    /// The most runs of any token and of any key at the servers.
    async fn most_runs(&self) -> u64 {
        let tokens = self.servers.runs().await;
        let mut most = tokens.values().copied().max().unwrap_or_default();
        for (_, admin) in &self.servers.addresses {
            let url = format!("http://{admin}/admin/runs?by=key");
            let answer = call(Method::GET, &url, &[], "").await.expect("answer");
            let keys: std::collections::BTreeMap<String, u64> =
                serde_json::from_slice(&answer.body).expect("runs");
            most = most.max(keys.values().copied().max().unwrap_or_default());
        }
        most
    }
}

#[actix_rt::test]
async fn all_classes_pass_and_each_answer_is_whole() {
    let world = World::start(3).await;
    let summary = world.load(FAULT_AFTER).await;
    for share in &summary.shares {
        assert!(share.calls > 0, "no {} call", share.class);
        assert_eq!(share.answered, share.calls, "{share:?}");
    }
    assert_eq!(summary.wrong(), 0);
    assert_eq!(world.most_runs().await, 1);
}

#[actix_rt::test]
async fn callers_go_on_when_a_gate_is_killed() {
    let world = World::start(3).await;
    let killed = &world.gates[0];
    let kill = async {
        actix_rt::time::sleep(FAULT_AFTER).await;
        killed.child.signal(Signal::KILL);
    };
    let (summary, ()) = futures_util::future::join(world.load(LENGTH), kill).await;
    assert_eq!(summary.wrong(), 0);
    for share in &summary.shares {
        if share.keyed {
            // A write that was at the killed gate is told as unknown and not sent again.
            assert_eq!(share.answered + share.unknown, share.calls, "{share:?}");
            let runs = world.servers.runs().await;
            assert!(runs.values().all(|count| *count >= 1));
        } else {
            let whole = share.answered + share.cut;
            assert_eq!(whole, share.calls, "{share:?}");
        }
        // A third of the calls in flight at one moment are at the killed gate; more must not fail.
        let lost = share.calls - share.answered;
        assert!(lost <= 4, "{lost} calls lost: {share:?}");
    }
}

#[actix_rt::test]
async fn non_idempotent_requests_run_once_when_a_gate_is_killed() {
    let world = World::start(3).await;
    let killed = &world.gates[1];
    let kill = async {
        actix_rt::time::sleep(FAULT_AFTER).await;
        killed.child.signal(Signal::KILL);
    };
    let gates = world
        .gates
        .iter()
        .map(|gate| gate.settings.listen_callers)
        .collect();
    let mut plan = LoadPlan::new(
        LoadTarget::Gates(gates),
        vec![TrafficShare {
            keyed: true,
            run_ms: Some(20),
            ..TrafficShare::new("ledger", RequestClass::Standard)
        }],
    );
    plan.rate = RATE;
    plan.length = LENGTH;
    let (summary, ()) = futures_util::future::join(run_load(plan), kill).await;
    let share = &summary.expect("load").shares[0];
    assert_eq!(world.most_runs().await, 1, "{share:?}");
    let ran = world.servers.runs().await.len() as u64;
    // Each answered call ran; of the others only those told as unknown may have.
    assert!(ran >= share.answered, "{ran} ran: {share:?}");
    assert!(
        ran <= share.answered + share.unknown,
        "{ran} ran: {share:?}"
    );
}
