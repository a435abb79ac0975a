//! A fleet in virtual time: the repeats of a request come through random gates, and each send ends a
//! server. Datagrams are lost, gates are away or forget, and gates differ in which gates they know.
//! Repeats in quarantine are passed on to the gate that tries the request.

use std::time::Duration;

use ggs_model::Moment;
use ggs_quarantine::{
    CRASH_LIMIT, CrashChange, CrashSpan, CrashTable, RequestDigest, ServerRun, TrialEnd,
    choose_trackers,
};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const REQUEST: RequestDigest = RequestDigest([7; 16]);

/// Time between two repeats.
const REPEAT_INTERVAL: Duration = Duration::from_millis(250);

/// Time for which a server runs the request before it ends.
const RUN_TIME: Duration = Duration::from_millis(88);

/// Gates that may try a request in quarantine.
const TRIAL_GATE_COUNT: usize = 3;

/// Repeats of the request.
const REPEAT_COUNT: u32 = 120;

/// Time after the third crash from which sends are counted, and sends that are allowed then.
const NEWS_TIME: Duration = Duration::from_secs(3);
const ALLOWED_SENDS: usize = 3;

/// How often gates tell all others of a quarantine, and how often a heartbeat does.
const QUARANTINE_SEND_COUNT: usize = 2;
const HEARTBEAT_REPEATS: u32 = 2;

/// Gates that each heartbeat goes to.
const HEARTBEAT_FANOUT: usize = 16;

/// A fleet, and how badly its gates reach one another.
#[derive(Clone, Copy, Debug)]
struct FleetCase {
    seed: u64,
    gate_count: usize,
    /// Datagrams that are lost.
    lost_percent: u32,
    /// Gates that a gate does not know.
    unknown_percent: u32,
    /// Gates that are known and not there all the while.
    away_percent: u32,
    /// Gates that forget all, between two repeats, per thousand.
    restart_permille: u32,
}

/// The gates of a fleet.
struct Fleet {
    case: FleetCase,
    rng: SmallRng,
    tables: Vec<CrashTable>,
    is_away: Vec<bool>,
    /// When each gate last forgot all.
    restarted_at: Vec<Option<Moment>>,
    now: Moment,
}

/// A send of the request.
#[derive(Clone, Copy, Debug)]
struct FleetSend {
    at: Moment,
    /// Whether the gate had been running for [`NEWS_TIME`]; others are excused.
    in_touch: bool,
}

impl Fleet {
    fn new(case: FleetCase) -> Self {
        let mut rng = SmallRng::seed_from_u64(case.seed);
        let is_away = (0..case.gate_count)
            .map(|gate| gate > 0 && rng.random_range(0..100) < case.away_percent);
        Self {
            case,
            is_away: is_away.collect(),
            rng,
            tables: vec![CrashTable::default(); case.gate_count],
            restarted_at: vec![None; case.gate_count],
            now: Moment::ZERO,
        }
    }

    fn happens(&mut self, percent: u32) -> bool {
        self.rng.random_range(0..100) < percent
    }

    /// Sends what a gate knows to another, which passes on the beginning of a quarantine.
    fn tell(&mut self, from: usize, to: usize) {
        if from == to || self.is_away[to] || self.happens(self.case.lost_percent) {
            return;
        }
        let Some(record) = self.tables[from].record_of(&REQUEST) else {
            return;
        };
        let change = self.tables[to].merge(&record, self.now);
        if change == CrashChange::Quarantined && !record.is_for_all_gates() {
            self.publish(to);
        }
    }

    /// The gates that a gate knows.
    fn known_gates(&mut self) -> Vec<usize> {
        let all: Vec<usize> = (0..self.case.gate_count).collect();
        let known = all.into_iter();
        known
            .filter(|_| !self.happens(self.case.unknown_percent))
            .collect()
    }

    /// Whether a repeat that arrives at a gate is sent to a server, and by which gate.
    fn sending_gate(&mut self, gate: usize) -> Option<usize> {
        let left = self.tables[gate].quarantine_left(&REQUEST, self.now);
        let Some(left) = left else { return Some(gate) };
        if !left.is_zero() {
            return None;
        }
        let mut candidates = choose_trackers(&REQUEST, &self.known_gates());
        candidates.truncate(TRIAL_GATE_COUNT);
        let other = candidates.into_iter().find(|other| !self.is_away[*other])?;
        let left = self.tables[other].quarantine_left(&REQUEST, self.now);
        let left = left.unwrap_or_default();
        if left.is_zero() {
            return Some(other);
        }
        self.tables[gate].end_trial(&REQUEST, TrialEnd::NotDue(left), self.now);
        None
    }

    /// Sends the request to a server, which ends.
    fn send(&mut self, gate: usize, run: ServerRun) {
        let table = &mut self.tables[gate];
        if table.quarantine_left(&REQUEST, self.now).is_some() {
            table.start_trial(&REQUEST, self.now + RUN_TIME);
            table.end_trial(&REQUEST, TrialEnd::Failed, self.now);
        } else {
            let span = CrashSpan {
                sent_at: self.now,
                lost_at: self.now + RUN_TIME,
            };
            table.record_crash(REQUEST, run, span, self.now);
        }
        self.publish(gate);
    }

    /// Tells the gates that need it what has changed at a gate.
    fn publish(&mut self, gate: usize) {
        let record = self.tables[gate].record_of(&REQUEST).unwrap();
        let known = self.known_gates();
        let audience = if record.is_for_all_gates() {
            known.repeat(QUARANTINE_SEND_COUNT)
        } else {
            choose_trackers(&REQUEST, &known)
        };
        for to in audience {
            self.tell(gate, to);
        }
    }

    /// Heartbeats of all gates that know of a quarantine, and restarts of some.
    fn pass_time(&mut self) {
        for _ in 0..HEARTBEAT_REPEATS {
            for gate in 0..self.case.gate_count {
                if self.tables[gate]
                    .quarantine_left(&REQUEST, self.now)
                    .is_none()
                {
                    continue;
                }
                for _ in 0..HEARTBEAT_FANOUT {
                    let to = self.rng.random_range(0..self.case.gate_count);
                    self.tell(gate, to);
                }
            }
        }
        for gate in 0..self.case.gate_count {
            if self.rng.random_range(0..1_000) < self.case.restart_permille {
                self.tables[gate] = CrashTable::default();
                self.restarted_at[gate] = Some(self.now);
            }
        }
        self.now = self.now + REPEAT_INTERVAL;
    }

    /// Plays the repeats; returns the sends of the request to servers.
    fn play(&mut self) -> Vec<FleetSend> {
        let mut sends = Vec::new();
        for repeat in 0..REPEAT_COUNT {
            let gate = self.rng.random_range(0..self.case.gate_count);
            if self.is_away[gate] {
                continue;
            }
            if let Some(sender) = self.sending_gate(gate) {
                let restarted_at = self.restarted_at[sender];
                sends.push(FleetSend {
                    at: self.now,
                    in_touch: restarted_at.is_none_or(|at| self.now.since(at) >= NEWS_TIME),
                });
                self.send(sender, ServerRun(u64::from(repeat)));
            }
            self.pass_time();
        }
        sends
    }
}

fn cases() -> impl Strategy<Value = FleetCase> {
    let parts = (
        any::<u64>(),
        2..130_usize,
        0..20_u32,
        0..10_u32,
        0..40_u32,
        0..20_u32,
    );
    parts.prop_map(|parts| {
        let (seed, gate_count, lost_percent, unknown_percent, away_percent, restart_permille) =
            parts;
        FleetCase {
            seed,
            gate_count,
            lost_percent,
            unknown_percent,
            away_percent,
            restart_permille,
        }
    })
}

/// Sends by gates in touch, later than [`NEWS_TIME`] after the third; `None` if there were no three.
fn late_sends(sends: &[FleetSend]) -> Option<usize> {
    let counted_from = sends.get(CRASH_LIMIT - 1)?.at + NEWS_TIME;
    let late = sends
        .iter()
        .filter(|send| send.in_touch && send.at > counted_from);
    Some(late.count())
}

// Drawn in one of 7,010 cases: no gate learns of more crashes than it saw itself.
#[test]
fn a_fleet_stops_sending_a_request_whose_trackers_are_all_away() {
    let case = FleetCase {
        seed: 1_341_560_629_295_419_655,
        gate_count: 82,
        lost_percent: 0,
        unknown_percent: 0,
        away_percent: 26,
        restart_permille: 0,
    };
    let mut fleet = Fleet::new(case);
    let gates: Vec<usize> = (0..case.gate_count).collect();
    let trackers = choose_trackers(&REQUEST, &gates);
    assert!(trackers.iter().all(|tracker| fleet.is_away[*tracker]));
    let sends = fleet.play();
    let late = late_sends(&sends).expect("three sends");
    assert!(late <= ALLOWED_SENDS, "{late} of {}", sends.len());
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    #[test]
    fn a_fleet_stops_sending_a_request_that_ends_its_servers(case in cases()) {
        let sends = Fleet::new(case).play();
        let late = late_sends(&sends);
        prop_assume!(late.is_some());
        prop_assert!(late.is_some_and(|late| late <= ALLOWED_SENDS), "{sends:?}");
    }
}
