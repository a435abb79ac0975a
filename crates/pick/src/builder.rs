//! Options of [`SignalChooser`].

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
///     .ramp(Duration::from_secs(5))
///     .build();
/// assert!(!chooser.lost_most_peers(ggs_model::Moment::ZERO));
/// ```
#[derive(Clone, Copy, Debug)]
pub struct ChooserBuilder {
    pub(crate) seed: u64,
    pub(crate) eject_percent: u32,
    pub(crate) ramp: Duration,
    pub(crate) report_half_age: Duration,
    pub(crate) peer_half_age: Duration,
    pub(crate) latency_half_age: Duration,
    pub(crate) far_cost: Duration,
}

impl Default for ChooserBuilder {
    fn default() -> Self {
        Self {
            seed: 0,
            eject_percent: 30,
            ramp: Duration::from_secs(5),
            report_half_age: Duration::from_millis(20),
            peer_half_age: Duration::from_millis(20),
            latency_half_age: Duration::from_millis(500),
            far_cost: Duration::from_millis(1),
        }
    }
}

impl ChooserBuilder {
    /// Seed of the generator that breaks ties; the same seed and events give the same choices.
    pub const fn seed(mut self, seed: u64) -> Self {
        self.seed = seed;
        self
    }

    /// Servers that may be ejected at once, as a percentage of those that may be chosen.
    pub const fn eject_percent(mut self, percent: u32) -> Self {
        self.eject_percent = percent;
        self
    }

    /// Time in which a new or returning server rises to its full share.
    pub const fn ramp(mut self, ramp: Duration) -> Self {
        self.ramp = ramp;
        self
    }

    /// Age at which a load report has half its weight.
    pub const fn report_half_age(mut self, age: Duration) -> Self {
        self.report_half_age = age;
        self
    }

    /// Age at which another gate's in-flight counts have half their weight.
    pub const fn peer_half_age(mut self, age: Duration) -> Self {
        self.peer_half_age = age;
        self
    }

    /// Age at which a server's observed slowness has half its weight.
    pub const fn latency_half_age(mut self, age: Duration) -> Self {
        self.latency_half_age = age;
        self
    }

    /// Time that an attempt loses on its way to another data centre and back.
    pub const fn far_cost(mut self, cost: Duration) -> Self {
        self.far_cost = cost;
        self
    }

    /// A chooser that knows no server yet.
    pub fn build(self) -> SignalChooser {
        SignalChooser::new(self)
    }
}
