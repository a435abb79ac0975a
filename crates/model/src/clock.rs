//! Monotonic time, wall time, and the clocks that read them.
//!
//! Time spans are measured on the boot clock (`CLOCK_BOOTTIME`), which includes time that the host
//! spends suspended, so that a lease that expired while its holder was suspended counts as expired.
//! Wall time only serves to number windows, such as those of probe budgets, and to date log lines.

use std::cell::Cell;
use std::ops::{Add, Sub};
use std::rc::Rc;
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

const NANOS_PER_SECOND: u64 = 1_000_000_000;
const NANOS_PER_MILLI: u64 = 1_000_000;

/// A point in time on a monotonic clock, in nanoseconds since that clock's start.
///
/// Addition and subtraction saturate at the ends of the range.
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

    /// Time from `earlier` to `self`; zero if `earlier` is the later one.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_nanos(self.0.saturating_sub(earlier.0))
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, duration: Duration) -> Self {
        let nanos = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(nanos))
    }
}

impl Sub<Duration> for Moment {
    type Output = Self;

    fn sub(self, duration: Duration) -> Self {
        let nanos = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(nanos))
    }
}

/// Milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct WallTime(pub u64);

/// Source of monotonic and wall time; tests replace it by a [`ManualClock`].
pub trait Clock {
    /// Current time on the monotonic clock.
    fn now(&self) -> Moment;

    /// Current wall time; may step back when the host's clock is set.
    fn wall(&self) -> WallTime;
}

/// The host's boot clock, which includes time spent suspended, and its wall clock.
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

/// A clock for tests that moves only on [`ManualClock::advance`]; clones share their time.
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
    /// Moves the clock forward by `duration`.
    pub fn advance(&self, duration: Duration) {
        let nanos = u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX);
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
