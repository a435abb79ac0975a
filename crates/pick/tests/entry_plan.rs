//! Which gates callers are told of, and how many move when gates come and go.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use ggs_model::{DataCentre, GateId, Incarnation, Moment, ServiceName};
use ggs_pick::{EntryGate, EntryPlan};

const GATES: u8 = 18;
const CENTRES: [&str; 3] = ["a", "b", "c"];

fn gate(number: u8) -> EntryGate {
    EntryGate {
        gate: GateId {
            host: format!("entry-{number}").as_str().into(),
            incarnation: Incarnation(1),
        },
        data_centre: CENTRES[usize::from(number) % 3].into(),
        address: SocketAddr::from(([10, 0, 0, number], 8080)),
    }
}

fn services() -> Vec<ServiceName> {
    (0..61)
        .map(|number| format!("service-{number}").as_str().into())
        .collect()
}

fn plan(gates_per_service: usize, live: &[EntryGate]) -> EntryPlan {
    let mut plan = EntryPlan::new(gates_per_service);
    plan.replace_services(&services());
    plan.replace_gates(live, Moment::ZERO);
    plan
}

fn all() -> Vec<EntryGate> {
    (0..GATES).map(gate).collect()
}

fn sets(plan: &EntryPlan) -> Vec<Vec<SocketAddr>> {
    let set = |service: &ServiceName| {
        let mut entries = plan.entries(service, None, 0);
        entries.sort();
        entries
    };
    services().iter().map(set).collect()
}

struct MoveCase {
    name: &'static str,
    before: Vec<EntryGate>,
    after: Vec<EntryGate>,
    /// Most of the places that may move, as a multiple of those that must.
    most: f64,
}

#[test]
fn few_callers_move_when_a_gate_is_lost_added_or_restarted() {
    let restarted = |number| EntryGate {
        gate: GateId {
            incarnation: Incarnation(2),
            ..gate(number).gate
        },
        ..gate(number)
    };
    let cases = [
        MoveCase {
            name: "lost",
            before: all(),
            after: all().into_iter().skip(1).collect(),
            most: 3.0,
        },
        MoveCase {
            name: "added",
            before: all().into_iter().skip(1).collect(),
            after: all(),
            most: 3.0,
        },
        MoveCase {
            name: "restarted",
            before: all(),
            after: std::iter::once(restarted(0))
                .chain(all().into_iter().skip(1))
                .collect(),
            most: 0.0,
        },
    ];
    for case in cases {
        let (before, after) = (sets(&plan(6, &case.before)), sets(&plan(6, &case.after)));
        let gone = |(old, new): (&Vec<SocketAddr>, &Vec<SocketAddr>)| {
            old.iter().filter(|address| !new.contains(address)).count()
        };
        let moved: usize = before.iter().zip(&after).map(gone).sum();
        let mean_places = 61.0 * 6.0 / f64::from(GATES);
        assert!(
            moved as f64 <= mean_places * case.most,
            "{}: {moved} moved",
            case.name
        );
    }
}

#[test]
fn no_gate_serves_many_more_services_than_the_mean_and_each_data_centre_has_some() {
    let plan = plan(6, &all());
    let mut loads: HashMap<SocketAddr, usize> = HashMap::new();
    for entries in sets(&plan) {
        assert_eq!(entries.len(), 6);
        for centre in 0..3 {
            let there = entries.iter().filter(|address| match address.ip() {
                std::net::IpAddr::V4(ip) => ip.octets()[3] % 3 == centre,
                std::net::IpAddr::V6(_) => false,
            });
            assert_eq!(there.count(), 2);
        }
        for address in entries {
            *loads.entry(address).or_default() += 1;
        }
    }
    let mean = 61.0 * 6.0 / f64::from(GATES);
    let most = loads.values().max().copied().unwrap_or(0);
    assert!(
        most as f64 <= (mean * 1.25).ceil(),
        "{most} services on a gate, mean {mean}"
    );
}

#[test]
fn near_gates_come_first_and_callers_spread_over_them() {
    let plan = plan(6, &all());
    let service = ServiceName::new("service-7");
    let near: DataCentre = "b".into();
    let firsts: Vec<SocketAddr> = (0..4)
        .map(|turn| plan.entries(&service, Some(&near), turn)[0])
        .collect();
    let is_near = |address: &SocketAddr| {
        all()
            .iter()
            .any(|gate| gate.address == *address && gate.data_centre == near)
    };
    assert!(firsts.iter().all(is_near));
    assert_ne!(firsts[0], firsts[1]);
    assert_eq!(firsts[0], firsts[2]);
}

#[test]
fn gates_that_vanish_together_are_not_withdrawn_in_one_go() {
    let mut plan = plan(18, &all());
    let service = ServiceName::new("service-7");
    let at = Moment::from_millis(20_000);
    plan.replace_gates(&[], at);
    assert_eq!(
        plan.entries(&service, None, 0).len(),
        18,
        "an empty list is lost sight"
    );
    let few: Vec<EntryGate> = all().into_iter().take(6).collect();
    plan.replace_gates(&few, at);
    let entries = plan.entries(&service, None, 0);
    assert_eq!(entries.len(), 18, "the others stay at the end");
    let is_few = |address: &SocketAddr| few.iter().any(|gate| gate.address == *address);
    assert!(entries[..6].iter().all(is_few));
    plan.replace_gates(&few, at + Duration::from_secs(16));
    assert_eq!(plan.entries(&service, None, 0).len(), 6);
}

#[test]
fn one_lost_gate_is_withdrawn_at_once() {
    let mut plan = plan(18, &all());
    let rest: Vec<EntryGate> = all().into_iter().skip(1).collect();
    plan.replace_gates(&rest, Moment::from_millis(1));
    let entries = plan.entries(&ServiceName::new("service-1"), None, 0);
    assert!(!entries.contains(&gate(0).address));
}

#[test]
fn a_lost_data_centre_leaves_each_service_its_gates_elsewhere() {
    let rest: Vec<EntryGate> = all()
        .into_iter()
        .filter(|gate| gate.data_centre.as_str() != "a")
        .collect();
    for (before, after) in sets(&plan(6, &all())).iter().zip(sets(&plan(6, &rest))) {
        let kept = before
            .iter()
            .filter(|address| after.contains(address))
            .count();
        assert!(kept >= 3, "{kept} of the 4 gates elsewhere stay");
    }
}
