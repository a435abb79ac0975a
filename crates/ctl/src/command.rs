//! The command line as one checked value.

use std::ffi::{OsStr, OsString};
use std::fmt;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use ggs_model::{DocumentRevision, EditId, ServiceName};
use strum::{Display, EnumIter, EnumString, IntoEnumIterator};

use crate::flags::{LowFlags, read_flags};

/// Environment variable that names gates, separated by commas or blanks.
pub const GATES_VARIABLE: &str = "GGS_GATES";

/// Time after which a silent gate is given up.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(5);

/// Time that `apply` waits for an edit to be in force everywhere.
const DEFAULT_WAIT: Duration = Duration::from_secs(15);

/// Longest `--timeout` and `--wait`, in seconds.
const MAX_SECONDS: f64 = 3_600.0;

/// Names of the commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum CommandName {
    Apply,
    Get,
    Diff,
    Check,
    Status,
    Bill,
}

/// What the operator asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum CtlCommand {
    /// Print the manual, of one command or of the program.
    Help(Option<CommandName>),
    /// Print the version.
    Version,
    /// Check a file without any gate.
    Check(PathBuf),
    /// Change a document.
    Apply(ApplyOptions),
    /// Print a document.
    Get(ServiceName),
    /// Compare a file with the accepted document.
    Diff(PathBuf),
    /// Show what each gate has in force.
    Status,
    /// Show what measuring cost.
    Bill,
}

/// How to change a document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct ApplyOptions {
    /// The file with the document.
    pub(crate) file: PathBuf,
    /// The revision that the edit starts from, if a flag names it.
    pub(crate) base: Option<DocumentRevision>,
    /// The edit's identity, if a flag names it.
    pub(crate) edit: Option<EditId>,
    /// Time to wait until the edit is in force everywhere.
    pub(crate) wait: Duration,
    /// Whether the file's revision comment is brought up to date.
    pub(crate) update_file: bool,
}

/// A checked command line.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct CtlOptions {
    /// What to do.
    pub(crate) command: CtlCommand,
    /// Gates in the order in which they are tried.
    pub(crate) gates: Vec<SocketAddr>,
    /// Time after which a silent gate is given up.
    pub(crate) timeout: Duration,
    /// Whether the result is printed as JSON.
    pub(crate) json: bool,
}

/// What is wrong with a command line.
#[derive(Debug)]
pub(crate) enum UsageError {
    /// A flag is unknown or lacks its value.
    Flag(lexopt::Error),
    /// No command was given.
    NoCommand,
    /// There is no such command.
    UnknownCommand(String),
    /// The command has another number of operands.
    Operands {
        command: CommandName,
        expected: &'static str,
    },
    /// The flag means nothing to the command.
    Unused {
        command: CommandName,
        flag: &'static str,
    },
    /// The value of a flag cannot be read.
    Value {
        flag: &'static str,
        value: String,
        expected: &'static str,
    },
    /// The command needs a gate and none was named.
    NoGate,
}

impl fmt::Display for UsageError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Flag(error) => write!(formatter, "{error}"),
            Self::NoCommand => {
                write!(formatter, "no command; commands are {}", command_names())
            }
            Self::UnknownCommand(name) => {
                let names = command_names();
                write!(formatter, "unknown command {name:?}; commands are {names}")
            }
            Self::Operands { command, expected } => {
                write!(formatter, "command \"{command}\" takes {expected}")
            }
            Self::Unused { command, flag } => {
                write!(
                    formatter,
                    "flag {flag} means nothing to command \"{command}\""
                )
            }
            Self::Value {
                flag,
                value,
                expected,
            } => write!(formatter, "{flag}: expected {expected}, found {value:?}"),
            Self::NoGate => write!(
                formatter,
                "no gate named; give --gate ADDRESS or set {GATES_VARIABLE}"
            ),
        }
    }
}

impl From<lexopt::Error> for UsageError {
    fn from(error: lexopt::Error) -> Self {
        Self::Flag(error)
    }
}

/// The commands' names for messages.
fn command_names() -> String {
    let names: Vec<_> = CommandName::iter().map(|name| name.to_string()).collect();
    names.join(", ")
}

/// Reads and checks a command line; `gates` is the value of [`GATES_VARIABLE`].
pub(crate) fn read_command(
    arguments: impl IntoIterator<Item = OsString>,
    gates: Option<&OsStr>,
) -> Result<CtlOptions, UsageError> {
    let flags = read_flags(arguments)?;
    let timeout = read_seconds("--timeout", flags.timeout.as_deref(), DEFAULT_TIMEOUT)?;
    let json = flags.json;
    let command = check_command(&flags)?;
    let needs_gate = !matches!(
        command,
        CtlCommand::Help(_) | CtlCommand::Version | CtlCommand::Check(_)
    );
    let gates = if needs_gate {
        read_gates(&flags, gates)?
    } else {
        Vec::new()
    };
    Ok(CtlOptions {
        command,
        gates,
        timeout,
        json,
    })
}

/// Checks the command and its operands.
fn check_command(flags: &LowFlags) -> Result<CtlCommand, UsageError> {
    if flags.version {
        return Ok(CtlCommand::Version);
    }
    let name = flags.operands.first().map(|name| name.to_string_lossy());
    let Some(text) = name else {
        return if flags.help {
            Ok(CtlCommand::Help(None))
        } else {
            Err(UsageError::NoCommand)
        };
    };
    let unknown = |_| UsageError::UnknownCommand(text.clone().into_owned());
    let name: CommandName = text.parse().map_err(unknown)?;
    if flags.help {
        return Ok(CtlCommand::Help(Some(name)));
    }
    check_unused(name, flags)?;
    let operands = &flags.operands[1..];
    match name {
        CommandName::Apply => check_apply(one_operand(name, operands, "one FILE")?, flags),
        CommandName::Get => {
            let service = one_operand(name, operands, "one SERVICE")?;
            Ok(CtlCommand::Get(ServiceName::new(
                &service.to_string_lossy(),
            )))
        }
        CommandName::Diff => {
            let file = one_operand(name, operands, "one FILE")?;
            Ok(CtlCommand::Diff(file.into()))
        }
        CommandName::Check => {
            let file = one_operand(name, operands, "one FILE")?;
            Ok(CtlCommand::Check(file.into()))
        }
        CommandName::Status => no_operand(name, operands, CtlCommand::Status),
        CommandName::Bill => no_operand(name, operands, CtlCommand::Bill),
    }
}

/// Checks that flags of `apply` are not given to another command.
fn check_unused(command: CommandName, flags: &LowFlags) -> Result<(), UsageError> {
    if command == CommandName::Apply {
        return Ok(());
    }
    let given = [
        ("--base", flags.base.is_some()),
        ("--edit", flags.edit.is_some()),
        ("--wait", flags.wait.is_some()),
        ("--update-file", flags.update_file),
    ];
    match given.into_iter().find(|(_, given)| *given) {
        Some((flag, _)) => Err(UsageError::Unused { command, flag }),
        None => Ok(()),
    }
}

/// The only operand of a command.
fn one_operand<'f>(
    command: CommandName,
    operands: &'f [OsString],
    expected: &'static str,
) -> Result<&'f OsStr, UsageError> {
    match operands {
        [operand] if !operand.is_empty() => Ok(operand),
        _ => Err(UsageError::Operands { command, expected }),
    }
}

/// A command without operands.
fn no_operand(
    command: CommandName,
    operands: &[OsString],
    checked: CtlCommand,
) -> Result<CtlCommand, UsageError> {
    if operands.is_empty() {
        return Ok(checked);
    }
    let expected = "no operand";
    Err(UsageError::Operands { command, expected })
}

/// Checks the flags of `apply`.
fn check_apply(file: &OsStr, flags: &LowFlags) -> Result<CtlCommand, UsageError> {
    let base = read_value("--base", flags.base.as_deref(), "a revision number")?;
    let edit = read_value(
        "--edit",
        flags.edit.as_deref(),
        "32 hexadecimal digits in lower case",
    )?;
    let wait = read_seconds("--wait", flags.wait.as_deref(), DEFAULT_WAIT)?;
    Ok(CtlCommand::Apply(ApplyOptions {
        file: file.into(),
        base: base.map(DocumentRevision),
        edit,
        wait,
        update_file: flags.update_file,
    }))
}

/// Parses the value of a flag that was given.
fn read_value<T: std::str::FromStr>(
    flag: &'static str,
    value: Option<&OsStr>,
    expected: &'static str,
) -> Result<Option<T>, UsageError> {
    let Some(value) = value.map(OsStr::to_string_lossy) else {
        return Ok(None);
    };
    let wrong = |_| UsageError::Value {
        flag,
        value: value.clone().into_owned(),
        expected,
    };
    value.parse().map(Some).map_err(wrong)
}

/// Parses a time in seconds.
fn read_seconds(
    flag: &'static str,
    value: Option<&OsStr>,
    default: Duration,
) -> Result<Duration, UsageError> {
    let expected = "seconds from 0 to 3600";
    let Some(seconds) = read_value::<f64>(flag, value, expected)? else {
        return Ok(default);
    };
    if (0.0..=MAX_SECONDS).contains(&seconds) {
        return Ok(Duration::from_secs_f64(seconds));
    }
    let value = seconds.to_string();
    Err(UsageError::Value {
        flag,
        value,
        expected,
    })
}

/// The gates of the flags, or those of the environment when no flag names any.
fn read_gates(flags: &LowFlags, variable: Option<&OsStr>) -> Result<Vec<SocketAddr>, UsageError> {
    let expected = "an IP address and a port such as 10.0.0.1:8080";
    let (flag, texts) = if flags.gates.is_empty() {
        let text = variable.unwrap_or_default().to_string_lossy().into_owned();
        let parts = text.split([',', ' ']).filter(|part| !part.is_empty());
        (GATES_VARIABLE, parts.map(str::to_owned).collect::<Vec<_>>())
    } else {
        let texts = flags
            .gates
            .iter()
            .map(|gate| gate.to_string_lossy().into_owned());
        ("--gate", texts.collect())
    };
    let mut gates = Vec::with_capacity(texts.len());
    for value in texts {
        let Ok(gate) = value.parse() else {
            return Err(UsageError::Value {
                flag,
                value,
                expected,
            });
        };
        if !gates.contains(&gate) {
            gates.push(gate);
        }
    }
    if gates.is_empty() {
        return Err(UsageError::NoGate);
    }
    Ok(gates)
}
