//! One log line for each time that a followed table is lost or regained.

use std::time::Duration;

use ggs_observe::{EventLog, LogEvent};

use crate::FleetError;

/// First pause after a failed read.
const FIRST_PAUSE: Duration = Duration::from_millis(200);

/// Longest pause after failed reads; half of the time in which a change has to be in force.
const MAX_PAUSE: Duration = Duration::from_millis(1_000);

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

    /// Notes a failure; yields the pause before the next read.
    pub(crate) fn failed(&mut self, error: &FleetError) -> Duration {
        if self.failures == 0 {
            let pairs = slog::o!("table" => self.table, "cause" => error.to_string());
            let message = "store cannot be read";
            self.log.emit(LogEvent::PlatformFailed, message, pairs);
        }
        self.failures += 1;
        let pause = FIRST_PAUSE * 2_u32.pow(self.failures.min(4) - 1);
        pause.min(MAX_PAUSE).mul_f64(rand::random_range(0.8..1.2))
    }
}
