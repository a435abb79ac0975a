//! Options of [`SignalChooser`]: the ejection cap, the duration of slow start and the half-lives of
//! its load signals.

use std::time::Duration;

use crate::SignalChooser;

/// Options of a [`SignalChooser`], each with a default.
///
/// ```
/// use std::time::Duration;
/// use ggs_pick::SignalChooser;
///
/// let chooser = SignalChooser::builder()
///     .seed(7)
///     .eject_percent(30)
///     .slow_start_window(Duration::from_secs(5))
///     .build();
/// assert!(!chooser.is_gate_suspect(ggs_model::Moment::ZERO));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ChooserBuilder {
    pub(crate) seed: u64,
    pub(crate) eject_percent: u32,
    pub(crate) slow_start_window: Duration,
    pub(crate) report_half_life: Duration,
    pub(crate) peer_counts_half_life: Duration,
    pub(crate) slowdown_half_life: Duration,
    pub(crate) cross_data_centre_delay: Duration,
}

impl Default for ChooserBuilder {
    fn default() -> Self {
        Self {
            seed: 0,
            eject_percent: 30,
            slow_start_window: Duration::from_secs(5),
            report_half_life: Duration::from_millis(20),
            peer_counts_half_life: Duration::from_millis(20),
            slowdown_half_life: Duration::from_millis(500),
            cross_data_centre_delay: Duration::from_millis(1),
        }
    }
}

impl ChooserBuilder {
    /// Seed of the random jitter of scores; the same seed and events give the same choices.
    pub const fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Largest percentage of the listed servers that may be ejected at once.
    pub const fn eject_percent(mut self, percent: u32) -> Self {
        self.eject_percent = percent;
        self
    }

    /// Time in which a new or returning server reaches its full share of the load.
    pub const fn slow_start_window(mut self, window: Duration) -> Self {
        self.slow_start_window = window;
        self
    }

    /// Age at which a load report has half its weight; longer for a server with a long queue.
    pub const fn report_half_life(mut self, half_life: Duration) -> Self {
        self.report_half_life = half_life;
        self
    }

    /// Age at which the in-flight counts of other gates have half their weight.
    pub const fn peer_counts_half_life(mut self, half_life: Duration) -> Self {
        self.peer_counts_half_life = half_life;
        self
    }

    /// Age at which a server's observed slowdown has half its weight.
    pub const fn slowdown_half_life(mut self, half_life: Duration) -> Self {
        self.slowdown_half_life = half_life;
        self
    }

    /// Extra round-trip time of an attempt to a server in another data centre.
    pub const fn cross_data_centre_delay(mut self, delay: Duration) -> Self {
        self.cross_data_centre_delay = delay;
        self
    }

    /// Builds a chooser without servers.
    pub fn build(self) -> SignalChooser {
        SignalChooser::new(self)
    }
}
