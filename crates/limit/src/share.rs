//! A gate's share of the connections that one server takes from all gates.
//!
//! Gates agree on nothing: each divides by the gates that it knows, and views differ for a while. So
//! the limit has two parts. Half of it gives a base share to each of [`MAX_GATES`] gates, whoever
//! they are; the rest is divided among the known gates, by gates that have been known for long
//! enough. Dividing all of it at once exceeds the limit while views differ, and a fixed share for
//! the largest fleet leaves most of it unused in today's.

use std::time::Duration;

use ggs_model::Moment;

/// Gates for which the limit holds.
pub const MAX_GATES: u32 = 60;

/// Time for which a gate may not run without losing its place among the others.
pub const MAX_UNNOTICED_PAUSE: Duration = Duration::from_secs(4);

/// Time before a share grows: a pause that goes unnoticed, and twice a membership lease.
pub const SHARE_GROWTH_DELAY: Duration = Duration::from_secs(12);

/// A count of gates below the one in use.
#[derive(Clone, Copy, Debug)]
struct LowerCount {
    /// Since when every count has been lower than the one in use.
    since: Moment,
    /// The highest of them.
    highest: u32,
}

/// Decides a gate's share of the connections to each server.
///
/// A share shrinks at once when a gate appears, and grows only after [`SHARE_GROWTH_DELAY`]. A gate that has
/// just started, or did not run for longer than [`MAX_UNNOTICED_PAUSE`], has the base share for that time.
///
/// ```
/// use ggs_limit::{ConnectionShare, SHARE_GROWTH_DELAY};
/// use ggs_model::Moment;
///
/// let start = Moment::ZERO;
/// let mut share = ConnectionShare::new(start);
/// assert_eq!(share.connections(250), 2);
/// for seconds in 0..=SHARE_GROWTH_DELAY.as_secs() {
///     share.observe(18, Moment::from_millis(seconds * 1_000));
/// }
/// assert_eq!(share.connections(250), 9);
/// ```
#[derive(Clone, Debug)]
pub struct ConnectionShare {
    /// When the gate started or last woke.
    joined: Moment,
    /// Time of the last observation.
    observed: Moment,
    /// Gates among which the divided part goes, this one included.
    count: u32,
    lower: Option<LowerCount>,
    /// Whether the gate has run for long enough to use the divided part.
    settled: bool,
}

impl ConnectionShare {
    /// The share of a gate that starts at `now`.
    pub fn new(now: Moment) -> Self {
        Self {
            joined: now,
            observed: now,
            count: 1,
            lower: None,
            settled: false,
        }
    }

    /// Takes the number of known gates, this one included; tells whether shares changed.
    ///
    /// To be called several times per [`MAX_UNNOTICED_PAUSE`]. Gates that are lost but may still hold
    /// connections count as known.
    pub fn observe(&mut self, known: u32, now: Moment) -> bool {
        let before = (self.count, self.settled);
        if now.since(self.observed) > MAX_UNNOTICED_PAUSE {
            self.joined = now;
            self.lower = None;
        }
        self.observed = now;
        self.settled = now.since(self.joined) >= SHARE_GROWTH_DELAY;
        self.count_gates(known.max(1), now);
        before != (self.count, self.settled)
    }

    /// Connections that the gate may hold to a server that takes `limit` from all gates.
    pub fn connections(&self, limit: u32) -> u32 {
        let base = base_share(limit);
        if !self.settled {
            return base;
        }
        base + (limit - base * MAX_GATES) / self.count
    }

    /// Takes a higher count at once, a lower one after the hold time.
    fn count_gates(&mut self, known: u32, now: Moment) {
        if known >= self.count {
            self.count = known;
            self.lower = None;
            return;
        }
        let lower = self.lower.get_or_insert(LowerCount {
            since: now,
            highest: known,
        });
        lower.highest = lower.highest.max(known);
        if now.since(lower.since) >= SHARE_GROWTH_DELAY {
            self.count = lower.highest;
            self.lower = None;
        }
    }
}

/// Connections that each of [`MAX_GATES`] gates may hold at any time: half of the limit among them,
/// but at least one where the limit has one for each.
fn base_share(limit: u32) -> u32 {
    (limit / (2 * MAX_GATES)).max(u32::from(limit >= MAX_GATES))
}
