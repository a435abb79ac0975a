//! Requests with issued keys over real processes, counted at the servers (issue 4, point 1).

mod support;

use std::time::Duration;

use awc::http::Method;
use futures_util::future::join;
use ggs_model::ServiceDocument;
use rustix::process::Signal;
use support::{
    CallAnswer, GateProcess, READY_LIMIT, StandinProcess, accept_document, call, wait_for_peers,
    wait_until,
};

/// Deadline of a credit in milliseconds.
const DEADLINE_MS: u64 = 1_500;

/// Time for which a run lasts that is met while it runs, in milliseconds.
const RUN_MS: u64 = 700;

/// Time for which a gate is frozen: its lease of four seconds, and one more.
const FREEZE_TIME: Duration = Duration::from_secs(5);

/// A platform, servers of the ledger service, and gates that see one another.
struct World {
    platform: StandinProcess,
    servers: StandinProcess,
    gates: Vec<GateProcess>,
}

impl World {
    async fn start(gates: usize) -> Self {
        let platform = StandinProcess::platform(&[]);
        let servers = StandinProcess::servers(&platform.url(), "ledger", 2, &[]);
        accept_document(&platform.url(), ServiceDocument::new("ledger", "wagowa")).await;
        let gates = GateProcess::spawn_group(gates, &platform.url());
        for gate in &gates {
            gate.wait_for_service("ledger").await;
            wait_for_peers(gate, gates.len() - 1).await;
        }
        Self {
            platform,
            servers,
            gates,
        }
    }

    /// Runs of a token at the servers.
    async fn runs(&self, token: &str) -> u64 {
        let runs = self.servers.runs().await;
        runs.get(token).copied().unwrap_or_default()
    }
}

/// Asks a gate for a key.
async fn issue(gate: &GateProcess) -> String {
    let answer = call(Method::POST, &gate.url("/v1/keys/ledger"), &[], "").await;
    let answer = answer.expect("key");
    assert_eq!(answer.status, 200);
    let value: serde_json::Value = serde_json::from_slice(&answer.body).expect("json");
    value["key"].as_str().expect("key").to_owned()
}

/// Sends a credit; `query` says how the server runs it.
async fn credit(
    gate: &GateProcess,
    key: &str,
    query: &str,
    body: &str,
) -> Result<CallAnswer, String> {
    let deadline = DEADLINE_MS.to_string();
    let headers = [("ggs-key", key), ("ggs-deadline-ms", deadline.as_str())];
    call(
        Method::POST,
        &gate.url(&format!("/s/ledger/credit?{query}")),
        &headers,
        body,
    )
    .await
}

/// The verdict of an answer.
fn verdict(answer: &CallAnswer) -> &str {
    answer.header("ggs-verdict").expect("verdict")
}

#[actix_rt::test]
async fn a_repeated_key_gets_the_same_answer_and_one_run() {
    let world = World::start(3).await;
    let [first, second, third] = &world.gates[..] else {
        unreachable!("three gates were started")
    };
    // Through the issuing gate, and through others.
    let key = issue(first).await;
    let answer = credit(first, &key, "token=a", "12 kg").await.unwrap();
    assert_eq!((answer.status, verdict(&answer)), (200, "ran"));
    for gate in [first, second, third, second] {
        let repeat = credit(gate, &key, "token=a", "12 kg").await.unwrap();
        assert_eq!((repeat.status, &repeat.body), (200, &answer.body));
        assert_eq!(verdict(&repeat), "ran");
    }
    assert_eq!(world.runs("a").await, 1);
    // Never through the issuing gate itself, and through two gates at the same moment.
    let key = issue(first).await;
    let query = format!("token=b&ms={RUN_MS}");
    let (one, other) = join(
        credit(second, &key, &query, "9 kg"),
        credit(third, &key, &query, "9 kg"),
    )
    .await;
    let (one, other) = (one.unwrap(), other.unwrap());
    assert_eq!((one.status, other.status), (200, 200));
    assert_eq!(one.body, other.body);
    assert_eq!(world.runs("b").await, 1);
    // With another body.
    for gate in [first, second] {
        let conflict = credit(gate, &key, &query, "10 kg").await.unwrap();
        assert_eq!((conflict.status, verdict(&conflict)), (409, "unknown"));
    }
    assert_eq!(world.runs("b").await, 1);
    // With a key that no gate issues, and with one whose life was prolonged.
    let forged = credit(first, "my-own-key", "token=c", "").await.unwrap();
    assert_eq!((forged.status, verdict(&forged)), (400, "not-run"));
    let (start, _) = key.rsplit_once('.').unwrap();
    let prolonged = format!("{start}.99999999999");
    let prolonged = credit(first, &prolonged, &query, "9 kg").await.unwrap();
    assert_eq!(prolonged.status, 400);
    assert_eq!(world.runs("b").await, 1);
}

#[actix_rt::test]
async fn a_lost_answer_stays_unknown_and_a_request_not_run_can_be_sent_again() {
    let world = World::start(2).await;
    let [first, second] = &world.gates[..] else {
        unreachable!("two gates were started")
    };
    for index in 0..2 {
        let faults = r#"{"lose_answers": 1}"#;
        world.servers.set_faults(index, faults).await;
    }
    let key = issue(first).await;
    let lost = credit(first, &key, "token=a", "12 kg").await.unwrap();
    assert_eq!(verdict(&lost), "unknown");
    for gate in [first, second] {
        let repeat = credit(gate, &key, "token=a", "12 kg").await.unwrap();
        assert_eq!(verdict(&repeat), "unknown", "status {}", repeat.status);
        assert_ne!(repeat.status, 200);
    }
    assert_eq!(world.runs("a").await, 1);
    // A server that holds the request past its deadline may run it later.
    for index in 0..2 {
        world.servers.set_faults(index, r#"{"freeze": true}"#).await;
    }
    let key = issue(second).await;
    let held = credit(first, &key, "token=b", "12 kg").await.unwrap();
    assert_eq!(verdict(&held), "unknown");
    for index in 0..2 {
        world.servers.set_faults(index, "{}").await;
    }
    let repeat = credit(second, &key, "token=b", "12 kg").await.unwrap();
    assert_eq!(verdict(&repeat), "unknown");
    assert!(world.runs("b").await <= 1);
    // A caller that leaves finds the answer of its run.
    let key = issue(second).await;
    let query = format!("token=c&ms={RUN_MS}");
    let sent = credit(second, &key, &query, "12 kg");
    let left = actix_rt::time::timeout(Duration::from_millis(RUN_MS / 3), sent).await;
    assert!(left.is_err(), "the caller left while the request ran");
    let repeat = credit(first, &key, &query, "12 kg").await.unwrap();
    assert_eq!((repeat.status, verdict(&repeat)), (200, "ran"));
    assert_eq!(world.runs("c").await, 1);
    // No server takes the request: it did not run, and the same key runs it later.
    let platform = &world.platform;
    accept_document(&platform.url(), ServiceDocument::new("roster", "wagowa")).await;
    first.wait_for_service("roster").await;
    let key = issue(first).await;
    let headers = [("ggs-key", key.as_str()), ("ggs-deadline-ms", "1000")];
    let url = first.url("/s/roster/credit?token=d");
    let refused = call(Method::POST, &url, &headers, "1 kg").await.unwrap();
    assert_eq!((refused.status, verdict(&refused)), (503, "not-run"));
    let servers = StandinProcess::servers(&platform.url(), "roster", 1, &[]);
    wait_until("the request runs", READY_LIMIT, || async {
        let answer = call(Method::POST, &url, &headers, "1 kg").await.unwrap();
        answer.status == 200
    })
    .await;
    assert_eq!(servers.runs().await["d"], 1);
}

#[actix_rt::test]
async fn a_key_of_a_gate_that_died_is_never_run_again() {
    let mut world = World::start(2).await;
    let key = issue(&world.gates[0]).await;
    let unused = issue(&world.gates[0]).await;
    let query = format!("token=a&ms={RUN_MS}");
    let sent = credit(&world.gates[0], &key, &query, "12 kg");
    let kill = async {
        wait_until("the request runs", READY_LIMIT, || async {
            world.runs("a").await == 1
        })
        .await;
        world.gates[0].child.signal(Signal::KILL);
    };
    let (sent, ()) = join(sent, kill).await;
    assert!(sent.is_err(), "the gate died before it answered");
    // Another run of the gate at the same address does not know the key.
    let settings = world.gates[0].settings.clone();
    for restarted in [false, true] {
        if restarted {
            world.gates[0] = GateProcess::spawn(settings.clone());
            world.gates[0].wait_for_service("ledger").await;
            wait_for_peers(&world.gates[1], 1).await;
        }
        for key in [&key, &unused] {
            let gates = &world.gates[usize::from(!restarted)..];
            for gate in gates {
                let repeat = credit(gate, key, &query, "12 kg").await.unwrap();
                assert_eq!(verdict(&repeat), "unknown", "restarted: {restarted}");
                assert_ne!(repeat.status, 200);
            }
        }
    }
    assert_eq!(world.runs("a").await, 1);
}

#[actix_rt::test]
async fn a_gate_frozen_past_its_lease_runs_nothing_twice_on_waking() {
    let world = World::start(2).await;
    let [first, second] = &world.gates[..] else {
        unreachable!("two gates were started")
    };
    let running = issue(first).await;
    let idle = issue(first).await;
    let query = format!("token=a&ms={RUN_MS}");
    let sent = credit(first, &running, &query, "12 kg");
    let meanwhile = async {
        wait_until("the request runs", READY_LIMIT, || async {
            world.runs("a").await == 1
        })
        .await;
        first.child.signal(Signal::STOP);
        // Longer than a lease, so that the other gate withdraws the frozen one.
        let until = std::time::Instant::now() + FREEZE_TIME;
        while std::time::Instant::now() < until {
            for (key, query) in [(&running, query.as_str()), (&idle, "token=b")] {
                let repeat = credit(second, key, query, "12 kg").await.unwrap();
                assert_eq!(verdict(&repeat), "unknown");
            }
        }
        first.child.signal(Signal::CONT);
    };
    let (_, ()) = join(sent, meanwhile).await;
    // Requests that were passed to the frozen gate were read by it on waking, past their deadlines.
    wait_until("the woken gate answers", READY_LIMIT, || async {
        credit(first, &idle, "token=b", "12 kg").await.is_ok()
    })
    .await;
    for gate in [second, first] {
        for (key, query) in [(&running, query.as_str()), (&idle, "token=b")] {
            // Whatever is said, nothing runs again.
            assert!(credit(gate, key, query, "12 kg").await.is_ok());
        }
    }
    assert_eq!(world.runs("a").await, 1);
    assert!(world.runs("b").await <= 1);
}

#[actix_rt::test]
async fn a_key_asked_of_a_draining_gate_outlives_it() {
    let mut world = World::start(2).await;
    world.gates[0].child.signal(Signal::TERM);
    let url = world.gates[0].url("/v1/status");
    wait_until("the gate drains", READY_LIMIT, || async {
        let answer = call(Method::GET, &url, &[], "").await.expect("status");
        let status: ggs_model::StatusAnswer = serde_json::from_slice(&answer.body).expect("json");
        status.draining
    })
    .await;
    let key = issue(&world.gates[0]).await;
    let ended = world.gates[0].child.wait(READY_LIMIT).await;
    assert!(ended.is_some_and(|status| status.success()), "{ended:?}");
    let answer = credit(&world.gates[1], &key, "token=a", "12 kg").await;
    let answer = answer.unwrap();
    assert_eq!((answer.status, verdict(&answer)), (200, "ran"));
    assert_eq!(world.runs("a").await, 1);
}

#[actix_rt::test]
async fn only_a_key_that_was_never_used_is_refused_as_not_run() {
    let platform = StandinProcess::platform(&[]);
    let servers = StandinProcess::servers(&platform.url(), "ledger", 1, &[]);
    accept_document(&platform.url(), ServiceDocument::new("ledger", "wagowa")).await;
    let mut settings = GateProcess::settings("entry-1", &platform.url());
    settings.key_limit = 1;
    settings.body_limit = 1 << 10;
    let gate = GateProcess::spawn(settings);
    gate.wait_for_service("ledger").await;
    let used = issue(&gate).await;
    let unused = issue(&gate).await;
    let answer = credit(&gate, &used, "token=a", "12 kg").await.unwrap();
    assert_eq!((answer.status, verdict(&answer)), (200, "ran"));
    // The memory is full: a new key is refused, and nothing known is forgotten.
    let full = credit(&gate, &unused, "token=b", "12 kg").await.unwrap();
    assert_eq!((full.status, verdict(&full)), (503, "not-run"));
    let repeat = credit(&gate, &used, "token=a", "12 kg").await.unwrap();
    assert_eq!((repeat.status, &repeat.body), (200, &answer.body));
    // A refusal that is met before the key is looked up.
    let long = "x".repeat(2 << 10);
    for (key, said) in [(&used, "unknown"), (&unused, "not-run")] {
        let refused = credit(&gate, key, "token=a", &long).await.unwrap();
        assert_eq!((refused.status, verdict(&refused)), (413, said));
    }
    let runs = servers.runs().await;
    assert_eq!((runs.get("a"), runs.get("b")), (Some(&1), None));
}
