//! Tests of servers that want no requests for some time.

use std::time::Duration;

use ggs_model::Moment;
use ggs_place::{
    ListedServer, LoadSample, LoadTable, PlacementDecision, PlacementInput, PlacementQuery,
    ProbeStage, SendOutcome, ServerKey, ServerScope, decide_placement,
};

const REST: Duration = Duration::from_secs(3);

fn listed(port: u16, started_ms: u64) -> ListedServer {
    ListedServer {
        instance: format!("i-{port}").as_str().into(),
        started_ms: Some(started_ms),
        address: ([10, 0, 0, 1], port).into(),
        near: true,
        slots: 3,
        cold_until: None,
    }
}

/// A table of two servers, the first of which rests.
fn table_with_rest() -> (LoadTable, ServerKey, ServerKey) {
    let mut table = LoadTable::new(1);
    table.replace(vec![listed(1, 1), listed(2, 1)], Moment::ZERO);
    let key = |table: &LoadTable, port| {
        let mut servers = table.servers();
        let server = servers.find(|(_, server)| server.address.port() == port);
        server.unwrap().0
    };
    let (resting, other) = (key(&table, 1), key(&table, 2));
    table.set_rest(resting, Moment::ZERO + REST);
    (table, resting, other)
}

fn best(table: &mut LoadTable, tried: &[ServerKey], now: Moment) -> Option<ServerKey> {
    let query = PlacementQuery {
        work: Duration::from_millis(50),
        far_cost: Duration::ZERO,
        saturation_slowdown: 1.0,
        since: Moment::ZERO,
        tried,
        now,
    };
    let free = LoadSample {
        running: 0,
        waiting: 0,
        slots: 3,
        pace_percent: 100,
    };
    let keys: Vec<_> = table.servers().map(|(key, _)| key).collect();
    for key in keys {
        table.note_load(key, free, now);
    }
    let by_load = table.best(ServerScope::Near, &query);
    let by_in_flight = table.best_by_in_flight(ServerScope::Near, &query);
    let found = by_load.or(by_in_flight);
    found.map(|placement| placement.server)
}

#[test]
fn a_resting_server_gets_neither_requests_nor_probes() {
    let (mut table, resting, other) = table_with_rest();
    let last = Moment::ZERO + REST - Duration::from_millis(1);
    assert_eq!(best(&mut table, &[], last), Some(other));
    assert_eq!(best(&mut table, &[other], last), None);
    let later = last + Duration::from_millis(1);
    assert_eq!(
        table.stale_servers(9, ServerScope::Near, later, last),
        [other]
    );
    assert_eq!(table.willing_servers(last).collect::<Vec<_>>(), [other]);
    assert_eq!(table.rest_left(last), None);
    assert_eq!(best(&mut table, &[other], later), Some(resting));
}

#[test]
fn a_server_is_not_ranked_by_the_failures_before_its_rest() {
    let (mut table, resting, _) = table_with_rest();
    for _ in 0..10 {
        table.start(resting, Moment::ZERO);
        table.end(resting, SendOutcome::Refused, Moment::ZERO);
    }
    let now = Moment::ZERO + REST;
    let chosen = (0..100).filter(|_| best(&mut table, &[], now) == Some(resting));
    assert!(chosen.count() > 20);
}

#[test]
fn a_server_that_has_started_again_does_not_rest() {
    let (mut table, _, _) = table_with_rest();
    table.replace(vec![listed(1, 2), listed(2, 1)], Moment::ZERO);
    assert_eq!(table.willing_servers(Moment::ZERO).count(), 2);
}

#[test]
fn the_first_server_that_wants_requests_again_ends_the_rest_of_a_service() {
    let (mut table, _, other) = table_with_rest();
    table.set_rest(other, Moment::ZERO + REST / 2);
    assert_eq!(table.rest_left(Moment::ZERO), Some(REST / 2));
    assert_eq!(table.rest_left(Moment::ZERO + REST / 2), None);
    assert_eq!(LoadTable::new(1).rest_left(Moment::ZERO), None);
}

/// A rest of all servers, and what becomes of a request.
struct RestCase {
    name: &'static str,
    rest_ms: u64,
    held_ms: u64,
    decision: PlacementDecision,
}

#[test]
fn a_request_waits_only_for_a_rest_that_ends_soon() {
    let millis = Duration::from_millis;
    let cases = [
        RestCase {
            name: "a rest longer than the request may wait",
            rest_ms: 3_000,
            held_ms: 0,
            decision: PlacementDecision::Refuse(millis(3_000)),
        },
        RestCase {
            name: "a rest that is almost over",
            rest_ms: 20,
            held_ms: 10,
            decision: PlacementDecision::Wait(millis(20)),
        },
        RestCase {
            name: "a short rest after a long wait",
            rest_ms: 40,
            held_ms: 40,
            decision: PlacementDecision::Refuse(millis(40)),
        },
    ];
    for case in cases {
        for stage in [ProbeStage::Known, ProbeStage::Near, ProbeStage::All] {
            let input = PlacementInput {
                best: None,
                work: millis(50),
                far_cost: millis(3),
                objective: millis(400),
                held: millis(case.held_ms),
                time_left: millis(2_000),
                rest_left: Some(millis(case.rest_ms)),
                gives_way: false,
                stage,
            };
            assert_eq!(decide_placement(&input), case.decision, "{}", case.name);
        }
    }
}
