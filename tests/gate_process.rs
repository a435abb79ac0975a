//! Output and exit codes of the `ggs-gate` process.

use std::path::PathBuf;
use std::process::{Command, Output};

/// Valid settings, which cases change to make faults.
const SETTINGS: &str = r#"{
  // one gate
  "host": "entry-1",
  "data_centre": "krakow",
  "listen_callers": "127.0.0.1:8080",
  "listen_peers": "127.0.0.1:8081",
  "platform": "http://127.0.0.1:9000",
}"#;

/// A command line, its settings, and the expected exit code and output.
struct ProcessCase {
    /// Arguments, where `FILE` stands for the path of the settings.
    arguments: &'static str,
    /// A part of the settings, and the text that replaces it.
    change: (&'static str, &'static str),
    code: i32,
    /// Texts that standard output and standard error together must contain.
    printed: &'static [&'static str],
}

/// Runs `ggs-gate` and waits for it to exit.
fn run_gate(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_ggs-gate"));
    command.args(arguments).output().unwrap()
}

/// Writes a settings file that no other test uses.
fn settings_file(name: &str, text: &str) -> PathBuf {
    let name = format!("ggs-gate-{name}-{}.json", std::process::id());
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, text).unwrap();
    path
}

#[test]
fn exit_codes_and_output_match_the_manual() {
    let same = ("", "");
    let two_faults = ("\"entry-1\",\n  \"data_centre\"", "7,\n  \"zone\"");
    let same_address = ("127.0.0.1:8081", "127.0.0.1:8080");
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
            same_address,
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
        let arguments = case.arguments.split(' ');
        let file = path.to_str().unwrap();
        let arguments: Vec<_> = arguments
            .map(|word| if word == "FILE" { file } else { word })
            .collect();
        let output = run_gate(&arguments);
        let (results, messages) = (&output.stdout, &output.stderr);
        let all = String::from_utf8_lossy(&[&results[..], messages].concat()).into_owned();
        let shown = format!("{}: {all}", case.arguments);
        assert_eq!(output.status.code(), Some(case.code), "{shown}");
        let expected_empty = if case.code == 0 { messages } else { results };
        assert!(expected_empty.is_empty(), "{shown}");
        for part in case.printed {
            assert!(all.contains(part), "{shown}");
        }
        std::fs::remove_file(path).unwrap();
    }
}

#[test]
fn an_address_in_use_is_reported_and_ends_the_process() {
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
