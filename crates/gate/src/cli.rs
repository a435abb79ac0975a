//! Command line of `ggs-gate`.

use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

use ggs_observe::{EventLog, LogFormat};
use lexopt::prelude::{Long, ValueExt};
use tokio::signal::unix::{SignalKind, signal};

/// What the command line asks for.
#[derive(Debug)]
enum GateCommand {
    /// Run with a settings file.
    Run(PathBuf),
    /// Check a settings file.
    Check(PathBuf),
}

/// Runs the program.
pub(crate) fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let command = match parse(arguments) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("ggs-gate: {error}");
            return ExitCode::from(2);
        }
    };
    let (path, check) = match command {
        GateCommand::Run(path) => (path, false),
        GateCommand::Check(path) => (path, true),
    };
    let text = match std::fs::read_to_string(&path) {
        Ok(text) => text,
        Err(error) => {
            eprintln!("ggs-gate: {}: {error}", path.display());
            return ExitCode::FAILURE;
        }
    };
    let settings = match ggs_settings::read_gate_settings(&path.display().to_string(), &text) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    if check {
        return ExitCode::SUCCESS;
    }
    let log = EventLog::new(LogFormat::Json, settings.host.as_str());
    actix_rt::System::new().block_on(async move {
        let Ok(mut terminated) = signal(SignalKind::terminate()) else {
            return ExitCode::FAILURE;
        };
        let handle = match crate::start(settings, log).await {
            Ok(handle) => handle,
            Err(error) => {
                eprintln!("ggs-gate: {error}");
                return ExitCode::FAILURE;
            }
        };
        terminated.recv().await;
        handle.drain().await;
        ExitCode::SUCCESS
    })
}

/// Parses the arguments.
fn parse(arguments: impl IntoIterator<Item = OsString>) -> Result<GateCommand, lexopt::Error> {
    let mut parser = lexopt::Parser::from_iter(arguments);
    let mut command = None;
    while let Some(argument) = parser.next()? {
        match argument {
            Long("config") => command = Some(GateCommand::Run(parser.value()?.parse()?)),
            Long("check") => command = Some(GateCommand::Check(parser.value()?.parse()?)),
            _ => return Err(argument.unexpected()),
        }
    }
    command.ok_or_else(|| "--config FILE or --check FILE is required".into())
}
