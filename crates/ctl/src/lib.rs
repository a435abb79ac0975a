//! Library behind `ggs-ctl`, the operators' command line.
//!
//! The command line is read into low-level flags, then checked into one typed value
//! (`command::CtlOptions`); only then is any gate asked. Standard output carries results, standard
//! error messages, and [`ExitKind`] tells scripts how a command ended.

mod apply;
mod client;
mod command;
mod console;
mod difference;
mod edit;
mod execute;
mod exit;
mod file;
mod flags;
mod fleet;
mod help;
mod table;

use std::ffi::OsString;
use std::process::ExitCode;

pub use command::GATES_VARIABLE;
pub use console::Console;
pub use execute::execute;
pub use exit::ExitKind;

/// Runs the program with its arguments, the program's own name first.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let gates = std::env::var_os(GATES_VARIABLE);
    let mut console = Console::new(std::io::stdout(), std::io::stderr());
    let system = actix_rt::System::new();
    let exit = system.block_on(execute(arguments, gates.as_deref(), &mut console));
    exit.into()
}
