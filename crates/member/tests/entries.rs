//! Order of entry answers: near gates first, few gates a service, little movement.

use std::collections::BTreeSet;

use ggs_member::{AdvertisedGates, GateRecord, GateState, order_entries};
use ggs_model::{DataCentre, GateId, HostName, Incarnation, ServiceName};

fn gates(count: usize) -> Vec<GateRecord> {
    let record = |host| GateRecord {
        gate: GateId {
            host: HostName::new(&format!("entry-{host}")),
            incarnation: Incarnation(1),
        },
        data_centre: DataCentre::new(&format!("dc-{}", host % 3)),
        callers: format!("10.0.0.{host}:80").parse().unwrap(),
        peers: format!("10.0.0.{host}:81").parse().unwrap(),
        state: GateState::Live,
    };
    (1..=count).map(record).collect()
}

fn order(gates: &[GateRecord], service: &str, near: &str, draw: u64) -> Vec<std::net::SocketAddr> {
    let gates = AdvertisedGates {
        live: gates.iter().collect(),
        unsure: Vec::new(),
    };
    let near = DataCentre::new(near);
    order_entries(&gates, &ServiceName::new(service), &near, 2, draw)
}

#[test]
fn callers_meet_at_two_near_gates_that_share_them() {
    let all = gates(18);
    let firsts: BTreeSet<_> = (0..10)
        .map(|draw| order(&all, "roster", "dc-1", draw)[0])
        .collect();
    assert_eq!(firsts.len(), 2);
    for draw in 0..2 {
        let addresses = order(&all, "roster", "dc-1", draw);
        assert_eq!(addresses.len(), 6);
        let near = |address| {
            all.iter()
                .any(|gate| gate.callers == address && gate.data_centre.as_str() == "dc-1")
        };
        assert!(
            addresses.iter().all(|address| near(*address)),
            "six near gates come first"
        );
    }
    let services: BTreeSet<_> = (0..40)
        .map(|index| order(&all, &format!("s{index}"), "dc-1", 0)[0])
        .collect();
    assert_eq!(
        services.len(),
        6,
        "every near gate is first for some service"
    );
}

#[test]
fn gate_that_leaves_moves_only_its_own_callers() {
    let all = gates(18);
    let before = order(&all, "roster", "dc-1", 0);
    for (index, gone) in before.iter().enumerate() {
        let rest: Vec<_> = all
            .iter()
            .filter(|gate| gate.callers != *gone)
            .cloned()
            .collect();
        let mut expected = before.clone();
        expected.remove(index);
        let after = order(&rest, "roster", "dc-1", 0);
        // The last place is taken by a far gate.
        assert_eq!(
            BTreeSet::from_iter(&after[..5]),
            BTreeSet::from_iter(&expected)
        );
        assert_eq!(&after[2..5], &expected[2..], "{gone}");
    }
}

#[test]
fn far_gates_answer_for_a_data_centre_without_gates() {
    let all = gates(4);
    assert_eq!(order(&all, "roster", "dc-9", 0).len(), 4);
    let firsts: BTreeSet<_> = (0..4)
        .map(|draw| order(&all, "roster", "dc-9", draw)[0])
        .collect();
    assert_eq!(firsts.len(), 2);
}
