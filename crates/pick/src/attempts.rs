//! Start moments of open attempts at one server.

use std::time::Duration;

use ggs_model::Moment;

/// Attempts whose start is kept for each server; the oldest matter most.
const MAX_TRACKED_ATTEMPTS: usize = 16;

/// Share of an attempt's elapsed time by which its end may miss its start and still match.
const MATCH_TOLERANCE_DIVISOR: u32 = 4;

/// Least difference that still matches an end to a start.
const MIN_MATCH_TOLERANCE: Duration = Duration::from_millis(1);

/// Age from which an attempt has surely reached its server and shows in a fresh report.
const ARRIVAL_DELAY: Duration = Duration::from_millis(5);

/// One open attempt.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct InFlightAttempt {
    /// When it started.
    pub(crate) started: Moment,
    /// Answer time expected at its start, in mean service times.
    pub(crate) expected: f64,
}

/// Open attempts at one server, held in place so that a choice allocates nothing.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AttemptTracker {
    tracked: [InFlightAttempt; MAX_TRACKED_ATTEMPTS],
    count: usize,
}

impl AttemptTracker {
    /// Takes in an attempt; beyond the tracked ones it is left out.
    pub(crate) fn start(&mut self, attempt: InFlightAttempt) {
        if self.count < MAX_TRACKED_ATTEMPTS {
            self.tracked[self.count] = attempt;
            self.count += 1;
        }
    }

    /// Takes out the attempt that started `elapsed` before `now`.
    ///
    /// `others` is the number of attempts that stay open. When no start matches, for example because
    /// the body of an answer took long, the oldest goes, so that no start outlives its attempt for long.
    pub(crate) fn end(
        &mut self,
        elapsed: Duration,
        now: Moment,
        remaining: usize,
    ) -> Option<InFlightAttempt> {
        let tolerance = (elapsed / MATCH_TOLERANCE_DIVISOR).max(MIN_MATCH_TOLERANCE);
        let open = &self.tracked[..self.count];
        let nearest = (0..self.count).min_by_key(|&index| distance(&open[index], elapsed, now));
        let matched = nearest.filter(|&index| distance(&open[index], elapsed, now) <= tolerance);
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

    /// The attempt that has been open longest.
    pub(crate) fn oldest(&self) -> Option<&InFlightAttempt> {
        self.tracked[..self.count]
            .iter()
            .min_by_key(|attempt| attempt.started)
    }

    /// Number of attempts that reached the server a while ago.
    pub(crate) fn arrived(&self, now: Moment) -> u32 {
        let open = self.tracked[..self.count].iter();
        let arrived = open.filter(|attempt| now.since(attempt.started) >= ARRIVAL_DELAY);
        arrived.count() as u32
    }

    /// Position of the attempt that has been open longest.
    fn oldest_index(&self) -> Option<usize> {
        (0..self.count).min_by_key(|&index| self.tracked[index].started)
    }
}

/// How far an attempt's start misses the start told by its end.
fn distance(attempt: &InFlightAttempt, elapsed: Duration, now: Moment) -> Duration {
    let open = now.since(attempt.started);
    open.abs_diff(elapsed)
}
