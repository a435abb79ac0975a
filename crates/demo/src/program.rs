//! The `ggs-demo` program.

use std::ffi::OsString;
use std::io::{self, IsTerminal, Write};
use std::process::ExitCode;
use std::time::Duration;

use ggs_load::{LoadPlan, LoadTarget, TrafficShare, run_load};
use ggs_standin::ServerFaults;
use lexopt::{Arg, Parser, ValueExt};

use crate::error::DemoError;
use crate::report::{DemoChecks, bill_table};
use crate::scene::{DemoScene, SERVICES, WINDOW_MS};

/// The manual that `--help` prints.
const HELP: &str = "\
ggs-demo: shows a whole system in one process over loopback.

USAGE
    ggs-demo [--seconds N] [--rate N]

Starts a platform, three gates and the servers of four services of two partners, sends calls of all
classes and checks every answer. On the way one server becomes a straggler, another drains, the
platform's table loses answers, and open connections to one server go silent. Ends with a table of
latency per class and verdicts, and the bill of measuring next to what the servers saw.

OPTIONS
    --seconds N    time in which calls are started [6]
    --rate N       calls a second [300]
    -h, --help     prints this text
    -V, --version  prints the version

EXIT CODES
    0 all answers were whole and the callers' own, nothing non-idempotent ran twice, and no service
      was probed more than its document allows
    1 one of these did not hold, or a part did not start
    2 bad command line
";

/// What `--version` prints.
const VERSION: &str = concat!("ggs-demo ", env!("CARGO_PKG_VERSION"), "\n");

/// Exit code of a bad command line.
const USAGE_CODE: u8 = 2;

/// Times that the straggler takes longer.
const STRAGGLER_FACTOR: f64 = 30.0;

/// Answers that the table loses.
const LOST_ANSWERS: u32 = 3;

/// What the command line asks for.
#[derive(Debug)]
enum DemoCommand {
    Help,
    Version,
    Run { length: Duration, rate: f64 },
}

/// Runs the program with its arguments, the program's own name first.
///
/// ```
/// use std::process::ExitCode;
///
/// let code = ggs_demo::run(["ggs-demo".into(), "--seconds".into(), "soon".into()]);
/// assert_eq!(format!("{code:?}"), format!("{:?}", ExitCode::from(2)));
/// ```
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let command = match parse(arguments.into_iter().skip(1)) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("ggs-demo: {error}\nTry \"ggs-demo --help\".");
            return ExitCode::from(USAGE_CODE);
        }
    };
    let outcome = match command {
        DemoCommand::Help => print(HELP).map(|()| true),
        DemoCommand::Version => print(VERSION).map(|()| true),
        DemoCommand::Run { length, rate } => {
            actix_rt::System::new().block_on(demonstrate(length, rate))
        }
    };
    match outcome {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::FAILURE,
        Err(error) => {
            eprintln!("ggs-demo: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Reads the command line, without the program's name.
fn parse(arguments: impl IntoIterator<Item = OsString>) -> Result<DemoCommand, lexopt::Error> {
    let mut parser = Parser::from_args(arguments);
    let mut seconds: f64 = 6.0;
    let mut rate: f64 = 300.0;
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(DemoCommand::Help),
            Arg::Short('V') | Arg::Long("version") => return Ok(DemoCommand::Version),
            Arg::Long("seconds") => seconds = parser.value()?.parse()?,
            Arg::Long("rate") => rate = parser.value()?.parse()?,
            other => return Err(other.unexpected()),
        }
    }
    let length = Duration::try_from_secs_f64(seconds);
    let length = length.map_err(|error| format!("--seconds: {error}"))?;
    Ok(DemoCommand::Run { length, rate })
}

/// Runs the demonstration; tells whether all that must hold held.
async fn demonstrate(length: Duration, rate: f64) -> Result<bool, DemoError> {
    let scene = DemoScene::start().await?;
    scene.wait_for_servers().await?;
    let gates = scene.gate_addresses();
    print(&format!(
        "{} gates and {} servers of {} services answer calls for {:.1} s\n",
        gates.len(),
        scene.servers.len(),
        SERVICES.len(),
        length.as_secs_f64()
    ))?;
    let mut plan = LoadPlan::new(LoadTarget::Gates(gates.clone()), traffic());
    plan.rate = rate;
    plan.length = length;
    plan.progress = io::stderr().is_terminal();
    let (summary, ()) = tokio::join!(run_load(plan), disturb(&scene, length));
    let summary = summary.map_err(DemoError::Load)?;
    let windows = 2 + summary.seconds.ceil() as u64 * 1_000 / WINDOW_MS;
    let checks = DemoChecks::new(&scene, &summary, windows);
    print(&format!(
        "\nLatency and verdicts\n{}\n{}",
        summary.table(),
        summary.reasons()
    ))?;
    match bill_table(&scene, gates[0]).await {
        Ok(table) => print(&format!("\nMeasuring, in probes\n{table}\n"))?,
        Err(cause) => print(&format!("\nNo bill: {cause}\n"))?,
    }
    print(&verdict_text(&checks))?;
    let drains = scene
        .gates
        .into_iter()
        .map(|gate| actix_rt::spawn(gate.drain()));
    for drain in drains.collect::<Vec<_>>() {
        drain
            .await
            .map_err(|error| DemoError::Output(error.into()))?;
    }
    Ok(checks.hold())
}

/// The calls of all services.
fn traffic() -> Vec<TrafficShare> {
    let shares = SERVICES.iter().map(|service| {
        let mut share = TrafficShare::new(service.name, service.class);
        share.weight = service.weight;
        share.keyed = service.keyed;
        share.bytes = service.bytes;
        share
    });
    shares.collect()
}

/// Switches faults while the calls go on.
async fn disturb(scene: &DemoScene, length: Duration) {
    let step = length / 5;
    actix_rt::time::sleep(step).await;
    if let Some(server) = scene.first_server("roster") {
        tell(&format!("server {} becomes a straggler", server.address()));
        server.set_faults(ServerFaults {
            slow_factor: STRAGGLER_FACTOR,
            ..ServerFaults::default()
        });
    }
    actix_rt::time::sleep(step).await;
    if let Some(server) = scene.first_server("ledger") {
        tell(&format!("server {} drains", server.address()));
        server.drain();
    }
    actix_rt::time::sleep(step).await;
    tell("the platform's table loses answers");
    scene.platform.set_faults(ggs_standin::PlatformFaults {
        lose_answers: LOST_ANSWERS,
        ..ggs_standin::PlatformFaults::default()
    });
    if let Some(server) = scene.first_server("booking") {
        tell(&format!(
            "open connections to server {} go silent",
            server.address()
        ));
        server.set_faults(ServerFaults {
            silence_connections: true,
            ..ServerFaults::default()
        });
    }
}

/// Shows a step of the demonstration on standard error.
fn tell(text: &str) {
    eprintln!("  {text}");
}

/// What held.
fn verdict_text(checks: &DemoChecks) -> String {
    let DemoChecks {
        repeated,
        wrong,
        answered,
        overspent,
    } = checks;
    let overspent = overspent.join(", ");
    let overspent = if overspent.is_empty() {
        "none"
    } else {
        &overspent
    };
    format!(
        "\nanswered calls: {answered}\n\
         non-idempotent calls that ran twice: {repeated}\n\
         answers not whole or not the caller's own: {wrong}\n\
         services probed more than their documents allow: {overspent}\n"
    )
}

/// Prints to standard output at once.
fn print(text: &str) -> Result<(), DemoError> {
    let mut output = io::stdout().lock();
    let printed = output.write_all(text.as_bytes());
    printed
        .and_then(|()| output.flush())
        .map_err(DemoError::Output)
}
