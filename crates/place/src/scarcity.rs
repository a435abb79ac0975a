//! Decides which requests give way while a service has too little room.
//!
//! The load that this answers: servers of a service turn away, or cannot take in time, a good part of
//! what is sent, for some seconds, while requests of different urgency compete for them. At a large fleet,
//! each gate sees a few requests a second, so a queue in one gate is nearly always empty and cannot bring
//! order. Each gate therefore measures how often the service lacks room, and while it does, its less
//! urgent requests take neither the last free slot of a server nor a retry, which are left to the urgent.

use std::time::Duration;

use ggs_model::Moment;

/// Inverse of the weight of the latest request in the measured shortage.
const SHORTAGE_DIVISOR: f64 = 6.0;

/// Time without news after which the measured shortage begins to fall, and its half-life then.
const SHORTAGE_HOLD: Duration = Duration::from_secs(1);
const SHORTAGE_HALF_LIFE: Duration = Duration::from_secs(1);

/// Shortage at which less urgent requests begin to give way, and below which they no longer do. The
/// hysteresis keeps single refusals from switching it.
const SHORTAGE_BEGIN: f64 = 0.3;
const SHORTAGE_END: f64 = 0.12;

/// Fraction of the less urgent requests that do not give way, so that none is served less than a quarter
/// as often as the others.
const INSISTING_FRACTION: f64 = 0.3;

/// How a request at a service found room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoomOutcome {
    /// A server took it.
    Taken,
    /// A server turned it away unread, or none was expected to answer it in time.
    Lacking,
}

/// Whether a service has begun or ceased to lack room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RoomChange {
    /// Nothing has changed.
    Unchanged,
    /// Less urgent requests give way from now on.
    Begun,
    /// They no longer do.
    Ended,
}

/// How often a service lacks room, as one gate sees it.
///
/// ```
/// use ggs_model::Moment;
/// use ggs_place::{RoomGauge, RoomOutcome};
///
/// let now = Moment::ZERO;
/// let mut gauge = RoomGauge::default();
/// assert!(!gauge.gives_way(2, 1, now));
/// for _ in 0..3 {
///     gauge.note(RoomOutcome::Lacking, now);
/// }
/// assert!(gauge.gives_way(2, 1, now));
/// assert!(!gauge.gives_way(1, 1, now));
/// assert!(!gauge.gives_way(2, 1, Moment::from_millis(4_000)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct RoomGauge {
    shortage: f64,
    noted_at: Moment,
    is_short: bool,
}

impl RoomGauge {
    /// Records how a request found room.
    pub fn note(&mut self, outcome: RoomOutcome, now: Moment) -> RoomChange {
        let lacking = match outcome {
            RoomOutcome::Taken => 0.0,
            RoomOutcome::Lacking => 1.0,
        };
        let shortage = self.shortage_at(now);
        self.shortage = shortage + (lacking - shortage) / SHORTAGE_DIVISOR;
        self.noted_at = now;
        self.refresh(now)
    }

    /// Updates whether the service lacks room.
    pub fn refresh(&mut self, now: Moment) -> RoomChange {
        let shortage = self.shortage_at(now);
        let limit = if self.is_short {
            SHORTAGE_END
        } else {
            SHORTAGE_BEGIN
        };
        let was_short = std::mem::replace(&mut self.is_short, shortage >= limit);
        match (was_short, self.is_short) {
            (false, true) => RoomChange::Begun,
            (true, false) => RoomChange::Ended,
            _ => RoomChange::Unchanged,
        }
    }

    /// Whether a request of `priority` gives way to more urgent ones, at a service whose most urgent
    /// requests have `most_urgent`; 0 is the highest.
    pub fn gives_way(&mut self, priority: u32, most_urgent: u32, now: Moment) -> bool {
        self.refresh(now);
        self.is_short && priority > most_urgent
    }

    /// Whether a request does not give way, whatever its priority; `draw` is drawn for each request, from
    /// 0 to 1.
    pub fn insists(draw: f64) -> bool {
        draw < INSISTING_FRACTION
    }

    /// The shortage at `now`, from 0 to 1.
    pub fn shortage_at(&self, now: Moment) -> f64 {
        let idle = now.since(self.noted_at).saturating_sub(SHORTAGE_HOLD);
        let idle = idle.as_secs_f64();
        self.shortage * 0.5_f64.powf(idle / SHORTAGE_HALF_LIFE.as_secs_f64())
    }
}
