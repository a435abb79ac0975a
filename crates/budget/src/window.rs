//! Windows of wall time, and the part of each window in which probes may be sent.
//!
//! Gates agree on windows without communication, because each derives them from its wall clock. The
//! margins at the ends of a window absorb the difference between clocks and the time until a probe
//! arrives.

use std::time::Duration;

use ggs_model::WallTime;

/// Largest difference between the wall clocks of two gates at which the budget is guaranteed.
pub const MAX_CLOCK_SKEW: Duration = Duration::from_millis(300);

/// Time after which a gate abandons a probe.
pub const PROBE_TIMEOUT: Duration = Duration::from_millis(200);

/// Shortest window for which probes are sent. The margins at its ends take up half of it.
pub const MIN_WINDOW: Duration = Duration::from_secs(1);

/// Time at each end of a window in which no probe is sent. It is half the sum of clock skew and
/// probe timeout, so that the two margins at a boundary between windows cover that sum.
const MARGIN_MS: u64 = (MAX_CLOCK_SKEW.as_millis() + PROBE_TIMEOUT.as_millis()) as u64 / 2;

/// Length of a day.
pub(crate) const DAY_MS: u64 = 86_400_000;

/// One of the windows into which wall time is divided.
///
/// ```
/// use ggs_budget::ProbeWindow;
/// use ggs_model::WallTime;
///
/// let window = ProbeWindow::at(WallTime(25_000), 10_000).unwrap();
/// assert_eq!(window.index, 2);
/// assert!(window.is_open(WallTime(25_000)));
/// assert!(!window.is_open(WallTime(29_900)));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ProbeWindow {
    /// Number of windows of this length between the epoch and this window.
    pub index: u64,
    /// Length in milliseconds.
    pub length_ms: u64,
}

impl ProbeWindow {
    /// The window that contains `wall`; `None` if the length is below [`MIN_WINDOW`].
    pub const fn at(wall: WallTime, length_ms: u64) -> Option<Self> {
        if length_ms < MIN_WINDOW.as_millis() as u64 {
            return None;
        }
        Some(Self {
            index: wall.0 / length_ms,
            length_ms,
        })
    }

    /// Start of the window, inclusive.
    pub const fn start(&self) -> WallTime {
        WallTime(self.index.saturating_mul(self.length_ms))
    }

    /// End of the window, exclusive.
    pub const fn end(&self) -> WallTime {
        WallTime(self.start().0.saturating_add(self.length_ms))
    }

    /// Time from which probes may be sent.
    pub const fn opens(&self) -> WallTime {
        WallTime(self.start().0.saturating_add(MARGIN_MS))
    }

    /// Time from which probes may no longer be sent.
    pub const fn closes(&self) -> WallTime {
        WallTime(self.end().0.saturating_sub(MARGIN_MS))
    }

    /// Whether probes may be sent at `wall`.
    pub const fn is_open(&self, wall: WallTime) -> bool {
        self.opens().0 <= wall.0 && wall.0 < self.closes().0
    }

    /// Days since the epoch at the start of the window.
    pub const fn day(&self) -> u64 {
        self.start().0 / DAY_MS
    }

    /// Index of the first window of this length that starts on `day` or later.
    pub(crate) const fn first_of_day(day: u64, length_ms: u64) -> u64 {
        day.saturating_mul(DAY_MS).div_ceil(length_ms)
    }
}
