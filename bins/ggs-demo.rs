//! Entry point of `ggs-demo`.

use std::process::ExitCode;

fn main() -> ExitCode {
    ggs_demo::run(std::env::args_os())
}
