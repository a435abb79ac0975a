//! How much of the fleet a gate reaches.

use std::time::Duration;

use foldhash::HashMap;
use ggs_model::{DataCentre, Moment};

/// Time for which a count of live gates holds without news.
const COUNT_TTL: Duration = Duration::from_millis(2_500);

/// The live gates of a data centre, as one of them counted them.
#[derive(Clone, Copy, Debug)]
struct LiveCount {
    live: usize,
    known: usize,
    heard_at: Moment,
}

/// The live gates of each data centre, as this gate last heard of them.
///
/// When the fleet parts, each part has a gate that takes itself for the holder of a quota. Each grants
/// only the fraction of it that its part has of the known gates, so that all parts together stay
/// within the quota. The same reduction applies while gates have ended and are not yet forgotten.
///
/// ```
/// use ggs_limit::FleetReach;
/// use ggs_model::Moment;
///
/// let mut reach = FleetReach::default();
/// reach.note(&"dc-1".into(), 10, 10, Moment::ZERO);
/// reach.note(&"dc-2".into(), 10, 30, Moment::ZERO);
/// assert_eq!(reach.fraction(Moment::ZERO), 0.5);
/// assert_eq!(reach.fraction(Moment::from_millis(3_000)), 0.0);
/// ```
#[derive(Clone, Debug, Default)]
pub struct FleetReach {
    counts: HashMap<DataCentre, LiveCount>,
}

impl FleetReach {
    /// Notes that a gate of a data centre counts `live` of `known` gates there.
    pub fn note(&mut self, data_centre: &DataCentre, live: usize, known: usize, now: Moment) {
        let count = LiveCount {
            live,
            known,
            heard_at: now,
        };
        self.counts.insert(data_centre.clone(), count);
    }

    /// Adds data centres of which nothing was heard yet, with their numbers of gates.
    pub fn note_known(&mut self, data_centre: &DataCentre, known: usize) {
        let count = LiveCount {
            live: 0,
            known,
            heard_at: Moment::ZERO,
        };
        let count = self.counts.entry(data_centre.clone()).or_insert(count);
        count.known = count.known.max(known);
    }

    /// Fraction of the known gates that are live in data centres of which news arrived lately; 1 if no
    /// gate is known.
    pub fn fraction(&self, now: Moment) -> f64 {
        let known: usize = self.counts.values().map(|count| count.known).sum();
        let heard = self.counts.values();
        let heard = heard.filter(|count| now.since(count.heard_at) < COUNT_TTL);
        let live: usize = heard.map(|count| count.live.min(count.known)).sum();
        if known == 0 {
            return 1.0;
        }
        live as f64 / known as f64
    }
}
