//! Most gates of a zone leave for good, in turn and as planned. Then servers name limits.
//!
//! LIMIT: from `contact` after a server first named its limit, it gets in no 4 s more than one and a half times
//! what that allows, and 5 requests, from the gates that had passed on such an answer half a second before.

use std::collections::BTreeMap;
use std::process::ExitCode;
use std::sync::Mutex;
use std::thread;
use std::time::{Duration, Instant};

use crate::trackers::leave;
use crate::wire::now_ms;
use crate::world::{config, send, Plan, Request, World};

/// Gates of the zone, and how many stay.
const GATE_COUNT: usize = 70;
const STAYING_COUNT: usize = 3;

/// Requests a second that each server takes.
const LIMIT: f64 = 10.0;

/// Time over which arrivals are counted.
const WINDOW_MS: u64 = 4_000;

/// `contact` of the settings.
const CONTACT_MS: u64 = 3_000;

/// Time after which a gate that has passed on a limit is bound by it.
const NOTICE_MS: u64 = 500;

/// Name of the event in the log of a gate that takes another one for lost.
const WITHDRAWN: &str = "\"gate-withdrawn\"";

/// Requests of the clients, and the time between two.
const REQUEST_COUNT: u32 = 5_000;
const GAP: Duration = Duration::from_millis(8);

pub fn play(folder: &str, trouble: bool) -> ExitCode {
    let plan = Plan {
        zones: vec!["pl-south-a"],
        gates_per_zone: GATE_COUNT,
        servers_per_zone: 6,
        slots: 3,
        config: config(1, ""),
        contracts: r#""base","drain","config","cost","retry","recover","health","platform""#,
        more_bounds: "",
        limit: LIMIT,
    };
    let Some(world) = World::start(&plan) else {
        eprintln!("the gates were not ready in time");
        return ExitCode::from(2);
    };
    thread::sleep(Duration::from_secs(4));
    let (staying, leaving) = world.gates.split_at(STAYING_COUNT);
    if trouble {
        leave(&world, leaving);
        thread::sleep(Duration::from_secs(3));
    }
    let used = if trouble { staying } else { &world.gates[..] };
    // When a gate first passed on an answer of a server with a limit, by gate and server.
    let passed: Mutex<BTreeMap<(usize, String), u64>> = Mutex::default();
    let start = Instant::now();
    thread::scope(|scope| {
        for number in 0..REQUEST_COUNT {
            let (world, passed) = (&world, &passed);
            let index = number as usize % used.len();
            scope.spawn(move || {
                let request = Request {
                    method: "GET",
                    path: "/lists/tare/work-30".to_owned(),
                    id: format!("{index}-{number:05}"),
                    deadline_ms: 1_000,
                    more: String::new(),
                    body: String::new(),
                };
                let Some(answer) = send(&world.record, &used[index], &request) else {
                    return;
                };
                if answer.header("server-limit").is_empty() {
                    return;
                }
                let seal = answer.header("response-seal");
                let server = seal.rsplit('.').next().unwrap_or_default().to_owned();
                let mut passed = passed.lock().expect("lock of the answers");
                passed.entry((index, server)).or_insert_with(now_ms);
            });
            let next = start + GAP * (number + 1);
            thread::sleep(next.saturating_duration_since(Instant::now()));
        }
    });
    let ended = used.iter().filter(|gate| gate.has_ended()).count();
    let logs = used.iter().map(|gate| gate.log_text().matches(WITHDRAWN).count());
    let notes = vec![
        format!("gates that run: {}, ended by themselves: {ended}", used.len()),
        format!("lines of their logs that withdraw a gate after a missing heartbeat: {}", logs.sum::<usize>()),
    ];
    world.end();
    judge(&world, &passed.into_inner().expect("lock of the answers"), folder, notes)
}

fn judge(
    world: &World,
    passed: &BTreeMap<(usize, String), u64>,
    folder: &str,
    notes: Vec<String>,
) -> ExitCode {
    let allowed = 1.5 * LIMIT * WINDOW_MS as f64 / 1_000.0 + 5.0;
    let events = world.record.events();
    let start = events.first().map_or(0, |event| event.at);
    let mut lines = Vec::new();
    let (mut is_broken, mut served) = (false, 0);
    let mut servers: BTreeMap<&str, Vec<(u64, usize)>> = BTreeMap::new();
    let mut named: BTreeMap<&str, u64> = BTreeMap::new();
    for event in &events {
        served += usize::from(event.what == "gets 200");
        let Some(server) = event.who.strip_prefix("server ") else { continue };
        if event.what == "end" {
            named.entry(server).or_insert(event.at);
        }
        let gate = event.request.split('-').next().and_then(|gate| gate.parse().ok());
        let (true, Some(gate)) = (event.what == "arrive", gate) else { continue };
        let since = passed.get(&(gate, server.to_owned()));
        let is_bound = since.is_some_and(|since| event.at >= since + NOTICE_MS);
        let counts = named.get(server).is_some_and(|named| event.at >= named + CONTACT_MS);
        if is_bound && counts {
            servers.entry(server).or_default().push((event.at, gate));
        }
    }
    for (server, arrivals) in &servers {
        let in_window = |from: u64| {
            let arrivals = arrivals.iter().filter(move |(at, _)| (from..from + WINDOW_MS).contains(at));
            arrivals.map(|(_, gate)| *gate).collect::<Vec<_>>()
        };
        let windows = arrivals.iter().map(|(at, _)| (in_window(*at), *at));
        let Some((most, at)) = windows.max_by_key(|(gates, _)| gates.len()) else { continue };
        let mut by_gate: BTreeMap<usize, usize> = BTreeMap::new();
        for gate in &most {
            *by_gate.entry(*gate).or_default() += 1;
        }
        lines.push(format!(
            "server {server}: at most {} requests in {WINDOW_MS} ms, {allowed} allowed; from {} ms on, by gate: {by_gate:?}",
            most.len(),
            at - start
        ));
        is_broken |= most.len() as f64 > allowed;
    }
    lines.push(format!("requests served: {served} of {REQUEST_COUNT}"));
    lines.extend(notes);
    lines.push(format!("LIMIT {}", if is_broken { "broken" } else { "held" }));
    println!("{}", lines.join("\n"));
    world.record.write(&format!("{folder}/record.txt"), &lines);
    if served == 0 {
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(is_broken))
}
