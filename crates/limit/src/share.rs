//! One gate's share of the connections that a server accepts from all gates together.
//!
//! Gates do not coordinate: each divides the limit by the number of gates that it knows, and those
//! numbers differ for a while after a gate starts or stops. So the limit is split in two parts.
//! Half of it gives a fixed base share to each of up to [`MAX_GATES`] gates. The rest is divided
//! among the known gates, and a gate uses its part only once it has run long enough to be known to
//! the others. Dividing the whole limit by the known gates would exceed it while their views
//! differ, and a fixed share sized for the largest fleet would leave most of it unused in a smaller
//! one.

use std::time::Duration;

use ggs_model::Moment;

/// Largest number of gates in a fleet for which the limit is kept.
pub const MAX_GATES: u32 = 60;

/// Longest pause of a gate's own process after which its view of the other gates still counts as
/// current. After a longer one the gate goes back to its base share.
pub const MAX_UNNOTICED_PAUSE: Duration = Duration::from_secs(4);

/// Time for which a lower gate count must last before a share grows: [`MAX_UNNOTICED_PAUSE`] plus
/// two leases of 4 s each, where a lease is the time without a heartbeat after which a gate counts
/// as lost.
pub const SHARE_GROWTH_DELAY: Duration = Duration::from_secs(12);

/// Observed gate counts below the one in use.
#[derive(Clone, Copy, Debug)]
struct LowerCount {
    /// Start of the period in which every observed count was lower than the one in use.
    since: Moment,
    /// Highest count observed in that period.
    highest: u32,
}

/// Computes one gate's share of the connections to each server.
///
/// A share shrinks as soon as another gate appears, and grows only after [`SHARE_GROWTH_DELAY`]. A
/// gate that has just started, or was paused for longer than [`MAX_UNNOTICED_PAUSE`], is limited to
/// the base share for the same time.
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
    /// When the gate started, or resumed after its last long pause.
    resumed: Moment,
    /// When [`observe`](Self::observe) was last called.
    last_observed: Moment,
    /// Number of gates by which the second part of the limit is divided, this one included.
    count: u32,
    lower: Option<LowerCount>,
    /// Whether the gate has run long enough to use more than its base share.
    settled: bool,
}

impl ConnectionShare {
    /// Creates the share of a gate that starts at `now`.
    pub fn new(now: Moment) -> Self {
        Self {
            resumed: now,
            last_observed: now,
            count: 1,
            lower: None,
            settled: false,
        }
    }

    /// Updates the number of known gates, this one included; returns whether shares changed.
    ///
    /// Must be called several times per [`MAX_UNNOTICED_PAUSE`], as a longer gap between two calls
    /// counts as a pause of this gate. `known` includes lost gates that may still hold connections.
    pub fn observe(&mut self, known: u32, now: Moment) -> bool {
        let before = (self.count, self.settled);
        if now.since(self.last_observed) > MAX_UNNOTICED_PAUSE {
            self.resumed = now;
            self.lower = None;
        }
        self.last_observed = now;
        self.settled = now.since(self.resumed) >= SHARE_GROWTH_DELAY;
        self.apply_count(known.max(1), now);
        before != (self.count, self.settled)
    }

    /// Number of connections that the gate may hold to a server that accepts `limit` from all gates
    /// together. May be 0 if the limit is below the number of gates.
    pub fn connections(&self, limit: u32) -> u32 {
        let base = base_share(limit);
        if !self.settled {
            return base;
        }
        base + (limit - base * MAX_GATES) / self.count
    }

    /// Applies a higher count at once, and a lower one after [`SHARE_GROWTH_DELAY`].
    fn apply_count(&mut self, known: u32, now: Moment) {
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

/// Connections that each of [`MAX_GATES`] gates may hold at any time: an equal part of half the
/// limit, but at least one if the limit allows one for each gate.
fn base_share(limit: u32) -> u32 {
    (limit / (2 * MAX_GATES)).max(u32::from(limit >= MAX_GATES))
}
