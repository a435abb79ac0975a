//! The terms of a quota.

use std::time::Duration;

/// Parts of the margin of a quota: the holder ends, a standby takes its place, the holder comes back, and
/// for a moment both grant.
const MARGIN_PARTS: f64 = 4.0;

/// Requests that may be sent, over all gates together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaRule {
    /// Requests per second.
    pub per_second: f64,
    /// Requests beyond that at any moment, after a time without any.
    pub burst: f64,
}

impl QuotaRule {
    /// Most requests at one moment; at least one, or none could ever be sent.
    pub const fn capacity(&self) -> f64 {
        self.burst.max(1.0)
    }
}

/// How far the fleet may exceed its quotas, as its operators set it.
///
/// In any time of `window`, at most `(per_second * window + burst) * (1 + over) + slack` requests are
/// sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaBounds {
    /// Length of the time in which requests are counted.
    pub window: Duration,
    /// Fraction of the quota.
    pub over: f64,
    /// Number of requests.
    pub slack: f64,
}

impl QuotaBounds {
    /// Requests beyond a quota that may be sent in a window.
    pub fn margin(&self, rule: &QuotaRule) -> f64 {
        self.over * (rule.per_second * self.window.as_secs_f64() + rule.burst) + self.slack
    }

    /// Requests that a holder may grant at once if it does not know what was granted before.
    ///
    /// ```
    /// use std::time::Duration;
    /// use ggs_limit::{QuotaBounds, QuotaRule};
    ///
    /// let bounds = QuotaBounds { window: Duration::from_secs(5), over: 0.1, slack: 20.0 };
    /// let rule = QuotaRule { per_second: 100.0, burst: 200.0 };
    /// assert_eq!(bounds.fresh_level(&rule), 22.5);
    /// assert_eq!(bounds.fresh_level(&QuotaRule { burst: 8.0, ..rule }), 8.0);
    /// ```
    pub fn fresh_level(&self, rule: &QuotaRule) -> f64 {
        let level = self.margin(rule) / MARGIN_PARTS;
        level.min(rule.capacity())
    }
}
