//! What a chooser must do, as tables of cases over the trait.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use ggs_model::{Incarnation, LoadReport, Moment, RequestClass, ServerId};
use ggs_pick::{
    AttemptEnd, AttemptOutcome, ChoiceRefusal, ChoiceRequest, LeastInFlight, ServerChooser,
    ServerSeed, ServerSlot, SignalChooser,
};

fn server(number: u16) -> ServerId {
    ServerId {
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, number)),
        incarnation: Incarnation(u64::from(number)),
    }
}

fn seeds(numbers: impl IntoIterator<Item = u16>) -> Vec<ServerSeed> {
    let seed = |number| ServerSeed {
        server: server(number),
        slots: 3,
        near: true,
    };
    numbers.into_iter().map(seed).collect()
}

fn request(class: RequestClass) -> ChoiceRequest<'static> {
    ChoiceRequest {
        class,
        tried: &[],
        deadline: Moment::from_millis(1_000_000),
    }
}

fn end(slot: ServerSlot, outcome: AttemptOutcome, millis: u64) -> AttemptEnd {
    AttemptEnd {
        slot,
        class: RequestClass::Urgent,
        outcome,
        elapsed: Duration::from_millis(millis),
    }
}

/// Sends `count` requests one after another, `step` apart, and counts those that each server got.
fn serve(
    chooser: &mut impl ServerChooser,
    now: &mut Moment,
    count: usize,
    answer: impl Fn(u16) -> (AttemptOutcome, u64),
) -> Vec<usize> {
    let mut calls = vec![0; 100];
    for _ in 0..count {
        let slot = chooser
            .choose(&request(RequestClass::Urgent), *now)
            .unwrap();
        let port = chooser.server(slot).unwrap().address.port();
        let (outcome, millis) = answer(port);
        calls[usize::from(port)] += 1;
        *now = *now + Duration::from_millis(millis);
        chooser.finish(&end(slot, outcome, millis), *now);
    }
    calls
}

struct AvoidCase {
    name: &'static str,
    outcome: AttemptOutcome,
    millis: u64,
    most_of_fair_share: f64,
}

#[test]
fn a_bad_server_gets_little() {
    let cases = [
        AvoidCase {
            name: "fails fast",
            outcome: AttemptOutcome::Failed,
            millis: 1,
            most_of_fair_share: 1.5,
        },
        AvoidCase {
            name: "ten times slower",
            outcome: AttemptOutcome::Answered,
            millis: 80,
            most_of_fair_share: 1.0,
        },
        AvoidCase {
            name: "unreachable",
            outcome: AttemptOutcome::PathLost,
            millis: 1,
            most_of_fair_share: 1.5,
        },
    ];
    for case in cases {
        let mut chooser = SignalChooser::builder().seed(1).build();
        let mut now = Moment::from_millis(1);
        chooser.replace_servers(&seeds(0..10), now);
        let calls = serve(&mut chooser, &mut now, 5_000, |port| {
            if port == 3 {
                (case.outcome, case.millis)
            } else {
                (AttemptOutcome::Answered, 8)
            }
        });
        let share = calls[3] as f64 / 500.0;
        assert!(
            share <= case.most_of_fair_share,
            "{}: {share} of its fair share",
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
    chooser.replace_servers(&seeds(0..2), now);
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
fn refuses_what_the_queues_cannot_answer_in_time_and_recovers() {
    let mut chooser = SignalChooser::builder().build();
    let mut now = Moment::from_millis(1);
    chooser.replace_servers(&seeds(0..2), now);
    serve(&mut chooser, &mut now, 200, |_| {
        (AttemptOutcome::Answered, 10)
    });
    let hurried = |now: Moment| ChoiceRequest {
        deadline: now + Duration::from_millis(50),
        ..request(RequestClass::Urgent)
    };
    let mut open = Vec::new();
    let refusal = loop {
        match chooser.choose(&hurried(now), now) {
            Ok(slot) => open.push(slot),
            Err(refusal) => break refusal,
        }
        assert!(open.len() < 100, "never refused");
    };
    assert!(matches!(refusal, ChoiceRefusal::NoCapacity { .. }));
    assert!(
        open.len() >= 6,
        "refused with {} open on 6 slots",
        open.len()
    );
    for slot in open {
        now = now + Duration::from_millis(1);
        chooser.finish(&end(slot, AttemptOutcome::Answered, 20), now);
    }
    assert!(chooser.choose(&hurried(now), now).is_ok());
}

#[test]
fn exports_leave_a_slot_for_urgent_reads() {
    let mut chooser = SignalChooser::builder().build();
    let now = Moment::from_millis(1);
    chooser.replace_servers(&seeds(0..2), now);
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
fn a_report_is_corrected_by_what_was_sent_since() {
    let mut chooser = SignalChooser::builder().seed(3).build();
    let now = Moment::from_millis(1);
    chooser.replace_servers(&seeds(0..2), now);
    let idle = chooser.slot_of(server(0)).unwrap();
    let busy = chooser.slot_of(server(1)).unwrap();
    let report = |in_flight| LoadReport {
        in_flight,
        queued: 0,
        slots: 3,
    };
    chooser.report(idle, report(0), now);
    chooser.report(busy, report(3), now);
    let urgent = request(RequestClass::Urgent);
    let chosen: Vec<_> = (0..6)
        .map(|_| chooser.choose(&urgent, now).unwrap())
        .collect();
    assert!(chosen[..3].iter().all(|slot| *slot == idle));
    assert!(
        chosen[3..].contains(&busy),
        "the idle server is full by now"
    );
}

#[test]
fn a_new_server_ramps_up() {
    let mut chooser = SignalChooser::builder()
        .ramp(Duration::from_secs(5))
        .build();
    let mut now = Moment::from_millis(1);
    chooser.replace_servers(&seeds(0..4), now);
    serve(&mut chooser, &mut now, 100, |_| {
        (AttemptOutcome::Answered, 8)
    });
    chooser.replace_servers(&seeds(0..5), now);
    let urgent = request(RequestClass::Urgent);
    let first: Vec<_> = (0..8)
        .map(|_| chooser.choose(&urgent, now).unwrap())
        .collect();
    let new = chooser.slot_of(server(4)).unwrap();
    assert!(!first.contains(&new), "others had free slots");
    for slot in first {
        chooser.finish(&end(slot, AttemptOutcome::Answered, 8), now);
    }
    now = now + Duration::from_secs(6);
    let calls = serve(&mut chooser, &mut now, 1_000, |_| {
        (AttemptOutcome::Answered, 8)
    });
    assert!(calls[4] > 100, "{} of 1000 calls after the ramp", calls[4]);
}

#[test]
fn losing_many_at_once_ejects_no_more_than_the_cap_and_suspects_the_gate() {
    for outcome in [AttemptOutcome::Failed, AttemptOutcome::PathLost] {
        let mut chooser = SignalChooser::builder().eject_percent(30).build();
        let mut now = Moment::from_millis(1);
        chooser.replace_servers(&seeds(0..10), now);
        for _ in 0..500 {
            let slot = chooser.choose(&request(RequestClass::Urgent), now).unwrap();
            now = now + Duration::from_millis(1);
            chooser.finish(&end(slot, outcome, 1), now);
            assert!(chooser.ejected(now) <= 3);
        }
        assert!(chooser.lost_most_peers(now), "{outcome:?}");
    }
}

/// A chooser of ten servers, three of which have failed until they were ejected.
fn with_failed_servers() -> (SignalChooser, Moment) {
    let mut chooser = SignalChooser::builder().eject_percent(30).build();
    let mut now = Moment::from_millis(1);
    chooser.replace_servers(&seeds(0..10), now);
    let urgent = request(RequestClass::Urgent);
    let open: Vec<_> = (0..100)
        .map(|_| chooser.choose(&urgent, now).unwrap())
        .collect();
    now = now + Duration::from_millis(1);
    for slot in open {
        let fails = chooser.server(slot).unwrap().address.port() < 3;
        let outcome = if fails {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Answered
        };
        chooser.finish(&end(slot, outcome, 1), now);
    }
    assert!(chooser.ejected(now) > 1, "{} ejected", chooser.ejected(now));
    (chooser, now)
}

#[test]
fn a_lower_cap_of_a_new_document_holds_from_the_next_list_on() {
    let (mut chooser, now) = with_failed_servers();
    chooser.set_eject_percent(10);
    chooser.replace_servers(&seeds(0..10), now);
    assert_eq!(chooser.ejected(now), 1);
}

#[test]
fn the_cap_on_ejections_holds_when_the_list_shrinks() {
    let (mut chooser, now) = with_failed_servers();
    chooser.replace_servers(&seeds(0..4), now);
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
    chooser.replace_servers(&seeds(0..2), now);
    let answered = |_| (AttemptOutcome::Answered, 8);
    serve(&mut chooser, &mut now, 100, answered);
    let slot = chooser.choose(&request(RequestClass::Urgent), now).unwrap();
    let port = usize::from(chooser.server(slot).unwrap().address.port());
    now = now + Duration::from_millis(300);
    chooser.finish(&end(slot, AttemptOutcome::PathLost, 300), now);
    let calls = serve(&mut chooser, &mut now, 100, answered);
    assert!(calls[port] >= 30, "{} of 100 calls", calls[port]);
}

#[test]
fn a_retry_goes_to_another_server() {
    let mut chooser = SignalChooser::builder().build();
    let mut naive = LeastInFlight::new();
    let now = Moment::from_millis(1);
    check_retry(&mut chooser, now);
    check_retry(&mut naive, now);
}

fn check_retry(chooser: &mut impl ServerChooser, now: Moment) {
    chooser.replace_servers(&seeds(0..3), now);
    let mut tried = Vec::new();
    for _ in 0..3 {
        let request = ChoiceRequest {
            tried: &tried,
            ..request(RequestClass::Urgent)
        };
        let slot = chooser.choose(&request, now).unwrap();
        assert!(!tried.contains(&slot));
        tried.push(slot);
    }
}

#[test]
fn the_same_seed_gives_the_same_choices() {
    let run = |seed| {
        let mut chooser = SignalChooser::builder().seed(seed).build();
        let mut now = Moment::from_millis(1);
        chooser.replace_servers(&seeds(0..20), now);
        serve(&mut chooser, &mut now, 200, |port| {
            (AttemptOutcome::Answered, u64::from(port % 7) + 3)
        })
    };
    assert_eq!(run(5), run(5));
    assert_ne!(run(5), run(6));
}

#[test]
fn slots_of_a_new_document_count_for_servers_that_stay() {
    let mut chooser = SignalChooser::builder().build();
    let now = Moment::from_millis(1);
    let mut list = seeds(0..2);
    chooser.replace_servers(&list, now);
    list[1].slots = 10 * list[0].slots;
    chooser.replace_servers(&list, now);
    let calls = (0..30).map(|_| chooser.choose(&request(RequestClass::Urgent), now));
    let slots: Vec<_> = calls.map(Result::unwrap).collect();
    let larger = chooser.slot_of(list[1].server);
    let count = slots.iter().filter(|slot| Some(**slot) == larger).count();
    assert!(
        count >= 20,
        "{count} of 30 calls at the server with ten times the slots"
    );
}
