//! Spacing of a gate's probes.

use std::collections::VecDeque;
use std::time::Duration;

use ggs_model::Moment;

use crate::PROBE_TIMEOUT;

/// Spaces probes evenly, without catching up after a pause.
#[derive(Clone, Debug, Default)]
pub(crate) struct ProbePacer {
    /// Probes sent within the last window's length and travel time.
    sent: VecDeque<Moment>,
    next_at: Moment,
}

impl ProbePacer {
    /// The earliest moment for the next probe, if at most `count` may be sent in any interval as long
    /// as `window`. `None` if `count` is zero.
    pub(crate) fn ready_at(&self, count: u32, window: Duration) -> Option<Moment> {
        let blocking = self.sent.len().checked_sub(count as usize);
        let free_at = match blocking {
            None => Moment::ZERO,
            Some(_) if count == 0 => return None,
            Some(oldest) => self.sent[oldest] + window + PROBE_TIMEOUT,
        };
        Some(free_at.max(self.next_at))
    }

    /// Counts a probe as sent, the next one to follow after `gap` at the earliest.
    pub(crate) fn record(&mut self, now: Moment, window: Duration, gap: Duration) {
        let reach = window + PROBE_TIMEOUT;
        while self.sent.front().is_some_and(|sent| *sent + reach <= now) {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
        self.next_at = now + gap;
    }
}
