//! Latency and load targets of issue 5 for the signal policy, on simulated servers.
//!
//! Each test runs cases of the policy benchmark and compares the p99 of urgent reads, or a server's
//! share of the requests, with a target.

#[path = "../benches/policies/agenda.rs"]
#[allow(
    dead_code,
    reason = "shared with the policy benchmark, which uses more of it"
)]
mod agenda;
#[path = "../benches/policies/baseline.rs"]
#[allow(
    dead_code,
    reason = "shared with the policy benchmark, which uses more of it"
)]
mod baseline;
#[path = "../benches/policies/case.rs"]
#[allow(
    dead_code,
    reason = "shared with the policy benchmark, which uses more of it"
)]
mod case;
#[path = "../benches/policies/fault.rs"]
#[allow(
    dead_code,
    reason = "shared with the policy benchmark, which uses more of it"
)]
mod fault;
#[path = "../benches/policies/fleet.rs"]
#[allow(
    dead_code,
    reason = "shared with the policy benchmark, which uses more of it"
)]
mod fleet;
#[path = "../benches/policies/policy.rs"]
#[allow(
    dead_code,
    reason = "shared with the policy benchmark, which uses more of it"
)]
mod policy;
#[path = "../benches/policies/server.rs"]
#[allow(
    dead_code,
    reason = "shared with the policy benchmark, which uses more of it"
)]
mod server;

use std::thread;

use case::{Fault, FleetCase, Reports, SERVICES};
use policy::PolicyKind;

/// Largest p99 of urgent reads as a multiple of that of the oracle, which knows the true load.
const MAX_P99_RATIO_TO_ORACLE: f64 = 1.25;

/// Largest p99 of urgent reads as a multiple of that of least own in-flight, the baseline.
const MAX_P99_RATIO_TO_LEAST_OWN: f64 = 1.05;

/// Largest share of the requests at a fail-fast server, as a multiple of its fair share.
const MAX_FAIL_FAST_SHARE_RATIO: f64 = 1.5;

/// Largest p99 of urgent reads with exports as a multiple of that without.
const MAX_P99_RATIO_BY_EXPORTS: f64 = 1.10;

/// Runs all cases on up to three threads and fails with the list of those that miss their bound.
///
/// `miss` describes how a case misses its bound, if it does.
fn assert_no_misses(cases: &[FleetCase], miss: impl Fn(&FleetCase) -> Option<String> + Sync) {
    let misses: Vec<String> = thread::scope(|scope| {
        let chunk_len = cases.len().div_ceil(3);
        let run = |chunk: &[FleetCase]| chunk.iter().filter_map(&miss).collect::<Vec<_>>();
        let threads: Vec<_> = cases
            .chunks(chunk_len)
            .map(|chunk| scope.spawn(move || run(chunk)))
            .collect();
        threads
            .into_iter()
            .flat_map(|thread| thread.join().unwrap())
            .collect()
    });
    assert!(
        misses.is_empty(),
        "{} of {} cases miss their bound:\n{}",
        misses.len(),
        cases.len(),
        misses.join("\n")
    );
}

/// Cases of all services at the given loads.
fn cases(loads: &[f64], fault: Fault, reports: Reports) -> Vec<FleetCase> {
    let case = |service, load: &f64| FleetCase {
        fault,
        reports,
        ..FleetCase::new(service, *load)
    };
    let at_loads = |service| loads.iter().map(move |load| case(service, load));
    SERVICES.into_iter().flat_map(at_loads).collect()
}

/// Describes the case if the p99 of urgent reads exceeds `bound` times that of the `other` policy.
fn p99_excess(case: &FleetCase, other: PolicyKind, bound: f64) -> Option<String> {
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
    assert_no_misses(&cases, |case| {
        p99_excess(case, PolicyKind::Oracle, MAX_P99_RATIO_TO_ORACLE)
    });
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
        assert_no_misses(&cases, |case| {
            p99_excess(case, PolicyKind::Least, MAX_P99_RATIO_TO_LEAST_OWN)
        });
    }
}

#[test]
fn no_drain_is_worse_than_least_own() {
    let cases = cases(&[0.5, 0.7, 0.85, 0.95], Fault::Drain, Reports::Aged(0));
    assert_no_misses(&cases, |case| {
        p99_excess(case, PolicyKind::Least, MAX_P99_RATIO_TO_LEAST_OWN)
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
        assert_no_misses(&cases, |case| {
            p99_excess(case, PolicyKind::Least, MAX_P99_RATIO_TO_LEAST_OWN)
        });
    }
}

#[test]
fn no_stale_or_false_report_up_to_70_percent_is_worse_than_least_own() {
    for reports in [Reports::Aged(50), Reports::Aged(500), Reports::Lying] {
        let cases = cases(&[0.5, 0.7], Fault::Stragglers, reports);
        assert_no_misses(&cases, |case| {
            p99_excess(case, PolicyKind::Least, MAX_P99_RATIO_TO_LEAST_OWN)
        });
    }
}

#[test]
fn no_stale_or_false_report_from_85_percent_is_worse_than_least_own() {
    let cases: Vec<FleetCase> = [Reports::Aged(50), Reports::Aged(500), Reports::Lying]
        .into_iter()
        .flat_map(|reports| cases(&[0.85, 0.95], Fault::Stragglers, reports))
        .collect();
    assert_no_misses(&cases, |case| {
        p99_excess(case, PolicyKind::Least, MAX_P99_RATIO_TO_LEAST_OWN)
    });
}

#[test]
fn a_lost_data_centre_is_no_worse_than_least_own() {
    let cases = cases(
        &[0.5, 0.7, 0.85, 0.95],
        Fault::DataCentreLost,
        Reports::Aged(0),
    );
    assert_no_misses(&cases, |case| {
        p99_excess(case, PolicyKind::Least, MAX_P99_RATIO_TO_LEAST_OWN)
    });
}

#[test]
fn a_fail_fast_server_gets_little_more_than_its_share() {
    let cases = cases(&[0.5, 0.7, 0.85, 0.95], Fault::FailFast, Reports::Aged(0));
    assert_no_misses(&cases, |case| {
        let share = PolicyKind::Signal
            .run(*case)
            .share_of(0, case.service.servers);
        (share > MAX_FAIL_FAST_SHARE_RATIO)
            .then(|| format!("{} {}: {share:.2}", case.service.name, case.load))
    });
}

#[test]
fn exports_change_urgent_reads_little() {
    let cases = cases(&[0.85], Fault::Calm, Reports::Aged(0));
    assert_no_misses(&cases, |case| {
        let p99 = |exports| {
            PolicyKind::Signal
                .run(FleetCase { exports, ..*case })
                .urgent_ms(0.99)
        };
        let change = p99(0.2) / p99(0.0);
        (change > MAX_P99_RATIO_BY_EXPORTS).then(|| format!("{}: {change:.3}", case.service.name))
    });
}
