//! Entry point of `ggs-edge`, which connects the gate to the adapters of the platform.

use std::process::ExitCode;

use ggs_platform::{PlatformSettings, PlatformStore, PlatformWire};

fn main() -> ExitCode {
    ggs_edge::run(std::env::args_os(), PlatformSettings::new, |settings| {
        (PlatformWire::default(), PlatformStore::new(settings.store))
    })
}
