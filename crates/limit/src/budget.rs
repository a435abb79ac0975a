//! Second sends that all gates together may make to one service.

/// Part of the ratio that is used, so that requests which are counted late do no harm.
const RATIO_MARGIN: f64 = 0.8;

/// Part of the slack that is used; a gate that starts anew does not know what it spent before.
const SLACK_MARGIN: f64 = 0.5;

/// A gate's part of a budget for second sends.
///
/// The fleet may send `ratio` times its requests, and `slack` more, once again in any window. A token
/// bucket that earns `ratio` for each request and holds an equal part of the slack keeps to that for
/// windows of every length, without a word between gates.
///
/// ```
/// use ggs_limit::FleetBudget;
///
/// let mut budget = FleetBudget::new(0.25, 40.0, 20);
/// assert!(budget.take());
/// assert!(!budget.take());
/// for _ in 0..5 {
///     budget.record_request();
/// }
/// assert!(budget.take());
/// ```
#[derive(Clone, Debug)]
pub struct FleetBudget {
    ratio: f64,
    cap: f64,
    tokens: f64,
}

impl FleetBudget {
    /// A gate's part of `ratio` and `slack` in a fleet of `gates`.
    pub fn new(ratio: f64, slack: f64, gates: usize) -> Self {
        let cap = slack * SLACK_MARGIN / gates.max(1) as f64;
        Self {
            ratio: ratio * RATIO_MARGIN,
            cap: cap.max(1.0),
            tokens: cap.max(1.0),
        }
    }

    /// Takes a new size of the fleet; tokens beyond the new part are lost.
    pub fn set_gates(&mut self, slack: f64, gates: usize) {
        self.cap = (slack * SLACK_MARGIN / gates.max(1) as f64).max(1.0);
        self.tokens = self.tokens.min(self.cap);
    }

    /// Counts a request for the service.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.cap);
    }

    /// Whether a second send is left.
    pub fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes one second send; false when none is left.
    pub fn take(&mut self) -> bool {
        if !self.has_token() {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
