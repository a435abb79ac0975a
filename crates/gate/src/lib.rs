//! Library behind `ggs-gate`: the entry daemon, and [`start`] to run one inside a process.
//!
//! A gate runs on one thread. Its state is a [`core::GateCore`] shared by the tasks that accept
//! callers, follow the platform and exchange state with other gates. All decisions live in the other
//! crates; this one connects them to sockets.

mod answer;
mod body;
mod caller;
mod chooser;
mod cli;
mod command;
mod core;
mod documents;
mod edits;
mod entries;
mod forward;
mod handle;
mod key_forward;
mod key_issue;
mod key_refusal;
mod keyed;
mod keys;
mod listen;
mod peers;
mod probes;
mod request;
mod route;
mod servers;
mod span;
mod status;
mod transport;

use std::ffi::OsString;
use std::process::ExitCode;

pub use command::{GateCommand, UsageError, read_command_line};
pub use handle::{GateHandle, StartError, start};

/// Runs the program with its arguments, the program's own name first.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    cli::run(arguments)
}
