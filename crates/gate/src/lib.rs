//! The load balancer daemon `ggs-gate`: [`run`] is the program, [`start`] runs a gate inside
//! another process.
//!
//! Callers ask any gate for the addresses of gates and connect to one of those, which forwards
//! their requests to servers. A gate runs on one thread. Its state is a [`core::GateCore`], shared
//! by the tasks that accept callers, read documents and servers from the platform, and exchange
//! state with other gates. Decisions such as the choice of a server, admission, retries and leases
//! are made in other crates, without input or output; this crate connects them to sockets.

mod answer;
mod body;
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

/// Runs the program with a command line whose first word is the program's name, and returns its
/// exit code.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    cli::run(arguments)
}
