//! Retries as a share of answered requests.

use ggs_model::Moment;
use ggs_relay::RetrySource;

/// Hundredths of a retry that may be saved up.
const SAVED_LIMIT: u32 = 10 * FULL_RETRY;

/// Hundredths of a retry that one retry costs.
const FULL_RETRY: u32 = 100;

/// Saves up part of a retry for each answered request.
#[derive(Debug)]
pub(crate) struct RetryShare {
    /// Hundredths of a retry earned by one answer.
    percent: u32,
    /// Hundredths of a retry saved up.
    saved: u32,
}

impl RetryShare {
    /// A share with a few retries saved up.
    pub(crate) fn new(percent: u32) -> Self {
        Self {
            percent,
            saved: SAVED_LIMIT,
        }
    }

    /// Changes how much one answer earns.
    pub(crate) fn set_percent(&mut self, percent: u32) {
        self.percent = percent;
    }
}

impl RetrySource for RetryShare {
    fn try_take(&mut self, _now: Moment) -> bool {
        let left = self.saved.checked_sub(FULL_RETRY);
        self.saved = left.unwrap_or(self.saved);
        left.is_some()
    }

    fn answered(&mut self, _now: Moment) {
        self.saved = (self.saved + self.percent).min(SAVED_LIMIT);
    }
}
