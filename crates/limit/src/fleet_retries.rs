//! Retry budget of one service, shared by all gates of the fleet.
//!
//! Retries add load to a service that already fails, so the budget bounds them for the whole fleet.
//! Each gate enforces its own part with a token bucket and needs no messages from other gates.

/// Part of the ratio that a gate uses. The rest is a margin, as a request may be counted in a later
/// window than the one in which it arrives at a server.
const RATIO_FACTOR: f64 = 0.8;

/// Part of the slack that the gates use. The rest is a margin for gates that restart: each starts
/// with a full bucket, since it does not know what it spent before.
const SLACK_FACTOR: f64 = 0.5;

/// Part of the slack that the gates of a large fleet use together, each with less than one retry of it, and
/// the most that one of them saves up. A bucket that holds no more than one token loses a part of each
/// that it gains.
const LARGE_FLEET_SLACK_FACTOR: f64 = 0.9;
const LARGE_FLEET_CAPACITY: f64 = 1.5;

/// Most tokens of a gate in a fleet of `gates`.
fn capacity_of(slack: f64, gates: usize) -> f64 {
    let share = slack / gates.max(1) as f64;
    let large_fleet = (share * LARGE_FLEET_SLACK_FACTOR).clamp(1.0, LARGE_FLEET_CAPACITY);
    (share * SLACK_FACTOR).max(large_fleet)
}

/// One gate's part of the fleet's retry budget for a service.
///
/// In any window of time the retries of the fleet may number `ratio` times its requests, plus
/// `slack`. Each gate runs a token bucket that gains `ratio` tokens per request and holds at most
/// an equal part of the slack, both less a safety margin. This keeps the fleet within the budget
/// over windows of any length, without messages between gates.
///
/// ```
/// use ggs_limit::FleetRetries;
///
/// let mut retries = FleetRetries::new(0.25, 40.0, 20);
/// assert!(retries.take());
/// assert!(!retries.take());
/// for _ in 0..5 {
///     retries.record_request();
/// }
/// assert!(retries.take());
/// ```
#[derive(Clone, Debug)]
pub struct FleetRetries {
    ratio: f64,
    capacity: f64,
    tokens: f64,
}

impl FleetRetries {
    /// Creates one gate's part of the budget in a fleet of `gates`, with a full bucket.
    ///
    /// `ratio` is the number of retries for each request, `slack` the number of retries that the
    /// fleet may make beyond the ratio in any window. The bucket holds at least one token.
    pub fn new(ratio: f64, slack: f64, gates: usize) -> Self {
        let share = slack * SLACK_FACTOR / gates.max(1) as f64;
        Self {
            ratio: ratio * RATIO_FACTOR,
            capacity: capacity_of(slack, gates),
            tokens: share.max(1.0),
        }
    }

    /// Adjusts the bucket to a new slack or fleet size; tokens beyond the new capacity are lost.
    pub fn set_gates(&mut self, slack: f64, gates: usize) {
        self.capacity = capacity_of(slack, gates);
        self.tokens = self.tokens.min(self.capacity);
    }

    /// Records a request for the service, which adds `ratio` tokens less the margin.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.capacity);
    }

    /// Returns whether the budget allows a retry now, without using it.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Uses the budget for one retry if it would otherwise be lost, as the bucket is full; returns false if
    /// it is not.
    pub fn take_surplus(&mut self) -> bool {
        self.tokens >= self.capacity && self.take()
    }

    /// Uses the budget for one retry; returns false if none is left.
    pub fn take(&mut self) -> bool {
        if !self.has_token() {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
