//! Events in the order of the virtual clock.

use std::cmp::Ordering;
use std::collections::BinaryHeap;

use ggs_model::ServerId;

use crate::server::ServerMode;

/// Something that happens at a moment of the virtual clock.
#[derive(Clone, Debug)]
pub(crate) enum Event {
    /// The next request arrives.
    Arrive,
    /// A request looks for a server.
    Choose { request: usize },
    /// An attempt reaches its server.
    Reach { attempt: usize },
    /// A request at a server ends, unless the version has changed.
    End { server: usize, version: u64 },
    /// An attempt comes back to its gate.
    Back { attempt: usize },
    /// An attempt is found to be lost.
    Lost { attempt: usize },
    /// A server changes its speed.
    Slow { server: usize, slowness: f64 },
    /// A server changes its mode.
    Mode { server: usize, mode: ServerMode },
    /// A server leaves the list.
    Unlist { server: usize },
    /// A server comes onto the list.
    List { server: usize },
    /// A gate goes.
    LoseGate { gate: usize },
    /// A gate sends its next paid probe.
    Probe { gate: usize },
    /// A gate sends its in-flight counts.
    Share { gate: usize },
    /// A gate gets another gate's counts.
    Shared {
        from: usize,
        to: usize,
        counts: Vec<(ServerId, u32)>,
    },
}

/// An event and its moment in milliseconds.
#[derive(Debug)]
struct Entry {
    at: f64,
    order: u64,
    event: Event,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    // Reversed, because the heap yields the greatest first.
    fn cmp(&self, other: &Self) -> Ordering {
        let at = other.at.total_cmp(&self.at);
        at.then(other.order.cmp(&self.order))
    }
}

/// Events to come.
#[derive(Debug, Default)]
pub(crate) struct Agenda {
    heap: BinaryHeap<Entry>,
    order: u64,
}

impl Agenda {
    /// Notes an event.
    pub(crate) fn add(&mut self, at: f64, event: Event) {
        self.order += 1;
        self.heap.push(Entry {
            at,
            order: self.order,
            event,
        });
    }

    /// The next event.
    pub(crate) fn next(&mut self) -> Option<(f64, Event)> {
        self.heap.pop().map(|entry| (entry.at, entry.event))
    }
}
