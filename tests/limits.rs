//! Retries and floods over real processes, counted at the servers (issue 4, point 10).

mod support;

use std::time::{Duration, Instant};

use awc::http::Method;
use ggs_model::{ClassLimits, ServiceDocument};
use support::{GateProcess, StandinProcess, accept_document, call};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

/// Gates that a call passes in the deepest chain.
const HOPS: f64 = 24.0;

/// Attempts at the last server for each call that the issue allows.
const MAX_FACTOR: f64 = 1.2;

/// Calls in each half of a run: the first half is answered, the second fails.
const CALLS: u64 = 300;

/// Requests of a flood that are open at once: all that a gate holds, and a quarter more.
const FLOOD: usize = 2_560;

/// Urgent reads of the other partner.
const READS: usize = 200;

/// Deadline of an urgent read.
const URGENT_DEADLINE: Duration = Duration::from_secs(1);

/// Attempts for each call that arrives with these headers, half of the calls failing.
async fn attempt_factor(headers: &[(&str, &str)]) -> f64 {
    let platform = StandinProcess::platform(&[]);
    let servers = StandinProcess::servers(&platform.url(), "roster", 4, &[]);
    accept_document(&platform.url(), ServiceDocument::new("roster", "wagowa")).await;
    let gate = GateProcess::spawn(GateProcess::settings("entry-1", &platform.url()));
    gate.wait_for_service("roster").await;
    let url = gate.url("/s/roster/tare");
    for fails in [false, true] {
        if fails {
            for index in 0..4 {
                let faults = r#"{"fail_fast": 500}"#;
                servers.set_faults(index, faults).await;
            }
        }
        for _ in 0..CALLS {
            let answer = call(Method::GET, &url, headers, "").await.expect("answer");
            assert_eq!(answer.status >= 500, fails, "{}", answer.status);
        }
    }
    servers.calls_taken().await.iter().sum::<u64>() as f64 / (2 * CALLS) as f64
}

#[actix_rt::test]
async fn a_failing_leaf_sees_at_most_the_allowed_attempts_of_a_deep_chain() {
    let outermost = attempt_factor(&[]).await;
    let inner = attempt_factor(&[("ggs-attempt", "0")]).await;
    let retried = attempt_factor(&[("ggs-attempt", "1")]).await;
    // A retry of one hop is not repeated by the hops further in, so retries add.
    let chain = outermost + (HOPS - 1.0) * (inner - 1.0).max(0.0);
    println!("outermost {outermost:.4}, inner {inner:.4}, retried {retried:.4}, chain {chain:.4}");
    assert!(retried <= 1.0, "a call that is being retried: {retried}");
    assert!(chain <= MAX_FACTOR, "{chain} attempts a call");
}

/// A document that lets one service fill a gate.
fn greedy_document(service: &str, partner: &str) -> ServiceDocument {
    let all = u64::try_from(FLOOD).expect("number");
    ServiceDocument {
        in_flight: ClassLimits {
            urgent: all,
            standard: all,
            export: all,
        },
        ..ServiceDocument::new(service, partner)
    }
}

/// Opens a request whose body never comes, so that it holds its place until its deadline.
async fn open_stalled(gate: &GateProcess) -> TcpStream {
    let address = gate.settings.listen_callers;
    let mut stream = TcpStream::connect(address).await.expect("connect");
    let head = "POST /s/roster/credit HTTP/1.1\r\nhost: gate\r\nggs-class: urgent\r\n\
                ggs-deadline-ms: 20000\r\ncontent-length: 4\r\n\r\n";
    stream.write_all(head.as_bytes()).await.expect("write");
    stream
}

/// Whether the gate refused the request because of its partner's share.
fn was_refused(stream: &TcpStream) -> bool {
    let mut bytes = [0_u8; 1_024];
    let length = stream.try_read(&mut bytes).unwrap_or(0);
    String::from_utf8_lossy(&bytes[..length]).contains("partner-limit")
}

#[actix_rt::test]
async fn a_partners_flood_leaves_urgent_reads_of_another_their_room() {
    let platform = StandinProcess::platform(&[]);
    let _calm = StandinProcess::servers(&platform.url(), "lead", 3, &[]);
    let gate = GateProcess::spawn(GateProcess::settings("entry-1", &platform.url()));
    for (service, partner) in [("roster", "wagowa"), ("lead", "harusi")] {
        accept_document(&platform.url(), greedy_document(service, partner)).await;
        gate.wait_for_service(service).await;
    }
    let mut flood = Vec::new();
    for _ in 0..FLOOD {
        flood.push(open_stalled(&gate).await);
    }
    let url = gate.url("/s/lead/couples");
    let mut slowest = Duration::ZERO;
    for _ in 0..READS {
        let start = Instant::now();
        let answer = call(Method::GET, &url, &[("ggs-class", "urgent")], "").await;
        let answer = answer.expect("answer");
        assert_eq!(answer.status, 200, "{:?}", answer.headers);
        slowest = slowest.max(start.elapsed());
    }
    let refused = flood.iter().filter(|stream| was_refused(stream)).count();
    println!("{refused} of {FLOOD} flood requests refused; slowest urgent read {slowest:?}");
    assert!(refused > 0, "the flood did not reach the partner's share");
    assert!(refused < FLOOD, "the flood got no place at all");
    assert!(slowest < URGENT_DEADLINE, "{slowest:?}");
}
