//! Paces the probes that a gate sends.
//!
//! Probes are spread evenly over a window. The times of recent probes keep a gate within its grant
//! in every interval of the window length, including one that spans two windows. The pacer
//! applies the limit to the window length plus [`PROBE_TIMEOUT`], because an earlier probe may take
//! that long to reach its server while a later one arrives at once.

use std::collections::VecDeque;
use std::time::Duration;

use ggs_model::Moment;

use crate::PROBE_TIMEOUT;

/// Spaces probes evenly and does not catch up after a pause.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbePacer {
    /// Times of the probes sent within the last window length plus [`PROBE_TIMEOUT`].
    sent: VecDeque<Moment>,
    next_at: Moment,
}

impl ProbePacer {
    /// The earliest time for the next probe if at most `count` probes may reach the servers in any
    /// interval of length `window`. `None` if `count` is zero.
    pub(crate) fn ready_at(&self, count: u32, window: Duration) -> Option<Moment> {
        // Of the last `count` probes, the earliest has to be old enough.
        let blocking = self.sent.len().checked_sub(count as usize);
        let free_at = match blocking {
            None => Moment::ZERO,
            Some(_) if count == 0 => return None,
            Some(index) => self.sent[index] + window + PROBE_TIMEOUT,
        };
        Some(free_at.max(self.next_at))
    }

    /// Records a probe as sent at `now`; the next one may follow after `gap` at the earliest.
    pub(crate) fn record(&mut self, now: Moment, window: Duration, gap: Duration) {
        let horizon = window + PROBE_TIMEOUT;
        while self.sent.front().is_some_and(|sent| *sent + horizon <= now) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
        self.next_at = now + gap;
    }
}
