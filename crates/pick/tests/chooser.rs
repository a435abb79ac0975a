//! Behaviour of choosers: avoidance of faulty servers, refusals, slow start, ejection and retries.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use ggs_model::{Incarnation, LoadReport, Moment, RequestClass, ServerId};
use ggs_pick::{
    AttemptEnd, AttemptOutcome, ChoiceRefusal, ChoiceRequest, LeastInFlight, ServerChooser,
    ServerHandle, ServerSpec, SignalChooser,
};

fn server(number: u16) -> ServerId {
    ServerId {
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, number)),
        incarnation: Incarnation(u64::from(number)),
    }
}

fn specs(numbers: impl IntoIterator<Item = u16>) -> Vec<ServerSpec> {
    let spec = |number| ServerSpec {
        server: server(number),
        slots: 3,
        near: true,
    };
    numbers.into_iter().map(spec).collect()
}

fn request(class: RequestClass) -> ChoiceRequest<'static> {
    ChoiceRequest {
        class,
        tried: &[],
        deadline: Moment::from_millis(1_000_000),
    }
}

fn end(handle: ServerHandle, outcome: AttemptOutcome, millis: u64) -> AttemptEnd {
    AttemptEnd {
        handle,
        class: RequestClass::Urgent,
        outcome,
        elapsed: Duration::from_millis(millis),
    }
}

/// Sends `count` requests one after another and counts them by server; the index is the port.
///
/// `answer` gives the outcome of an attempt at a port and its duration in milliseconds.
fn send_requests(
    chooser: &mut impl ServerChooser,
    now: &mut Moment,
    count: usize,
    answer: impl Fn(u16) -> (AttemptOutcome, u64),
) -> Vec<usize> {
    let mut calls = vec![0; 100];
    for _ in 0..count {
        let handle = chooser
            .choose(&request(RequestClass::Urgent), *now)
            .unwrap();
        let port = chooser.server(handle).unwrap().address.port();
        let (outcome, millis) = answer(port);
        calls[usize::from(port)] += 1;
        *now = *now + Duration::from_millis(millis);
        chooser.finish(&end(handle, outcome, millis), *now);
    }
    calls
}

struct FaultCase {
    name: &'static str,
    outcome: AttemptOutcome,
    millis: u64,
    max_share_ratio: f64,
}

#[test]
fn faulty_servers_get_little_more_than_their_fair_share() {
    let cases = [
        FaultCase {
            name: "fails fast",
            outcome: AttemptOutcome::Failed,
            millis: 1,
            max_share_ratio: 1.5,
        },
        FaultCase {
            name: "ten times slower",
            outcome: AttemptOutcome::Answered,
            millis: 80,
            max_share_ratio: 1.0,
        },
        FaultCase {
            name: "unreachable",
            outcome: AttemptOutcome::PathLost,
            millis: 1,
            max_share_ratio: 1.5,
        },
    ];
    for case in cases {
        let mut chooser = SignalChooser::builder().seed(1).build();
        let mut now = Moment::from_millis(1);
        chooser.replace_servers(&specs(0..10), now);
        let calls = send_requests(&mut chooser, &mut now, 5_000, |port| {
            if port == 3 {
                (case.outcome, case.millis)
            } else {
                (AttemptOutcome::Answered, 8)
            }
        });
        let share = calls[3] as f64 / 500.0;
        assert!(
            share <= case.max_share_ratio,
            "{}: {share} times its fair share",
            case.name
        );
    }
}

#[test]
fn refuses_without_servers_and_past_the_deadline() {
    let mut chooser = SignalChooser::builder().build();
    let now = Moment::from_millis(5);
    let refused = chooser.choose(&request(RequestClass::Urgent), now);
    assert_eq!(refused, Err(ChoiceRefusal::NoServer));
    chooser.replace_servers(&specs(0..2), now);
    let late = ChoiceRequest {
        deadline: now,
        ..request(RequestClass::Urgent)
    };
    let refused = chooser.choose(&late, now);
    assert!(
        matches!(refused, Err(ChoiceRefusal::NoCapacity { retry_after }) if !retry_after.is_zero())
    );
}

#[test]
fn refuses_requests_that_would_miss_their_deadline_and_recovers() {
    let mut chooser = SignalChooser::builder().build();
    let mut now = Moment::from_millis(1);
    chooser.replace_servers(&specs(0..2), now);
    send_requests(&mut chooser, &mut now, 200, |_| {
        (AttemptOutcome::Answered, 10)
    });
    let short_deadline = |now: Moment| ChoiceRequest {
        deadline: now + Duration::from_millis(50),
        ..request(RequestClass::Urgent)
    };
    let mut in_flight = Vec::new();
    let refusal = loop {
        match chooser.choose(&short_deadline(now), now) {
            Ok(handle) => in_flight.push(handle),
            Err(refusal) => break refusal,
        }
        assert!(in_flight.len() < 100, "never refused a request");
    };
    assert!(matches!(refusal, ChoiceRefusal::NoCapacity { .. }));
    assert!(
        in_flight.len() >= 6,
        "refused with {} attempts in flight on 6 slots",
        in_flight.len()
    );
    for handle in in_flight {
        now = now + Duration::from_millis(1);
        chooser.finish(&end(handle, AttemptOutcome::Answered, 20), now);
    }
    assert!(chooser.choose(&short_deadline(now), now).is_ok());
}

#[test]
fn exports_leave_a_slot_for_urgent_reads() {
    let mut chooser = SignalChooser::builder().build();
    let now = Moment::from_millis(1);
    chooser.replace_servers(&specs(0..2), now);
    let export = request(RequestClass::Export);
    let taken = (0..10)
        .filter(|_| chooser.choose(&export, now).is_ok())
        .count();
    assert_eq!(taken, 2, "each of two servers keeps two of its three slots");
    let refused = chooser.choose(&export, now);
    assert!(matches!(refused, Err(ChoiceRefusal::NoCapacity { .. })));
    assert!(chooser.choose(&request(RequestClass::Urgent), now).is_ok());
}

#[test]
fn attempts_sent_since_a_report_add_to_the_reported_load() {
    let mut chooser = SignalChooser::builder().seed(3).build();
    let now = Moment::from_millis(1);
    chooser.replace_servers(&specs(0..2), now);
    let idle = chooser.handle_of(server(0)).unwrap();
    let busy = chooser.handle_of(server(1)).unwrap();
    let report = |in_flight| LoadReport {
        in_flight,
        queued: 0,
        slots: 3,
    };
    chooser.record_report(idle, report(0), now);
    chooser.record_report(busy, report(3), now);
    let urgent = request(RequestClass::Urgent);
    let chosen: Vec<_> = (0..6)
        .map(|_| chooser.choose(&urgent, now).unwrap())
        .collect();
    assert!(chosen[..3].iter().all(|handle| *handle == idle));
    assert!(
        chosen[3..].contains(&busy),
        "the idle server's slots are full"
    );
}

#[test]
fn a_new_server_gets_its_share_after_slow_start() {
    let mut chooser = SignalChooser::builder()
        .slow_start_window(Duration::from_secs(5))
        .build();
    let mut now = Moment::from_millis(1);
    chooser.replace_servers(&specs(0..4), now);
    send_requests(&mut chooser, &mut now, 100, |_| {
        (AttemptOutcome::Answered, 8)
    });
    chooser.replace_servers(&specs(0..5), now);
    let urgent = request(RequestClass::Urgent);
    let first: Vec<_> = (0..8)
        .map(|_| chooser.choose(&urgent, now).unwrap())
        .collect();
    let new = chooser.handle_of(server(4)).unwrap();
    assert!(
        !first.contains(&new),
        "chose a new server while others had free slots"
    );
    for handle in first {
        chooser.finish(&end(handle, AttemptOutcome::Answered, 8), now);
    }
    now = now + Duration::from_secs(6);
    let calls = send_requests(&mut chooser, &mut now, 1_000, |_| {
        (AttemptOutcome::Answered, 8)
    });
    assert!(
        calls[4] > 100,
        "{} of 1000 calls after slow start",
        calls[4]
    );
}

#[test]
fn many_failures_at_once_eject_no_more_than_the_cap_and_suspect_the_gate() {
    for outcome in [AttemptOutcome::Failed, AttemptOutcome::PathLost] {
        let mut chooser = SignalChooser::builder().eject_percent(30).build();
        let mut now = Moment::from_millis(1);
        chooser.replace_servers(&specs(0..10), now);
        for _ in 0..500 {
            let handle = chooser.choose(&request(RequestClass::Urgent), now).unwrap();
            now = now + Duration::from_millis(1);
            chooser.finish(&end(handle, outcome, 1), now);
            assert!(chooser.ejected(now) <= 3);
        }
        assert!(chooser.is_gate_suspect(now), "{outcome:?}");
    }
}

/// A chooser of ten servers, of which three failed and more than one was ejected.
fn chooser_with_ejected_servers() -> (SignalChooser, Moment) {
    let mut chooser = SignalChooser::builder().eject_percent(30).build();
    let mut now = Moment::from_millis(1);
    chooser.replace_servers(&specs(0..10), now);
    let urgent = request(RequestClass::Urgent);
    let in_flight: Vec<_> = (0..100)
        .map(|_| chooser.choose(&urgent, now).unwrap())
        .collect();
    now = now + Duration::from_millis(1);
    for handle in in_flight {
        let fails = chooser.server(handle).unwrap().address.port() < 3;
        let outcome = if fails {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Answered
        };
        chooser.finish(&end(handle, outcome, 1), now);
    }
    assert!(chooser.ejected(now) > 1, "{} ejected", chooser.ejected(now));
    (chooser, now)
}

#[test]
fn a_lower_ejection_cap_applies_with_the_next_server_list() {
    let (mut chooser, now) = chooser_with_ejected_servers();
    chooser.set_eject_percent(10);
    chooser.replace_servers(&specs(0..10), now);
    assert_eq!(chooser.ejected(now), 1);
}

#[test]
fn the_ejection_cap_holds_when_the_server_list_shrinks() {
    let (mut chooser, now) = chooser_with_ejected_servers();
    chooser.replace_servers(&specs(0..4), now);
    assert!(
        chooser.ejected(now) <= 1,
        "{} of 4 ejected",
        chooser.ejected(now)
    );
}

#[test]
fn a_lost_path_does_not_make_the_server_look_slow() {
    let mut chooser = SignalChooser::builder().build();
    let mut now = Moment::from_millis(1);
    chooser.replace_servers(&specs(0..2), now);
    let answered = |_| (AttemptOutcome::Answered, 8);
    send_requests(&mut chooser, &mut now, 100, answered);
    let handle = chooser.choose(&request(RequestClass::Urgent), now).unwrap();
    let port = usize::from(chooser.server(handle).unwrap().address.port());
    now = now + Duration::from_millis(300);
    chooser.finish(&end(handle, AttemptOutcome::PathLost, 300), now);
    let calls = send_requests(&mut chooser, &mut now, 100, answered);
    assert!(calls[port] >= 30, "{} of 100 calls", calls[port]);
}

#[test]
fn a_retry_goes_to_another_server() {
    let mut chooser = SignalChooser::builder().build();
    let mut baseline = LeastInFlight::new();
    let now = Moment::from_millis(1);
    check_retry(&mut chooser, now);
    check_retry(&mut baseline, now);
}

fn check_retry(chooser: &mut impl ServerChooser, now: Moment) {
    chooser.replace_servers(&specs(0..3), now);
    let mut tried = Vec::new();
    for _ in 0..3 {
        let request = ChoiceRequest {
            tried: &tried,
            ..request(RequestClass::Urgent)
        };
        let handle = chooser.choose(&request, now).unwrap();
        assert!(!tried.contains(&handle));
        tried.push(handle);
    }
}

#[test]
fn the_same_seed_gives_the_same_choices() {
    let run = |seed| {
        let mut chooser = SignalChooser::builder().seed(seed).build();
        let mut now = Moment::from_millis(1);
        chooser.replace_servers(&specs(0..20), now);
        send_requests(&mut chooser, &mut now, 200, |port| {
            (AttemptOutcome::Answered, u64::from(port % 7) + 3)
        })
    };
    assert_eq!(run(5), run(5));
    assert_ne!(run(5), run(6));
}

#[test]
fn changed_slots_apply_to_servers_that_stay() {
    let mut chooser = SignalChooser::builder().build();
    let now = Moment::from_millis(1);
    let mut list = specs(0..2);
    chooser.replace_servers(&list, now);
    list[1].slots = 10 * list[0].slots;
    chooser.replace_servers(&list, now);
    let calls = (0..30).map(|_| chooser.choose(&request(RequestClass::Urgent), now));
    let handles: Vec<_> = calls.map(Result::unwrap).collect();
    let larger = chooser.handle_of(list[1].server);
    let count = handles
        .iter()
        .filter(|handle| Some(**handle) == larger)
        .count();
    assert!(
        count >= 20,
        "{count} of 30 calls to the server with ten times the slots"
    );
}
