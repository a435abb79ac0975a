//! All servers of a service end at the same moment and are back seconds later; then all processes of the
//! system are killed. Is a harmless page, which many callers read, served again?

#[path = "harness.rs"]
mod harness;

use harness::*;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::thread;

const GATES: usize = 4;
/// Servers of the service that crashes, and of the other one.
const ROSTER_SERVERS: usize = 6;
const LEDGER_SERVERS: usize = 4;
/// Times from the start of traffic, in milliseconds.
const CRASH_AT: u64 = 15_000;
const SERVERS_DOWN: u64 = 4_500;
const KILL_AT: u64 = 16_000;
const GATES_DOWN: u64 = 1_200;
/// The bound `recover`.
const RECOVER: u64 = 15_000;
const END: u64 = KILL_AT + GATES_DOWN + RECOVER + 12_000;
const STEP_MS: u64 = 20;

fn config() -> String {
    r#"{"version":1,"limits":{"max_header_bytes":16384,"max_body_bytes":67108864,"header_timeout":"3000ms","idle_timeout":"15000ms"},
    "listeners":[{"hostname":"a.example","rules":[
      {"name":"tare","kind":"safe","target_latency":"600ms","priority":2,"match":{"prefix":"/roster/"},"action":{"service":"roster","timeout":"4000ms","attempts":2}},
      {"name":"grades","kind":"safe","target_latency":"600ms","priority":2,"match":{"prefix":"/grades/"},"action":{"service":"ledger","timeout":"4000ms","attempts":2}}]}],
    "clusters":[{"name":"roster","health_path":"/healthz","max_conns":260,"protocol":"h1","tls":false},
      {"name":"ledger","health_path":"/healthz","max_conns":260,"protocol":"h1","tls":false}]}"#
        .to_owned()
}

fn main() {
    let record = std::env::args().nth(1).unwrap_or_else(|| "record.txt".to_owned());
    let mut random = Random::new(3);
    let (net, sub) = loopback(&mut random);
    let store = Store::new();
    store.put("op", "config", &config());
    let runs = Runs::default();
    // No request harms a server.
    let policy: Policy = Arc::new(|_: &Message| Reaction::Work(80));
    let mut servers = Vec::new();
    for index in 0..ROSTER_SERVERS + LEDGER_SERVERS {
        let options = ServerOptions {
            instance: format!("i-{index}{:04x}", random.below(65536)),
            service: if index < ROSTER_SERVERS { "roster" } else { "ledger" }.to_owned(),
            zone: format!("z-{}", index % 2),
            slots: 3,
            queue: 6,
            reports_load: true,
            refusal_has_id: true,
            copy_share: 0.0,
        };
        let server = Server::start(Ipv4Addr::new(127, net, sub, 100 + index as u8), options, Arc::clone(&policy), &runs);
        server.register(&store);
        servers.push(server);
    }
    let mut gates = Vec::new();
    for index in 0..GATES {
        let address = store.serve(Ipv4Addr::new(127, net, sub, 200 + index as u8), Vec::new());
        gates.push(Gate::new(GateOptions {
            node: format!("edge-{index}"),
            zone: format!("z-{}", index % 2),
            ip: Ipv4Addr::new(127, net, sub, 1 + index as u8),
            store: address,
            seeds: Vec::new(),
            bootstrap: true,
        }));
    }
    let seeds: Vec<_> = gates.iter().take(3).map(|gate| gate.control).collect();
    for gate in &mut gates {
        gate.options.seeds.clone_from(&seeds);
        gate.start();
    }
    if !gates.iter().all(|gate| gate.wait_ready(10_000)) {
        drop(gates);
        clean_up();
        finish(&record, 2);
    }
    sleep_ms(3_000);
    let attempts = Attempts::default();
    let begun = now_ms();
    note("traffic begins");
    let (mut sent, mut crashed, mut killed, mut back_at) = (0_u64, false, false, None);
    while now_ms() - begun < END {
        let at = now_ms() - begun;
        if trouble() && !crashed && at >= CRASH_AT {
            crashed = true;
            note("all servers of roster end");
            for server in &servers[..ROSTER_SERVERS] {
                server.end();
                let server = Arc::clone(server);
                thread::spawn(move || {
                    sleep_ms(SERVERS_DOWN);
                    server.restart();
                    note(format!("server {} is back", server.instance.lock().unwrap()));
                });
            }
        }
        if trouble() && !killed && at >= KILL_AT {
            killed = true;
            note(format!("rows of quarantine {:?}", store.keys("quarantine")));
            note("all processes of the system are killed");
            for gate in &gates {
                gate.signal("KILL");
            }
            for gate in &mut gates {
                gate.wait_end();
            }
        }
        if back_at.is_none() && at >= KILL_AT + GATES_DOWN {
            for gate in &mut gates {
                if gate.child.is_none() {
                    gate.options.bootstrap = false;
                    gate.start();
                }
            }
            back_at = Some(now_ms());
        }
        // Nine of ten requests read the same page, the others read one each.
        for (index, gate) in gates.iter().enumerate() {
            if random.unit() < 0.45 {
                sent += 1;
                let path = if random.below(10) > 0 { "/roster/today".to_owned() } else { format!("/grades/{sent}") };
                let mut request = Request::new("GET", &path);
                request.id = format!("r{sent:05}");
                request.deadline_ms = 4_000;
                attempts.send(index, gate.front, request, false);
            }
        }
        sleep_ms(STEP_MS);
    }
    attempts.wait_all(5_000);
    let back_at = back_at.unwrap_or(0);
    let all = attempts.all();
    let served = |from: u64, to: u64| {
        let sent: Vec<_> = all.iter().filter(|attempt| attempt.sent_at >= from && attempt.sent_at < to).collect();
        let good = sent.iter().filter(|attempt| attempt.outcome.status() == 200).count();
        (good, sent.len())
    };
    let before = served(begun, begun + KILL_AT);
    let after = served(back_at + RECOVER, u64::MAX);
    note(format!("before the servers ended {:?} of the requests were served", served(begun, begun + CRASH_AT)));
    note(format!("from 1 s after the servers were back until the final fault {:?}", served(begun + CRASH_AT + SERVERS_DOWN + 1_000, begun + KILL_AT)));
    note(format!("before the final fault {before:?}"));
    note(format!("later than `recover` after the machines are back {after:?}"));
    let mut answers = std::collections::BTreeMap::new();
    for attempt in all.iter().filter(|attempt| attempt.sent_at >= back_at + RECOVER) {
        let retry = match &attempt.outcome {
            Outcome::Answer(answer) => answer.header("retry-after").unwrap_or("").split('.').next().unwrap_or("").to_owned(),
            _ => String::new(),
        };
        let retry = if retry.len() > 2 { "over 99 s" } else { "-" };
        *answers.entry((attempt.outcome.text(), retry)).or_insert(0) += 1;
    }
    for ((answer, retry), count) in answers {
        note(format!("in that time: {answer}, Retry-After {retry}: {count}"));
    }
    let crashes = runs.all().iter().filter(|run| run.event == "crash").count();
    note(format!("requests that crashed a server: {crashes}"));
    let could_run = before.0 * 4 >= before.1 && after.1 > 100;
    let broken = after.0 * 4 < after.1;
    if broken {
        note("RECOVER broken: less than a quarter is served, though a quarter or more was before");
    }
    drop(gates);
    clean_up();
    finish(&record, if could_run { i32::from(broken) } else { 2 });
}
