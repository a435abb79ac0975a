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
    name: &'static str,
    /// Arguments; `FILE` stands for the path of the settings.
    arguments: &'static str,
    change: (&'static str, &'static str),
    code: i32,
    results: &'static str,
    messages: &'static [&'static str],
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
    let cases = [
        ProcessCase {
            name: "good settings",
            arguments: "--check FILE",
            change: ("", ""),
            code: 0,
            results: "settings have no fault",
            messages: &[],
        },
        ProcessCase {
            name: "every fault at once",
            arguments: "--check FILE",
            change: ("\"entry-1\",\n  \"data_centre\"", "7,\n  \"zone\""),
            code: 3,
            results: "",
            messages: &[
                ":1:1: field \"data_centre\": required field",
                ":3:11: field \"host\": expected a string",
                ":4:3: field \"zone\": unknown field",
            ],
        },
        ProcessCase {
            name: "faults stop a run before anything is bound",
            arguments: "--config FILE",
            change: ("127.0.0.1:8081", "127.0.0.1:8080"),
            code: 3,
            results: "",
            messages: &[
                "is that of listen_callers",
                "\"event\":104",
                "\"level\":\"ERRO\"",
                "\"ts\":\"20",
            ],
        },
        ProcessCase {
            name: "no such file",
            arguments: "--check /nonexistent/gate.json",
            change: ("", ""),
            code: 1,
            results: "",
            messages: &["/nonexistent/gate.json: No such file"],
        },
        ProcessCase {
            name: "wrong flag",
            arguments: "--chekc FILE",
            change: ("", ""),
            code: 2,
            results: "",
            messages: &["invalid option '--chekc'", "ggs-gate --help"],
        },
        ProcessCase {
            name: "manual",
            arguments: "--help",
            change: ("", ""),
            code: 0,
            results: "EXIT CODES",
            messages: &[],
        },
        ProcessCase {
            name: "version",
            arguments: "--version",
            change: ("", ""),
            code: 0,
            results: "ggs-gate 0.1.0",
            messages: &[],
        },
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
        let results = String::from_utf8_lossy(&output.stdout);
        let messages = String::from_utf8_lossy(&output.stderr);
        let printed = format!("{}: {results}\n{messages}", case.name);
        assert_eq!(output.status.code(), Some(case.code), "{printed}");
        assert!(results.contains(case.results), "{printed}");
        for part in case.messages {
            assert!(messages.contains(part), "{printed}");
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
