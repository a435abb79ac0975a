//! Entry point of `ggs-edge`.

use std::process::ExitCode;

use ggs_platform::{PlatformSettings, PlatformStore, PlatformWire};

fn main() -> ExitCode {
    ggs_edge::run(std::env::args_os(), PlatformSettings::new, |settings| {
        (PlatformWire::default(), PlatformStore::new(settings.store))
    })
}
