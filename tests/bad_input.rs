//! Bad input on any port of a gate gets a clear error, runs nothing and leaves the gate at work.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use ggs_model::ServiceDocument;
use ggs_standin::{
    PlatformHandle, PlatformOptions, ServerHandle, ServerOptions, start_platform, start_server,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use support::{GateProcess, READY_LIMIT, accept_document, call, wait_until};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Longest time in which bad input must be answered or its connection closed.
const ANSWER_LIMIT: Duration = Duration::from_secs(7);

/// Connections with random bytes.
const RANDOM_CONNECTIONS: u64 = 150;

/// A gate process with a platform and a server inside the test's process.
struct BadInputScene {
    _platform: PlatformHandle,
    server: ServerHandle,
    gate: GateProcess,
}

impl BadInputScene {
    async fn start() -> Self {
        let platform = start_platform(PlatformOptions::default())
            .await
            .expect("start");
        let options = ServerOptions {
            register: Some(platform.url()),
            ..ServerOptions::default()
        };
        let server = start_server(options).await.expect("start");
        accept_document(&platform.url(), ServiceDocument::new("roster", "wagowa")).await;
        let gate = GateProcess::spawn(GateProcess::settings("gate-0", &platform.url()));
        gate.wait_for_service("roster").await;
        let scene = Self {
            _platform: platform,
            server,
            gate,
        };
        wait_until("a server is known", READY_LIMIT, || scene.is_at_work()).await;
        scene
    }

    fn callers(&self) -> SocketAddr {
        self.gate.settings.listen_callers
    }

    /// Whether the gate answers a good request.
    async fn is_at_work(&self) -> bool {
        let url = self.gate.url("/s/roster/x?token=good");
        let answer = call(awc::http::Method::GET, &url, &[], "").await;
        answer.is_ok_and(|answer| answer.status == 200)
    }
}

/// What came back over a raw connection.
#[derive(Clone, Debug, PartialEq, Eq)]
enum RawEnd {
    /// The start of an answer.
    Answered(String),
    /// The connection was closed without an answer.
    Closed,
    /// Neither, in time.
    Open,
}

/// Sends bytes, closes the sending side if asked, and reads the head of the answer.
async fn send_raw(address: SocketAddr, bytes: &[u8], close: bool) -> RawEnd {
    let mut stream = TcpStream::connect(address).await.expect("connect");
    // The gate may close before all is written.
    let _ = stream.write_all(bytes).await;
    if close {
        let _ = stream.shutdown().await;
    }
    let mut answer = Vec::new();
    let read = async {
        while !answer.windows(4).any(|window| window == b"\r\n\r\n") {
            match stream.read_buf(&mut answer).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
    };
    let ended = actix_rt::time::timeout(ANSWER_LIMIT, read).await;
    match (ended, answer.is_empty()) {
        (_, false) => RawEnd::Answered(String::from_utf8_lossy(&answer).into_owned()),
        (Ok(()), true) => RawEnd::Closed,
        (Err(_), true) => RawEnd::Open,
    }
}

/// Whether a connection is closed after these bytes, whatever comes back before.
async fn is_closed(address: SocketAddr, bytes: &[u8]) -> bool {
    let mut stream = TcpStream::connect(address).await.expect("connect");
    stream.write_all(bytes).await.expect("write");
    let mut answer = Vec::new();
    let ended = stream.read_to_end(&mut answer);
    actix_rt::time::timeout(ANSWER_LIMIT, ended).await.is_ok()
}

/// Bytes from a caller and the answer to them.
struct BadRequest {
    name: &'static str,
    bytes: String,
    /// Whether the caller closes its side.
    close: bool,
    status: u16,
    /// Reason in the `ggs-reason` header, for requests that reach the gate's own checks.
    reason: Option<&'static str>,
}

/// A bad request that the protocol itself forbids.
fn malformed(name: &'static str, bytes: impl Into<String>) -> BadRequest {
    BadRequest {
        name,
        bytes: bytes.into(),
        close: false,
        status: 400,
        reason: None,
    }
}

/// A well-formed request that the gate refuses.
fn refused(name: &'static str, head: &str, status: u16, reason: &'static str) -> BadRequest {
    BadRequest {
        name,
        bytes: format!("{head}\r\nhost: x\r\n\r\n"),
        close: false,
        status,
        reason: Some(reason),
    }
}

fn malformed_requests() -> Vec<BadRequest> {
    let get = "GET /s/roster/x HTTP/1.1\r\nhost: x\r\n";
    let post = "POST /s/roster/x HTTP/1.1\r\nhost: x\r\nggs-deadline-ms: 300\r\n";
    vec![
        malformed("not HTTP", "\x16\x03\x01\x02\x00\x01garbage\r\n\r\n"),
        malformed("no version", "GET /s/roster/x\r\n\r\n"),
        malformed(
            "a NUL in the path",
            "GET /s/roster/\0 HTTP/1.1\r\nhost: x\r\n\r\n",
        ),
        malformed(
            "a header without a colon",
            format!("{get}no colon here\r\n\r\n"),
        ),
        malformed(
            "a length that is not a number",
            format!("{post}content-length: ten\r\n\r\n"),
        ),
        malformed(
            "a negative length",
            format!("{post}content-length: -1\r\n\r\n"),
        ),
        malformed(
            "two lengths",
            format!("{post}content-length: 1\r\ncontent-length: 2\r\n\r\nab"),
        ),
        malformed(
            "an unknown coding",
            format!("{post}transfer-encoding: zip\r\n\r\n"),
        ),
    ]
}

fn refused_requests() -> Vec<BadRequest> {
    vec![
        refused("unknown path", "GET /nowhere HTTP/1.1", 404, "unknown-path"),
        refused(
            "unknown service",
            "GET /s/nowhere/x HTTP/1.1",
            404,
            "unknown-service",
        ),
        refused(
            "unknown service's key",
            "POST /v1/keys/nowhere HTTP/1.1",
            404,
            "unknown-service",
        ),
        refused(
            "wrong method",
            "DELETE /v1/entries/roster HTTP/1.1",
            405,
            "bad-method",
        ),
        refused(
            "deadline that is not a number",
            "GET /s/roster/x HTTP/1.1\r\nggs-deadline-ms: soon",
            400,
            "bad-deadline",
        ),
        refused(
            "deadline of nothing",
            "GET /s/roster/x HTTP/1.1\r\nggs-deadline-ms: 0",
            400,
            "bad-deadline",
        ),
        refused(
            "deadline beyond any number",
            "GET /s/roster/x HTTP/1.1\r\nggs-deadline-ms: 99999999999999999999999",
            400,
            "bad-deadline",
        ),
        refused(
            "unknown class",
            "GET /s/roster/x HTTP/1.1\r\nggs-class: at-once",
            400,
            "bad-class",
        ),
        refused(
            "attempt that is not a number",
            "GET /s/roster/x HTTP/1.1\r\nggs-attempt: again",
            400,
            "bad-attempt",
        ),
        refused(
            "key that no gate issued",
            "POST /s/roster/x HTTP/1.1\r\nggs-key: mine",
            400,
            "bad-key",
        ),
    ]
}

fn bad_bodies() -> Vec<BadRequest> {
    let post = "POST /s/roster/x HTTP/1.1\r\nhost: x\r\nggs-deadline-ms: 300\r\n";
    vec![
        BadRequest {
            name: "body shorter than its length, and the caller closes",
            bytes: format!("{post}content-length: 10\r\n\r\nabc"),
            close: true,
            status: 400,
            reason: Some("body-incomplete"),
        },
        BadRequest {
            name: "body shorter than its length, and the caller waits",
            bytes: format!("{post}content-length: 10\r\n\r\nabc"),
            close: false,
            status: 400,
            reason: Some("body-incomplete"),
        },
        BadRequest {
            name: "chunks that are not chunks",
            bytes: format!("{post}transfer-encoding: chunked\r\n\r\nzz\r\nabc\r\n"),
            close: false,
            status: 400,
            reason: Some("body-incomplete"),
        },
        BadRequest {
            name: "body beyond the limit",
            bytes: format!(
                "{post}content-length: 1500000\r\n\r\n{}",
                "a".repeat(1_500_000)
            ),
            close: false,
            status: 413,
            reason: Some("body-too-long"),
        },
    ]
}

#[actix_rt::test]
async fn bad_requests_get_clear_errors_and_run_nothing() {
    let scene = BadInputScene::start().await;
    let runs = scene.server.runs();
    let malformed = malformed_requests().into_iter();
    for case in malformed.chain(refused_requests()).chain(bad_bodies()) {
        let end = send_raw(scene.callers(), case.bytes.as_bytes(), case.close).await;
        let RawEnd::Answered(answer) = end else {
            panic!("{}: {end:?}", case.name);
        };
        let status = format!("HTTP/1.1 {} ", case.status);
        assert!(answer.starts_with(&status), "{}: {answer}", case.name);
        let Some(reason) = case.reason else {
            continue;
        };
        let reason = format!("ggs-reason: {reason}\r\n");
        assert!(answer.contains(&reason), "{}: {answer}", case.name);
        let verdict = answer.contains("ggs-verdict: not-run\r\n");
        assert!(verdict, "{}: {answer}", case.name);
    }
    assert_eq!(scene.server.runs(), runs, "a bad request ran");
    assert!(scene.is_at_work().await);
}

#[actix_rt::test]
async fn oversized_headers_are_refused() {
    let scene = BadInputScene::start().await;
    let get = "GET /s/roster/x HTTP/1.1\r\nhost: x\r\n";
    let many = "x-many: y\r\n".repeat(5_000);
    let cases = [
        (
            "one long header",
            format!("{get}x: {}\r\n\r\n", "a".repeat(300_000)),
        ),
        ("many headers", format!("{get}{many}\r\n")),
        (
            "a long path",
            format!("GET /s/roster/{} HTTP/1.1\r\n\r\n", "a".repeat(300_000)),
        ),
    ];
    let runs = scene.server.runs();
    for (name, bytes) in cases {
        let end = send_raw(scene.callers(), bytes.as_bytes(), false).await;
        // The answer may be lost when the gate closes before it has read all bytes.
        match end {
            RawEnd::Answered(answer) => {
                assert!(answer.starts_with("HTTP/1.1 4"), "{name}: {answer}");
            }
            RawEnd::Closed => {}
            RawEnd::Open => panic!("{name}: neither answered nor closed"),
        }
    }
    assert_eq!(scene.server.runs(), runs);
    assert!(scene.is_at_work().await);
}

#[actix_rt::test]
async fn random_bytes_on_any_port_leave_the_gate_at_work() {
    let mut scene = BadInputScene::start().await;
    let ports = [scene.callers(), scene.gate.settings.listen_peers];
    let good = b"GET /s/roster/x?token=t HTTP/1.1\r\nhost: x\r\nggs-deadline-ms: 300\r\n\r\n";
    let mut random = StdRng::seed_from_u64(7);
    let mut kept = Vec::new();
    for port in ports {
        for number in 0..RANDOM_CONNECTIONS {
            let mut bytes: Vec<u8> = if number % 2 == 0 {
                (0..random.random_range(1..2_000))
                    .map(|_| random.random())
                    .collect()
            } else {
                good.to_vec()
            };
            let count = random.random_range(1..10);
            for _ in 0..count {
                let at = random.random_range(0..bytes.len());
                bytes[at] = random.random();
            }
            let mut stream = TcpStream::connect(port).await.expect("connect");
            // The gate may close before all is written.
            let _ = stream.write_all(&bytes).await;
            if number % 3 == 0 {
                kept.push(stream);
            }
        }
    }
    // A frame on the peers' port that claims four gigabytes.
    assert!(
        is_closed(ports[1], &[0xff; 4]).await,
        "a frame beyond the limit"
    );
    assert!(scene.is_at_work().await);
    let ended = scene.gate.child.wait(Duration::ZERO).await;
    assert!(ended.is_none(), "gate ended: {ended:?}");
    let log = std::fs::read_to_string(&scene.gate.log).expect("log");
    assert!(!log.contains("panicked"), "{log}");
    drop(kept);
}

#[actix_rt::test]
async fn altered_frames_of_a_peer_leave_the_gate_at_work() {
    let mut scene = BadInputScene::start().await;
    let port = scene.gate.settings.listen_peers;
    let mut stream = TcpStream::connect(port).await.expect("connect");
    let mut hello = vec![0; 1_000];
    let count = stream
        .read(&mut hello)
        .await
        .expect("the gate's own first frame");
    hello.truncate(count);
    let mut random = StdRng::seed_from_u64(8);
    let mut kept = Vec::new();
    for _ in 0..RANDOM_CONNECTIONS {
        let mut frame = hello.clone();
        for _ in 0..random.random_range(1..6) {
            let at = random.random_range(0..frame.len());
            frame[at] = random.random();
        }
        let mut stream = TcpStream::connect(port).await.expect("connect");
        // The gate may close before all is written.
        let _ = stream.write_all(&frame).await;
        let _ = stream.write_all(&hello).await;
        kept.push(stream);
    }
    assert!(scene.is_at_work().await);
    let ended = scene.gate.child.wait(Duration::ZERO).await;
    assert!(ended.is_none(), "gate ended: {ended:?}");
    let log = std::fs::read_to_string(&scene.gate.log).expect("log");
    assert!(!log.contains("panicked"), "{log}");
}
