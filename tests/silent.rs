//! Connections that swallow bytes for good while new ones work (issue 4, point 7).

mod support;

use std::io::Write;
use std::time::{Duration, Instant};

use awc::http::Method;
use ggs_model::ServiceDocument;
use support::{GateProcess, READY_LIMIT, StandinProcess, accept_document, call, wait_until};

/// Deadline of the reads, in milliseconds.
const DEADLINE_MS: u64 = 1_000;

/// Time in which a read over a lost connection has to be answered: half its deadline.
const ANSWER_LIMIT: Duration = Duration::from_millis(DEADLINE_MS / 2);

/// Sends a read with a deadline; yields the server that answered and the time it took.
async fn read(gate: &GateProcess, token: &str) -> (String, Duration) {
    let url = gate.url(&format!("/s/roster/tare?token={token}"));
    let deadline = DEADLINE_MS.to_string();
    let headers = [
        ("ggs-class", "urgent"),
        ("ggs-deadline-ms", deadline.as_str()),
    ];
    let start = Instant::now();
    let answer = call(Method::GET, &url, &headers, "")
        .await
        .expect("whole answer");
    let elapsed = start.elapsed();
    assert_eq!(answer.status, 200, "{token}: {:?}", answer.headers);
    assert!(answer.body.starts_with(token.as_bytes()), "{token}");
    (
        answer.header("ggs-server").expect("server").to_owned(),
        elapsed,
    )
}

/// Starts a platform, three servers and a gate that keeps connections to them.
async fn start_warm() -> (StandinProcess, StandinProcess, GateProcess) {
    let platform = StandinProcess::platform(&[]);
    let servers = StandinProcess::servers(&platform.url(), "roster", 3, &[]);
    accept_document(&platform.url(), ServiceDocument::new("roster", "wagowa")).await;
    let gate = GateProcess::spawn(GateProcess::settings("entry-1", &platform.url()));
    gate.wait_for_service("roster").await;
    for number in 0..60 {
        read(&gate, &format!("warm{number}")).await;
    }
    (platform, servers, gate)
}

#[actix_rt::test]
async fn reads_pass_lost_connections_and_writes_run_once() {
    let (_platform, servers, gate) = start_warm().await;
    for index in 0..3 {
        servers
            .set_faults(index, r#"{"silence_connections": true}"#)
            .await;
    }
    for number in 0..6 {
        let (_, elapsed) = read(&gate, &format!("lost{number}")).await;
        assert!(elapsed < ANSWER_LIMIT, "read {number} took {elapsed:?}");
    }
    for index in 0..3 {
        servers
            .set_faults(index, r#"{"silence_connections": true}"#)
            .await;
    }
    for number in 0..6 {
        let url = gate.url(&format!("/s/roster/credit?token=credit{number}"));
        let answer = call(Method::POST, &url, &[], "basket")
            .await
            .expect("answer");
        assert_eq!(answer.status, 200);
    }
    let runs = servers.runs().await;
    for number in 0..6 {
        assert_eq!(runs[&format!("credit{number}")], 1, "credit{number}");
    }
}

/// The value of a metric without labels.
async fn metric(gate: &GateProcess, name: &str) -> u64 {
    let answer = call(Method::GET, &gate.url("/metrics"), &[], "").await;
    let text = String::from_utf8(answer.expect("metrics").body).expect("text");
    let line = text
        .lines()
        .find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    line.expect("metric").parse().expect("number")
}

#[actix_rt::test]
async fn a_caller_that_stops_reading_gives_its_place_back() {
    let platform = StandinProcess::platform(&[]);
    let _servers = StandinProcess::servers(&platform.url(), "roster", 1, &[]);
    accept_document(&platform.url(), ServiceDocument::new("roster", "wagowa")).await;
    let mut settings = GateProcess::settings("entry-1", &platform.url());
    settings.caller_stall_ms = 500;
    let gate = GateProcess::spawn(settings);
    gate.wait_for_service("roster").await;
    let mut caller = std::net::TcpStream::connect(gate.settings.listen_callers).expect("connect");
    let head =
        "GET /s/roster/season?bytes=60000000 HTTP/1.1\r\nhost: gate\r\nggs-class: export\r\n\r\n";
    caller.write_all(head.as_bytes()).expect("write");
    wait_until("the export runs", READY_LIMIT, || async {
        metric(&gate, "ggs_requests_in_flight").await == 1
    })
    .await;
    wait_until("the export is given up", READY_LIMIT, || async {
        metric(&gate, "ggs_requests_in_flight").await == 0
    })
    .await;
}

#[actix_rt::test]
async fn a_server_is_not_blamed_for_its_path() {
    let (_platform, servers, gate) = start_warm().await;
    servers
        .set_faults(0, r#"{"silence_connections": true}"#)
        .await;
    let lost = servers.addresses[0].0.to_string();
    let mut answered = 0;
    for number in 0..90 {
        let (server, _) = read(&gate, &format!("after{number}")).await;
        answered += u32::from(server == lost);
    }
    // A third of 90 reads is its fair share; a blamed server would get almost none.
    assert!(answered >= 15, "server got {answered} of 90 reads");
}
