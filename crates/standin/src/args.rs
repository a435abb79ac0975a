//! Command line of `ggs-standin`.

use std::ffi::OsString;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use ggs_model::{DataCentre, ServiceName};
use lexopt::{Arg, Parser, ValueExt};

use crate::{PlatformOptions, ServerOptions};

/// The manual that `--help` prints.
pub(crate) const HELP: &str = "\
ggs-standin: stand-ins for the platform and for servers, for tests and trials.

USAGE
    ggs-standin platform [--listen ADDR] [--admin ADDR] [--hosts-lag-ms N]
    ggs-standin server   [--listen ADDR] [--admin ADDR] [--service NAME] [--data-centre NAME]
                         [--slots N] [--queue N] [--service-ms N] [--probe-ms N] [--cold-ms N]
                         [--register URL] [--count N]

Prints a line with its addresses for each stand-in that is ready. SIGTERM drains servers, waits for
their work to end and exits; the platform's state is lost with its process.

OPTIONS
    --listen ADDR       address and port; port 0 takes a free one [127.0.0.1:0]
    --admin ADDR        address of the port that serves /admin alone [127.0.0.1:0]
    --hosts-lag-ms N    time until a change of the host list is shown [0]
    --service NAME      service that the server answers for [roster]
    --data-centre NAME  where the server stands [dc1]
    --slots N           requests that run at once [3]
    --queue N           requests that may wait; more are shed [30]
    --service-ms N      time that a request runs unless its query has ms=N [3]
    --probe-ms N        time that GET /load takes [0]
    --cold-ms N         time after the start in which runs take five times as long [0]
    --register URL      platform whose host list the server enters
    --count N           servers to start, on ports that follow one another if one is given [1]
    -h, --help          print this text
    -V, --version       print the version

FAULTS
    PUT /admin/faults takes a JSON object and sets all faults at once; {} ends all.
    platform: slow_ms, down (up, unavailable, refused), lose_answers, freeze, silence_connections
    server:   slow_factor, freeze, silence_connections, fail_fast, cut_after, lose_answers, report,
              report_lag_ms, health_status, down, crash_path, restart_ms
    POST /admin/drain drains a server. GET /admin/runs[?by=key] and GET /admin/probes show counts.

EXIT CODES
    0 ended as asked, 1 could not start, 2 bad command line
";

/// What the command line asks for.
#[derive(Debug)]
pub(crate) enum StandinCommand {
    /// Print the manual.
    Help,
    /// Print the version.
    Version,
    /// Run a platform.
    Platform(PlatformOptions),
    /// Run servers.
    Servers {
        /// Options of the first.
        options: Box<ServerOptions>,
        /// How many.
        count: u16,
    },
}

/// Flags as given, before they are checked.
#[derive(Debug)]
struct StandinFlags {
    part: Option<String>,
    listen: SocketAddr,
    hosts_lag: Duration,
    count: u16,
    server: ServerOptions,
}

/// Reads the command line, without the program's name.
pub(crate) fn parse(
    arguments: impl IntoIterator<Item = OsString>,
) -> Result<StandinCommand, lexopt::Error> {
    let mut parser = Parser::from_args(arguments);
    let mut flags = StandinFlags {
        part: None,
        listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
        hosts_lag: Duration::ZERO,
        count: 1,
        server: ServerOptions::default(),
    };
    while let Some(argument) = parser.next()? {
        match argument {
            Arg::Short('h') | Arg::Long("help") => return Ok(StandinCommand::Help),
            Arg::Short('V') | Arg::Long("version") => return Ok(StandinCommand::Version),
            Arg::Value(value) if flags.part.is_none() => flags.part = Some(value.string()?),
            Arg::Long(name) => {
                let name = name.to_owned();
                flags.set(&name, &mut parser)?;
            }
            other => return Err(other.unexpected()),
        }
    }
    flags.check()
}

impl StandinFlags {
    /// Sets one flag from its value.
    fn set(&mut self, name: &str, parser: &mut Parser) -> Result<(), lexopt::Error> {
        let server = &mut self.server;
        match name {
            "listen" => self.listen = parser.value()?.parse()?,
            "admin" => server.admin = parser.value()?.parse()?,
            "hosts-lag-ms" => self.hosts_lag = millis(parser)?,
            "service" => server.service = ServiceName::new(&parser.value()?.string()?),
            "data-centre" => server.data_centre = DataCentre::new(&parser.value()?.string()?),
            "slots" => server.slots = parser.value()?.parse()?,
            "queue" => server.queue_limit = parser.value()?.parse()?,
            "service-ms" => server.service_time = millis(parser)?,
            "probe-ms" => server.probe_time = millis(parser)?,
            "cold-ms" => server.cold = millis(parser)?,
            "register" => server.register = Some(parser.value()?.string()?),
            "count" => self.count = parser.value()?.parse()?,
            _ => return Err(Arg::Long(name).unexpected()),
        }
        Ok(())
    }

    /// The command that the flags make up.
    fn check(mut self) -> Result<StandinCommand, lexopt::Error> {
        self.server.listen = self.listen;
        match self.part.as_deref() {
            Some("platform") => Ok(StandinCommand::Platform(PlatformOptions {
                listen: self.listen,
                admin: self.server.admin,
                hosts_lag: self.hosts_lag,
            })),
            Some("server") => Ok(StandinCommand::Servers {
                options: Box::new(self.server),
                count: self.count,
            }),
            Some(part) => Err(format!("part \"{part}\" is not \"platform\" or \"server\"").into()),
            None => Err("name a part: \"platform\" or \"server\"".into()),
        }
    }
}

/// A duration from a flag's value in milliseconds.
fn millis(parser: &mut Parser) -> Result<Duration, lexopt::Error> {
    Ok(Duration::from_millis(parser.value()?.parse()?))
}
