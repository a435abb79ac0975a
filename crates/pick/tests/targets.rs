//! Targets of issue 5, on the fake servers of the experiment. Bounds are the targets, not measured figures.

#[path = "../benches/policies/agenda.rs"]
#[allow(
    dead_code,
    reason = "shared with the experiment, which uses more of it"
)]
mod agenda;
#[path = "../benches/policies/baseline.rs"]
#[allow(
    dead_code,
    reason = "shared with the experiment, which uses more of it"
)]
mod baseline;
#[path = "../benches/policies/case.rs"]
#[allow(
    dead_code,
    reason = "shared with the experiment, which uses more of it"
)]
mod case;
#[path = "../benches/policies/fault.rs"]
#[allow(
    dead_code,
    reason = "shared with the experiment, which uses more of it"
)]
mod fault;
#[path = "../benches/policies/fleet.rs"]
#[allow(
    dead_code,
    reason = "shared with the experiment, which uses more of it"
)]
mod fleet;
#[path = "../benches/policies/policy.rs"]
#[allow(
    dead_code,
    reason = "shared with the experiment, which uses more of it"
)]
mod policy;
#[path = "../benches/policies/server.rs"]
#[allow(
    dead_code,
    reason = "shared with the experiment, which uses more of it"
)]
mod server;

use std::thread;

use case::{Fault, FleetCase, Reports, SERVICES};
use policy::PolicyKind;

/// Largest p99 of urgent reads as a multiple of the oracle's.
const TO_ORACLE: f64 = 1.25;

/// Largest p99 of urgent reads as a multiple of that of least own in-flight.
const TO_LEAST_OWN: f64 = 1.05;

/// Largest share of a fail-fast server as a multiple of its fair share.
const FAIL_FAST_SHARE: f64 = 1.5;

/// Largest change of the p99 of urgent reads by exports.
const EXPORT_CHANGE: f64 = 1.10;

/// Runs a check over the cases with a few threads; fails with all misses.
fn check(cases: &[FleetCase], miss: impl Fn(&FleetCase) -> Option<String> + Sync) {
    let misses: Vec<String> = thread::scope(|scope| {
        let part = cases.len().div_ceil(3);
        let work = |part: &[FleetCase]| part.iter().filter_map(&miss).collect::<Vec<_>>();
        let parts: Vec<_> = cases
            .chunks(part)
            .map(|part| scope.spawn(move || work(part)))
            .collect();
        parts
            .into_iter()
            .flat_map(|part| part.join().unwrap())
            .collect()
    });
    assert!(
        misses.is_empty(),
        "{} of {} miss:\n{}",
        misses.len(),
        cases.len(),
        misses.join("\n")
    );
}

/// Cases of all services at some loads.
fn cases(loads: &[f64], fault: Fault, reports: Reports) -> Vec<FleetCase> {
    let case = |service, load: &f64| FleetCase {
        fault,
        reports,
        ..FleetCase::new(service, *load)
    };
    let of = |service| loads.iter().map(move |load| case(service, load));
    SERVICES.into_iter().flat_map(of).collect()
}

/// How far the p99 of a policy exceeds a bound, if it does.
fn exceeds(case: &FleetCase, other: PolicyKind, bound: f64) -> Option<String> {
    let [signals, other] =
        [PolicyKind::Signal, other].map(|policy| policy.run(*case).urgent_ms(0.99));
    let FleetCase {
        service,
        load,
        fault,
        reports,
        ..
    } = case;
    let ratio = signals / other;
    let name = service.name;
    (ratio > bound).then(|| format!("{name} {load} {fault:?} {reports:?}: {ratio:.3} > {bound}"))
}

#[test]
fn p99_with_stragglers_is_near_the_oracle() {
    let cases = cases(&[0.7, 0.85], Fault::Stragglers, Reports::Aged(0));
    check(&cases, |case| exceeds(case, PolicyKind::Oracle, TO_ORACLE));
}

#[test]
fn no_fault_up_to_85_percent_is_worse_than_least_own() {
    for fault in [
        Fault::Calm,
        Fault::Stragglers,
        Fault::FailFast,
        Fault::ColdStart,
        Fault::GateLost,
    ] {
        let cases = cases(&[0.5, 0.7, 0.85], fault, Reports::Aged(0));
        check(&cases, |case| {
            exceeds(case, PolicyKind::Least, TO_LEAST_OWN)
        });
    }
}

#[test]
fn no_drain_is_worse_than_least_own() {
    let cases = cases(&[0.5, 0.7, 0.85, 0.95], Fault::Drain, Reports::Aged(0));
    check(&cases, |case| {
        exceeds(case, PolicyKind::Least, TO_LEAST_OWN)
    });
}

#[test]
fn no_fault_at_95_percent_is_worse_than_least_own() {
    for fault in [
        Fault::Calm,
        Fault::Stragglers,
        Fault::FailFast,
        Fault::ColdStart,
        Fault::GateLost,
    ] {
        let cases = cases(&[0.95], fault, Reports::Aged(0));
        check(&cases, |case| {
            exceeds(case, PolicyKind::Least, TO_LEAST_OWN)
        });
    }
}

#[test]
fn no_stale_or_false_report_up_to_70_percent_is_worse_than_least_own() {
    for reports in [Reports::Aged(50), Reports::Aged(500), Reports::Lying] {
        let cases = cases(&[0.5, 0.7], Fault::Stragglers, reports);
        check(&cases, |case| {
            exceeds(case, PolicyKind::Least, TO_LEAST_OWN)
        });
    }
}

#[test]
fn no_stale_or_false_report_from_85_percent_is_worse_than_least_own() {
    let cases: Vec<FleetCase> = [Reports::Aged(50), Reports::Aged(500), Reports::Lying]
        .into_iter()
        .flat_map(|reports| cases(&[0.85, 0.95], Fault::Stragglers, reports))
        .collect();
    check(&cases, |case| {
        exceeds(case, PolicyKind::Least, TO_LEAST_OWN)
    });
}

#[test]
fn a_lost_data_centre_is_no_worse_than_least_own() {
    let cases = cases(
        &[0.5, 0.7, 0.85, 0.95],
        Fault::DataCentreLost,
        Reports::Aged(0),
    );
    check(&cases, |case| {
        exceeds(case, PolicyKind::Least, TO_LEAST_OWN)
    });
}

#[test]
fn a_fail_fast_server_gets_little_more_than_its_share() {
    let cases = cases(&[0.5, 0.7, 0.85, 0.95], Fault::FailFast, Reports::Aged(0));
    check(&cases, |case| {
        let share = PolicyKind::Signal
            .run(*case)
            .share_of(0, case.service.servers);
        (share > FAIL_FAST_SHARE)
            .then(|| format!("{} {}: {share:.2}", case.service.name, case.load))
    });
}

#[test]
fn exports_change_urgent_reads_little() {
    let cases = cases(&[0.85], Fault::Calm, Reports::Aged(0));
    check(&cases, |case| {
        let p99 = |exports| {
            PolicyKind::Signal
                .run(FleetCase { exports, ..*case })
                .urgent_ms(0.99)
        };
        let change = p99(0.2) / p99(0.0);
        (change > EXPORT_CHANGE).then(|| format!("{}: {change:.3}", case.service.name))
    });
}
