//! Faults of a case as events.

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::agenda::{Agenda, Event};
use crate::case::{Fault, FleetCase, MILLIS};
use crate::server::ServerMode;

/// Share of the time that a server is a straggler.
const STRAGGLING_SHARE: f64 = 0.03;

/// Times that a straggler is slower.
const STRAGGLER_SLOWNESS: f64 = 10.0;

/// Shortest and longest time that a server straggles, in milliseconds.
const STRAGGLING_MS: (f64, f64) = (50.0, 5_000.0);

/// Times that a cold server is slower.
const COLD_SLOWNESS: f64 = 5.0;

/// Milliseconds that a server is cold.
const COLD_MS: f64 = 2_000.0;

/// Data centres of a service.
pub(crate) const DATA_CENTRES: usize = 3;

/// Rounds of drains or cold starts in a run.
pub(crate) const ROUNDS: usize = 4;

/// Moment of the fault in milliseconds.
pub(crate) fn onset_ms(case: &FleetCase) -> f64 {
    match case.fault {
        Fault::GateLost | Fault::DataCentreLost => case.length_ms() / 2.0,
        _ => case.length_ms() / 10.0,
    }
}

/// Notes all faults of a case.
pub(crate) fn plan(case: &FleetCase, agenda: &mut Agenda) {
    let onset = onset_ms(case);
    let servers = case.service.servers;
    match case.fault {
        Fault::Calm => {}
        Fault::Stragglers => (0..servers).for_each(|server| straggle(case, server, agenda)),
        Fault::FailFast => set_mode(agenda, onset, 0, ServerMode::FailFast),
        Fault::Drain => (0..ROUNDS).for_each(|round| drain(case, round, agenda)),
        Fault::ColdStart => (0..ROUNDS).for_each(|round| start_cold(case, round, agenda)),
        Fault::GateLost => agenda.add(onset, Event::LoseGate { gate: 0 }),
        Fault::DataCentreLost => lose_data_centre(case, onset, agenda),
    }
}

/// Notes a change of mode.
fn set_mode(agenda: &mut Agenda, at: f64, server: usize, mode: ServerMode) {
    agenda.add(at, Event::Mode { server, mode });
}

/// Notes when a server straggles.
fn straggle(case: &FleetCase, server: usize, agenda: &mut Agenda) {
    let mut rng = SmallRng::seed_from_u64(case.seed * 1_000 + server as u64);
    let (shortest, longest) = STRAGGLING_MS;
    let mean = (longest - shortest) / (longest / shortest).ln();
    let mean_gap = mean * (1.0 - STRAGGLING_SHARE) / STRAGGLING_SHARE;
    let mut at = 0.0;
    while at < case.length_ms() {
        at -= mean_gap * (1.0 - rng.random::<f64>()).ln();
        let slowness = STRAGGLER_SLOWNESS;
        agenda.add(at, Event::Slow { server, slowness });
        at += shortest * (longest / shortest).powf(rng.random::<f64>());
        agenda.add(
            at,
            Event::Slow {
                server,
                slowness: 1.0,
            },
        );
    }
}

/// Moment of a round in milliseconds.
fn round_ms(case: &FleetCase, round: usize) -> f64 {
    case.length_ms() * (round + 1) as f64 / (ROUNDS + 1) as f64
}

/// Notes a drain that the list shows late, and the server that takes its place.
fn drain(case: &FleetCase, round: usize, agenda: &mut Agenda) {
    let at = round_ms(case, round);
    set_mode(agenda, at, round, ServerMode::Draining);
    agenda.add(at + MILLIS, Event::Unlist { server: round });
    let server = case.service.servers + round;
    agenda.add(at + 2.0 * MILLIS, Event::List { server });
}

/// Notes a replacement by a server that starts cold.
fn start_cold(case: &FleetCase, round: usize, agenda: &mut Agenda) {
    let at = round_ms(case, round);
    let server = case.service.servers + round;
    let slowness = COLD_SLOWNESS;
    agenda.add(at, Event::Slow { server, slowness });
    agenda.add(
        at + COLD_MS,
        Event::Slow {
            server,
            slowness: 1.0,
        },
    );
    agenda.add(at, Event::Unlist { server: round });
    agenda.add(at, Event::List { server });
}

/// Notes the loss of the servers and gates of a data centre.
fn lose_data_centre(case: &FleetCase, onset: f64, agenda: &mut Agenda) {
    for server in (0..case.service.servers).step_by(DATA_CENTRES) {
        set_mode(agenda, onset, server, ServerMode::Dead);
        agenda.add(onset + 2.0 * MILLIS, Event::Unlist { server });
    }
    for gate in (0..case.gates).step_by(DATA_CENTRES) {
        agenda.add(onset, Event::LoseGate { gate });
    }
}
