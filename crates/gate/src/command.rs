//! Parses the command line of `ggs-gate` into one checked value.
//!
//! Parsing is separate from running, so that each combination of flags can be tested without a
//! process.

use std::ffi::{OsStr, OsString};
use std::fmt;
use std::path::PathBuf;

use ggs_observe::LogFormat;
use lexopt::prelude::{Long, Short};

/// A valid command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GateCommand {
    /// Run a gate.
    Run {
        /// Path of the settings file.
        config: PathBuf,
        /// Format of the event log; JSON unless `--log` says otherwise.
        log: LogFormat,
    },
    /// Check a settings file and exit.
    Check {
        /// Path of the settings file.
        config: PathBuf,
    },
    /// Print the manual.
    Help,
    /// Print the version.
    Version,
}

/// Why a command line is invalid.
#[derive(Debug)]
pub enum UsageError {
    /// A flag is unknown or lacks its value.
    Flag(lexopt::Error),
    /// Neither `--config` nor `--check` was given.
    NoFile,
    /// Both `--config` and `--check` were given.
    TwoFiles,
    /// A flag was given twice.
    Repeated {
        /// The flag, with its leading dashes.
        flag: &'static str,
    },
    /// The value of `--log` is neither `json` nor `off`.
    LogFormat {
        /// The value as given.
        value: String,
    },
    /// `--log` was given with `--check`, which logs nothing.
    LogUnused,
}

impl fmt::Display for UsageError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Flag(error) => write!(formatter, "{error}"),
            Self::NoFile => formatter.write_str("--config FILE or --check FILE is required"),
            Self::TwoFiles => formatter.write_str("--config and --check cannot be used together"),
            Self::Repeated { flag } => write!(formatter, "{flag} is given more than once"),
            Self::LogFormat { value } => {
                write!(formatter, "--log: expected json or off, found {value:?}")
            }
            Self::LogUnused => formatter.write_str("--log cannot be used with --check"),
        }
    }
}

impl std::error::Error for UsageError {}

impl From<lexopt::Error> for UsageError {
    fn from(error: lexopt::Error) -> Self {
        Self::Flag(error)
    }
}

/// The flags of a command line, before their combination is checked.
#[derive(Debug, Default)]
struct LowFlags {
    config: Option<OsString>,
    check: Option<OsString>,
    log: Option<OsString>,
    help: bool,
    version: bool,
}

/// Parses and checks a command line whose first word is the program's name.
///
/// # Errors
///
/// Fails if a flag is unknown, repeated or without its value, or if the flags cannot be combined.
///
/// ```
/// use ggs_gate::{GateCommand, read_command_line};
///
/// let command = read_command_line(["ggs-gate", "--check", "gate.json"].map(Into::into));
/// let config = "gate.json".into();
/// assert_eq!(command.unwrap(), GateCommand::Check { config });
/// ```
pub fn read_command_line(
    arguments: impl IntoIterator<Item = OsString>,
) -> Result<GateCommand, UsageError> {
    let flags = read_flags(arguments)?;
    if flags.help {
        return Ok(GateCommand::Help);
    }
    if flags.version {
        return Ok(GateCommand::Version);
    }
    match (flags.config, flags.check) {
        (Some(_), Some(_)) => Err(UsageError::TwoFiles),
        (None, None) => Err(UsageError::NoFile),
        (None, Some(_)) if flags.log.is_some() => Err(UsageError::LogUnused),
        (None, Some(config)) => Ok(GateCommand::Check {
            config: config.into(),
        }),
        (Some(config), None) => Ok(GateCommand::Run {
            config: config.into(),
            log: read_log_format(flags.log.as_deref())?,
        }),
    }
}

/// Parses the arguments into flags.
fn read_flags(arguments: impl IntoIterator<Item = OsString>) -> Result<LowFlags, UsageError> {
    let mut parser = lexopt::Parser::from_iter(arguments);
    let mut flags = LowFlags::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("config") => set_once("--config", &mut flags.config, parser.value()?)?,
            Long("check") => set_once("--check", &mut flags.check, parser.value()?)?,
            Long("log") => set_once("--log", &mut flags.log, parser.value()?)?,
            Long("help") | Short('h') => flags.help = true,
            Long("version") | Short('V') => flags.version = true,
            _ => return Err(argument.unexpected().into()),
        }
    }
    Ok(flags)
}

/// Stores the value of a flag, and fails if it has one already.
fn set_once(
    flag: &'static str,
    stored: &mut Option<OsString>,
    value: OsString,
) -> Result<(), UsageError> {
    match stored.replace(value) {
        None => Ok(()),
        Some(_) => Err(UsageError::Repeated { flag }),
    }
}

/// Parses the value of `--log`; without one the format is JSON.
fn read_log_format(value: Option<&OsStr>) -> Result<LogFormat, UsageError> {
    let value = value.unwrap_or(OsStr::new("json")).to_string_lossy();
    match &*value {
        "json" => Ok(LogFormat::Json),
        "off" => Ok(LogFormat::Off),
        _ => Err(UsageError::LogFormat {
            value: value.into_owned(),
        }),
    }
}
