//! The load that a server reports, and how many requests one more would have to wait for.

/// The load of a server at one moment, as the server reports it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoadSample {
    /// Requests that are running.
    pub running: u32,
    /// Requests that are queued for a slot.
    pub waiting: u32,
    /// Requests that the server can run at the same time.
    pub slots: u32,
    /// Present processing time as a percentage of the usual: 100 is usual, 200 takes twice as long.
    pub pace_percent: u32,
}

impl LoadSample {
    /// Requests that have to finish before one more could start, if `more` requests that the sample
    /// does not count are on their way to the server.
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
