//! Operators at work over real processes: three gates, a platform and `ggs-ctl`.

mod support;

use std::path::{Path, PathBuf};
use std::process::{Command, Output, Stdio};
use std::time::{Duration, Instant};

use awc::http::Method;
use ggs_ctl::ExitKind;
use ggs_model::BillAnswer;
use rustix::process::Signal;
use support::{GateProcess, READY_LIMIT, StandinProcess, call, scratch_file, wait_until};

/// Longest time from acceptance to force on every live gate.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(15);

/// Gates in a group.
const GATE_COUNT: usize = 3;

/// A platform with gates that see one another.
struct TestFleet {
    platform: StandinProcess,
    gates: Vec<GateProcess>,
}

impl TestFleet {
    /// Starts all and waits until each gate sees the others.
    async fn start() -> Self {
        let platform = StandinProcess::platform(&[]);
        let gates = GateProcess::spawn_group(GATE_COUNT, &platform.url());
        let fleet = Self { platform, gates };
        wait_until("every gate sees every other", READY_LIMIT, || async {
            let status = fleet.ctl(&[0, 1, 2], &["status", "--json"]).output().await;
            let status = serde_json::from_slice::<serde_json::Value>(&status.stdout);
            status.is_ok_and(|status| sees_all(&status))
        })
        .await;
        fleet
    }

    /// A call of `ggs-ctl` that asks the gates with these indexes, in order.
    fn ctl(&self, gates: &[usize], arguments: &[&str]) -> CtlCall {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ggs-ctl"));
        command.args(arguments).env_remove(ggs_ctl::GATES_VARIABLE);
        for index in gates {
            let gate = self.gates[*index].settings.listen_callers;
            command.arg("--gate").arg(gate.to_string());
        }
        CtlCall { command }
    }
}

/// Whether each gate of a status answered and hands out all others.
fn sees_all(status: &serde_json::Value) -> bool {
    let gates = status["gates"].as_array().map_or(&[][..], Vec::as_slice);
    let live_peers = |gate: &serde_json::Value| {
        let peers = gate["status"]["peers"].as_array();
        peers.map_or(0, |peers| {
            peers.iter().filter(|peer| peer["live"] == true).count()
        })
    };
    gates.len() == GATE_COUNT && gates.iter().all(|gate| live_peers(gate) == GATE_COUNT - 1)
}

/// A call of `ggs-ctl` not yet made.
struct CtlCall {
    command: Command,
}

impl CtlCall {
    /// Runs the call to its end without holding up other tasks.
    async fn output(mut self) -> Output {
        let run = move || {
            self.command
                .stdin(Stdio::null())
                .output()
                .expect("run ggs-ctl")
        };
        actix_rt::task::spawn_blocking(run).await.expect("join")
    }

    /// Runs the call and checks its exit code; returns what it printed.
    async fn ends(self, expected: ExitKind) -> String {
        let output = self.output().await;
        let printed = printed(&output);
        assert_eq!(
            output.status.code(),
            Some(i32::from(expected.code())),
            "{printed}"
        );
        printed
    }
}

/// All that a call printed.
fn printed(output: &Output) -> String {
    let results = String::from_utf8_lossy(&output.stdout);
    let messages = String::from_utf8_lossy(&output.stderr);
    format!("{results}{messages}")
}

/// Writes a document of the ledger.
fn ledger_file(base: &str, slots: u32) -> PathBuf {
    let file = scratch_file("ledger.json");
    write_ledger(&file, base, slots);
    file
}

/// Writes a document of the ledger to `file`; `base` is a comment line or empty.
fn write_ledger(file: &Path, base: &str, slots: u32) {
    let text = format!(
        "{base}{{ \"service\": \"ledger\", \"partner\": \"wagowa\", \"slots\": {slots} }}\n"
    );
    std::fs::write(file, text).expect("write");
}

/// A path as an argument.
fn text(path: &Path) -> &str {
    path.to_str().expect("utf-8")
}

#[actix_rt::test]
async fn an_edit_is_accepted_shown_and_in_force_on_every_gate() {
    let fleet = TestFleet::start().await;
    fleet
        .ctl(&[0], &["get", "ledger"])
        .ends(ExitKind::NoDocument)
        .await;

    let file = ledger_file("// revision: 0\n", 3);
    let apply = ["apply", text(&file), "--update-file"];
    let started = Instant::now();
    let said = fleet.ctl(&[0], &apply).ends(ExitKind::Done).await;
    assert!(started.elapsed() < IN_FORCE_LIMIT);
    assert!(said.contains("accepted as revision 1"), "{said}");
    assert!(said.contains("in force on 3 of 3 live gates"), "{said}");

    let text_now = std::fs::read_to_string(&file).expect("read");
    assert!(text_now.starts_with("// revision: 1\n"), "{text_now}");
    for index in 0..GATE_COUNT {
        let said = fleet
            .ctl(&[index], &["get", "ledger"])
            .ends(ExitKind::Done)
            .await;
        assert!(said.starts_with("// revision: 1\n"), "{said}");
    }
    fleet
        .ctl(&[1], &["diff", text(&file)])
        .ends(ExitKind::Done)
        .await;
    write_ledger(&file, "// revision: 1\n", 4);
    let said = fleet
        .ctl(&[2], &["diff", text(&file)])
        .ends(ExitKind::Differs)
        .await;
    assert!(
        said.contains("-  \"slots\": 3") && said.contains("+  \"slots\": 4"),
        "{said}"
    );
    let said = fleet.ctl(&[2], &["status"]).ends(ExitKind::Done).await;
    assert!(said.contains("3 of 3"), "{said}");

    let apply = ["apply", text(&file)];
    let said = fleet.ctl(&[2], &apply).ends(ExitKind::Done).await;
    assert!(said.contains("accepted as revision 2"), "{said}");
}

#[actix_rt::test]
async fn of_two_racing_edits_one_wins_and_the_other_is_shown_what_differs() {
    let fleet = TestFleet::start().await;
    for round in 0..5 {
        let base = format!("// revision: {round}\n");
        let files = [
            ledger_file(&base, 10 + round),
            ledger_file(&base, 20 + round),
        ];
        let race = |index: usize| {
            fleet
                .ctl(&[index], &["apply", text(&files[index])])
                .output()
        };
        let outputs: [Output; 2] = futures_util::future::join(race(0), race(1)).await.into();
        let codes = outputs.each_ref().map(|output| output.status.code());
        let said = outputs.each_ref().map(printed);
        let won = codes.iter().position(|code| *code == Some(0));
        let won = won.unwrap_or_else(|| panic!("none won: {said:?}"));
        let lost = 1 - won;
        let conflict = Some(i32::from(ExitKind::Conflict.code()));
        assert_eq!(codes[lost], conflict, "{said:?}");
        let slots = [10 + round, 20 + round];
        for line in [
            format!("-  \"slots\": {}", slots[won]),
            format!("+  \"slots\": {}", slots[lost]),
        ] {
            assert!(said[lost].contains(&line), "{said:?}");
        }
    }
}

/// A fault of the platform and how an edit must end meanwhile.
struct FaultCase {
    faults: &'static str,
    exit: ExitKind,
}

#[actix_rt::test]
async fn a_platform_that_fails_is_told_and_what_is_in_force_stays() {
    let fleet = TestFleet::start().await;
    let file = ledger_file("", 3);
    fleet
        .ctl(&[0], &["apply", text(&file)])
        .ends(ExitKind::Done)
        .await;
    let cases = [
        FaultCase {
            faults: "{\"down\": \"refused\"}",
            exit: ExitKind::PlatformDown,
        },
        FaultCase {
            faults: "{\"lose_answers\": 1}",
            exit: ExitKind::Done,
        },
    ];
    for (index, case) in cases.iter().enumerate() {
        fleet.platform.set_faults(0, case.faults).await;
        let before = fleet
            .ctl(&[1], &["get", "ledger"])
            .ends(ExitKind::Done)
            .await;
        let slots = 30 + u32::try_from(index).expect("small");
        write_ledger(&file, "", slots);
        fleet
            .ctl(&[0, 1, 2], &["apply", text(&file)])
            .ends(case.exit)
            .await;
        fleet.platform.set_faults(0, "{}").await;
        let after = fleet
            .ctl(&[1], &["get", "ledger"])
            .ends(ExitKind::Done)
            .await;
        assert_eq!(
            before == after,
            case.exit != ExitKind::Done,
            "{}",
            case.faults
        );
    }
    fleet
        .platform
        .set_faults(0, "{\"down\": \"unavailable\"}")
        .await;
    let said = fleet
        .ctl(&[0], &["bill"])
        .ends(ExitKind::PlatformDown)
        .await;
    assert!(said.contains("platform-unavailable"), "{said}");
    fleet.platform.set_faults(0, "{}").await;
    wait_until("edits are taken again", READY_LIMIT, || async {
        write_ledger(&file, "", 40);
        let output = fleet.ctl(&[0], &["apply", text(&file)]).output().await;
        output.status.success()
    })
    .await;
}

#[actix_rt::test]
async fn an_edit_sent_again_after_a_lost_answer_takes_effect_once() {
    let fleet = TestFleet::start().await;
    let file = ledger_file("// revision: 0\n", 3);
    let edit = "0123456789abcdef0123456789abcdef";
    let apply = ["apply", text(&file), "--edit", edit];
    let said = fleet.ctl(&[0], &apply).ends(ExitKind::Done).await;
    assert!(said.contains("is accepted as revision 1"), "{said}");
    for index in 0..GATE_COUNT {
        let said = fleet.ctl(&[index], &apply).ends(ExitKind::Done).await;
        assert!(said.contains("was accepted before as revision 1"), "{said}");
    }
    let said = fleet
        .ctl(&[0], &["get", "ledger"])
        .ends(ExitKind::Done)
        .await;
    assert!(said.starts_with("// revision: 1\n"), "{said}");
}

#[actix_rt::test]
async fn a_frozen_gate_is_named_and_a_dead_one_is_left_out() {
    let mut fleet = TestFleet::start().await;
    let file = ledger_file("", 3);
    fleet
        .ctl(&[0], &["apply", text(&file)])
        .ends(ExitKind::Done)
        .await;

    fleet.gates[2].child.signal(Signal::STOP);
    write_ledger(&file, "", 4);
    let apply = ["apply", text(&file), "--wait", "0.3"];
    let said = fleet.ctl(&[0], &apply).ends(ExitKind::NotInForce).await;
    assert!(said.contains("in force on 2 of 3 live gates"), "{said}");
    assert!(said.contains("not in force on gate-2 at"), "{said}");

    fleet.gates[2].child.signal(Signal::CONT);
    wait_until(
        "the gate that woke has it in force",
        IN_FORCE_LIMIT,
        || async {
            let status = fleet.ctl(&[0, 1, 2], &["status"]).output().await;
            status.status.success()
        },
    )
    .await;

    fleet.gates[2].child.signal(Signal::KILL);
    fleet.gates.truncate(2);
    write_ledger(&file, "", 5);
    let said = fleet
        .ctl(&[0], &["apply", text(&file)])
        .ends(ExitKind::Done)
        .await;
    assert!(said.contains("in force on 2 of 2 live gates"), "{said}");
}

/// Probes that the servers of a process saw.
async fn seen_probes(servers: &StandinProcess) -> usize {
    let mut seen = 0;
    for (_, admin) in &servers.addresses {
        let url = format!("http://{admin}/admin/probes");
        let answer = call(Method::GET, &url, &[], "").await.expect("answer");
        let record: serde_json::Value = serde_json::from_slice(&answer.body).expect("record");
        for kind in ["load", "health", "unused_connections"] {
            seen += record[kind].as_array().map_or(0, Vec::len);
        }
    }
    seen
}

#[actix_rt::test]
async fn the_bill_shows_each_partner_what_it_allowed_and_what_was_spent() {
    let fleet = TestFleet::start().await;
    let servers = StandinProcess::servers(&fleet.platform.url(), "ledger", 3, &[]);
    let file = scratch_file("ledger.json");
    let document = "{ \"service\": \"ledger\", \"partner\": \"wagowa\", \
                    \"measuring\": { \"probes\": 30, \"window_ms\": 1000 } }";
    std::fs::write(&file, document).expect("write");
    fleet
        .ctl(&[0], &["apply", text(&file)])
        .ends(ExitKind::Done)
        .await;
    // Only a service with callers is measured.
    let url = fleet.gates[0].url("/s/ledger/accounts?token=a");
    wait_until("probes reach the servers", IN_FORCE_LIMIT, || async {
        call(Method::GET, &url, &[], "").await.expect("answer");
        seen_probes(&servers).await > 0
    })
    .await;
    let seen = seen_probes(&servers).await as u64;
    let output = fleet.ctl(&[1], &["bill", "--json"]).output().await;
    let bill: BillAnswer = serde_json::from_slice(&output.stdout).expect("bill");
    let rows = bill
        .rows
        .iter()
        .filter(|row| row.service.as_str() == "ledger");
    let (mut allowed, mut granted, mut spent) = (0, 0, 0);
    for row in rows {
        assert_eq!(row.partner.as_str(), "wagowa");
        allowed += row.allowed;
        granted += row.granted;
        spent += row.spent;
    }
    assert!(
        seen <= spent && spent <= granted && granted <= allowed,
        "{seen} {bill:?}"
    );
    let said = fleet.ctl(&[2], &["bill"]).ends(ExitKind::Done).await;
    assert!(said.contains("wagowa") && said.contains("ledger"), "{said}");
}
