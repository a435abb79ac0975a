//! Entry point of `ggs-standin`, which stands in for the platform and for servers.

use std::process::ExitCode;

fn main() -> ExitCode {
    ggs_standin::run(std::env::args_os())
}
