//! The `ggs-load` program.

use std::ffi::OsString;
use std::io::{self, Write};
use std::path::Path;
use std::process::ExitCode;

use crate::args::{HELP, LoadCommand, parse};
use crate::run::run_load;
use crate::summary::LoadSummary;

/// What `--version` prints.
const VERSION: &str = concat!("ggs-load ", env!("CARGO_PKG_VERSION"), "\n");

/// Exit code of a bad command line.
const USAGE_CODE: u8 = 2;

/// Exit code of a run in which a caller got a wrong answer.
const WRONG_CODE: u8 = 3;

/// Runs the program with its arguments, the program's own name first.
///
/// ```
/// use std::process::ExitCode;
///
/// let code = ggs_load::run(["ggs-load".into(), "--rate".into(), "0".into()]);
/// assert_eq!(format!("{code:?}"), format!("{:?}", ExitCode::from(2)));
/// ```
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let command = match parse(arguments.into_iter().skip(1)) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("ggs-load: {error}\nTry \"ggs-load --help\".");
            return ExitCode::from(USAGE_CODE);
        }
    };
    let (plan, json) = match command {
        LoadCommand::Help => return exit(&print(HELP)),
        LoadCommand::Version => {
            return exit(&print(VERSION));
        }
        LoadCommand::Run { plan, json } => (plan, json),
    };
    let summary = match actix_rt::System::new().block_on(run_load(plan)) {
        Ok(summary) => summary,
        Err(error) => {
            eprintln!("ggs-load: {error}");
            return ExitCode::FAILURE;
        }
    };
    if let Err(error) = show(&summary, json.as_deref()) {
        eprintln!("ggs-load: {error}");
        return ExitCode::FAILURE;
    }
    if summary.wrong() > 0 {
        return ExitCode::from(WRONG_CODE);
    }
    ExitCode::SUCCESS
}

/// Writes the results for people, and as JSON if asked.
fn show(summary: &LoadSummary, json: Option<&Path>) -> io::Result<()> {
    let text = serde_json::to_string_pretty(summary)? + "\n";
    match json {
        Some(path) if path == Path::new("-") => return print(&text),
        Some(path) => std::fs::write(path, text).map_err(|error| {
            io::Error::new(error.kind(), format!("{}: {error}", path.display()))
        })?,
        None => {}
    }
    print(&format!("{}\n{}", summary.table(), summary.reasons()))?;
    let LoadSummary {
        started,
        seconds,
        rate,
        skipped,
        start_lag_us,
        ..
    } = summary;
    print(&format!(
        "{started} calls in {seconds:.2} s ({rate:.1} a second), {skipped} skipped, \
         started at most {start_lag_us} us late\n"
    ))?;
    if let Some(added) = summary.added {
        let (p50, p99) = (added.p50_us, added.p99_us);
        print(&format!(
            "the gate adds {p50} us at the median, {p99} us at the 99th percentile\n"
        ))?;
    }
    Ok(())
}

/// Prints to standard output at once.
fn print(text: &str) -> io::Result<()> {
    let mut output = io::stdout().lock();
    output.write_all(text.as_bytes())?;
    output.flush()
}

/// The exit code after printing.
fn exit(printed: &io::Result<()>) -> ExitCode {
    if printed.is_ok() {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
