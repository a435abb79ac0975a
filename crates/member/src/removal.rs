//! Limits the share of gates or servers that may be removed in one interval.
//!
//! When many seem to disappear at once, the source of that information is more likely at fault. The
//! limit slows removals down, so that a wrong source can't take away the whole capacity at once.

use std::collections::VecDeque;
use std::time::Duration;

use ggs_model::Moment;

/// Allows the removal of a share of some total in any interval of a given length, and of at least
/// one.
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
    /// When removals were allowed during the last interval, oldest first.
    removed: VecDeque<Moment>,
}

impl RemovalLimiter {
    /// Creates a limiter that allows the removal of `percent` of the total in any `interval`.
    pub fn new(percent: usize, interval: Duration) -> Self {
        Self {
            percent,
            interval,
            removed: VecDeque::new(),
        }
    }

    /// Returns whether one more of `total` may be removed now, and records the removal if so.
    pub fn take(&mut self, total: usize, now: Moment) -> bool {
        while let Some(first) = self.removed.front() {
            if now.since(*first) < self.interval {
                break;
            }
            self.removed.pop_front();
        }
        let limit = (total * self.percent / 100).max(1);
        if self.removed.len() >= limit {
            return false;
        }
        self.removed.push_back(now);
        true
    }
}
