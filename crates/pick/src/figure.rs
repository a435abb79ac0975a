//! Figures that lose weight with age.

use std::time::Duration;

use ggs_model::Moment;

/// A figure and the moment it was learnt.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AgedFigure {
    /// The figure.
    pub(crate) value: f64,
    /// When it was learnt.
    pub(crate) at: Moment,
}

impl AgedFigure {
    /// Seconds since the figure was learnt.
    pub(crate) fn age(&self, now: Moment) -> f64 {
        seconds(now.since(self.at))
    }

    /// Weight from 1 for a fresh figure towards 0; one half at the age `half_age` in seconds.
    ///
    /// A quotient in place of an exponential: it costs a few nanoseconds for each server of a choice.
    pub(crate) fn weight(&self, now: Moment, half_age: f64) -> f64 {
        let ratio = self.age(now) / half_age;
        1.0 / (1.0 + ratio * ratio)
    }
}

/// A length in seconds.
pub(crate) fn seconds(length: Duration) -> f64 {
    length.as_secs_f64()
}

/// A mean that follows its samples; the first samples count in full.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct MovingMean {
    value: f64,
    samples: u32,
}

impl MovingMean {
    /// The mean, zero without samples.
    pub(crate) const fn value(&self) -> f64 {
        self.value
    }

    /// Samples taken so far, up to the length of the memory.
    pub(crate) const fn samples(&self) -> u32 {
        self.samples
    }

    /// Takes a sample into a mean over about `memory` samples.
    pub(crate) fn add(&mut self, sample: f64, memory: u32) {
        self.samples = (self.samples + 1).min(memory);
        self.value += (sample - self.value) / f64::from(self.samples);
    }
}
