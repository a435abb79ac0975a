//! A request that ends each server that begins to run it, and comes again.
//!
//! BUDGET: it must not reach servers in more than three retries later than `contact` after it has ended
//! the third.

use std::collections::BTreeSet;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use crate::world::{config, send, send_for, Gate, Plan, Record, Request, World};

/// `contact` of the settings.
const CONTACT_MS: u64 = 3_000;

/// Retries that may reach servers after that.
const MOST_RETRIES: usize = 3;

/// Time between two requests of other clients.
const OTHERS_GAP: Duration = Duration::from_millis(75);

/// How the request is sent.
pub struct CrashCase {
    method: &'static str,
    path: &'static str,
    /// Copies that the client sends at the same time, each to another gate.
    copies: usize,
    /// Time between two rounds.
    gap: Duration,
    rounds: usize,
    /// How long the client waits for an answer.
    patience: Duration,
}

/// A download whose answer has begun when its server ends.
pub const STREAMED: CrashCase = CrashCase {
    method: "GET",
    path: "/export/season/streams/work-150",
    copies: 1,
    gap: Duration::from_millis(3_000),
    rounds: 12,
    patience: Duration::from_millis(4_000),
};

/// A request that its client sends to several gates at once.
pub const TOGETHER: CrashCase = CrashCase {
    method: "POST",
    path: "/credit/basket-17/work-150",
    copies: 4,
    gap: Duration::from_millis(5_000),
    rounds: 6,
    patience: Duration::from_millis(4_000),
};

/// A request whose client leaves before its server ends.
pub const LEFT: CrashCase = CrashCase {
    method: "POST",
    path: "/credit/basket-17/work-400",
    copies: 1,
    gap: Duration::from_millis(3_000),
    rounds: 12,
    patience: Duration::from_millis(200),
};

/// A request that comes again one by one, for comparison.
pub const ONE_BY_ONE: CrashCase = CrashCase {
    method: "POST",
    path: "/credit/basket-17/work-150",
    copies: 1,
    gap: Duration::from_millis(3_000),
    rounds: 12,
    patience: Duration::from_millis(4_000),
};

pub fn play(case: &CrashCase, folder: &str, trouble: bool) -> ExitCode {
    let plan = Plan {
        zones: vec!["pl-south-a", "pl-south-b"],
        gates_per_zone: 2,
        servers_per_zone: 4,
        slots: 3,
        config: config(1, ""),
        contracts: r#""base","drain","config","cost","retry","recover","health","platform""#,
        more_bounds: "",
        limit: 0.0,
    };
    let Some(world) = World::start(&plan) else {
        eprintln!("the gates were not ready in time");
        return ExitCode::from(2);
    };
    thread::sleep(Duration::from_secs(2));
    let ending = if trouble { "/ends-server" } else { "" };
    let path = format!("{}{ending}", case.path);
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| send_others(&world.gates, &world.record, &stop, OTHERS_GAP));
        for round in 0..case.rounds {
            for copy in 0..case.copies {
                let (world, path) = (&world, &path);
                scope.spawn(move || {
                    let request = Request {
                        method: case.method,
                        path: path.clone(),
                        id: format!("p{round:02}-{copy}"),
                        deadline_ms: 4_000,
                        more: String::new(),
                        body: String::new(),
                    };
                    send_for(&world.record, &world.gates[(round + copy) % world.gates.len()], &request, case.patience);
                });
            }
            thread::sleep(case.gap);
        }
        stop.store(true, Ordering::Relaxed);
    });
    let ended_gates = world.gates.iter().filter(|gate| gate.has_ended()).count();
    let logs: String = world.gates.iter().map(|gate| gate.log_text()).collect();
    if let Ok(keep) = std::env::var("KEEP_LOG") {
        std::fs::write(keep, logs).expect("log");
    }
    world.end();
    judge(&world, &[path], folder, ended_gates)
}

/// Sends requests of other clients to some gates, one after each `gap`.
pub fn send_others(gates: &[Gate], record: &Record, stop: &AtomicBool, gap: Duration) {
    thread::scope(|scope| {
        let mut number = 0;
        while !stop.load(Ordering::Relaxed) {
            number += 1;
            scope.spawn(move || {
                let request = Request {
                    method: "POST",
                    path: format!("/credit/basket-{}/work-400", 1_000 + number),
                    id: format!("c{number:05}"),
                    deadline_ms: 4_000,
                    more: String::new(),
                    body: format!("{number} kg"),
                };
                send(record, &gates[number % gates.len()], &request);
            });
            thread::sleep(gap);
        }
    });
}

/// Judges requests by what the servers and the clients saw, and writes the record.
pub fn judge(world: &World, paths: &[String], folder: &str, ended_gates: usize) -> ExitCode {
    let events = world.record.events();
    let start = events.first().map_or(0, |event| event.at);
    let mut lines = Vec::new();
    let (mut is_broken, mut has_arrived) = (false, true);
    for path in paths {
        let of_path = |what: &str| {
            let events = events.iter().filter(move |event| event.what == what && event.path == *path);
            events.map(|event| event.at - start).collect::<Vec<_>>()
        };
        let (arrivals, crashes) = (of_path("arrive"), of_path("crash"));
        let third = crashes.get(2).copied();
        let is_late = |at: &&u64| third.is_some_and(|third| **at > third + CONTACT_MS);
        let late = arrivals.iter().filter(is_late).count();
        lines.push(format!("the request {path} reached servers at {arrivals:?} ms"));
        lines.push(format!("it ended servers at {crashes:?} ms"));
        lines.push(format!(
            "arrivals later than {CONTACT_MS} ms after it had ended the third: {late} ({MOST_RETRIES} allowed)"
        ));
        is_broken |= late > MOST_RETRIES;
        has_arrived &= !arrivals.is_empty();
    }
    let of_others = |what: &str| {
        let events = events.iter().filter(move |event| event.what == what);
        let events = events.filter(|event| event.request.starts_with('c'));
        events.map(|event| &event.request).collect::<BTreeSet<_>>()
    };
    let (begun, served) = (of_others("run"), of_others("gets 200"));
    let lost = begun.difference(&served).count();
    lines.push(format!(
        "requests of others that servers had begun to run: {}, not answered with 200: {lost}",
        begun.len()
    ));
    lines.push(format!("gates that ended by themselves: {ended_gates}"));
    lines.push(format!("BUDGET {}", if is_broken { "broken" } else { "held" }));
    println!("{}", lines.join("\n"));
    world.record.write(&format!("{folder}/record.txt"), &lines);
    if !has_arrived || served.is_empty() {
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(is_broken))
}
