//! The stand-in server's contract and faults.

use std::time::Duration;

use awc::Client;
use awc::http::StatusCode;
use futures_util::future::join_all;
use ggs_model::{HeaderNames, LoadReport, ServerState};
use ggs_standin::{
    AnswerBody, PlatformOptions, ServerFaults, ServerHandle, ServerOptions, start_platform,
    start_server,
};
use ggs_store::{HostList, HttpPlatform};

async fn start(options: ServerOptions) -> ServerHandle {
    start_server(options).await.expect("start")
}

fn client() -> Client {
    Client::builder().timeout(Duration::from_secs(5)).finish()
}

fn url(server: &ServerHandle, rest: &str) -> String {
    format!("http://{}{rest}", server.address())
}

/// An answer's status, refusal and body.
#[derive(Debug, PartialEq)]
struct SeenAnswer {
    status: u16,
    refused: Option<String>,
    whole: bool,
}

async fn call(server: &ServerHandle, rest: &str, deadline: Option<u64>) -> Option<SeenAnswer> {
    let mut request = client().post(url(server, rest));
    if let Some(deadline) = deadline {
        request = request.insert_header((HeaderNames::DEADLINE, deadline.to_string()));
    }
    let mut answer = request.send().await.ok()?;
    let refused = answer.headers().get(HeaderNames::REFUSED);
    let refused = refused.map(|refused| refused.to_str().expect("text").to_owned());
    let status = answer.status().as_u16();
    let length = answer.headers().get("content-length").expect("length");
    let length: usize = length.to_str().expect("text").parse().expect("number");
    // A cut body ends without an error in awc, so only its length tells.
    let body = answer.body().limit(8 << 20).await;
    let whole = body.is_ok_and(|body| body.len() == length);
    Some(SeenAnswer {
        status,
        refused,
        whole,
    })
}

fn refused(reason: &str) -> SeenAnswer {
    SeenAnswer {
        status: 503,
        refused: Some(reason.to_owned()),
        whole: true,
    }
}

#[actix_rt::test]
async fn answers_are_whole_and_the_callers_own() {
    let server = start(ServerOptions::default()).await;
    for rest in ["", "&chunked=1", "&pace_ms=1", "&chunked=1&pace_ms=1"] {
        for bytes in [16, 64, 20_000, 200_000] {
            let rest = format!("/x?ms=0&token=t%201&bytes={bytes}{rest}");
            let mut answer = client()
                .get(url(&server, &rest))
                .send()
                .await
                .expect("answer");
            let body = answer.body().limit(1 << 20).await.expect("body");
            let expected = AnswerBody::new("t 1", bytes);
            assert_eq!(body.len() as u64, expected.length(), "{rest}");
            assert!(expected.matches_at(0, &body), "{rest}");
        }
    }
    assert_eq!(server.runs_of("t 1"), 16);
}

#[actix_rt::test]
async fn slots_bound_what_runs_and_the_queue_bounds_what_waits() {
    let options = ServerOptions {
        slots: 3,
        queue_limit: 2,
        ..ServerOptions::default()
    };
    let server = start(options).await;
    let calls = (0..7).map(|_| call(&server, "/x?ms=60", None));
    let answers = join_all(calls).await;
    let shed = answers
        .iter()
        .filter(|answer| **answer == Some(refused("shed")))
        .count();
    let done = answers
        .iter()
        .flatten()
        .filter(|answer| answer.status == 200)
        .count();
    assert_eq!((done, shed), (5, 2));
    assert_eq!(server.runs(), 5, "a shed request does not run");
    assert_eq!(
        server.load(),
        LoadReport {
            in_flight: 0,
            queued: 0,
            slots: 3
        }
    );
}

#[actix_rt::test]
async fn requests_past_their_deadline_do_not_run() {
    let options = ServerOptions {
        slots: 1,
        ..ServerOptions::default()
    };
    let server = start(options).await;
    let long = call(&server, "/x?ms=150&token=long", None);
    let late = async {
        actix_rt::time::sleep(Duration::from_millis(30)).await;
        call(&server, "/x?token=late", Some(20)).await
    };
    let (long, late) = futures_util::future::join(long, late).await;
    assert_eq!(long.expect("answer").status, 200);
    assert_eq!(late, Some(refused("deadline")));
    let expired = call(&server, "/x?token=late", Some(0)).await;
    assert_eq!(expired, Some(refused("deadline")));
    assert_eq!(server.runs_of("late"), 0);
}

#[actix_rt::test]
async fn dropped_requests_leave_the_queue_and_their_slot() {
    let options = ServerOptions {
        slots: 1,
        ..ServerOptions::default()
    };
    let server = start(options).await;
    let calls = ["running", "queued"].map(|token| {
        let client = client();
        let url = url(&server, &format!("/x?ms=5000&token={token}"));
        actix_rt::spawn(async move { client.get(url).send().await.map(drop) })
    });
    actix_rt::time::sleep(Duration::from_millis(60)).await;
    assert_eq!(
        server.load(),
        LoadReport {
            in_flight: 1,
            queued: 1,
            slots: 1
        }
    );
    for call in &calls {
        call.abort();
    }
    actix_rt::time::sleep(Duration::from_millis(60)).await;
    assert_eq!(
        server.load(),
        LoadReport {
            in_flight: 0,
            queued: 0,
            slots: 1
        }
    );
    assert_eq!(server.probes().cancelled, 2);
    assert_eq!(server.runs(), 1, "the queued request did not run");
}

#[actix_rt::test]
async fn draining_server_refuses_new_work_and_ends_the_old() {
    let platform = start_platform(PlatformOptions {
        hosts_lag: Duration::from_millis(150),
        ..PlatformOptions::default()
    });
    let platform = platform.await.expect("start");
    let options = ServerOptions {
        register: Some(platform.url()),
        ..ServerOptions::default()
    };
    let server = start(options).await;
    let list = HttpPlatform::builder(&platform.url()).build();
    assert_eq!(list.servers().await, Ok(vec![]), "the list lags");
    actix_rt::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(list.servers().await, Ok(vec![server.entry()]));
    let old = call(&server, "/x?ms=100", None);
    let drained = async {
        actix_rt::time::sleep(Duration::from_millis(30)).await;
        let drain = format!("http://{}/admin/drain", server.admin_address());
        client().post(drain).send().await.expect("drain");
        server.register().await.expect("register");
        call(&server, "/x?token=new", None).await
    };
    let (old, new) = futures_util::future::join(old, drained).await;
    assert_eq!(old.expect("answer").status, 200);
    assert_eq!(new, Some(refused("draining")));
    assert_eq!(server.runs_of("new"), 0);
    let answer = client()
        .get(url(&server, "/health"))
        .send()
        .await
        .expect("answer");
    assert!(answer.headers().contains_key(HeaderNames::LEAVING));
    assert_eq!(answer.status(), StatusCode::SERVICE_UNAVAILABLE);
    let shown = list.servers().await.expect("list");
    assert_eq!(shown[0].state, ServerState::Live, "the list lags");
    actix_rt::time::sleep(Duration::from_millis(200)).await;
    let shown = list.servers().await.expect("list");
    assert_eq!(shown[0].state, ServerState::Leaving);
}

#[actix_rt::test]
async fn cold_server_is_slow_and_takes_no_queue() {
    let cold = Duration::from_millis(400);
    let options = ServerOptions {
        cold,
        slots: 1,
        ..ServerOptions::default()
    };
    let server = start(options).await;
    let calls = [
        call(&server, "/x?ms=20", None),
        call(&server, "/x?ms=20", None),
    ];
    let start = std::time::Instant::now();
    let answers = join_all(calls).await;
    assert!(
        start.elapsed() >= Duration::from_millis(100),
        "five times as long"
    );
    assert!(answers.contains(&Some(refused("cold"))), "{answers:?}");
    actix_rt::time::sleep(cold).await;
    let calls = [
        call(&server, "/x?ms=20", None),
        call(&server, "/x?ms=20", None),
    ];
    let answers = join_all(calls).await;
    assert!(
        answers.iter().flatten().all(|answer| answer.status == 200),
        "{answers:?}"
    );
}

/// A fault, what a call under it sees and how often it ran.
struct FaultCase {
    name: &'static str,
    faults: ServerFaults,
    seen: Option<SeenAnswer>,
    runs: u64,
}

#[actix_rt::test]
async fn faults_show_as_named() {
    let none = ServerFaults::default;
    let answer = |status, whole| {
        Some(SeenAnswer {
            status,
            refused: None,
            whole,
        })
    };
    let cases = [
        FaultCase {
            name: "none",
            faults: none(),
            seen: answer(200, true),
            runs: 1,
        },
        FaultCase {
            name: "fail fast with 500",
            faults: ServerFaults {
                fail_fast: Some(500),
                ..none()
            },
            seen: answer(500, true),
            runs: 0,
        },
        FaultCase {
            name: "fail fast with 503 but without the promise that it did not run",
            faults: ServerFaults {
                fail_fast: Some(503),
                ..none()
            },
            seen: answer(503, true),
            runs: 0,
        },
        FaultCase {
            name: "body cut short",
            faults: ServerFaults {
                cut_after: Some(30_000),
                ..none()
            },
            seen: answer(200, false),
            runs: 1,
        },
        FaultCase {
            name: "answer lost after the run",
            faults: ServerFaults {
                lose_answers: 1,
                ..none()
            },
            seen: None,
            runs: 1,
        },
    ];
    for case in cases {
        let server = start(ServerOptions::default()).await;
        server.set_faults(case.faults);
        let seen = call(&server, "/x?token=t&bytes=50000", None).await;
        assert_eq!(seen, case.seen, "{}", case.name);
        assert_eq!(server.runs_of("t"), case.runs, "{}", case.name);
        let mut answer = client()
            .get(url(&server, "/health"))
            .send()
            .await
            .expect("answer");
        assert_eq!(
            answer.status(),
            StatusCode::OK,
            "{}: looks healthy",
            case.name
        );
        answer.body().await.expect("body");
    }
}

#[actix_rt::test]
async fn silent_connections_stay_silent_while_new_ones_work() {
    let server = start(ServerOptions::default()).await;
    let kept = client();
    kept.get(url(&server, "/x"))
        .send()
        .await
        .expect("answer")
        .body()
        .await
        .expect("body");
    let faults = ServerFaults {
        silence_connections: true,
        ..ServerFaults::default()
    };
    server.set_faults(faults);
    server.set_faults(ServerFaults::default());
    let request = kept
        .get(url(&server, "/x"))
        .timeout(Duration::from_millis(150));
    assert!(
        request.send().await.is_err(),
        "kept connection is silent for good"
    );
    let answer = call(&server, "/x", None).await;
    assert_eq!(answer.expect("answer").status, 200);
    assert_eq!(server.runs(), 2);
}

#[actix_rt::test]
async fn frozen_server_goes_on_when_thawed() {
    let server = start(ServerOptions::default()).await;
    server.set_faults(ServerFaults {
        freeze: true,
        ..ServerFaults::default()
    });
    let frozen = call(&server, "/x", None);
    let thaw = async {
        actix_rt::time::sleep(Duration::from_millis(100)).await;
        assert_eq!(server.runs(), 0);
        server.set_faults(ServerFaults::default());
    };
    let (answer, ()) = futures_util::future::join(frozen, thaw).await;
    assert_eq!(answer.expect("answer").status, 200);
}

#[actix_rt::test]
async fn answers_name_the_attempt_that_they_answer() {
    let server = start(ServerOptions::default()).await;
    for path in ["/x", "/load", "/health"] {
        let request = client().get(url(&server, path));
        let request = request.insert_header((HeaderNames::REQUEST_ID, "77"));
        let answer = request.send().await.expect("answer");
        let attempt = answer.headers().get(HeaderNames::REQUEST_ID);
        assert_eq!(attempt.expect("attempt"), "77", "{path}");
    }
}

/// Time until a server that a request has ended starts again, in milliseconds.
const RESTART_MS: u64 = 200;

#[actix_rt::test]
async fn a_server_that_goes_down_ends_its_work_and_starts_again_as_another_incarnation() {
    let server = start(ServerOptions::default()).await;
    let first = server.entry().server;
    let running = call(&server, "/x?ms=2000&token=running", None);
    let down = async {
        actix_rt::time::sleep(Duration::from_millis(50)).await;
        server.set_faults(ServerFaults {
            down: true,
            ..ServerFaults::default()
        });
    };
    let (running, ()) = futures_util::future::join(running, down).await;
    assert_eq!(running, None);
    assert_eq!(call(&server, "/x", None).await, None);
    server.set_faults(ServerFaults::default());
    actix_rt::time::sleep(Duration::from_millis(100)).await;
    let answer = call(&server, "/x?token=after", None).await;
    assert_eq!(answer.expect("answer").status, 200);
    let second = server.entry().server;
    assert_eq!(second.address, first.address);
    assert_ne!(second.incarnation, first.incarnation);
}

#[actix_rt::test]
async fn a_request_ends_its_server_each_time_it_runs() {
    let server = start(ServerOptions::default()).await;
    server.set_faults(ServerFaults {
        crash_path: Some("/crash".to_owned()),
        restart_ms: RESTART_MS,
        ..ServerFaults::default()
    });
    for crashes in 1..=3 {
        let first = server.entry().server.incarnation;
        assert_eq!(call(&server, "/crash?token=crash", None).await, None);
        assert_eq!(server.runs_of("crash"), crashes);
        assert_eq!(call(&server, "/x", None).await, None, "is not back yet");
        actix_rt::time::sleep(Duration::from_millis(2 * RESTART_MS)).await;
        let answer = call(&server, "/x", None).await;
        assert_eq!(answer.expect("answer").status, 200);
        assert_ne!(server.entry().server.incarnation, first);
    }
}

async fn report_of(server: &ServerHandle) -> String {
    let answer = client()
        .get(url(server, "/health"))
        .send()
        .await
        .expect("answer");
    let report = answer.headers().get(HeaderNames::LOAD).expect("report");
    report.to_str().expect("text").to_owned()
}

#[actix_rt::test]
async fn reports_are_true_lag_or_lie() {
    let server = start(ServerOptions::default()).await;
    let busy = actix_rt::spawn({
        let client = client();
        let url = url(&server, "/x?ms=2000");
        async move { client.get(url).send().await.map(drop) }
    });
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(report_of(&server).await, "in-flight=1;queued=0;slots=3");
    server.set_faults(ServerFaults {
        report_lag_ms: 200,
        ..ServerFaults::default()
    });
    assert_eq!(report_of(&server).await, "in-flight=0;queued=0;slots=3");
    actix_rt::time::sleep(Duration::from_millis(250)).await;
    assert_eq!(report_of(&server).await, "in-flight=1;queued=0;slots=3");
    let lie = "in-flight=0;queued=0;slots=9".to_owned();
    server.set_faults(ServerFaults {
        report: Some(lie.clone()),
        ..ServerFaults::default()
    });
    assert_eq!(report_of(&server).await, lie);
    busy.abort();
}

#[actix_rt::test]
async fn measuring_is_counted() {
    let server = start(ServerOptions::default()).await;
    for path in ["/load", "/load", "/health", "/x"] {
        let mut answer = client()
            .get(url(&server, path))
            .send()
            .await
            .expect("answer");
        answer.body().await.expect("body");
    }
    let unused = tokio::net::TcpStream::connect(server.address())
        .await
        .expect("connect");
    drop(unused);
    actix_rt::time::sleep(Duration::from_millis(50)).await;
    let probes = server.probes();
    let counts = (
        probes.load.len(),
        probes.health.len(),
        probes.unused_connections.len(),
    );
    assert_eq!(counts, (2, 1, 1));
    assert_eq!((probes.calls, probes.connections), (1, 5));
    let shown = format!("http://{}/admin/probes", server.admin_address());
    let mut answer = client().get(shown).send().await.expect("answer");
    assert_eq!(
        answer
            .json::<ggs_standin::ProbeRecord>()
            .await
            .expect("json"),
        probes
    );
}
