//! In-flight counts that other gates send.
//!
//! They let a policy estimate the load that other gates cause at a server between load reports.

use ggs_model::{Moment, ServerId};

use crate::samples::seconds;

/// Age at which counts are dropped, because their gate has stopped sending.
const PEER_COUNTS_TTL_SECONDS: f64 = 2.0;

/// Latest counts of one gate.
#[derive(Clone, Debug)]
struct PeerCounts {
    gate: u64,
    received_at: Moment,
    counts: Vec<(ServerId, u32)>,
}

/// Latest counts of each other gate.
#[derive(Clone, Debug, Default)]
pub(crate) struct PeerTable {
    gates: Vec<PeerCounts>,
}

impl PeerTable {
    /// Replaces a gate's counts and drops those of gates that stopped sending.
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

    /// Counts of all gates; a server appears once for each gate that sent a count of it.
    pub(crate) fn counts(&self) -> impl Iterator<Item = (ServerId, u32)> {
        self.gates
            .iter()
            .flat_map(|peer| peer.counts.iter().copied())
    }

    /// Mean of the moments at which the counts were received; zero without any.
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
