//! Limits the rate at which one gate sends load probes, so that all gates together send each server
//! a bounded number of them per second.

use std::time::Duration;

use ggs_model::Moment;

/// Capacity of the bucket, as the time in which it fills up at its rate.
const BURST_SECONDS: f64 = 2.0;

/// A token bucket for load probes; one token allows one probe.
///
/// The limit is set as a rate per server for all gates together, and each gate gets a share of it.
/// The bucket starts empty.
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
    refilled_at: Moment,
}

impl ProbeBucket {
    /// An empty bucket with a rate of zero, which allows no probe until
    /// [`set_rate`](Self::set_rate) is called.
    pub const fn new(now: Moment) -> Self {
        Self {
            rate: 0.0,
            tokens: 0.0,
            refilled_at: now,
        }
    }

    /// Sets the number of probes per second that this gate may send.
    pub const fn set_rate(&mut self, per_second: f64) {
        self.rate = per_second;
    }

    /// Takes up to `wanted` tokens; returns how many probes may be sent.
    pub fn take(&mut self, wanted: usize, now: Moment) -> usize {
        let elapsed: Duration = now.since(self.refilled_at);
        self.refilled_at = now;
        let tokens = self.tokens + elapsed.as_secs_f64() * self.rate;
        self.tokens = tokens.min(self.rate * BURST_SECONDS);
        let granted = wanted.min(self.tokens as usize);
        self.tokens -= granted as f64;
        granted
    }
}
