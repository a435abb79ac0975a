//! The stand-in program as a process.

mod support;

use std::process::{Command, Stdio};
use std::time::{Duration, Instant};

use awc::http::Method;
use rustix::process::Signal;
use support::{StandinProcess, call};

/// A command line and its exit code.
struct ExitCase {
    arguments: &'static [&'static str],
    code: i32,
}

#[test]
fn standin_exit_codes_follow_its_manual() {
    let cases = [
        ExitCase {
            arguments: &["--help"],
            code: 0,
        },
        ExitCase {
            arguments: &["--version"],
            code: 0,
        },
        ExitCase {
            arguments: &[],
            code: 2,
        },
        ExitCase {
            arguments: &["router"],
            code: 2,
        },
        ExitCase {
            arguments: &["server", "--slots", "three"],
            code: 2,
        },
        ExitCase {
            arguments: &["server", "--colour", "red"],
            code: 2,
        },
        ExitCase {
            arguments: &["server", "--listen", "192.0.2.1:80"],
            code: 1,
        },
    ];
    for case in cases {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ggs-standin"));
        command
            .args(case.arguments)
            .stdout(Stdio::null())
            .stderr(Stdio::null());
        let status = command.status().expect("run");
        assert_eq!(status.code(), Some(case.code), "{:?}", case.arguments);
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
