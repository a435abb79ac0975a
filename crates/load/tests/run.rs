//! Runs of load against stand-in servers and against gates with fixed answers.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use ggs_load::{LoadPlan, LoadSummary, LoadTarget, TrafficShare, run_load};
use ggs_model::RequestClass;
use ggs_standin::{AnswerBody, ServerFaults, ServerOptions, start_server};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

fn plan(target: LoadTarget, calls: u64) -> LoadPlan {
    let share = TrafficShare::new("roster", RequestClass::Urgent);
    let mut plan = LoadPlan::new(target, vec![share]);
    plan.rate = 500.0;
    plan.length = Duration::from_mins(1);
    plan.count = calls;
    plan
}

async fn run(plan: LoadPlan) -> LoadSummary {
    run_load(plan).await.expect("run")
}

#[actix_rt::test]
async fn every_call_is_counted_once_and_runs_once() {
    let server = start_server(ServerOptions::default()).await.expect("start");
    let mut plan = plan(LoadTarget::Direct(server.address()), 200);
    let mut export = TrafficShare::new("yield", RequestClass::Export);
    export.bytes = 300_000;
    plan.shares.push(export);
    let summary = run(plan).await;
    let answered: u64 = summary.shares.iter().map(|share| share.answered).sum();
    assert_eq!((summary.started, answered, summary.skipped), (200, 200, 0));
    assert!(
        summary.shares.iter().all(|share| share.answered > 50),
        "both shares"
    );
    assert_eq!(server.runs(), 200);
}

#[actix_rt::test]
async fn latency_counts_from_the_intended_start() {
    let options = ServerOptions {
        slots: 200,
        ..ServerOptions::default()
    };
    let server = start_server(options).await.expect("start");
    let mut plan = plan(LoadTarget::Direct(server.address()), 100);
    plan.rate = 250.0;
    server.set_faults(ServerFaults {
        freeze: true,
        ..ServerFaults::default()
    });
    let thaw = async {
        actix_rt::time::sleep(Duration::from_millis(300)).await;
        server.set_faults(ServerFaults::default());
    };
    let (summary, ()) = futures_util::future::join(run(plan), thaw).await;
    let latency = &summary.shares[0].latency;
    // Calls arrive over 400 ms; three quarters of them in the stall, evenly spread over it.
    assert!(latency.p50_us > 50_000, "{latency:?}");
    assert!(latency.max_us > 250_000, "{latency:?}");
}

#[actix_rt::test]
async fn calls_beyond_the_limit_are_skipped_and_counted() {
    let server = start_server(ServerOptions::default()).await.expect("start");
    let mut plan = plan(LoadTarget::Direct(server.address()), 50);
    plan.in_flight = 3;
    plan.shares[0].run_ms = Some(1_000);
    let summary = run(plan).await;
    assert_eq!((summary.started, summary.skipped), (50, 47));
    assert_eq!(server.runs(), 3);
}

/// A fault of a server, and the name of the count that its calls end in.
struct FaultCase {
    name: &'static str,
    faults: ServerFaults,
    count: fn(&LoadSummary) -> u64,
}

#[actix_rt::test]
async fn faults_end_in_their_own_counts() {
    let none = ServerFaults::default;
    let cases = [
        FaultCase {
            name: "cut",
            faults: ServerFaults {
                cut_after: Some(20),
                ..none()
            },
            count: |summary| summary.shares[0].cut,
        },
        FaultCase {
            name: "lost",
            faults: ServerFaults {
                lose_answers: 100,
                ..none()
            },
            count: |summary| summary.shares[0].unknown,
        },
        FaultCase {
            name: "failed without a promise",
            faults: ServerFaults {
                fail_fast: Some(500),
                ..none()
            },
            count: |summary| summary.shares[0].unknown,
        },
    ];
    for case in cases {
        let server = start_server(ServerOptions::default()).await.expect("start");
        server.set_faults(case.faults);
        let summary = run(plan(LoadTarget::Direct(server.address()), 10)).await;
        assert_eq!((case.count)(&summary), 10, "{}: {summary:?}", case.name);
    }
}

#[actix_rt::test]
async fn compared_paths_alternate() {
    let server = start_server(ServerOptions::default()).await.expect("start");
    let gate = FixedGate::start(|request| match request {
        "POST" | "keys" => unreachable!("no keys"),
        token => answer(token),
    });
    let gate = gate.await;
    let gates = vec![gate.address];
    let direct = server.address();
    let summary = run(plan(LoadTarget::Compared { gates, direct }, 40)).await;
    let answered = summary.shares.iter().map(|share| share.answered);
    assert_eq!(answered.collect::<Vec<_>>(), [20, 20]);
    assert!(summary.added.is_some());
    assert_eq!(server.runs(), 20);
}

/// A gate whose answers a function gives from the token of a request, or `keys`.
struct FixedGate {
    address: SocketAddr,
    /// Requests to services, and `keys` for each question for a key.
    seen: Arc<Mutex<Vec<String>>>,
}

impl FixedGate {
    async fn start(answer: impl Fn(&str) -> String + Clone + 'static) -> Self {
        Self::start_before(&[], answer).await
    }

    /// A gate that names other addresses after its own.
    async fn start_before(
        others: &[SocketAddr],
        answer: impl Fn(&str) -> String + Clone + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let mut addresses = vec![address.to_string()];
        addresses.extend(others.iter().map(SocketAddr::to_string));
        let entries = format!("{{\"addresses\":{addresses:?},\"ttl_ms\":60000}}");
        let seen = Arc::new(Mutex::new(Vec::new()));
        let requests = Arc::clone(&seen);
        actix_rt::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.expect("accept");
                let serve = serve(
                    stream,
                    entries.clone(),
                    answer.clone(),
                    Arc::clone(&requests),
                );
                actix_rt::spawn(serve);
            }
        });
        Self { address, seen }
    }
}

/// Answers one request on a connection.
async fn serve(
    mut stream: TcpStream,
    entries: String,
    answer: impl Fn(&str) -> String,
    seen: Arc<Mutex<Vec<String>>>,
) {
    let mut bytes = vec![0; 8192];
    let count = stream.read(&mut bytes).await.expect("read");
    let request = String::from_utf8_lossy(&bytes[..count]).into_owned();
    let reply = if request.contains("/v1/entries/") {
        reply("200 OK", "", &entries)
    } else if request.contains("/v1/keys/") {
        seen.lock().expect("lock").push("keys".to_owned());
        answer("keys")
    } else {
        let token = request.split("token=").nth(1).expect("token");
        let token = token.split('&').next().expect("token").to_owned();
        seen.lock().expect("lock").push(request);
        answer(&token)
    };
    stream.write_all(reply.as_bytes()).await.expect("write");
}

/// A whole answer that closes its connection.
fn reply(status: &str, headers: &str, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status}\r\nconnection: close\r\ncontent-type: application/json\r\n{headers}content-length: {length}\r\n\r\n{body}"
    )
}

/// The right answer to a token.
fn answer(token: &str) -> String {
    let body = AnswerBody::new(token, 64).slice(0, 64);
    reply("200 OK", "", std::str::from_utf8(&body).expect("text"))
}

/// A gate's answers, whether calls are keyed, and what becomes of one call.
struct GateCase {
    name: &'static str,
    keyed: bool,
    answer: fn(&str) -> String,
    /// Attempts that the gate sees.
    attempts: usize,
    count: fn(&LoadSummary) -> u64,
}

#[actix_rt::test]
async fn calls_are_sent_again_only_as_the_verdict_allows() {
    let cases = [
        GateCase {
            name: "a promise that it did not run",
            keyed: true,
            answer: |token| match token {
                "keys" => reply("200 OK", "", "{\"key\":\"k1\"}"),
                _ => reply(
                    "503 X",
                    "ggs-verdict: not-run\r\nggs-retry-after-ms: 5\r\n",
                    "",
                ),
            },
            attempts: 4,
            count: |summary| summary.shares[0].not_run,
        },
        GateCase {
            name: "it may have run and must not run twice",
            keyed: true,
            answer: |token| match token {
                "keys" => reply("200 OK", "", "{\"key\":\"k1\"}"),
                _ => reply("504 X", "ggs-verdict: unknown\r\n", ""),
            },
            attempts: 1,
            count: |summary| summary.shares[0].unknown,
        },
        GateCase {
            name: "it may have run, and the gate asks to repeat the key",
            keyed: true,
            answer: |token| match token {
                "keys" => reply("200 OK", "", "{\"key\":\"k1\"}"),
                _ => reply(
                    "504 X",
                    "ggs-verdict: unknown\r\nggs-retry-after-ms: 5\r\n",
                    "",
                ),
            },
            attempts: 4,
            count: |summary| summary.shares[0].unknown,
        },
        GateCase {
            name: "it may have run and may run twice",
            keyed: false,
            answer: |_| reply("504 X", "ggs-verdict: unknown\r\n", ""),
            attempts: 4,
            count: |summary| summary.shares[0].unknown,
        },
        GateCase {
            name: "it ran and failed",
            keyed: false,
            answer: |_| reply("500 X", "ggs-verdict: ran\r\n", ""),
            attempts: 1,
            count: |summary| summary.shares[0].failed,
        },
        GateCase {
            name: "no key is given",
            keyed: true,
            answer: |_| reply("503 X", "", ""),
            attempts: 0,
            count: |summary| summary.shares[0].not_run,
        },
        GateCase {
            name: "another's answer",
            keyed: false,
            answer: |_| answer("another"),
            attempts: 1,
            count: |summary| summary.shares[0].wrong,
        },
        GateCase {
            name: "a part given for the whole",
            keyed: false,
            answer: |token| {
                let body = AnswerBody::new(token, 64).slice(0, 40);
                reply("200 OK", "", std::str::from_utf8(&body).expect("text"))
            },
            attempts: 1,
            count: |summary| summary.shares[0].wrong,
        },
        GateCase {
            name: "a lost connection, and the same key again",
            keyed: true,
            answer: |token| match token {
                "keys" => reply("200 OK", "", "{\"key\":\"k1\"}"),
                _ => String::new(),
            },
            attempts: 4,
            count: |summary| summary.shares[0].unknown,
        },
    ];
    for case in cases {
        let gate = FixedGate::start(case.answer).await;
        let mut plan = plan(LoadTarget::Gates(vec![gate.address]), 1);
        plan.shares[0].keyed = case.keyed;
        let summary = run(plan).await;
        assert_eq!((case.count)(&summary), 1, "{}: {summary:?}", case.name);
        let mut seen = gate.seen.lock().expect("lock");
        seen.retain(|request| request != "keys");
        assert_eq!(seen.len(), case.attempts, "{}", case.name);
        for (retry, request) in seen.iter().enumerate() {
            assert_eq!(request.contains("ggs-key: k1"), case.keyed, "{}", case.name);
            let named = request.contains(&format!("ggs-attempt: {retry}\r\n"));
            assert_eq!(named, retry > 0, "{}: {request}", case.name);
        }
    }
}

/// An address that refuses connections.
async fn dead_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    listener.local_addr().expect("address")
}

#[actix_rt::test]
async fn a_refused_connection_does_not_promise_for_an_earlier_attempt() {
    let dead = dead_address().await;
    let lose = |token: &str| match token {
        "keys" => reply("200 OK", "", "{\"key\":\"k1\"}"),
        _ => String::new(),
    };
    let gate = FixedGate::start_before(&[dead], lose).await;
    let mut plan = plan(LoadTarget::Gates(vec![gate.address]), 1);
    plan.shares[0].keyed = true;
    let summary = run(plan).await;
    assert_eq!(summary.shares[0].unknown, 1, "{summary:?}");
    let seen = gate.seen.lock().expect("lock");
    let keys = seen.iter().filter(|request| *request == "keys").count();
    assert_eq!(keys, 1, "a new key would let the call run twice");
}

#[actix_rt::test]
async fn a_dead_gate_is_passed_over() {
    let gate = FixedGate::start(answer).await;
    let gates = vec![dead_address().await, gate.address];
    let summary = run(plan(LoadTarget::Gates(gates), 20)).await;
    assert_eq!(summary.shares[0].answered, 20, "{summary:?}");
}
