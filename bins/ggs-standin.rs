//! Entry point of `ggs-standin`.

use std::process::ExitCode;

fn main() -> ExitCode {
    ggs_standin::run(std::env::args_os())
}
