//! One log line for each time that a followed table is lost or regained.

use std::time::Duration;

use ggs_observe::{EventLog, LogEvent};

use crate::FleetError;

/// First pause after a failed read.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause after failed reads of a gate that few others could tell what it misses. A gate that
/// regains the store has to know within three seconds which servers have left, and gives those whose
/// rows lapsed two seconds of them.
const MAX_PAUSE: Duration = Duration::from_millis(400);

/// Gates of a data centre that may read as often while the store is away. More of them share these
/// reads, as the first that succeeds tells the others.
const READING_GATES: u32 = 4;

/// Longest pause of a gate that shares its reads with others.
const MAX_SHARED_PAUSE: Duration = Duration::from_secs(2);

/// Part of the longest pause that is made at least; the rest is drawn, so that gates do not call at once.
const SHORTEST_PART: f64 = 0.7;

/// Doublings of the first pause at most.
const MAX_DOUBLINGS: u32 = 3;

/// Longest pause after some failed reads in a row of one of the `gates` of a data centre.
///
/// ```
/// use ggs_edge::longest_read_pause;
///
/// assert!(longest_read_pause(1, 1) < longest_read_pause(9, 1));
/// assert!(longest_read_pause(9, 1) < longest_read_pause(9, 40));
/// ```
pub fn longest_read_pause(failures: u32, gates: u32) -> Duration {
    let doublings = failures.saturating_sub(1).min(MAX_DOUBLINGS);
    let pause = (FIRST_PAUSE * 2_u32.pow(doublings)).min(MAX_PAUSE);
    let shared = pause * gates / READING_GATES;
    pause.max(shared.min(MAX_SHARED_PAUSE))
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
    pub(crate) fn succeeded(&mut self) {
        if self.failures > 0 {
            let pairs = slog::o!("table" => self.table, "failures" => self.failures);
            let message = "store answers again";
            self.log.emit(LogEvent::PlatformRecovered, message, pairs);
        }
        self.failures = 0;
    }

    /// Notes a failure of one of the `gates` of a data centre; yields the pause before the next read.
    pub(crate) fn failed(&mut self, error: &FleetError, gates: u32) -> Duration {
        if self.failures == 0 {
            let pairs = slog::o!("table" => self.table, "cause" => error.to_string());
            let message = "store cannot be read";
            self.log.emit(LogEvent::PlatformFailed, message, pairs);
        }
        self.failures += 1;
        longest_read_pause(self.failures, gates).mul_f64(rand::random_range(SHORTEST_PART..1.0))
    }
}
