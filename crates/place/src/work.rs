//! How long the requests of one route take on a server with a free slot and its usual pace.

use std::time::Duration;

/// Weight of a new observation, as one part in this many.
const MEMORY: u32 = 16;

/// Part of the objective that the work is taken for until an answer was seen: one in this many.
const FIRST_GUESS_PARTS: u32 = 3;

/// Part of its work by which a server of another data centre has to be faster than a near one.
const CROSSING_PART: f64 = 0.3;

/// Delay of a far_cost between data centres and back.
const CROSSING_TIME: Duration = Duration::from_millis(3);

/// Time that a kilobyte of an answer is ranked at when it crosses: bytes between data centres are dear.
const CROSSING_PER_KB: f64 = 0.001;

/// Moving averages of the work of one route and the length of its answers.
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

/// How many times longer work takes on a server that it saturates, at most.
const MAX_SATURATION_SLOWDOWN: f64 = 3.0;

impl WorkEstimate {
    /// A first guess for a route whose answers should come within `objective`.
    pub fn from_objective(objective: Duration) -> Self {
        Self {
            mean: objective / FIRST_GUESS_PARTS,
            saturation_slowdown: 1.0,
            answer_kb: 0.0,
        }
    }

    /// Takes an answer that came `elapsed` after its request went to a server that had a free slot
    /// and whose pace was `pace_percent`.
    pub fn observe(&mut self, elapsed: Duration, pace_percent: u32) {
        let usual = elapsed * 100 / pace_percent.max(1);
        self.mean = (self.mean * (MEMORY - 1) + usual) / MEMORY;
    }

    /// Takes an answer as [`observe`](Self::observe) does, of a request that took the last slot.
    pub fn observe_saturated(&mut self, elapsed: Duration, pace_percent: u32) {
        let usual = elapsed * 100 / pace_percent.max(1);
        let factor = usual.as_secs_f64() / self.mean.as_secs_f64().max(f64::MIN_POSITIVE);
        let factor = factor.clamp(1.0, MAX_SATURATION_SLOWDOWN);
        self.saturation_slowdown += (factor - self.saturation_slowdown) / f64::from(MEMORY);
    }

    /// How many times longer work takes on a server that it saturates; some servers are slower then.
    pub fn saturation_slowdown(&self) -> f64 {
        self.saturation_slowdown
    }

    /// Takes the length of an answer in bytes.
    pub fn observe_length(&mut self, bytes: u64) {
        let memory = f64::from(MEMORY);
        self.answer_kb += (bytes as f64 / 1e3 - self.answer_kb) / memory;
    }

    /// The work.
    pub fn mean(&self) -> Duration {
        self.mean
    }

    /// Time that bringing an answer from another data centre is ranked at.
    pub fn far_cost(&self) -> Duration {
        let bytes = Duration::from_secs_f64(self.answer_kb * CROSSING_PER_KB);
        self.mean.mul_f64(CROSSING_PART) + CROSSING_TIME + bytes
    }
}
