//! In-flight counts that other gates send.

use ggs_model::{Moment, ServerId};

use crate::figure::seconds;

/// Seconds after which the counts of a silent gate are dropped.
const DROP_AFTER: f64 = 2.0;

/// The last counts of one gate.
#[derive(Clone, Debug)]
struct PeerCounts {
    gate: u64,
    at: Moment,
    counts: Vec<(ServerId, u32)>,
}

/// The last counts of each other gate.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerTable {
    gates: Vec<PeerCounts>,
}

impl PeerTable {
    /// Takes in a gate's counts and drops those of gates that fell silent.
    pub(crate) fn update(&mut self, gate: u64, counts: &[(ServerId, u32)], now: Moment) {
        self.gates
            .retain(|peer| peer.gate == gate || seconds(now.since(peer.at)) <= DROP_AFTER);
        let known = self.gates.iter_mut().find(|peer| peer.gate == gate);
        match known {
            Some(peer) => {
                peer.at = now;
                peer.counts.clear();
                peer.counts.extend_from_slice(counts);
            }
            None => self.gates.push(PeerCounts {
                gate,
                at: now,
                counts: counts.to_vec(),
            }),
        }
    }

    /// All counts, one gate after another.
    pub(crate) fn counts(&self) -> impl Iterator<Item = (ServerId, u32)> {
        self.gates
            .iter()
            .flat_map(|peer| peer.counts.iter().copied())
    }

    /// Mean moment at which the counts came.
    pub(crate) fn mean_moment(&self) -> Moment {
        let count = self.gates.len().max(1) as u64;
        let sum: u64 = self
            .gates
            .iter()
            .map(|peer| peer.at.as_nanos() / count)
            .sum();
        Moment::from_nanos(sum)
    }
}
