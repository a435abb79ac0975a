//! A limit on how large a share of things may be given up in one interval.

use std::collections::VecDeque;
use std::time::Duration;

use ggs_model::Moment;

/// Allows giving up a share of some total in any interval of a given length, and at least one.
///
/// ```
/// use std::time::Duration;
/// use ggs_member::RemovalLimiter;
/// use ggs_model::Moment;
///
/// let mut limiter = RemovalLimiter::new(25, Duration::from_secs(10));
/// assert!(limiter.take(8, Moment::ZERO));
/// assert!(limiter.take(8, Moment::ZERO));
/// assert!(!limiter.take(8, Moment::ZERO));
/// assert!(limiter.take(8, Moment::from_millis(10_000)));
/// ```
#[derive(Clone, Debug)]
pub struct RemovalLimiter {
    percent: usize,
    interval: Duration,
    taken: VecDeque<Moment>,
}

impl RemovalLimiter {
    /// Allows `percent` of the total in any `interval`.
    pub fn new(percent: usize, interval: Duration) -> Self {
        Self {
            percent,
            interval,
            taken: VecDeque::new(),
        }
    }

    /// Whether one more of `total` may be given up now; notes it if so.
    pub fn take(&mut self, total: usize, now: Moment) -> bool {
        while let Some(first) = self.taken.front() {
            if now.since(*first) < self.interval {
                break;
            }
            self.taken.pop_front();
        }
        let limit = (total * self.percent / 100).max(1);
        if self.taken.len() >= limit {
            return false;
        }
        self.taken.push_back(now);
        true
    }
}
