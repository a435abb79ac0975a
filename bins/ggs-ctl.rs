//! Entry point of `ggs-ctl`, the operators' command line.

use std::process::ExitCode;

fn main() -> ExitCode {
    ggs_ctl::run(std::env::args_os())
}
