//! Entry point of `ggs-demo`, which runs a whole system in one process.

use std::process::ExitCode;

fn main() -> ExitCode {
    ggs_demo::run(std::env::args_os())
}
