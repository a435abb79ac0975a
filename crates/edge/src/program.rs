//! Command line of `ggs-edge`: parses arguments, runs the gate, and returns an exit code.

use std::ffi::OsString;
use std::fmt::Display;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use ggs_observe::{EventLog, LogFormat};
use lexopt::prelude::{Long, Short};
use tokio::signal::unix::{SignalKind, signal};

use crate::handle::start;
use crate::ports::{EdgeWire, FleetStore, SettingsSource};
use crate::settings::EdgeSettings;

/// Text of `--help`.
const MANUAL: &str = r"ggs-edge - the load balancer (gate) on every entry host of a platform

USAGE
    ggs-edge [--settings FILE] [--log json|off]
    ggs-edge --check [--settings FILE]

One process runs on each entry host; all are equal and keep nothing on disk. Routes,
servers and the other gates are read from the platform's store. Callers ask any gate
for the addresses of gates and send their requests to those.

FLAGS
    --settings FILE  The platform's settings file [default: the file that the
                     platform names in the environment].
    --check          Check the settings, print the first fault, and end.
    --log FORMAT     json: one object a line on standard output; off: nothing
                     [default: json]. docs/EVENTS.md lists the events.
    -h, --help       Print this manual.
    -V, --version    Print the version.

SIGNALS
    SIGTERM, SIGINT  Drain: the gate is no longer named to callers that ask for
                     addresses, accepts callers for a part of the grace period,
                     finishes their requests, and ends.
    SIGHUP           Read the settings again.

EXIT CODES
     0   done: checked without a fault, or drained
     2   the command line is wrong
     3   the settings cannot be read or have a fault
     4   an address could not be bound, or signals could not be set up";

/// Exit codes of a process that fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
enum EdgeExit {
    /// The command line is wrong.
    Usage = 2,
    /// The settings cannot be read or have a fault.
    Settings = 3,
    /// An address could not be bound, or signals could not be set up.
    StartFailed = 4,
}

impl EdgeExit {
    /// Prints the reason on standard error.
    fn print(self, message: impl Display) -> Self {
        eprintln!("ggs-edge: {message}");
        self
    }
}

/// Command that the command line selects.
#[derive(Clone, Debug, PartialEq, Eq)]
enum EdgeCommand {
    Run(EdgeArguments),
    Check(EdgeArguments),
    Help,
    Version,
}

/// Arguments of a run or a check.
#[derive(Clone, Debug, PartialEq, Eq)]
struct EdgeArguments {
    settings: Option<PathBuf>,
    log: LogFormat,
}

/// Runs the program with its arguments, including the program's own name.
///
/// `source` creates the source of settings, for the file of `--settings` if there is one. `connect`
/// creates the platform's adapters from the checked settings.
pub fn run<P, W, S>(
    arguments: impl IntoIterator<Item = OsString>,
    source: impl FnOnce(Option<PathBuf>) -> P,
    connect: impl FnOnce(&EdgeSettings) -> (W, S),
) -> ExitCode
where
    P: SettingsSource,
    W: EdgeWire,
    S: FleetStore,
{
    match run_command(arguments, source, connect) {
        Ok(()) => ExitCode::SUCCESS,
        Err(exit) => ExitCode::from(exit as u8),
    }
}

/// Parses the command line and runs the command.
fn run_command<P, W, S>(
    arguments: impl IntoIterator<Item = OsString>,
    source: impl FnOnce(Option<PathBuf>) -> P,
    connect: impl FnOnce(&EdgeSettings) -> (W, S),
) -> Result<(), EdgeExit>
where
    P: SettingsSource,
    W: EdgeWire,
    S: FleetStore,
{
    let command = read_arguments(arguments).map_err(|error| {
        let hint = "run \"ggs-edge --help\" for the manual";
        EdgeExit::Usage.print(format_args!("{error}\n{hint}"))
    })?;
    match command {
        EdgeCommand::Help => println!("{MANUAL}"),
        EdgeCommand::Version => println!("ggs-edge {}", env!("CARGO_PKG_VERSION")),
        EdgeCommand::Check(arguments) => {
            let source = source(arguments.settings);
            source
                .read()
                .map_err(|fault| EdgeExit::Settings.print(fault))?;
            println!("settings have no fault");
        }
        EdgeCommand::Run(arguments) => {
            let source = source(arguments.settings);
            let settings = source
                .read()
                .map_err(|fault| EdgeExit::Settings.print(fault))?;
            let log = EventLog::new(arguments.log, settings.host.as_str());
            return actix_rt::System::new().block_on(async move {
                // The codecs update the date in a task of their own, so they need the runtime.
                let (wire, store) = connect(&settings);
                serve(settings, source, wire, store, log).await
            });
        }
    }
    Ok(())
}

/// Parses the command line.
fn read_arguments(
    arguments: impl IntoIterator<Item = OsString>,
) -> Result<EdgeCommand, lexopt::Error> {
    let mut parser = lexopt::Parser::from_iter(arguments);
    let mut settings = None;
    let mut log = LogFormat::JsonOutput;
    let mut check = false;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("settings") => settings = Some(parser.value()?.into()),
            Long("check") => check = true,
            Long("log") => {
                let value = parser.value()?;
                log = match value.to_str() {
                    Some("json") => LogFormat::JsonOutput,
                    Some("off") => LogFormat::Off,
                    _ => return Err("--log: expected json or off".into()),
                };
            }
            Long("help") | Short('h') => return Ok(EdgeCommand::Help),
            Long("version") | Short('V') => return Ok(EdgeCommand::Version),
            _ => return Err(argument.unexpected()),
        }
    }
    let arguments = EdgeArguments { settings, log };
    Ok(if check {
        EdgeCommand::Check(arguments)
    } else {
        EdgeCommand::Run(arguments)
    })
}

/// Runs the gate until a signal to stop, then drains it.
async fn serve<P, W, S>(
    settings: EdgeSettings,
    source: P,
    wire: W,
    store: S,
    log: EventLog,
) -> Result<(), EdgeExit>
where
    P: SettingsSource,
    W: EdgeWire,
    S: FleetStore,
{
    let failed = |error: io::Error| EdgeExit::StartFailed.print(format_args!("signals: {error}"));
    let mut terminated = signal(SignalKind::terminate()).map_err(failed)?;
    let mut interrupted = signal(SignalKind::interrupt()).map_err(failed)?;
    let reload = signal(SignalKind::hangup()).map_err(failed)?;
    let started = start(settings, wire, store, log).await;
    let handle = started.map_err(|error| EdgeExit::StartFailed.print(error))?;
    handle.follow_settings(source, reload);
    tokio::select! {
        _ = terminated.recv() => {}
        _ = interrupted.recv() => {}
    }
    handle.drain().await;
    Ok(())
}
