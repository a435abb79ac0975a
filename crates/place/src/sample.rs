//! What a server tells of its load.

/// The load of a server at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadSample {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that can run at once.
    pub slots: u32,
    /// How long work takes at this moment, as a percentage of the usual.
    pub pace_percent: u32,
}

impl LoadSample {
    /// Requests that have to finish before one more could run, with `more` on their way.
    ///
    /// ```
    /// use ggs_place::LoadSample;
    ///
    /// let sample = LoadSample { running: 3, waiting: 1, slots: 3, pace_percent: 100 };
    /// assert_eq!(sample.requests_ahead(0), 2);
    /// ```
    pub const fn requests_ahead(&self, more: u32) -> u32 {
        let present = self.running + self.waiting + more;
        (present + 1).saturating_sub(self.slots)
    }
}
