//! When the bytes of a connection arrived.
//!
//! A request may wait undecoded behind another, but its deadline counts from its arrival.

use std::collections::VecDeque;

use ggs_model::Moment;

/// Arrival times of the bytes that have been read and not decoded yet.
#[derive(Debug, Default)]
pub(crate) struct ArrivalLog {
    /// Number of bytes read from the connection so far.
    read_count: u64,
    /// Number of bytes decoded so far.
    decoded_count: u64,
    /// For each read with undecoded bytes: the number of bytes read up to its end, and its time.
    reads: VecDeque<(u64, Moment)>,
}

impl ArrivalLog {
    /// Records that `count` bytes were read at `now`.
    pub(crate) fn record_read(&mut self, count: usize, now: Moment) {
        self.read_count += count as u64;
        match self.reads.back_mut() {
            Some((end, at)) if *at == now => *end = self.read_count,
            _ => self.reads.push_back((self.read_count, now)),
        }
    }

    /// Records that the next `count` bytes were decoded; returns when the last of them arrived, or
    /// `now` if there were none.
    pub(crate) fn take_decoded(&mut self, count: usize, now: Moment) -> Moment {
        self.decoded_count += count as u64;
        let mut arrived_at = now;
        while let Some((end, at)) = self.reads.front().copied() {
            arrived_at = at;
            if end > self.decoded_count {
                break;
            }
            self.reads.pop_front();
            if end == self.decoded_count {
                break;
            }
        }
        arrived_at
    }
}
