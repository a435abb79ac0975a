//! Entry point of `ggs-load`, which sends load and checks every answer.

use std::process::ExitCode;

fn main() -> ExitCode {
    ggs_load::run(std::env::args_os())
}
