//! The gate's command line as a process: output and exit codes.

use std::path::PathBuf;
use std::process::{Command, Output};

/// Valid settings but for what a case changes.
const SETTINGS: &str = r#"{
  // one gate
  "host": "entry-1",
  "data_centre": "krakow",
  "listen_callers": "127.0.0.1:8080",
  "listen_peers": "127.0.0.1:8081",
  "platform": "http://127.0.0.1:9000",
}"#;

/// A command, its settings, and how it must end.
struct ProcessCase {
    /// Arguments; `FILE` stands for the path of the settings.
    arguments: &'static str,
    /// A part of the settings and what stands in its place.
    change: (&'static str, &'static str),
    code: i32,
    /// Parts of what is printed on both outputs.
    printed: &'static [&'static str],
}

/// Runs `ggs-gate` to its end.
fn run_gate(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ggs-gate"));
    command.args(arguments).output().unwrap()
}

/// A settings file of its own for one test.
fn settings_file(name: &str, text: &str) -> PathBuf {
    let name = format!("ggs-gate-{name}-{}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).unwrap();
    path
}

#[test]
fn the_process_ends_as_its_manual_says() {
    let same = ("", "");
    let two_faults = ("\"entry-1\",\n  \"data_centre\"", "7,\n  \"zone\"");
    let clash = ("127.0.0.1:8081", "127.0.0.1:8080");
    let case = |arguments, change, code, printed| ProcessCase {
        arguments,
        change,
        code,
        printed,
    };
    let cases = [
        case("--check FILE", same, 0, &["settings have no fault"][..]),
        case(
            "--check FILE",
            two_faults,
            3,
            &[
                ":1:1: field \"data_centre\": required field",
                ":3:11: field \"host\": expected a string",
                ":4:3: field \"zone\": unknown field",
            ],
        ),
        case(
            "--config FILE",
            clash,
            3,
            &[
                "is that of listen_callers",
                "\"event\":104",
                "\"level\":\"ERRO\"",
                "\"ts\":\"20",
            ],
        ),
        case(
            "--check /nonexistent/gate.json",
            same,
            1,
            &["/nonexistent/gate.json: No such file"],
        ),
        case(
            "--chekc FILE",
            same,
            2,
            &["invalid option '--chekc'", "ggs-gate --help"],
        ),
        case("--help", same, 0, &["EXIT CODES"]),
        case("--version", same, 0, &["ggs-gate 0.1.0"]),
    ];
    for case in cases {
        let (from, to) = case.change;
        let path = settings_file("ends", &SETTINGS.replacen(from, to, 1));
        let words = case.arguments.split(' ');
        let file = path.to_str().unwrap();
        let words: Vec<_> = words
            .map(|word| if word == "FILE" { file } else { word })
            .collect();
        let output = run_gate(&words);
        let (results, messages) = (&output.stdout, &output.stderr);
        let all = String::from_utf8_lossy(&[&results[..], messages].concat()).into_owned();
        let shown = format!("{}: {all}", case.arguments);
        assert_eq!(output.status.code(), Some(case.code), "{shown}");
        let is_silent = if case.code == 0 { messages } else { results };
        assert!(is_silent.is_empty(), "{shown}");
        for part in case.printed {
            assert!(all.contains(part), "{shown}");
        }
        std::fs::remove_file(path).unwrap();
    }
}

#[test]
fn an_address_in_use_is_said_and_ends_the_process() {
    let taken = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let address = taken.local_addr().unwrap().to_string();
    let path = settings_file("taken", &SETTINGS.replace("127.0.0.1:8080", &address));
    let output = run_gate(&["--config", path.to_str().unwrap()]);
    let messages = String::from_utf8_lossy(&output.stderr);
    assert_eq!(output.status.code(), Some(4), "{messages}");
    let expected = format!("ggs-gate: address {address} cannot be bound");
    assert!(messages.contains(&expected), "{messages}");
    assert!(messages.contains("\"event\":103"), "{messages}");
    std::fs::remove_file(path).unwrap();
}
