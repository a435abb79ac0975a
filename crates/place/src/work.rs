//! How long the requests of one route take on a server with a free slot and its usual pace.

use std::time::Duration;

/// Weight of a new observation, as one part in this many.
const MEMORY: u32 = 16;

/// Part of the objective that the work is taken for until an answer was seen: one in this many.
const FIRST_GUESS_PARTS: u32 = 3;

/// Moving average of the work of one route.
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
}

impl WorkEstimate {
    /// A first guess for a route whose answers should come within `objective`.
    pub fn from_objective(objective: Duration) -> Self {
        Self {
            mean: objective / FIRST_GUESS_PARTS,
        }
    }

    /// Takes an answer that came `elapsed` after its request went to a server that had a free slot
    /// and whose pace was `pace_percent`.
    pub fn observe(&mut self, elapsed: Duration, pace_percent: u32) {
        let usual = elapsed * 100 / pace_percent.max(1);
        self.mean = (self.mean * (MEMORY - 1) + usual) / MEMORY;
    }

    /// The estimate.
    pub fn mean(&self) -> Duration {
        self.mean
    }
}
