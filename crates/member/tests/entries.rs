//! Order of the addresses in entry answers: local gates first, few gates per service, and few
//! callers that move when a gate leaves.

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

fn order(
    gates: &[GateRecord],
    service: &str,
    local: &str,
    random: u64,
) -> Vec<std::net::SocketAddr> {
    let gates = AdvertisedGates {
        live: gates.iter().collect(),
        unsure: Vec::new(),
    };
    let local = DataCentre::new(local);
    order_entries(&gates, &ServiceName::new(service), &local, 2, random)
}

#[test]
fn callers_of_a_service_are_spread_over_two_local_gates() {
    let all = gates(18);
    let firsts: BTreeSet<_> = (0..10)
        .map(|random| order(&all, "roster", "dc-1", random)[0])
        .collect();
    assert_eq!(firsts.len(), 2);
    for random in 0..2 {
        let addresses = order(&all, "roster", "dc-1", random);
        assert_eq!(addresses.len(), 6);
        let is_local = |address| {
            all.iter()
                .any(|gate| gate.callers == address && gate.data_centre.as_str() == "dc-1")
        };
        assert!(
            addresses.iter().all(|address| is_local(*address)),
            "six local gates come first"
        );
    }
    let services: BTreeSet<_> = (0..40)
        .map(|index| order(&all, &format!("s{index}"), "dc-1", 0)[0])
        .collect();
    assert_eq!(
        services.len(),
        6,
        "every local gate is first for some service"
    );
}

#[test]
fn leaving_gate_moves_only_its_own_callers() {
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
        // A gate of another data centre moves up into the sixth position.
        assert_eq!(
            BTreeSet::from_iter(&after[..5]),
            BTreeSet::from_iter(&expected)
        );
        assert_eq!(&after[2..5], &expected[2..], "{gone}");
    }
}

#[test]
fn data_centre_without_gates_gets_remote_gates() {
    let all = gates(4);
    assert_eq!(order(&all, "roster", "dc-9", 0).len(), 4);
    let firsts: BTreeSet<_> = (0..4)
        .map(|random| order(&all, "roster", "dc-9", random)[0])
        .collect();
    assert_eq!(firsts.len(), 2);
}
