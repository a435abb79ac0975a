//! The `ggs-standin` program.

use std::ffi::OsString;
use std::io::{self, Write};
use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use tokio::signal::unix::{SignalKind, signal};

use crate::args::{HELP, StandinCommand, parse};
use crate::{PlatformOptions, ServerHandle, ServerOptions, start_platform, start_server};

/// Exit code of a bad command line.
const USAGE_CODE: u8 = 2;

/// Longest time that servers get to end their work.
const DRAIN_LIMIT: Duration = Duration::from_secs(30);

/// Time between looks at the work that is left.
const DRAIN_INTERVAL: Duration = Duration::from_millis(5);

/// Runs the program with its arguments, the program's own name first.
///
/// ```
/// use std::process::ExitCode;
///
/// let code = ggs_standin::run(["ggs-standin".into(), "--version".into()]);
/// assert_eq!(format!("{code:?}"), format!("{:?}", ExitCode::SUCCESS));
/// ```
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    let command = match parse(arguments.into_iter().skip(1)) {
        Ok(command) => command,
        Err(error) => {
            eprintln!("ggs-standin: {error}\nTry \"ggs-standin --help\".");
            return ExitCode::from(USAGE_CODE);
        }
    };
    let outcome = match command {
        StandinCommand::Help => print(HELP),
        StandinCommand::Version => print(concat!("ggs-standin ", env!("CARGO_PKG_VERSION"), "\n")),
        StandinCommand::Platform(options) => {
            actix_rt::System::new().block_on(run_platform(options))
        }
        StandinCommand::Servers { options, count } => {
            actix_rt::System::new().block_on(run_servers(*options, count))
        }
    };
    match outcome {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("ggs-standin: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Prints to standard output at once.
fn print(text: &str) -> io::Result<()> {
    let mut output = io::stdout().lock();
    output.write_all(text.as_bytes())?;
    output.flush()
}

/// Runs a platform until SIGTERM.
async fn run_platform(options: PlatformOptions) -> io::Result<()> {
    let listen = options.listen;
    let platform = start_platform(options).await;
    let platform = platform.map_err(|error| at_address(listen, &error))?;
    let address = platform.address();
    let admin = platform.admin_address();
    print(&format!("platform on {address}, admin on {admin}\n"))?;
    wait_for_end().await
}

/// Runs servers until SIGTERM, then drains them.
async fn run_servers(options: ServerOptions, count: u16) -> io::Result<()> {
    let mut servers = Vec::new();
    for index in 0..count {
        let mut options = options.clone();
        options.listen = following(options.listen, index);
        options.admin = following(options.admin, index);
        let listen = options.listen;
        let server = start_server(options).await;
        let server = server.map_err(|error| at_address(listen, &error))?;
        let address = server.address();
        let admin = server.admin_address();
        print(&format!("server on {address}, admin on {admin}\n"))?;
        servers.push(server);
    }
    wait_for_end().await?;
    drain(&servers).await;
    Ok(())
}

/// Refuses new work and waits for the rest to end.
async fn drain(servers: &[ServerHandle]) {
    for server in servers {
        server.drain();
        if let Err(error) = server.register().await {
            eprintln!("ggs-standin: {error}");
        }
    }
    let idle = async {
        while servers.iter().any(|server| server.load().in_flight > 0) {
            actix_rt::time::sleep(DRAIN_INTERVAL).await;
        }
        actix_rt::time::sleep(DRAIN_INTERVAL).await;
    };
    if actix_rt::time::timeout(DRAIN_LIMIT, idle).await.is_err() {
        eprintln!(
            "ggs-standin: work was left after {} s",
            DRAIN_LIMIT.as_secs()
        );
    }
}

/// The address `index` ports on; port 0 stays.
fn following(mut address: SocketAddr, index: u16) -> SocketAddr {
    if address.port() != 0 {
        address.set_port(address.port().saturating_add(index));
    }
    address
}

/// Waits for SIGTERM or SIGINT.
async fn wait_for_end() -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::select! {
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    Ok(())
}

/// An error with the address that it arose at.
fn at_address(address: SocketAddr, error: &io::Error) -> io::Error {
    io::Error::new(error.kind(), format!("{address}: {error}"))
}
