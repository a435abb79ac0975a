//! Figures that lose weight with age.

use std::time::Duration;

use ggs_model::Moment;

/// A figure and the moment it was learnt.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AgedSample {
    /// The figure.
    pub(crate) value: f64,
    /// When it was learnt.
    pub(crate) at: Moment,
}

impl AgedSample {
    /// Seconds since the figure was learnt.
    pub(crate) fn age(&self, now: Moment) -> f64 {
        seconds(now.since(self.at))
    }

    /// Weight from 1 for a fresh figure towards 0; one half at the age `half_age` in seconds.
    ///
    /// A quotient in place of an exponential: it costs a few nanoseconds for each server of a choice.
    pub(crate) fn weight(&self, now: Moment, half_life: f64) -> f64 {
        let ratio = self.age(now) / half_life;
        1.0 / (1.0 + ratio * ratio)
    }
}

/// A length in seconds.
pub(crate) fn seconds(duration: Duration) -> f64 {
    duration.as_secs_f64()
}

/// A mean that follows its samples; the first samples count in full.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MovingAverage {
    value: f64,
    sample_count: u32,
}

impl MovingAverage {
    /// The mean, zero without samples.
    pub(crate) const fn value(&self) -> f64 {
        self.value
    }

    /// Samples taken so far, up to the length of the memory.
    pub(crate) const fn sample_count(&self) -> u32 {
        self.sample_count
    }

    /// Takes a sample into a mean over about `memory` samples.
    pub(crate) fn add(&mut self, sample: f64, window: u32) {
        self.sample_count = (self.sample_count + 1).min(window);
        self.value += (sample - self.value) / f64::from(self.sample_count);
    }
}
