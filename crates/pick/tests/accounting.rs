//! Choosers under random sequences of events.
//!
//! Guards against attempts counted twice, never or on the wrong server, as by a handle that is
//! reused while an attempt on it is in flight, and against more ejections than the cap allows.

use std::collections::HashMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use ggs_model::{Incarnation, LoadReport, Moment, RequestClass, ServerId};
use ggs_pick::{
    AttemptEnd, AttemptOutcome, ChoiceRequest, LeastInFlight, ServerChooser, ServerHandle,
    ServerSpec, SignalChooser,
};
use proptest::collection::vec;
use proptest::prelude::*;

const EJECT_PERCENT: u32 = 30;

#[derive(Clone, Debug)]
enum Step {
    Choose(RequestClass),
    Finish(usize, AttemptOutcome),
    Replace(Vec<u16>),
    Report(usize, u32),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let class = prop_oneof![
        Just(RequestClass::Urgent),
        Just(RequestClass::Standard),
        Just(RequestClass::Export)
    ];
    let outcome = prop_oneof![
        Just(AttemptOutcome::Answered),
        Just(AttemptOutcome::Failed),
        Just(AttemptOutcome::PathLost),
        Just(AttemptOutcome::Abandoned)
    ];
    prop_oneof![
        6 => class.prop_map(Step::Choose),
        5 => (any::<usize>(), outcome).prop_map(|(which, outcome)| Step::Finish(which, outcome)),
        1 => vec(0..12_u16, 0..8).prop_map(Step::Replace),
        1 => (any::<usize>(), 0..20_u32).prop_map(|(which, load)| Step::Report(which, load)),
        2 => (0..2_000_u64).prop_map(Step::Wait),
    ]
}

fn server(number: u16) -> ServerId {
    ServerId {
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, number)),
        incarnation: Incarnation(u64::from(number)),
    }
}

/// An attempt that has not ended, tracked independently of the chooser.
#[derive(Clone, Copy, Debug)]
struct InFlightAttempt {
    handle: ServerHandle,
    server: ServerId,
    class: RequestClass,
    started: Moment,
}

/// Runs the steps and compares the chooser's counts with the tracked attempts after each.
fn run_steps(chooser: &mut impl ServerChooser, steps: &[Step]) {
    let mut now = Moment::from_millis(1);
    let mut attempts: Vec<InFlightAttempt> = Vec::new();
    let mut listed: Vec<u16> = Vec::new();
    for step in steps {
        match step {
            Step::Choose(class) => {
                let request = ChoiceRequest {
                    class: *class,
                    tried: &[],
                    deadline: now + Duration::from_mins(1),
                };
                if let Ok(handle) = chooser.choose(&request, now) {
                    let server = chooser.server(handle).expect("a chosen handle is valid");
                    assert!(
                        listed.contains(&server.address.port()),
                        "chose an unlisted server"
                    );
                    attempts.push(InFlightAttempt {
                        handle,
                        server,
                        class: *class,
                        started: now,
                    });
                }
            }
            Step::Finish(which, outcome) if !attempts.is_empty() => {
                let attempt = attempts.swap_remove(which % attempts.len());
                let end = AttemptEnd {
                    handle: attempt.handle,
                    class: attempt.class,
                    outcome: *outcome,
                    elapsed: now.since(attempt.started),
                };
                chooser.finish(&end, now);
            }
            Step::Replace(numbers) => {
                listed.clone_from(numbers);
                let spec = |number: &u16| ServerSpec {
                    server: server(*number),
                    slots: 3,
                    near: number.is_multiple_of(2),
                };
                let specs: Vec<ServerSpec> = numbers.iter().map(spec).collect();
                chooser.replace_servers(&specs, now);
            }
            Step::Report(which, load) if !attempts.is_empty() => {
                let report = LoadReport {
                    in_flight: *load,
                    queued: 0,
                    slots: 3,
                };
                chooser.record_report(attempts[which % attempts.len()].handle, report, now);
            }
            Step::Wait(millis) => now = now + Duration::from_millis(*millis),
            Step::Finish(..) | Step::Report(..) => {}
        }
        check_counts(chooser, &attempts, &listed);
    }
}

/// Checks the chooser's counts and handles against the attempts in flight.
fn check_counts(chooser: &impl ServerChooser, attempts: &[InFlightAttempt], listed: &[u16]) {
    let mut counts = Vec::new();
    chooser.own_counts(&mut counts);
    let counts: HashMap<ServerId, u32> = counts.into_iter().collect();
    for number in listed {
        let id = server(*number);
        let expected = attempts
            .iter()
            .filter(|attempt| attempt.server == id)
            .count();
        assert_eq!(
            counts.get(&id),
            Some(&(expected as u32)),
            "in-flight count of {id}"
        );
    }
    for attempt in attempts {
        assert_eq!(
            chooser.server(attempt.handle),
            Some(attempt.server),
            "handle was reused while its attempt was in flight"
        );
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(256))]

    #[test]
    fn in_flight_counts_match_the_attempts_that_have_not_ended(steps in vec(step(), 1..200)) {
        run_steps(&mut SignalChooser::builder().build(), &steps);
        run_steps(&mut LeastInFlight::new(), &steps);
    }

    #[test]
    fn no_more_servers_are_ejected_than_the_cap(
        size in 1..40_u16,
        failures in vec((any::<bool>(), 0..300_u64), 1..300),
    ) {
        let mut chooser = SignalChooser::builder().eject_percent(EJECT_PERCENT).build();
        let mut now = Moment::from_millis(1);
        let spec = |number| ServerSpec { server: server(number), slots: 3, near: true };
        chooser.replace_servers(&(0..size).map(spec).collect::<Vec<_>>(), now);
        for (fails, millis) in failures {
            let request = ChoiceRequest {
                class: RequestClass::Urgent,
                tried: &[],
                deadline: now + Duration::from_mins(1),
            };
            let Ok(handle) = chooser.choose(&request, now) else { continue };
            now = now + Duration::from_millis(millis);
            let failed = fails && handle.index % 3 != 0;
            let outcome = if failed { AttemptOutcome::Failed } else { AttemptOutcome::Answered };
            let elapsed = Duration::from_millis(millis);
            chooser.finish(&AttemptEnd { handle, class: RequestClass::Urgent, outcome, elapsed }, now);
            prop_assert!(chooser.ejected(now) <= usize::from(size) * EJECT_PERCENT as usize / 100);
        }
    }
}
