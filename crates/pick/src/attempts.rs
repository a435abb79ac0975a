//! Start times of in-flight attempts at one server.
//!
//! An overdue attempt shows that a server is slow before any answer does, and attempts that have
//! arrived at the server show whether its load reports are current.

use std::time::Duration;

use ggs_model::Moment;

/// Most attempts tracked for each server; later ones are left out, as the oldest matter most.
const MAX_TRACKED_ATTEMPTS: usize = 16;

/// An end matches a start if the age of the start differs from the elapsed time of the end by at
/// most the elapsed time divided by this.
const MATCH_TOLERANCE_DIVISOR: u32 = 4;

/// Least difference that is tolerated; for short attempts, the share of the elapsed time would be
/// too small.
const MIN_MATCH_TOLERANCE: Duration = Duration::from_millis(1);

/// Age from which an attempt is taken to have reached its server and to show in a fresh report.
const ARRIVAL_DELAY: Duration = Duration::from_millis(5);

/// One attempt that has not ended.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct InFlightAttempt {
    /// Start of the attempt.
    pub(crate) started: Moment,
    /// Answer time expected at the start, in mean service times.
    pub(crate) expected: f64,
}

/// In-flight attempts at one server, in a fixed array so that a choice allocates nothing.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AttemptTracker {
    tracked: [InFlightAttempt; MAX_TRACKED_ATTEMPTS],
    count: usize,
}

impl AttemptTracker {
    /// Tracks an attempt, unless the array is full.
    pub(crate) fn start(&mut self, attempt: InFlightAttempt) {
        if self.count < MAX_TRACKED_ATTEMPTS {
            self.tracked[self.count] = attempt;
            self.count += 1;
        }
    }

    /// Removes and returns the attempt that started about `elapsed` before `now`.
    ///
    /// `remaining` is the number of attempts still in flight. When no start matches, for example
    /// because the body of an answer took long, and more are tracked than remain, the oldest is
    /// removed and none returned. Otherwise the start of an ended attempt would soon look overdue.
    pub(crate) fn end(
        &mut self,
        elapsed: Duration,
        now: Moment,
        remaining: usize,
    ) -> Option<InFlightAttempt> {
        let tolerance = (elapsed / MATCH_TOLERANCE_DIVISOR).max(MIN_MATCH_TOLERANCE);
        let tracked = &self.tracked[..self.count];
        let nearest = (0..self.count).min_by_key(|&index| distance(&tracked[index], elapsed, now));
        let matched = nearest.filter(|&index| distance(&tracked[index], elapsed, now) <= tolerance);
        let index = match matched {
            Some(index) => index,
            None if remaining >= self.count => return None,
            None => self.oldest_index()?,
        };
        let attempt = self.tracked[index];
        self.count -= 1;
        self.tracked[index] = self.tracked[self.count];
        matched.map(|_| attempt)
    }

    /// The attempt that has been in flight longest.
    pub(crate) fn oldest(&self) -> Option<&InFlightAttempt> {
        self.tracked[..self.count]
            .iter()
            .min_by_key(|attempt| attempt.started)
    }

    /// Number of attempts that are old enough to have reached the server.
    pub(crate) fn arrived(&self, now: Moment) -> u32 {
        let tracked = self.tracked[..self.count].iter();
        let arrived = tracked.filter(|attempt| now.since(attempt.started) >= ARRIVAL_DELAY);
        arrived.count() as u32
    }

    /// Index of the attempt that has been in flight longest.
    fn oldest_index(&self) -> Option<usize> {
        (0..self.count).min_by_key(|&index| self.tracked[index].started)
    }
}

/// Difference between an attempt's age and the elapsed time of an end.
fn distance(attempt: &InFlightAttempt, elapsed: Duration, now: Moment) -> Duration {
    let age = now.since(attempt.started);
    age.abs_diff(elapsed)
}
