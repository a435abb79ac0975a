//! Every command and exit code against gates that answer as told.

mod fake;

use std::borrow::Cow;
use std::ffi::OsString;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::rc::Rc;

use fake::{EditScript, FakeGate, GOOD, GateScript};
use ggs_ctl::{Console, ExitKind, execute};
use strum::IntoEnumIterator;

/// A valid document that starts from revision 7 and differs from the gate's in `slots`.
const FILE: &str =
    "// revision: 7\n{ \"service\": \"ledger\", \"partner\": \"wagowa\", \"slots\": 4 }\n";

/// A directory of its own for each test, removed at the end.
struct TestFiles {
    directory: PathBuf,
}

impl TestFiles {
    fn new(name: &str) -> Self {
        let name = format!("ggs-ctl-{name}-{}", std::process::id());
        let directory = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&directory).unwrap();
        Self { directory }
    }

    /// Writes a file and returns its path.
    fn write(&self, text: &str) -> String {
        let path = self.directory.join("ledger.json");
        std::fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    }
}

impl Drop for TestFiles {
    fn drop(&mut self) {
        // A directory that stays behind harms no other test.
        let _ = std::fs::remove_dir_all(&self.directory);
    }
}

/// How a command ended and what it printed.
#[derive(Debug)]
struct Outcome {
    exit: ExitKind,
    results: String,
    messages: String,
}

/// Runs a command line.
async fn run(arguments: &[&str], gates: &[SocketAddr], variable: Option<&str>) -> Outcome {
    let mut words: Vec<OsString> = vec!["ggs-ctl".into()];
    words.extend(arguments.iter().map(Into::into));
    for gate in gates {
        words.extend(["--gate".into(), gate.to_string().into()]);
    }
    let mut console = Console::new(Vec::new(), Vec::new());
    let exit = execute(words, variable.map(AsRef::as_ref), &mut console).await;
    let (results, messages) = console.into_parts();
    Outcome {
        exit,
        results: String::from_utf8(results).unwrap(),
        messages: String::from_utf8(messages).unwrap(),
    }
}

/// An address that refuses connections.
fn closed_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

/// A command, the gates that it asks, and how it must end.
///
/// As a line of a table: what is shown, the command, gates, exit, results, messages. `FILE` stands
/// for the path of the file; several parts of an output are separated by `&`, and `_` is none.
struct CommandCase<'t> {
    name: &'t str,
    command: &'t str,
    /// Gates in order, as [`gate_address`] reads them.
    gates: &'t str,
    exit: &'t str,
    /// Parts of standard output.
    results: &'t str,
    /// Parts of standard error.
    messages: &'t str,
}

impl<'t> CommandCase<'t> {
    fn parse(line: &'t str) -> Self {
        let columns: Vec<_> = line.split('|').map(str::trim).collect();
        let [name, command, gates, exit, results, messages] = columns[..] else {
            panic!("{line}");
        };
        Self {
            name,
            command,
            gates,
            exit,
            results,
            messages,
        }
    }

    /// Runs the case; a gate that is silent is given up after a short time.
    async fn check(&self, path: &str) {
        let gates: Vec<_> = self.gates.split(' ').map(gate_address).collect();
        let words = self.command.split(' ');
        let words = words.map(|word| if word == "FILE" { path } else { word });
        let words: Vec<_> = words.chain(["--timeout", "0.3"]).collect();
        let outcome = run(&words, &gates, None).await;
        let shown = format!("{}: {outcome:#?}", self.name);
        assert_eq!(outcome.exit.to_string(), self.exit, "{shown}");
        for part in parts(self.results) {
            assert!(outcome.results.contains(&part), "{part:?} in {shown}");
        }
        for part in parts(self.messages) {
            assert!(outcome.messages.contains(&part), "{part:?} in {shown}");
        }
    }
}

/// Parts of an output in a column of a table.
fn parts(column: &str) -> Vec<String> {
    let parts = column.split(" & ").filter(|part| *part != "_");
    parts.map(|part| part.replace("\\n", "\n")).collect()
}

/// Starts a gate: `closed`, `good`, `slow`, `mute`, `platformless`, `empty`, or what it does with edits in
/// order, for example `lost+repeat`.
fn gate_address(word: &str) -> SocketAddr {
    let script = match word {
        "closed" => return closed_address(),
        "good" => GOOD,
        "slow" => GateScript {
            looks: 1_000,
            ..GOOD
        },
        "mute" => GateScript {
            silent: true,
            ..GOOD
        },
        "platformless" => GateScript { down: true, ..GOOD },
        "empty" => GateScript {
            document: 0,
            ..GOOD
        },
        edits => GateScript {
            edits: edits.split('+').map(|edit| edit.parse().unwrap()).collect(),
            ..GOOD
        },
    };
    FakeGate::start(script).address
}

/// Checks each line of a table against a file.
async fn check_table(group: &str, file: &str, table: &str) {
    let files = TestFiles::new(group);
    let path = files.write(file);
    for line in table.lines().filter(|line| !line.is_empty()) {
        CommandCase::parse(line).check(&path).await;
    }
}

#[actix_rt::test]
async fn edits_end_as_documented() {
    let table = r#"
accepted | apply FILE --wait 0.5 | good | done | is accepted as revision 8 & in force on 1 of 1 live gates | _
not in force within the wait | apply FILE --wait 0.5 | slow | not-in-force | is accepted as revision 8 & in force on 0 of 1 | not in force on entry-a at 127.0.0.1: & (has revision 7)
first gate is closed | apply FILE --wait 0.5 | closed good | done | is accepted as revision 8 | _
first gate is silent | apply FILE --wait 0.5 | silent repeat | done | was accepted before as revision 8 | _
first gate is cut off from the platform | apply FILE --wait 0.5 | down good | done | accepted | _
platform is down | apply FILE | down | platform-down | _ | nothing was written: table is down
platform is down for one, the other closed | apply FILE | down closed | platform-down | _ | cannot be reached
answer of the write is lost | apply FILE | lost | unknown | _ | may have been written; send the same one again with --edit & --base 7
lost once, then recognised | apply FILE --wait 0.5 | lost+repeat | done | was accepted before as revision 8 | _
lost once, then another edit won | apply FILE | lost+conflict | conflict | revision 9 | _
lost at one gate, down at the other | apply FILE | lost down | unknown | _ | _
silent at one gate, the other closed | apply FILE | silent closed | unknown | _ | no answer
answer is garbled | apply FILE | garble | unknown | _ | _
gate refuses | apply FILE | refuse | refused | _ | edit id was used
no gate | apply FILE | closed | no-gate | _ | cannot be reached
gate finds a fault | apply FILE | fault | faults | _ | ledger.json:3:5: field "slots": the gate says no
another edit won | apply FILE | conflict | conflict | --- ledger revision 9 & -  "slots": 5 & +  "slots": 4 | starts from revision 7, the document is at revision 9
"#;
    check_table("edits", FILE, table).await;
}

#[actix_rt::test]
async fn files_are_checked_before_any_gate_is_asked() {
    let table = r#"
faulty file | apply FILE | closed | faults | _ | ledger.json:1:1: field "service" & field "partner"
faulty file to diff | diff FILE | closed | faults | _ | ledger.json:1:3: field "servcie": unknown field
faults as JSON | check FILE --json | closed | faults | "line": 1 | _
missing file | check /nonexistent/ledger.json | closed | file-failed | _ | No such file
"#;
    check_table("faulty", "{ \"servcie\": 1 }", table).await;
    let good = "good file | check FILE | closed | done | service \"ledger\" has no fault | _";
    check_table("valid", FILE, good).await;
}

#[actix_rt::test]
async fn questions_end_as_documented() {
    let table = r#"
get | get ledger | good | done | // revision: 7\n{\n & "slots": 5 | _
get as JSON | get ledger --json | good | done | "revision": 7 | _
get of an unknown service | get roster | good | no-document | _ | service "roster" has no document
get past a silent gate | get ledger | mute good | done | slots | _
get from silent gates only | get ledger | mute | no-gate | _ | no answer within 0.3 s
get while the platform is down | get ledger | platformless | platform-down | _ | table is down
diff | diff FILE | good | differs | -  "slots": 5 & +  "slots": 4 | _
diff of a new service | diff FILE | empty | differs | ledger (no document) & +  "slots": 4 | _
status | status | good | done | entry-a & live & ledger & 1 of 1 & 0.4 s ago | _
status of no gate | status | closed | no-gate | _ | cannot be reached
status as JSON | status --json | good | done | "accepted": 7 & "in_force": 1 | _
bill | bill | good | done | wagowa & 2 & 80 & 60 & 23 | _
bill as JSON | bill --json | good | done | "spent": 12 | _
bill while the platform is down | bill | platformless | platform-down | _ | _
"#;
    check_table("questions", FILE, table).await;
    let same = r#"{ "partner": "wagowa", /* as is */ "service": "ledger", "slots": 5 }"#;
    let equal = "diff without a difference | diff FILE | good | done | _ | _";
    check_table("same", same, equal).await;
}

#[actix_rt::test]
async fn command_lines_are_checked() {
    let cases: [(&[&str], Option<&str>, &str); 16] = [
        (
            &[],
            None,
            "no command; commands are apply, get, diff, check, status, bill",
        ),
        (&["aply", "x"], None, "unknown command \"aply\""),
        (&["status"], None, "no gate named"),
        (&["status"], Some("  ,"), "no gate named"),
        (
            &["status"],
            Some("localhost"),
            "GGS_GATES: expected an IP address",
        ),
        (
            &["status", "--gate", "10.0.0.1"],
            None,
            "--gate: expected an IP address and a port",
        ),
        (
            &["status", "now"],
            None,
            "command \"status\" takes no operand",
        ),
        (&["get"], None, "command \"get\" takes one SERVICE"),
        (
            &["get", "a", "b"],
            None,
            "command \"get\" takes one SERVICE",
        ),
        (
            &["get", "a", "--wait", "3"],
            None,
            "flag --wait means nothing to command \"get\"",
        ),
        (
            &["apply", "f", "--wait", "soon"],
            None,
            "--wait: expected seconds from 0 to 3600",
        ),
        (
            &["apply", "f", "--wait", "-1"],
            None,
            "--wait: expected seconds from 0 to 3600",
        ),
        (
            &["apply", "f", "--timeout", "NaN"],
            None,
            "--timeout: expected seconds",
        ),
        (
            &["apply", "f", "--base", "x"],
            None,
            "--base: expected a revision number",
        ),
        (
            &["apply", "f", "--edit", "12"],
            None,
            "--edit: expected 32 hexadecimal digits",
        ),
        (&["status", "--fast"], None, "invalid option '--fast'"),
    ];
    for (arguments, variable, message) in cases {
        let outcome = run(arguments, &[], variable).await;
        assert_eq!(outcome.exit, ExitKind::Usage, "{arguments:?}");
        assert!(
            outcome.messages.contains(message),
            "{arguments:?}: {outcome:#?}"
        );
    }
}

#[actix_rt::test]
async fn the_manual_names_every_command_and_exit_code() {
    let manual = run(&["--help"], &[], None).await;
    assert_eq!(manual.exit, ExitKind::Done);
    for kind in ExitKind::iter() {
        let line = format!("{:>2}   {}", kind.code(), kind.meaning());
        assert!(manual.results.contains(&line), "{line}");
    }
    for command in ["apply", "get", "diff", "check", "status", "bill"] {
        assert!(
            manual.results.contains(&format!("    {command}")),
            "{command}"
        );
        let page = run(&[command, "--help"], &[], None).await;
        let start = format!("ggs-ctl {command} ");
        assert!(page.results.starts_with(&start), "{page:#?}");
        assert_eq!(page.exit, ExitKind::Done);
    }
}

#[actix_rt::test]
async fn gates_are_read_from_the_environment() {
    let gate = FakeGate::start(GOOD);
    let variable = format!("{}, {}", closed_address(), gate.address);
    let outcome = run(&["get", "ledger"], &[], Some(&variable)).await;
    assert_eq!(outcome.exit, ExitKind::Done, "{outcome:#?}");
}

/// A sent edit: the base and the id.
fn sent(gate: &Rc<FakeGate>) -> Vec<(u64, u128)> {
    let edits = gate.edits();
    edits
        .iter()
        .map(|edit| (edit.base.0, edit.edit.0))
        .collect()
}

#[actix_rt::test]
async fn an_edit_sent_again_keeps_its_id_and_base() {
    let files = TestFiles::new("again");
    let path = files.write(FILE);
    let first = FakeGate::start(GateScript {
        edits: Cow::Borrowed(&[EditScript::Silent]),
        ..GOOD
    });
    let second = FakeGate::start(GateScript {
        edits: Cow::Borrowed(&[EditScript::Lost]),
        ..GOOD
    });
    let gates = [first.address, second.address];
    let outcome = run(&["apply", &path, "--timeout", "0.2"], &gates, None).await;
    assert_eq!(outcome.exit, ExitKind::Unknown);
    let (first, second) = (sent(&first), sent(&second));
    assert_eq!(first.len(), 3);
    assert_eq!(first, second);
    assert!(first.iter().all(|edit| *edit == first[0]));
    let id = format!("{:032x}", first[0].1);
    assert!(outcome.messages.contains(&id), "{outcome:#?}");

    let third = FakeGate::start(GOOD);
    let arguments = ["apply", &path, "--edit", &id, "--wait", "0"];
    let outcome = run(&arguments, &[third.address], None).await;
    assert_eq!(outcome.exit, ExitKind::Done);
    assert_eq!(sent(&third), first[..1]);
}

#[actix_rt::test]
async fn two_edits_have_two_ids() {
    let files = TestFiles::new("ids");
    let path = files.write(FILE);
    let gate = FakeGate::start(GOOD);
    for _ in 0..2 {
        let outcome = run(&["apply", &path, "--wait", "0"], &[gate.address], None).await;
        assert_eq!(outcome.exit, ExitKind::Done);
    }
    let edits = sent(&gate);
    assert_ne!(edits[0].1, edits[1].1);
}

/// A file, a flag, and the base that an edit then has.
struct BaseCase {
    file: &'static str,
    flag: Option<&'static str>,
    document: u64,
    expected: u64,
}

#[actix_rt::test]
async fn the_base_comes_from_the_flag_the_file_or_the_gate() {
    let plain = "{ \"service\": \"ledger\", \"partner\": \"wagowa\" }";
    let cases = [
        BaseCase {
            file: FILE,
            flag: None,
            document: 9,
            expected: 7,
        },
        BaseCase {
            file: FILE,
            flag: Some("5"),
            document: 9,
            expected: 5,
        },
        BaseCase {
            file: plain,
            flag: None,
            document: 9,
            expected: 9,
        },
        BaseCase {
            file: plain,
            flag: None,
            document: 0,
            expected: 0,
        },
        BaseCase {
            file: plain,
            flag: Some("0"),
            document: 9,
            expected: 0,
        },
    ];
    let files = TestFiles::new("base");
    for case in cases {
        let path = files.write(case.file);
        let gate = FakeGate::start(GateScript {
            document: case.document,
            ..GOOD
        });
        let mut arguments = vec!["apply", &path, "--wait", "0"];
        arguments.extend(case.flag.iter().flat_map(|flag| ["--base", flag]));
        run(&arguments, &[gate.address], None).await;
        assert_eq!(sent(&gate)[0].0, case.expected, "{:?}", case.flag);
    }
}

#[actix_rt::test]
async fn the_file_takes_the_accepted_revision_when_asked() {
    let files = TestFiles::new("update");
    let plain = "{ \"service\": \"ledger\", // ours\n \"partner\": \"wagowa\" }\n";
    for (text, flag, expected) in [
        (
            FILE,
            "--update-file",
            FILE.replace("revision: 7", "revision: 8"),
        ),
        (plain, "--update-file", format!("// revision: 8\n{plain}")),
        (FILE, "--json", FILE.to_owned()),
    ] {
        let path = files.write(text);
        let gate = FakeGate::start(GOOD);
        let arguments = ["apply", &path, "--wait", "0", flag];
        let outcome = run(&arguments, &[gate.address], None).await;
        assert_eq!(outcome.exit, ExitKind::Done);
        assert_eq!(std::fs::read_to_string(&path).unwrap(), expected);
    }
}

#[actix_rt::test]
async fn gates_that_others_hand_out_count_and_gone_ones_do_not() {
    let files = TestFiles::new("peers");
    let path = files.write(FILE);
    let slow = FakeGate::start(GateScript { looks: 3, ..GOOD });
    let first = FakeGate::start(GOOD);
    first.add_peer("entry-b", slow.address, true);
    first.add_peer("entry-c", closed_address(), false);
    let arguments = ["apply", &path, "--wait", "5"];
    let outcome = run(&arguments, &[first.address, closed_address()], None).await;
    assert_eq!(outcome.exit, ExitKind::Done, "{outcome:#?}");
    assert!(
        outcome.results.contains("in force on 2 of 2 live gates"),
        "{outcome:#?}"
    );

    first.add_peer("entry-d", closed_address(), true);
    let arguments = ["apply", &path, "--wait", "0.5", "--json"];
    let outcome = run(&arguments, &[first.address], None).await;
    assert_eq!(outcome.exit, ExitKind::NotInForce);
    let report: serde_json::Value = serde_json::from_str(&outcome.results).unwrap();
    assert_eq!(report["live"], 3);
    assert_eq!(report["missing"][0]["host"], "entry-d");

    let outcome = run(&["status"], &[first.address], None).await;
    assert_eq!(outcome.exit, ExitKind::NotInForce);
    assert!(outcome.results.contains("live, no answer"), "{outcome:#?}");
    assert!(outcome.results.contains("2 of 3"), "{outcome:#?}");
}

#[test]
fn the_operators_page_lists_every_exit_code() {
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    let page = std::fs::read_to_string(path).unwrap();
    for kind in ExitKind::iter() {
        let row = format!("| {} | {kind} | {} |", kind.code(), kind.meaning());
        assert!(page.contains(&row), "{row}");
    }
}
