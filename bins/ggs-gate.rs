//! Entry point of `ggs-gate`.

use std::process::ExitCode;

fn main() -> ExitCode {
    ggs_gate::run(std::env::args_os())
}
