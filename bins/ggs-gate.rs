//! Entry point of `ggs-gate`, the load balancer daemon.

use std::process::ExitCode;

fn main() -> ExitCode {
    ggs_gate::run(std::env::args_os())
}
