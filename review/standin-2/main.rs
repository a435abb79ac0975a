//! Stand-ins and clients of the scripts in `review/6` and after: `case N FOLDER` plays a case and writes
//! `record.txt` into its folder; `server ...` is one run of a server.

mod crashes;
mod directory;
mod limits;
mod server;
mod store;
mod trackers;
mod wire;
mod world;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match arguments.first().map(String::as_str) {
        Some("server") => {
            server::run(&arguments[1..]);
            ExitCode::SUCCESS
        }
        Some("streams") => crashes::play(&crashes::STREAMED, &arguments[1], trouble),
        Some("together") => crashes::play(&crashes::TOGETHER, &arguments[1], trouble),
        Some("left") => crashes::play(&crashes::LEFT, &arguments[1], trouble),
        Some("one-by-one") => crashes::play(&crashes::ONE_BY_ONE, &arguments[1], trouble),
        Some("directory") => directory::play(&arguments[1], trouble),
        Some("trackers") => trackers::play(&arguments[1], trouble),
        Some("limits") => limits::play(&arguments[1], trouble),
        _ => {
            eprintln!("unknown case");
            ExitCode::from(2)
        }
    }
}
