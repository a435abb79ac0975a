//! One log line for each time that a followed table is lost or regained.

use std::time::Duration;

use ggs_observe::{EventLog, LogEvent};

use crate::FleetError;

/// First pause after a failed read.
const INITIAL_BACKOFF: Duration = Duration::from_millis(200);

/// Longest pause after failed reads of a gate that few others could tell what it misses. A gate that
/// regains the store has to know within three seconds which servers have left, and gives those whose
/// rows lapsed two seconds of them.
const MAX_BACKOFF: Duration = Duration::from_millis(400);

/// Gates of a data centre that may read as often while the store is away. More of them share these
/// reads, as the first that succeeds tells the others.
const FULL_RATE_GATE_COUNT: u32 = 4;

/// Longest pause of a gate that shares its reads with others.
const MAX_SHARED_BACKOFF: Duration = Duration::from_secs(2);

/// Part of the longest pause that is made at least; the rest is drawn, so that gates do not call at once.
const MIN_JITTER_FRACTION: f64 = 0.7;

/// Doublings of the first pause at most.
const MAX_DOUBLING_COUNT: u32 = 3;

/// Longest pause after some failed reads in a row of one of the `gates` of a data centre.
///
/// ```
/// use ggs_edge::max_read_backoff;
///
/// assert!(max_read_backoff(1, 1) < max_read_backoff(9, 1));
/// assert!(max_read_backoff(9, 1) < max_read_backoff(9, 40));
/// ```
pub fn max_read_backoff(failures: u32, gates: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(MAX_DOUBLING_COUNT);
    let backoff = (INITIAL_BACKOFF * 2_u32.pow(doublings)).min(MAX_BACKOFF);
    let shared = backoff * gates / FULL_RATE_GATE_COUNT;
    backoff.max(shared.min(MAX_SHARED_BACKOFF))
}

/// Failures of the reads of one table.
#[derive(Debug)]
pub(crate) struct StoreHealth {
    log: EventLog,
    table: &'static str,
    failures: u32,
}

impl StoreHealth {
    /// Health of a table that was not read yet.
    pub(crate) fn new(log: &EventLog, table: &'static str) -> Self {
        Self {
            log: log.clone(),
            table,
            failures: 0,
        }
    }

    /// Notes a read.
    pub(crate) fn record_success(&mut self) {
        if self.failures > 0 {
            let pairs = slog::o!("table" => self.table, "failures" => self.failures);
            let message = "store answers again";
            self.log.emit(LogEvent::PlatformRecovered, message, pairs);
        }
        self.failures = 0;
    }

    /// Notes a failure of one of the `gates` of a data centre; yields the pause before the next read.
    pub(crate) fn record_failure(&mut self, error: &FleetError, gates: u32) -> Duration {
        if self.failures == 0 {
            let pairs = slog::o!("table" => self.table, "cause" => error.to_string());
            let message = "store cannot be read";
            self.log.emit(LogEvent::PlatformFailed, message, pairs);
        }
        self.failures += 1;
        max_read_backoff(self.failures, gates).mul_f64(rand::random_range(MIN_JITTER_FRACTION..1.0))
    }
}
