//! Most gates of a fleet leave for good, in turn and as planned; then requests come that end each server that
//! begins to run them.
//!
//! BUDGET: such a request must not reach servers in more than three retries later than `contact` after it has
//! ended the third.

use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::crashes::{judge, send_others};
use crate::wire::now_ms;
use crate::world::{config, send, signal, Gate, Plan, Request, World, SIGTERM};

/// Gates of each of the two zones, and how many stay.
const GATES_PER_ZONE: usize = 30;
const STAYING_COUNT: usize = 3;

/// Gates that leave at a time, and the time between two steps.
const STEP_COUNT: usize = 6;
const STEP_GAP: Duration = Duration::from_millis(1_300);

/// `grace` of the settings.
const GRACE: Duration = Duration::from_secs(6);

/// Requests that end servers, how often each comes, and the time between.
const REQUEST_COUNT: usize = 6;
const REPEAT_COUNT: usize = 12;
const REPEAT_GAP: Duration = Duration::from_millis(3_400);

/// Time between two requests of other clients.
const OTHERS_GAP: Duration = Duration::from_millis(25);

pub fn play(folder: &str, trouble: bool) -> ExitCode {
    let plan = Plan {
        zones: vec!["pl-south-a", "pl-south-b"],
        gates_per_zone: GATES_PER_ZONE,
        servers_per_zone: 10,
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
    thread::sleep(Duration::from_secs(4));
    let (staying, leaving) = world.gates.split_at(STAYING_COUNT);
    if trouble {
        leave(&world, leaving);
    }
    thread::sleep(Duration::from_secs(6));
    let ending = if trouble { "/ends-server" } else { "" };
    let paths: Vec<_> = (0..REQUEST_COUNT)
        .map(|number| format!("/credit/basket-{number}/work-150{ending}"))
        .collect();
    let stop = AtomicBool::new(false);
    thread::scope(|scope| {
        scope.spawn(|| send_others(staying, &world.record, &stop, OTHERS_GAP));
        for round in 0..REPEAT_COUNT {
            for (number, path) in paths.iter().enumerate() {
                let (world, gate) = (&world, &staying[(round + number) % staying.len()]);
                scope.spawn(move || {
                    let request = Request {
                        method: "POST",
                        path: path.clone(),
                        id: format!("p{number}-{round:02}"),
                        deadline_ms: 3_000,
                        more: String::new(),
                        body: String::new(),
                    };
                    send(&world.record, gate, &request);
                });
                thread::sleep(REPEAT_GAP / REQUEST_COUNT as u32);
            }
        }
        stop.store(true, Ordering::Relaxed);
    });
    let ended = staying.iter().filter(|gate| gate.has_ended()).count();
    world.end();
    judge(&world, &paths, folder, ended)
}

/// Stops gates with SIGTERM, a few at a time, as when machines are taken away, and waits until they have ended.
pub fn leave(world: &World, gates: &[Gate]) {
    for step in gates.chunks(STEP_COUNT) {
        for gate in step {
            world.record.add(now_ms(), "platform", "SIGTERM", &gate.name, "-");
            signal(gate.pid(), SIGTERM);
        }
        thread::sleep(STEP_GAP);
    }
    let deadline = Instant::now() + GRACE;
    while Instant::now() < deadline && !gates.iter().all(Gate::has_ended) {
        thread::sleep(Duration::from_millis(50));
    }
    let count = gates.iter().filter(|gate| gate.has_ended()).count();
    world.record.add(now_ms(), "platform", &format!("{count} gates have left"), "-", "-");
}
