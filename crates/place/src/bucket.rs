//! A bound on the questions that one gate asks servers.

use std::time::Duration;

use ggs_model::Moment;

/// Seconds of the rate that may be saved up.
const SAVED_SECONDS: f64 = 2.0;

/// Questions that a gate may ask, as a token bucket.
///
/// The fleet's bound is a rate for each server; each gate takes an equal part of it.
///
/// ```
/// use std::time::Duration;
/// use ggs_model::Moment;
/// use ggs_place::ProbeBucket;
///
/// let mut bucket = ProbeBucket::new(Moment::ZERO);
/// bucket.set_rate(100.0);
/// assert_eq!(bucket.take(8, Moment::ZERO), 0);
/// assert_eq!(bucket.take(8, Moment::ZERO + Duration::from_millis(50)), 5);
/// ```
#[derive(Clone, Debug)]
pub struct ProbeBucket {
    rate: f64,
    tokens: f64,
    filled: Moment,
}

impl ProbeBucket {
    /// A bucket without a rate.
    pub const fn new(now: Moment) -> Self {
        Self {
            rate: 0.0,
            tokens: 0.0,
            filled: now,
        }
    }

    /// Sets the questions allowed in a second.
    pub const fn set_rate(&mut self, per_second: f64) {
        self.rate = per_second;
    }

    /// Takes up to `wanted` questions; yields how many may be asked.
    pub fn take(&mut self, wanted: usize, now: Moment) -> usize {
        let passed: Duration = now.since(self.filled);
        self.filled = now;
        let tokens = self.tokens + passed.as_secs_f64() * self.rate;
        self.tokens = tokens.min(self.rate * SAVED_SECONDS);
        let granted = wanted.min(self.tokens as usize);
        self.tokens -= granted as f64;
        granted
    }
}
