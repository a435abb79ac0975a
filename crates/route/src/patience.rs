//! How long a caller had already waited when it sent a request.
//!
//! A caller that was refused comes back with what is left of its time. The gate does not see its first
//! attempt, but it knows how much time the callers of a route usually state.

use std::cell::Cell;
use std::time::Duration;

/// Inverse of the part of a difference by which the usual time falls at each request.
const DECAY_DIVISOR: u32 = 512;

/// The time that the callers of one route state in their first attempts: a slowly falling maximum.
///
/// ```
/// use std::time::Duration;
/// use ggs_route::CallerPatience;
///
/// let patience = CallerPatience::default();
/// let millis = Duration::from_millis;
/// assert_eq!(patience.waited(millis(3_000)), millis(0));
/// assert_eq!(patience.waited(millis(2_200)), millis(800));
/// ```
#[derive(Clone, Debug, Default)]
pub struct CallerPatience {
    usual: Cell<Duration>,
}

impl CallerPatience {
    /// Records the time that a request states; returns how long its caller has waited before, if it is a
    /// further attempt.
    pub fn waited(&self, stated: Duration) -> Duration {
        let usual = self.usual.get();
        let waited = usual.saturating_sub(stated);
        let usual = usual.max(stated);
        self.usual.set(usual.saturating_sub(waited / DECAY_DIVISOR));
        waited
    }
}
