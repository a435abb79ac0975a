//! Moments on the boot clock, wall time, and the clocks that yield them.
//!
//! The boot clock (`CLOCK_BOOTTIME`) counts the time that a host sleeps, so a lease that lapsed while
//! its holder was suspended reads as lapsed. Wall time only names windows and log lines.

use std::cell::Cell;
use std::ops::{Add, Sub};
use std::rc::Rc;
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// Nanoseconds per second.
const NANOS_PER_SECOND: u64 = 1_000_000_000;

/// Nanoseconds per millisecond.
const NANOS_PER_MILLI: u64 = 1_000_000;

/// A point on a clock that never steps back, in nanoseconds since the clock's own start.
///
/// ```
/// use std::time::Duration;
/// use ggs_model::Moment;
///
/// let start = Moment::from_millis(10);
/// assert_eq!(start + Duration::from_millis(5), Moment::from_millis(15));
/// assert_eq!(start.since(Moment::from_millis(15)), Duration::ZERO);
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Moment(u64);

impl Moment {
    /// The start of the clock.
    pub const ZERO: Self = Self(0);

    /// A moment `nanos` nanoseconds after the clock's start.
    pub const fn from_nanos(nanos: u64) -> Self {
        Self(nanos)
    }

    /// A moment `millis` milliseconds after the clock's start.
    pub const fn from_millis(millis: u64) -> Self {
        Self(millis * NANOS_PER_MILLI)
    }

    /// Nanoseconds since the clock's start.
    pub const fn as_nanos(self) -> u64 {
        self.0
    }

    /// Whole milliseconds since the clock's start.
    pub const fn as_millis(self) -> u64 {
        self.0 / NANOS_PER_MILLI
    }

    /// Time from `earlier` to `self`, or zero when `earlier` is later.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, length: Duration) -> Self {
        let nanos = u64::try_from(length.as_nanos()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(nanos))
    }
}

impl Sub<Duration> for Moment {
    type Output = Self;

    fn sub(self, length: Duration) -> Self {
        let nanos = u64::try_from(length.as_nanos()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(nanos))
    }
}

/// Milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WallTime(pub u64);

/// A source of moments and wall time.
pub trait Clock {
    /// The present moment.
    fn now(&self) -> Moment;

    /// The present wall time.
    fn wall(&self) -> WallTime;
}

/// The host's boot clock; counts time spent suspended.
///
/// ```
/// use ggs_model::{BootClock, Clock};
///
/// let clock = BootClock;
/// assert!(clock.now() <= clock.now());
/// ```
#[derive(Clone, Copy, Debug, Default)]
pub struct BootClock;

impl Clock for BootClock {
    fn now(&self) -> Moment {
        let time = clock_gettime(ClockId::Boottime);
        Moment(time.tv_sec as u64 * NANOS_PER_SECOND + time.tv_nsec as u64)
    }

    fn wall(&self) -> WallTime {
        let time = clock_gettime(ClockId::Realtime);
        WallTime(time.tv_sec as u64 * 1_000 + time.tv_nsec as u64 / NANOS_PER_MILLI)
    }
}

/// A clock that moves only when told to; clones share their time.
///
/// ```
/// use std::time::Duration;
/// use ggs_model::{Clock, ManualClock, Moment};
///
/// let clock = ManualClock::default();
/// clock.advance(Duration::from_millis(3));
/// assert_eq!(clock.now(), Moment::from_millis(3));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ManualClock {
    nanos: Rc<Cell<u64>>,
}

impl ManualClock {
    /// Moves the clock forward by `length`.
    pub fn advance(&self, length: Duration) {
        let nanos = u64::try_from(length.as_nanos()).unwrap_or(u64::MAX);
        self.nanos.set(self.nanos.get().saturating_add(nanos));
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Moment {
        Moment(self.nanos.get())
    }

    fn wall(&self) -> WallTime {
        WallTime(self.nanos.get() / NANOS_PER_MILLI)
    }
}
