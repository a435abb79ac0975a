//! Command line of `ggs-load`.

use std::ffi::OsString;
use std::io::IsTerminal;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use ggs_model::RequestClass;
use lexopt::{Arg, Parser, ValueExt};

use crate::plan::{LoadPlan, LoadTarget, TrafficShare};

/// The manual that `--help` prints.
pub(crate) const HELP: &str = "\
ggs-load: sends calls to services through gates, checks every answer and measures.

USAGE
    ggs-load --gate ADDR [--gate ADDR ...] [--traffic SHARE ...] [OPTIONS]
    ggs-load --direct ADDR [--traffic SHARE ...] [OPTIONS]
    ggs-load --gate ADDR --compare-direct ADDR [--traffic SHARE ...] [OPTIONS]

Calls arrive at random moments (a Poisson process) whatever became of the earlier ones, and latency
counts from the moment at which a call was due. A call asks a gate which addresses to use, keeps the
answer for as long as it allows, tries the addresses in order, takes a key for a non-idempotent
request from the gate that it sends it to, and is sent again only when it did not run or may run
twice, after the wait that the gate asked for.

TARGETS
    --gate ADDR             a gate to ask for addresses; any number
    --direct ADDR           a server that is called without a gate
    --compare-direct ADDR   a server that every other call goes to straight, to tell what gates add

TRAFFIC
    --traffic SHARE   SERVICE/CLASS[,weight=N][,keyed][,ms=N][,bytes=N][,pace-ms=N][,deadline-ms=N]
                      CLASS is urgent, standard or export; keyed calls are non-idempotent; ms is the
                      time that a stand-in server runs, bytes the length of its answer, pace-ms the
                      time between its pieces. Any number of shares [roster/standard]
    --rate N          calls a second [100]
    --seconds N       time in which calls are started [10]
    --count N         most calls started
    --in-flight N     most calls at once; calls beyond are skipped and counted [4000]
    --retries N       most retries of one call [3]
    --seed N          seed of arrivals [1]

OUTPUT
    --json FILE       writes the results as JSON; - is standard output
    -h, --help        prints this text
    -V, --version     prints the version

A progress bar is drawn on standard error if that is a terminal.

EXIT CODES
    0 all answers were the callers' own and whole or failed clearly
    1 the run could not be carried out
    2 bad command line
    3 a caller got another's answer, or a part that was given for the whole
";

/// What the command line asks for.
#[derive(Debug)]
pub(crate) enum LoadCommand {
    /// Print the manual.
    Help,
    /// Print the version.
    Version,
    /// Carry out a plan.
    Run {
        /// The plan.
        plan: LoadPlan,
        /// Where the results go as JSON.
        json: Option<PathBuf>,
    },
}

/// Flags as given, before they are checked.
#[derive(Debug)]
struct LoadFlags {
    gates: Vec<SocketAddr>,
    direct: Option<SocketAddr>,
    compared: Option<SocketAddr>,
    json: Option<PathBuf>,
    plan: LoadPlan,
}

/// Reads the command line, without the program's name.
pub(crate) fn parse(
    arguments: impl IntoIterator<Item = OsString>,
) -> Result<LoadCommand, lexopt::Error> {
    let mut parser = Parser::from_args(arguments);
    let mut flags = LoadFlags {
        gates: Vec::new(),
        direct: None,
        compared: None,
        json: None,
        plan: LoadPlan::new(LoadTarget::Gates(Vec::new()), Vec::new()),
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(LoadCommand::Help),
            Arg::Short('V') | Arg::Long("version") => return Ok(LoadCommand::Version),
            Arg::Long(name) => {
                let name = name.to_owned();
                flags.set(&name, &mut parser)?;
            }
            other => return Err(other.unexpected()),
        }
    }
    flags.check()
}

impl LoadFlags {
    /// Sets one flag from its value.
    fn set(&mut self, name: &str, parser: &mut Parser) -> Result<(), lexopt::Error> {
        let plan = &mut self.plan;
        match name {
            "gate" => self.gates.push(parser.value()?.parse()?),
            "direct" => self.direct = Some(parser.value()?.parse()?),
            "compare-direct" => self.compared = Some(parser.value()?.parse()?),
            "traffic" => plan.shares.push(parser.value()?.parse()?),
            "rate" => plan.rate = parser.value()?.parse()?,
            "seconds" => plan.length = parser.value()?.parse_with(read_seconds)?,
            "count" => plan.count = parser.value()?.parse()?,
            "in-flight" => plan.in_flight = parser.value()?.parse()?,
            "retries" => plan.retries = parser.value()?.parse()?,
            "seed" => plan.seed = parser.value()?.parse()?,
            "json" => self.json = Some(PathBuf::from(parser.value()?)),
            _ => return Err(Arg::Long(name).unexpected()),
        }
        Ok(())
    }

    /// The command that the flags make up.
    fn check(self) -> Result<LoadCommand, lexopt::Error> {
        let mut plan = self.plan;
        plan.target = match (self.gates, self.direct, self.compared) {
            (gates, None, None) if !gates.is_empty() => LoadTarget::Gates(gates),
            (gates, None, Some(direct)) if !gates.is_empty() => {
                LoadTarget::Compared { gates, direct }
            }
            (gates, Some(server), None) if gates.is_empty() => LoadTarget::Direct(server),
            _ => return Err("name --gate, --direct, or --gate with --compare-direct".into()),
        };
        if !(plan.rate > 0.0 && plan.rate.is_finite()) {
            return Err("--rate is not a positive number".into());
        }
        if plan.shares.is_empty() {
            plan.shares
                .push(TrafficShare::new("roster", RequestClass::Standard));
        }
        plan.progress = std::io::stderr().is_terminal();
        let json = self.json;
        Ok(LoadCommand::Run { plan, json })
    }
}

/// A duration from seconds.
fn read_seconds(text: &str) -> Result<Duration, String> {
    let seconds: f64 = text.parse().map_err(|_| "is not a number".to_owned())?;
    Duration::try_from_secs_f64(seconds).map_err(|error| error.to_string())
}
