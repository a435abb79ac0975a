//! Samples that lose weight with age, and moving averages.
//!
//! Signals about a server arrive at different times. Weighing each by its age lets fresh ones
//! outweigh stale ones.

use std::time::Duration;

use ggs_model::Moment;

/// A value and the moment at which it was observed.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AgedSample {
    /// The observed value.
    pub(crate) value: f64,
    /// When it was observed.
    pub(crate) at: Moment,
}

impl AgedSample {
    /// Age in seconds.
    pub(crate) fn age(&self, now: Moment) -> f64 {
        seconds(now.since(self.at))
    }

    /// Weight that decays from 1 towards 0 with age; one half at an age of `half_life` seconds.
    ///
    /// The decay is a quotient rather than an exponential, so that it costs only a few nanoseconds
    /// for each server of a choice.
    pub(crate) fn weight(&self, now: Moment, half_life: f64) -> f64 {
        let ratio = self.age(now) / half_life;
        1.0 / (1.0 + ratio * ratio)
    }
}

/// A duration in seconds.
pub(crate) fn seconds(duration: Duration) -> f64 {
    duration.as_secs_f64()
}

/// Exponential moving average that is the plain mean of its samples until the window is full.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MovingAverage {
    value: f64,
    sample_count: u32,
}

impl MovingAverage {
    /// The average; zero without samples.
    pub(crate) const fn value(&self) -> f64 {
        self.value
    }

    /// Number of samples, at most the window.
    pub(crate) const fn sample_count(&self) -> u32 {
        self.sample_count
    }

    /// Adds a sample to an average over about `window` samples.
    pub(crate) fn add(&mut self, sample: f64, window: u32) {
        self.sample_count = (self.sample_count + 1).min(window);
        self.value += (sample - self.value) / f64::from(self.sample_count);
    }
}
