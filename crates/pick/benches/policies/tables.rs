//! Tables of cases.

use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;

use comfy_table::{Table, presets};

use crate::case::{Fault, FleetCase, Reports, SERVICES, ServiceShape};
use crate::fault;
use crate::fleet::FleetResult;
use crate::plot::{self, BudgetPoint};
use crate::policy::PolicyKind;

/// Runs at once; a few, because the machine is shared.
const WORKERS: usize = 3;

/// Seeds of each case.
const SEEDS: u64 = 2;

/// Loads of the main tables.
const LOADS: [f64; 4] = [0.5, 0.7, 0.85, 0.95];

/// Loads of the tables that look at one matter.
const FOCUS_LOADS: [f64; 2] = [0.7, 0.85];

/// A section of the output.
type Section = (&'static str, fn());

/// All sections by name.
pub(crate) const SECTIONS: [Section; 6] = [
    ("faults", faults),
    ("reports", reports),
    ("exports", exports),
    ("gates", gates),
    ("peers", peers),
    ("budget", budget),
];

/// Runs a case under a policy for each seed and adds the results up.
pub(crate) fn run(policy: PolicyKind, case: FleetCase) -> FleetResult {
    let result = |seed| policy.run(FleetCase { seed, ..case });
    let mut sum = result(1);
    (2..=SEEDS).for_each(|seed| sum.add(&result(seed)));
    sum
}

/// Works on each task with a few threads; yields the rows in the order of the tasks.
fn rows<T: Sync>(tasks: &[T], row: impl Fn(&T) -> Vec<String> + Sync) -> Vec<Vec<String>> {
    let next = AtomicUsize::new(0);
    let rows = Mutex::new(vec![Vec::new(); tasks.len()]);
    thread::scope(|scope| {
        for _ in 0..WORKERS {
            scope.spawn(|| {
                loop {
                    let index = next.fetch_add(1, Ordering::Relaxed);
                    let Some(task) = tasks.get(index) else { break };
                    let row = row(task);
                    rows.lock().expect("no worker panicked")[index] = row;
                }
            });
        }
    });
    rows.into_inner().expect("no worker panicked")
}

/// Prints a table.
fn print(title: &str, header: &[&str], rows: Vec<Vec<String>>) {
    let mut table = Table::new();

    table.load_style(presets::ASCII_MARKDOWN);
    table.set_header(header);
    table.add_rows(rows);
    println!("\n## {title}\n\n{table}");
}

/// Cases of all services and of some loads with a change.
fn cases_at(loads: &[f64], change: impl Fn(FleetCase) -> FleetCase) -> Vec<FleetCase> {
    let of = |service: ServiceShape| loads.iter().map(move |load| FleetCase::new(service, *load));
    SERVICES.into_iter().flat_map(of).map(change).collect()
}

/// Cases of all services and loads with a change.
fn cases(change: impl Fn(FleetCase) -> FleetCase) -> Vec<FleetCase> {
    cases_at(&LOADS, change)
}

/// Header of a comparison of all policies.
const COMPARED: [&str; 10] = [
    "service",
    "load",
    "random",
    "round robin",
    "two choices",
    "least own",
    "signals",
    "oracle",
    "to least own",
    "to oracle",
];

/// p99 of urgent reads of a case under all policies.
fn compare(case: &FleetCase) -> Vec<String> {
    let results = PolicyKind::ALL.map(|policy| run(policy, *case).urgent_ms(0.99));
    let [_, _, _, least, signals, oracle] = results;
    let mut row = vec![case.service.name.to_owned(), format!("{:.2}", case.load)];
    row.extend(results.map(|millis| format!("{millis:.1}")));
    row.push(format!("{:.2}", signals / least));
    row.push(format!("{:.2}", signals / oracle));
    row
}

/// Prints all faults under all policies.
fn faults() {
    let faults = [
        Fault::Calm,
        Fault::Stragglers,
        Fault::FailFast,
        Fault::Drain,
        Fault::ColdStart,
        Fault::GateLost,
        Fault::DataCentreLost,
    ];
    for fault in faults {
        let cases = cases(|case| FleetCase { fault, ..case });
        let title = format!("p99 of urgent reads in ms, {fault:?}");
        print(&title, &COMPARED, rows(&cases, compare));
    }
    let cases = cases(|case| FleetCase {
        fault: Fault::FailFast,
        ..case
    });
    let share = |case: &FleetCase| {
        let share = |policy| run(policy, *case).share_of(0, case.service.servers);
        let shares = [PolicyKind::Least, PolicyKind::Signal].map(share);
        let mut row = vec![case.service.name.to_owned(), format!("{:.2}", case.load)];
        row.extend(shares.map(|share| format!("{share:.2}")));
        row
    };
    let header = ["service", "load", "least own", "signals"];
    let title = "calls of a fail-fast server as a multiple of its fair share";
    print(title, &header, rows(&cases, share));
}

/// Prints stale and false reports with stragglers.
fn reports() {
    for reports in [Reports::Aged(50), Reports::Aged(500), Reports::Lying] {
        let cases = cases(|case| FleetCase {
            fault: Fault::Stragglers,
            reports,
            ..case
        });
        let title = format!("p99 of urgent reads in ms, Stragglers, reports {reports:?}");
        print(&title, &COMPARED, rows(&cases, compare));
    }
}

/// Prints what exports do to urgent reads at the same work in all.
fn exports() {
    let cases = cases(|case| case);
    let row = |case: &FleetCase| {
        let mut row = vec![case.service.name.to_owned(), format!("{:.2}", case.load)];
        for policy in [PolicyKind::Least, PolicyKind::Signal, PolicyKind::Oracle] {
            let without = run(policy, *case).urgent_ms(0.99);
            let with = run(
                policy,
                FleetCase {
                    exports: 0.2,
                    ..*case
                },
            );
            let change = (with.urgent_ms(0.99) / without - 1.0) * 100.0;
            row.push(format!("{change:+.1}%"));
            row.push(format!("{:.0}", with.export_ms(0.99)));
        }
        row
    };
    let header = [
        "service",
        "load",
        "least own: urgent p99",
        "export p99 ms",
        "signals: urgent p99",
        "export p99 ms",
        "oracle: urgent p99",
        "export p99 ms",
    ];
    let title = "a fifth of the work as exports, change of the p99 of urgent reads";
    print(title, &header, rows(&cases, row));
}

/// Prints the number of gates that serve a service, with faults of gates.
fn gates() {
    for fault in [Fault::Stragglers, Fault::GateLost, Fault::DataCentreLost] {
        let base = cases_at(&FOCUS_LOADS, |case| FleetCase { fault, ..case });
        let of = |case| [2, 4, 6, 9, 18].map(|gates| FleetCase { gates, ..case });
        let cases: Vec<FleetCase> = base.into_iter().flat_map(of).collect();
        let row = |case: &FleetCase| {
            let mut row = compare(case);
            row.insert(2, case.gates.to_string());
            row
        };
        let mut header = COMPARED.to_vec();
        header.insert(2, "gates");
        let title = format!("p99 of urgent reads in ms by gates, {fault:?}");
        print(&title, &header, rows(&cases, row));
    }
}

/// Prints what in-flight counts among gates are worth.
fn peers() {
    let cases = cases_at(&FOCUS_LOADS, |case| FleetCase {
        fault: Fault::Stragglers,
        ..case
    });
    let row = |case: &FleetCase| {
        let mut row = vec![case.service.name.to_owned(), format!("{:.2}", case.load)];
        for gates in [4, 18] {
            for peer_ms in [0, 10, 50, 100] {
                let case = FleetCase {
                    gates,
                    peer_ms,
                    ..*case
                };
                row.push(format!(
                    "{:.1}",
                    run(PolicyKind::Signal, case).urgent_ms(0.99)
                ));
            }
        }
        row
    };
    let header = [
        "service", "load", "4: none", "10 ms", "50 ms", "100 ms", "18: none", "10 ms", "50 ms",
        "100 ms",
    ];
    let title = "p99 of urgent reads in ms, Stragglers, counts sent among 4 and 18 gates";
    print(title, &header, rows(&cases, row));
}

/// Prints and plots what paid probes buy.
fn budget() {
    const BUDGETS: [f64; 6] = [0.0, 0.0025, 0.005, 0.01, 0.02, 0.05];
    let mut points = Vec::new();
    let cases = cases_at(&FOCUS_LOADS[..1], |case| FleetCase {
        fault: Fault::Stragglers,
        ..case
    });
    let row = |case: &FleetCase| {
        let p99 = BUDGETS
            .map(|budget| run(PolicyKind::Signal, FleetCase { budget, ..*case }).urgent_ms(0.99));
        let mut row = vec![case.service.name.to_owned()];
        row.extend(p99.map(|millis| format!("{millis:.2}")));
        for index in 1..BUDGETS.len() {
            let percent = BUDGETS[index] * 100.0;
            row.push(format!("{:+.2}", (p99[0] - p99[index]) / percent));
        }
        row
    };
    let rows = rows(&cases, row);
    for row in &rows {
        for (index, budget) in BUDGETS.iter().enumerate() {
            let millis = row[index + 1].parse().expect("a figure that was printed");
            points.push(BudgetPoint {
                service: row[0].clone(),
                percent: budget * 100.0,
                millis,
            });
        }
    }
    let header = [
        "service",
        "0%",
        "0.25%",
        "0.5%",
        "1%",
        "2%",
        "5%",
        "bought at 0.25%",
        "0.5%",
        "1%",
        "2%",
        "5%",
    ];
    let title = "p99 of urgent reads in ms by probes as a share of server time, Stragglers, load \
                 0.70; then ms bought for each 1% of server time";
    print(title, &header, rows);
    plot::draw(&points);
    let onset = fault::onset_ms(&cases[0]);
    println!("\nfirst fault after {onset:.0} ms of the first case");
}
