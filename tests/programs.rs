//! The stand-in, load and demonstration programs as processes.

mod support;

use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use awc::http::Method;
use rustix::process::Signal;
use support::{StandinProcess, call};

/// A program, its command line and its exit code.
struct ExitCase {
    program: &'static str,
    arguments: &'static [&'static str],
    code: i32,
}

#[test]
fn exit_codes_follow_the_manuals() {
    let standin = env!("CARGO_BIN_EXE_ggs-standin");
    let load = env!("CARGO_BIN_EXE_ggs-load");
    let demo = env!("CARGO_BIN_EXE_ggs-demo");
    let case = |program, arguments, code| ExitCase {
        program,
        arguments,
        code,
    };
    let cases = [
        case(standin, &["--help"], 0),
        case(standin, &["--version"], 0),
        case(standin, &[], 2),
        case(standin, &["router"], 2),
        case(standin, &["server", "--slots", "three"], 2),
        case(standin, &["server", "--colour", "red"], 2),
        case(standin, &["server", "--listen", "192.0.2.1:80"], 1),
        case(load, &["--help"], 0),
        case(load, &["--version"], 0),
        case(load, &[], 2),
        case(load, &["--gate", "here"], 2),
        case(load, &["--direct", "127.0.0.1:1", "--rate", "-3"], 2),
        case(
            load,
            &["--direct", "127.0.0.1:1", "--traffic", "roster/soon"],
            2,
        ),
        case(
            load,
            &["--gate", "127.0.0.1:1", "--direct", "127.0.0.1:1"],
            2,
        ),
        case(load, &["--gate", "127.0.0.1:1", "--seconds", "1"], 1),
        case(demo, &["--version"], 0),
        case(demo, &["--seconds", "soon"], 2),
    ];
    for case in cases {
        let mut command = Command::new(case.program);
        command
            .args(case.arguments)
            .stdout(Stdio::null())
            .stderr(Stdio::null());
        let status = command.status().expect("run");
        let ExitCase {
            program, arguments, ..
        } = case;
        assert_eq!(status.code(), Some(case.code), "{program} {arguments:?}");
    }
}

#[test]
fn demonstration_ends_with_all_checks_held() {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ggs-demo"));
    let output = command.args(["--seconds", "3"]).output().expect("run");
    let text = String::from_utf8_lossy(&output.stdout);
    assert_eq!(output.status.code(), Some(0), "{text}");
    for part in [
        "Latency and verdicts",
        "Measuring, in probes",
        "ran twice: 0",
    ] {
        assert!(text.contains(part), "\"{part}\" is missing: {text}");
    }
}

#[actix_rt::test]
async fn terminated_server_ends_the_work_that_it_has() {
    let mut server = StandinProcess::spawn(&["server"], 1);
    let url = format!("{}/x?ms=400", server.url());
    let running = actix_rt::spawn(async move { call(Method::POST, &url, &[], "body").await });
    actix_rt::time::sleep(Duration::from_millis(100)).await;
    let start = Instant::now();
    server.child.signal(Signal::TERM);
    let answer = running.await.expect("join").expect("whole answer");
    assert_eq!((answer.status, answer.body.len()), (200, 64));
    let status = server.child.wait(Duration::from_secs(5)).await;
    assert_eq!(status.and_then(|status| status.code()), Some(0));
    assert!(start.elapsed() >= Duration::from_millis(200));
}
