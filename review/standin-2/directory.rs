//! All gates lose power and are back; then those of the zone with most clients leave for good, in turn and
//! as planned, while the others run on.
//!
//! RECOVER: of the requests sent later than `recover` after the machines are back, at least a quarter is
//! served.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::thread;
use std::time::{Duration, Instant};

use crate::wire::{call, now_ms, Json};
use crate::world::{config, send, signal, Gate, Plan, Request, World, SIGTERM};

/// `recover` of the settings.
const RECOVER: Duration = Duration::from_secs(15);

/// `grace` of the settings.
const GRACE: Duration = Duration::from_secs(6);

/// Gates that a client asks where to connect, the nearest first.
const ASKED_COUNT: usize = 3;

/// Requests of each part of the case, and the time between two.
const REQUEST_COUNT: usize = 60;
const GAP: Duration = Duration::from_millis(100);

/// One of this many requests comes from the other zone.
const OTHER_ZONE: usize = 5;

pub fn play(folder: &str, trouble: bool) -> ExitCode {
    let plan = Plan {
        zones: vec!["pl-south-a", "pl-south-b"],
        gates_per_zone: 3,
        servers_per_zone: 3,
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
    thread::sleep(Duration::from_secs(3));
    let before = send_all(&world);
    for gate in &world.gates {
        world.record.add(now_ms(), "platform", "loses power", &gate.name, "-");
        gate.kill();
        gate.edit_settings("bootstrap = true", "bootstrap = false");
    }
    thread::sleep(Duration::from_secs(1));
    for gate in &world.gates {
        world.record.add(now_ms(), "platform", "is back", &gate.name, "-");
        gate.start();
    }
    let back = Instant::now();
    thread::sleep(Duration::from_secs(2));
    if trouble {
        leave(&world, "pl-south-a");
    }
    thread::sleep(RECOVER.saturating_sub(back.elapsed()) + Duration::from_millis(200));
    let after = send_all(&world);
    let running = world.gates.iter().filter(|gate| !gate.has_ended()).count();
    world.end();
    let is_broken = 4 * after < REQUEST_COUNT && 4 * before >= REQUEST_COUNT;
    let lines = vec![
        format!("before the fault, served: {before} of {REQUEST_COUNT}"),
        format!("gates that run at the end: {running} of {}", world.gates.len()),
        format!(
            "later than {} s after the machines were back, served: {after} of {REQUEST_COUNT} (a quarter is the least)",
            RECOVER.as_secs()
        ),
        format!("RECOVER {}", if is_broken { "broken" } else { "held" }),
    ];
    println!("{}", lines.join("\n"));
    world.record.write(&format!("{folder}/record.txt"), &lines);
    if before < REQUEST_COUNT / 2 {
        return ExitCode::from(2);
    }
    ExitCode::from(u8::from(is_broken))
}

/// Stops the gates of a zone one after the other, as when machines are taken away.
fn leave(world: &World, zone: &str) {
    for gate in world.gates.iter().filter(|gate| gate.zone == zone) {
        world.record.add(now_ms(), "platform", "SIGTERM", &gate.name, "-");
        signal(gate.pid(), SIGTERM);
        let deadline = Instant::now() + GRACE;
        while Instant::now() < deadline && !gate.has_ended() {
            thread::sleep(Duration::from_millis(50));
        }
        world.record.add(now_ms(), "platform", "has left", &gate.name, "-");
    }
}

/// Sends requests of clients of both zones; returns how many were served.
fn send_all(world: &World) -> usize {
    thread::scope(|scope| {
        let mut clients = Vec::new();
        for number in 0..REQUEST_COUNT {
            let zone = if number % OTHER_ZONE == 0 { "pl-south-b" } else { "pl-south-a" };
            clients.push(scope.spawn(move || is_served(world, zone, number)));
            thread::sleep(GAP);
        }
        let served = clients.into_iter().filter_map(|client| client.join().ok());
        served.filter(|served| *served).count()
    })
}

/// Whether a request of a client is served: it asks the nearest gates that have not left where to connect,
/// and tries up to three of the addresses that it is told.
fn is_served(world: &World, zone: &str, number: usize) -> bool {
    let mut nearest: Vec<_> = world.gates.iter().filter(|gate| !gate.has_ended()).collect();
    nearest.sort_by_key(|gate| gate.zone != zone);
    let mut answers = nearest.iter().take(ASKED_COUNT).map(|gate| resolve(world, gate, zone));
    let named = answers.find(|named| !named.is_empty()).unwrap_or_default();
    let count = named.len();
    let tried = named.iter().cycle().skip(number % count.max(1)).take(count.min(3));
    for address in tried {
        let Some(gate) = world.gates.iter().find(|gate| gate.callers == *address) else {
            continue;
        };
        let request = Request {
            method: "GET",
            path: "/lists/tare/work-20".to_owned(),
            id: format!("d{}-{}", now_ms() % 100_000, gate.name),
            deadline_ms: 2_000,
            more: String::new(),
            body: String::new(),
        };
        if send(&world.record, gate, &request).is_some_and(|answer| answer.status() == 200) {
            return true;
        }
    }
    false
}

/// Asks the directory of a gate for the addresses for clients of a zone.
fn resolve(world: &World, gate: &Gate, zone: &str) -> Vec<SocketAddr> {
    let path = format!("/api/resolve?name=estate.example&region=region-1&zone={zone}");
    let request = format!("GET {path} HTTP/1.1\r\nHost: directory\r\n\r\n");
    let answer = call(gate.directory, request.as_bytes(), Duration::from_secs(1));
    let text = answer.map(|answer| String::from_utf8_lossy(&answer.body).into_owned());
    let text = text.unwrap_or_default();
    let who = format!("directory of {}", gate.name);
    world.record.add(now_ms(), &who, "answers", &format!("for {zone}"), &text);
    let body = Json::parse(&text).unwrap_or(Json::Null);
    let addresses = body.get("addresses").items().iter();
    addresses.filter_map(|address| address.text().parse().ok()).collect()
}
