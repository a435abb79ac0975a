//! In-flight counts that other gates send.

use ggs_model::{Moment, ServerId};

use crate::samples::seconds;

/// Seconds after which the counts of a silent gate are dropped.
const PEER_COUNTS_TTL_SECONDS: f64 = 2.0;

/// The last counts of one gate.
#[derive(Clone, Debug)]
struct PeerCounts {
    gate: u64,
    received_at: Moment,
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
        self.gates.retain(|peer| {
            peer.gate == gate || seconds(now.since(peer.received_at)) <= PEER_COUNTS_TTL_SECONDS
        });
        let known = self.gates.iter_mut().find(|peer| peer.gate == gate);
        match known {
            Some(peer) => {
                peer.received_at = now;
                peer.counts.clear();
                peer.counts.extend_from_slice(counts);
            }
            None => self.gates.push(PeerCounts {
                gate,
                received_at: now,
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
    pub(crate) fn mean_received_at(&self) -> Moment {
        let count = self.gates.len().max(1) as u64;
        let sum: u64 = self
            .gates
            .iter()
            .map(|peer| peer.received_at.as_nanos() / count)
            .sum();
        Moment::from_nanos(sum)
    }
}
