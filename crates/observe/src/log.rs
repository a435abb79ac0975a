//! Structured log: writes numbered events as JSON lines.

use slog::{Drain, Logger, debug, error, info, o, warn};

use crate::{LogEvent, LogLevel};

/// Format and destination of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogFormat {
    /// One JSON object per line on standard error.
    Json,
    /// One JSON object per line on standard output.
    JsonOutput,
    /// Nothing is written.
    Off,
}

/// Most names in a line of [`EventLog::emit_names`], so that a change of a whole fleet makes one line
/// of bounded length.
pub const MAX_NAMED_COUNT: usize = 32;

/// A log of numbered events.
///
/// ```
/// use ggs_observe::{EventLog, LogEvent, LogFormat};
///
/// let log = EventLog::new(LogFormat::Off, "entry-1");
/// log.emit(LogEvent::GateStarted, "gate started", slog::o!("callers" => "127.0.0.1:8080"));
/// ```
#[derive(Clone, Debug)]
pub struct EventLog {
    logger: Logger,
}

impl EventLog {
    /// Opens a log whose lines carry the name of `host`.
    pub fn new(format: LogFormat, host: &str) -> Self {
        let host = host.to_owned();
        let logger = match format {
            LogFormat::Json => json_logger(std::io::stderr(), host),
            LogFormat::JsonOutput => json_logger(std::io::stdout(), host),
            LogFormat::Off => Logger::root(slog::Discard, o!("host" => host)),
        };
        Self { logger }
    }

    /// Writes one line for an event of any number of hosts or servers: the first [`MAX_NAMED_COUNT`]
    /// names under `key`, separated by commas, and how many there are under `count`. Writes nothing if
    /// there are none.
    ///
    /// ```
    /// use ggs_observe::{EventLog, LogEvent, LogFormat};
    ///
    /// let log = EventLog::new(LogFormat::Off, "entry-1");
    /// log.emit_names(LogEvent::ServerListed, "servers are listed", "server", &["i-1", "i-2"]);
    /// ```
    pub fn emit_names<N>(&self, event: LogEvent, message: &str, key: &'static str, names: &[N])
    where
        N: AsRef<str>,
    {
        if names.is_empty() {
            return;
        }
        let named = names.iter().take(MAX_NAMED_COUNT);
        let named: Vec<&str> = named.map(AsRef::as_ref).collect();
        let pairs = slog::o!(key => named.join(","), "count" => names.len());
        self.emit(event, message, pairs);
    }

    /// Writes `message` with the number and name of `event` and the given key-value pairs.
    pub fn emit<T>(&self, event: LogEvent, message: &str, pairs: slog::OwnedKV<T>)
    where
        T: slog::SendSyncRefUnwindSafeKV + 'static,
    {
        let logger = self.logger.new(pairs);
        let number = event.number();
        let name = event.name();
        match event.level() {
            LogLevel::Error => error!(logger, "{}", message; "event" => number, "name" => name),
            LogLevel::Warning => warn!(logger, "{}", message; "event" => number, "name" => name),
            LogLevel::Info => info!(logger, "{}", message; "event" => number, "name" => name),
            LogLevel::Debug => debug!(logger, "{}", message; "event" => number, "name" => name),
        }
    }
}

/// Creates a logger that never blocks its caller.
///
/// Lines that do not fit into its buffer are dropped, and the log reports how many.
fn json_logger<W>(output: W, host: String) -> Logger
where
    W: std::io::Write + Send + 'static,
{
    let drain = slog_json::Json::default(output).fuse();
    let drain = slog_async::Async::new(drain).build().fuse();
    Logger::root(drain, o!("host" => host))
}
