//! Estimates the processing time of the requests of one route, called their work.
//!
//! The estimate is for a server that has a free slot and runs at its usual speed. Placement scales
//! it by the load and pace that a server reports, to predict when that server would answer.

use std::time::Duration;

/// Inverse of the weight of a new observation in a moving average.
const AVERAGE_DIVISOR: u32 = 16;

/// Until an answer is observed, the work is taken to be the objective divided by this.
const INITIAL_DIVISOR: u32 = 3;

/// Share of the work by which a server of another data centre must be faster than a near one.
const FAR_WORK_SHARE: f64 = 0.3;

/// Network round trip between two data centres.
const FAR_ROUND_TRIP: Duration = Duration::from_millis(3);

/// Rank cost of each kilobyte of an answer from another data centre, in seconds, as traffic between
/// data centres is expensive.
const FAR_SECONDS_PER_KB: f64 = 0.001;

/// Moving averages of the processing time (the work) and the answer length of one route.
///
/// ```
/// use std::time::Duration;
/// use ggs_place::WorkEstimate;
///
/// let mut estimate = WorkEstimate::from_objective(Duration::from_millis(600));
/// for _ in 0..200 {
///     estimate.observe(Duration::from_millis(300), 300);
/// }
/// assert!(estimate.mean() < Duration::from_millis(110));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct WorkEstimate {
    mean: Duration,
    saturation_slowdown: f64,
    answer_kb: f64,
}

/// Upper limit of the slowdown observed on saturated servers, as a factor.
const MAX_SATURATION_SLOWDOWN: f64 = 3.0;

impl WorkEstimate {
    /// An initial estimate for a route whose answers should come within `objective`.
    pub fn from_objective(objective: Duration) -> Self {
        Self {
            mean: objective / INITIAL_DIVISOR,
            saturation_slowdown: 1.0,
            answer_kb: 0.0,
        }
    }

    /// Adds an answer that came `elapsed` after its request was sent to a server that kept at least
    /// one slot free and reported `pace_percent`.
    pub fn observe(&mut self, elapsed: Duration, pace_percent: u32) {
        let usual = elapsed * 100 / pace_percent.max(1);
        self.mean = (self.mean * (AVERAGE_DIVISOR - 1) + usual) / AVERAGE_DIVISOR;
    }

    /// Adds an answer to a request that took the last free slot of its server. It changes only the
    /// [slowdown](Self::saturation_slowdown), not the [mean](Self::mean).
    pub fn observe_saturated(&mut self, elapsed: Duration, pace_percent: u32) {
        let usual = elapsed * 100 / pace_percent.max(1);
        let factor = usual.as_secs_f64() / self.mean.as_secs_f64().max(f64::MIN_POSITIVE);
        let factor = factor.clamp(1.0, MAX_SATURATION_SLOWDOWN);
        self.saturation_slowdown +=
            (factor - self.saturation_slowdown) / f64::from(AVERAGE_DIVISOR);
    }

    /// Factor by which requests take longer on a server whose slots are all in use, from 1 to 3;
    /// some servers slow down then.
    pub fn saturation_slowdown(&self) -> f64 {
        self.saturation_slowdown
    }

    /// Adds the length of an answer in bytes.
    pub fn observe_length(&mut self, bytes: u64) {
        let divisor = f64::from(AVERAGE_DIVISOR);
        self.answer_kb += (bytes as f64 / 1e3 - self.answer_kb) / divisor;
    }

    /// Mean processing time on a server that has a free slot and runs at its usual speed.
    pub fn mean(&self) -> Duration {
        self.mean
    }

    /// Time added to the rank of servers in other data centres, for the network delay and the
    /// traffic.
    pub fn far_cost(&self) -> Duration {
        let traffic = Duration::from_secs_f64(self.answer_kb * FAR_SECONDS_PER_KB);
        self.mean.mul_f64(FAR_WORK_SHARE) + FAR_ROUND_TRIP + traffic
    }
}
