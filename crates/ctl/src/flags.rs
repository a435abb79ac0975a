//! Flags as they stand on the command line, before they are checked.

use std::ffi::OsString;

use lexopt::prelude::{Long, Short, Value};

/// Flags and operands, not yet checked against the command.
#[derive(Debug, Default)]
#[expect(clippy::struct_excessive_bools, reason = "each is a flag of its own")]
pub(crate) struct LowFlags {
    /// The command and its operands.
    pub(crate) operands: Vec<OsString>,
    /// Each `--gate`.
    pub(crate) gates: Vec<OsString>,
    /// `--base`.
    pub(crate) base: Option<OsString>,
    /// `--edit`.
    pub(crate) edit: Option<OsString>,
    /// `--wait`.
    pub(crate) wait: Option<OsString>,
    /// `--timeout`.
    pub(crate) timeout: Option<OsString>,
    /// `--json`.
    pub(crate) json: bool,
    /// `--update-file`.
    pub(crate) update_file: bool,
    /// `--help` or `-h`.
    pub(crate) help: bool,
    /// `--version` or `-V`.
    pub(crate) version: bool,
}

/// Splits the arguments, the program's own name first, into flags and operands.
pub(crate) fn read_flags(
    arguments: impl IntoIterator<Item = OsString>,
) -> Result<LowFlags, lexopt::Error> {
    let mut parser = lexopt::Parser::from_iter(arguments);
    let mut flags = LowFlags::default();
    while let Some(argument) = parser.next()? {
        match argument {
            Long("gate") | Short('g') => flags.gates.push(parser.value()?),
            Long("base") => flags.base = Some(parser.value()?),
            Long("edit") => flags.edit = Some(parser.value()?),
            Long("wait") => flags.wait = Some(parser.value()?),
            Long("timeout") => flags.timeout = Some(parser.value()?),
            Long("json") => flags.json = true,
            Long("update-file") => flags.update_file = true,
            Long("help") | Short('h') => flags.help = true,
            Long("version") | Short('V') => flags.version = true,
            Value(operand) => flags.operands.push(operand),
            _ => return Err(argument.unexpected()),
        }
    }
    Ok(flags)
}
