//! A message that is passed on in a tree reaches each gate once.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use ggs_member::relay_children;
use proptest::prelude::*;

/// Addresses of `count` gates, in an order that depends on `seed`.
fn gates(count: u16, seed: u64) -> Vec<SocketAddr> {
    let mut gates: Vec<SocketAddr> = (1..=count)
        .map(|port| ([10, 0, 0, 1], port).into())
        .collect();
    gates.sort_by_key(|gate| u64::from(gate.port()).wrapping_mul(seed | 1) % 1_009);
    gates
}

/// Passes a message on from `root`, and returns how often each gate gets it and after how many hops.
fn spread(gates: &[SocketAddr], root: SocketAddr) -> BTreeMap<SocketAddr, (usize, usize)> {
    let mut received = BTreeMap::from([(root, (1, 0))]);
    let mut waiting = vec![root];
    while let Some(gate) = waiting.pop() {
        let hops = received[&gate].1;
        for child in relay_children(gates, root, gate) {
            let entry = received.entry(child).or_insert((0, hops + 1));
            entry.0 += 1;
            if entry.0 == 1 {
                waiting.push(child);
            }
        }
    }
    received
}

proptest! {
    #[test]
    fn each_gate_gets_the_message_once_within_few_hops(
        count in 1_u16..300,
        seed in any::<u64>(),
        root in any::<prop::sample::Index>(),
    ) {
        let gates = gates(count, seed);
        let root = gates[root.index(gates.len())];
        let received = spread(&gates, root);
        prop_assert_eq!(received.len(), gates.len());
        prop_assert!(received.values().all(|(times, _)| *times == 1));
        let hops = received.values().map(|(_, hops)| *hops).max();
        // A tree of width 4 holds 341 gates in five levels.
        prop_assert!(hops <= Some(4 + 1), "{hops:?} hops");
    }
}
