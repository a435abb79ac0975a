//! Probing servers that a gate is connected to: few new connections, and no server left out.

use std::collections::BTreeMap;

use ggs_place::{DRAWN_PER_PROBE, prefer_connected};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

/// Servers of one service in a data centre of a large fleet.
const SERVER_COUNT: usize = 140;

/// Servers probed for each request.
const PROBE_COUNT: usize = 8;

/// Requests of one gate a second.
const REQUESTS_PER_SECOND: usize = 3;

/// Seconds after which an idle connection is closed.
const IDLE_SECONDS: usize = 8;

/// Seconds that are played.
const PLAYED_SECONDS: usize = 400;

/// Probes each request's servers, and returns how many new connections were opened and how often each
/// server was probed.
fn play(prefers_connected: bool) -> (usize, Vec<usize>) {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut connected_until: BTreeMap<usize, usize> = BTreeMap::new();
    let (mut opened, mut probed) = (0, vec![0; SERVER_COUNT]);
    for second in 0..PLAYED_SECONDS {
        for _ in 0..REQUESTS_PER_SECOND {
            let mut drawn: Vec<usize> = (0..SERVER_COUNT).collect();
            drawn.shuffle(&mut rng);
            drawn.truncate(PROBE_COUNT * DRAWN_PER_PROBE);
            let is_connected = |server: &usize| {
                let until = connected_until.get(server);
                until.is_some_and(|until| *until > second)
            };
            let chosen = if prefers_connected {
                prefer_connected(drawn, PROBE_COUNT, is_connected)
            } else {
                drawn.into_iter().take(PROBE_COUNT).collect()
            };
            assert_eq!(chosen.len(), PROBE_COUNT);
            opened += chosen.iter().filter(|server| !is_connected(server)).count();
            for server in chosen {
                probed[server] += 1;
                connected_until.insert(server, second + IDLE_SECONDS);
            }
        }
    }
    (opened, probed)
}

#[test]
fn few_connections_are_opened_and_each_server_is_probed() {
    let (opened_before, _) = play(false);
    let (opened, probed) = play(true);
    assert!(
        opened * 2 < opened_before,
        "{opened} connections opened, {opened_before} without a preference"
    );
    // 400 s with 3 requests a second, two of whose probes are as drawn: 17 for each server.
    let least = probed.iter().min();
    assert!(least > Some(&4), "a server was probed {least:?} times");
}

#[test]
fn fewer_servers_than_asked_for_are_all_chosen() {
    struct CountCase {
        drawn: usize,
        count: usize,
        chosen: usize,
    }
    let cases = [
        CountCase {
            drawn: 0,
            count: 8,
            chosen: 0,
        },
        CountCase {
            drawn: 1,
            count: 8,
            chosen: 1,
        },
        CountCase {
            drawn: 5,
            count: 8,
            chosen: 5,
        },
        CountCase {
            drawn: 32,
            count: 8,
            chosen: 8,
        },
        CountCase {
            drawn: 12,
            count: 3,
            chosen: 3,
        },
    ];
    for case in cases {
        let drawn: Vec<usize> = (0..case.drawn).collect();
        let mut chosen = prefer_connected(drawn, case.count, |server| server % 2 == 0);
        chosen.sort_unstable();
        chosen.dedup();
        assert_eq!(chosen.len(), case.chosen, "{} drawn", case.drawn);
    }
}
