//! Runs the program `ggs-gate`: prints the manual or the version, checks settings, or runs a gate
//! until a signal, and maps each way to end to an exit code.

use std::ffi::OsString;
use std::fmt::Display;
use std::path::Path;
use std::process::ExitCode;

use ggs_observe::{EventLog, LogEvent, LogFormat};
use ggs_settings::GateSettings;
use tokio::signal::unix::{Signal, SignalKind, signal};

use crate::StartError;
use crate::command::{GateCommand, read_command_line};

/// Text of `--help`.
const MANUAL: &str = r"ggs-gate - entry daemon of the greengageshelf load balancer

USAGE
    ggs-gate --config FILE [--log json|off]
    ggs-gate --check FILE

One gate runs on each entry host; all gates are equal. Callers ask any of them for
the gate addresses of a service and send their requests to those. A gate keeps
nothing on disk: documents come from the platform's table and from the other gates.

FLAGS
    --config FILE    Run with these settings (JSON with comments).
    --check FILE     Check settings, print every fault with line, column and field,
                     and end. Nothing is bound.
    --log FORMAT     json: one object a line on standard error; off: nothing
                     [default: json]. docs/EVENTS.md lists the events.
    -h, --help       Print this manual.
    -V, --version    Print the version.

SIGNALS
    SIGTERM, SIGINT  Drain: the gate is no longer advertised to callers, accepts them
                     until the last entry answer that names it has expired, finishes
                     every request, and ends.

EXIT CODES
     0   done: checked without a fault, or drained
     1   the settings file could not be read
     2   the command line is wrong
     3   the settings have faults
     4   an address could not be bound, or the process could not set up its signals";

/// Exit codes for failures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
enum GateExit {
    /// The settings file could not be read, or is not UTF-8.
    FileFailed = 1,
    /// The command line is wrong.
    Usage = 2,
    /// The settings have faults.
    Faults = 3,
    /// An address could not be bound, or a signal handler could not be installed.
    StartFailed = 4,
}

impl GateExit {
    /// Prints a message on standard error, and returns the exit code.
    fn report(self, message: impl Display) -> Self {
        eprintln!("ggs-gate: {message}");
        self
    }
}

/// Runs the program with a command line whose first word is the program's name.
pub(crate) fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    match execute(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(exit) => ExitCode::from(exit as u8),
    }
}

/// Parses and executes the command line.
fn execute(arguments: impl IntoIterator<Item = OsString>) -> Result<(), GateExit> {
    let command = read_command_line(arguments).map_err(|error| {
        GateExit::Usage.report(format_args!(
            "{error}\nrun \"ggs-gate --help\" for the manual"
        ))
    })?;
    match command {
        GateCommand::Help => println!("{MANUAL}"),
        GateCommand::Version => println!("ggs-gate {}", env!("CARGO_PKG_VERSION")),
        GateCommand::Check { config } => {
            read_settings(&config, LogFormat::Off)?;
            println!("{}: settings have no fault", config.display());
        }
        GateCommand::Run { config, log } => {
            let settings = read_settings(&config, log)?;
            let log = EventLog::new(log, settings.host.as_str());
            return actix_rt::System::new().block_on(serve(settings, log));
        }
    }
    Ok(())
}

/// Reads and checks the settings; prints all their faults and logs how many there are.
fn read_settings(path: &Path, log: LogFormat) -> Result<GateSettings, GateExit> {
    let name = path.display().to_string();
    let text = std::fs::read_to_string(path)
        .map_err(|error| GateExit::FileFailed.report(format_args!("{name}: {error}")))?;
    ggs_settings::read_gate_settings(&name, &text).map_err(|error| {
        eprintln!("{error}");
        // Log lines name the host, which is not known when the settings have faults.
        let pairs = slog::o!("faults" => error.faults.len());
        EventLog::new(log, "").emit(LogEvent::SettingsInvalid, "settings have faults", pairs);
        GateExit::Faults
    })
}

/// Runs a gate until SIGTERM or SIGINT, then drains it.
async fn serve(settings: GateSettings, log: EventLog) -> Result<(), GateExit> {
    let mut terminated = register_signal(SignalKind::terminate())?;
    let mut interrupted = register_signal(SignalKind::interrupt())?;
    let handle = match crate::start(settings, log.clone()).await {
        Ok(handle) => handle,
        Err(error @ StartError::Bind { .. }) => {
            let pairs = slog::o!("cause" => error.to_string());
            log.emit(LogEvent::BindFailed, "address cannot be bound", pairs);
            return Err(GateExit::StartFailed.report(error));
        }
    };
    tokio::select! {
        _ = terminated.recv() => {}
        _ = interrupted.recv() => {}
    }
    handle.drain().await;
    Ok(())
}

/// Installs a handler for a signal.
fn register_signal(kind: SignalKind) -> Result<Signal, GateExit> {
    signal(kind).map_err(|error| {
        GateExit::StartFailed.report(format_args!("signal handler cannot be installed: {error}"))
    })
}
