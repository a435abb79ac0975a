//! Tests of the choice of the gate that takes a request.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use ggs_model::Moment;
use ggs_reach::{DetourGate, DetourTable};

/// Longest time for which a gate that declined is not asked.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_250);

/// A gate of data centre `centre`; the first data centre is the own one.
fn gate(centre: u8, host: u8) -> DetourGate {
    DetourGate {
        address: ([10, centre, 0, host], 7).into(),
        data_centre: format!("dc-{centre}").as_str().into(),
        near: centre == 1,
        capacity: 1,
    }
}

fn gates(per_centre: u8) -> Vec<DetourGate> {
    let centres = 1..=3;
    centres
        .flat_map(|centre| (1..=per_centre).map(move |host| gate(centre, host)))
        .collect()
}

#[test]
fn near_gates_are_asked_first_and_in_turn() {
    let gates = gates(6);
    let mut table = DetourTable::new(1);
    let chosen: BTreeSet<SocketAddr> = (0..200)
        .map(|_| table.choose(&gates, &[], Moment::ZERO).unwrap().address)
        .collect();
    assert_eq!(chosen.len(), 6);
    assert!(
        chosen
            .iter()
            .all(|address| address.ip().to_string().starts_with("10.1."))
    );
}

#[test]
fn a_data_centre_whose_gates_decline_is_left_after_three_of_them() {
    let gates = gates(40);
    let mut table = DetourTable::new(1);
    for _ in 0..3 {
        let chosen = table.choose(&gates, &[], Moment::ZERO).unwrap();
        assert!(chosen.near);
        table.record_declined(chosen, Moment::ZERO);
    }
    let chosen = table.choose(&gates, &[], Moment::ZERO).unwrap();
    assert!(!chosen.near);
}

#[test]
fn gates_that_declined_are_asked_again_after_a_second() {
    let gates = gates(2);
    let mut table = DetourTable::new(1);
    for gate in &gates {
        table.record_declined(gate, Moment::ZERO);
    }
    assert_eq!(table.choose(&gates, &[], Moment::ZERO), None);
    assert!(
        table
            .choose(&gates, &[], Moment::ZERO + LONGEST_PAUSE)
            .is_some()
    );
}

#[test]
fn tried_gates_are_left_out_of_one_choice() {
    let gates = gates(1);
    let mut table = DetourTable::new(1);
    let tried: Vec<_> = gates.iter().map(|gate| gate.address).collect();
    assert_eq!(table.choose(&gates, &tried, Moment::ZERO), None);
    assert_eq!(
        table.choose(&gates, &tried[1..], Moment::ZERO),
        Some(&gates[0])
    );
}
