//! Entry point of `ggs-load`.

use std::process::ExitCode;

fn main() -> ExitCode {
    ggs_load::run(std::env::args_os())
}
