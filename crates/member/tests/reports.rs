//! Heartbeats that go to a few gates and carry what their sender has heard of the others, played in
//! virtual time for a data centre of 95 gates.

use std::net::SocketAddr;
use std::time::Duration;

use ggs_member::{GateRecord, GateState, PeerPolicy, PeerTable};
use ggs_model::{GateId, Incarnation, Moment};
use proptest::prelude::*;

/// Gates of the data centre.
const GATE_COUNT: usize = 95;

/// Lease of a gate.
const GATE_LEASE: Duration = Duration::from_millis(1_800);

/// Time between two steps of the game.
const STEP: Duration = Duration::from_millis(50);

/// Time in which all gates must have learnt of one another.
const START_TIME: Duration = Duration::from_secs(4);

/// How gates send heartbeats.
#[derive(Clone, Copy, Debug)]
struct HeartbeatSchedule {
    period: Duration,
    /// Gates that get each heartbeat.
    fanout: usize,
    /// Most reports in a heartbeat.
    reports: usize,
}

/// The schedule of gates that report on one another.
const REPORTING: HeartbeatSchedule = HeartbeatSchedule {
    period: Duration::from_millis(500),
    fanout: 16,
    reports: 48,
};

/// A schedule with about as many datagrams in which each heartbeat goes to all other gates.
const DIRECT: HeartbeatSchedule = HeartbeatSchedule {
    period: Duration::from_millis(20 * GATE_COUNT as u64),
    fanout: GATE_COUNT,
    reports: 0,
};

/// A generator of numbers that are the same for the same seed.
struct SeededNumbers(u64);

impl SeededNumbers {
    /// A number below `limit`.
    fn below(&mut self, limit: usize) -> usize {
        self.0 = self
            .0
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.0 >> 33) as usize % limit
    }
}

/// One gate, and when it sends its next heartbeat.
struct PlayedGate {
    table: PeerTable,
    next_heartbeat: Moment,
    is_running: bool,
}

/// The gates of a data centre.
struct PlayedFleet {
    gates: Vec<PlayedGate>,
    schedule: HeartbeatSchedule,
    numbers: SeededNumbers,
    now: Moment,
    /// Datagrams that are lost, in percent.
    lost_percent: usize,
}

fn record(index: usize) -> GateRecord {
    let address: SocketAddr = ([10, 0, 0, 1], index as u16 + 1).into();
    GateRecord {
        gate: GateId {
            host: format!("entry-{index}").as_str().into(),
            incarnation: Incarnation(index as u64 + 1),
        },
        data_centre: "dc-1".into(),
        callers: address,
        peers: address,
        state: GateState::Live,
    }
}

impl PlayedFleet {
    /// Gates that have all heard of one another once.
    fn new(schedule: HeartbeatSchedule, seed: u64, lost_percent: usize) -> Self {
        let now = Moment::from_millis(10_000);
        let policy = PeerPolicy {
            lease: GATE_LEASE,
            withdraw_percent: 100,
            withdraw_cap_percent: 100,
            ..PeerPolicy::default()
        };
        let mut numbers = SeededNumbers(seed);
        let gates = (0..GATE_COUNT).map(|index| {
            let mut table = PeerTable::new(record(index), policy, now);
            for other in (0..GATE_COUNT).filter(|other| *other != index) {
                table.record_heartbeat(record(other), now);
            }
            let delay = numbers.below(schedule.period.as_millis() as usize) as u64;
            PlayedGate {
                table,
                next_heartbeat: now + Duration::from_millis(delay),
                is_running: true,
            }
        });
        Self {
            gates: gates.collect(),
            schedule,
            numbers,
            now,
            lost_percent,
        }
    }

    /// Lets a step of time pass.
    fn step(&mut self) {
        self.now = self.now + STEP;
        for index in 0..self.gates.len() {
            let gate = &mut self.gates[index];
            if !gate.is_running {
                continue;
            }
            gate.table.tick(self.now);
            if gate.next_heartbeat > self.now {
                continue;
            }
            let jitter = 80 + self.numbers.below(41) as u32;
            gate.next_heartbeat = self.now + self.schedule.period * jitter / 100;
            self.send_heartbeat(index);
        }
    }

    /// Sends the heartbeat of a gate to as many others as the schedule says.
    fn send_heartbeat(&mut self, index: usize) {
        let reports = self.gates[index].table.reports(self.now);
        let reports = reports.take(self.schedule.reports);
        let reports: Vec<_> = reports.map(|(_, report)| report).collect();
        let mut targets: Vec<usize> = (0..GATE_COUNT).filter(|other| *other != index).collect();
        while targets.len() > self.schedule.fanout {
            let left_out = self.numbers.below(targets.len());
            targets.swap_remove(left_out);
        }
        for target in targets {
            if self.numbers.below(100) < self.lost_percent || !self.gates[target].is_running {
                continue;
            }
            let table = &mut self.gates[target].table;
            table.record_heartbeat(record(index), self.now);
            for report in &reports {
                table.record_report(*report);
            }
        }
    }

    /// Pairs of running gates of which the first does not advertise the second.
    fn missing_count(&self) -> usize {
        let running = self.gates.iter().filter(|gate| gate.is_running);
        let missing = running.map(|gate| GATE_COUNT - gate.table.advertised(self.now).live.len());
        missing.sum()
    }

    /// Running gates that advertise the gate with an index.
    fn advertising_count(&self, index: usize) -> usize {
        let own = &self.gates[index].table.own().gate;
        let running = self.gates.iter().filter(|gate| gate.is_running);
        let advertising = running.filter(|gate| {
            let advertised = gate.table.advertised(self.now);
            advertised.live.iter().any(|live| live.gate == *own)
        });
        advertising.count()
    }
}

/// Most pairs of gates of which one does not advertise the other, at any step of a time.
fn most_missing(schedule: HeartbeatSchedule, seed: u64, lost_percent: usize) -> usize {
    let mut fleet = PlayedFleet::new(schedule, seed, lost_percent);
    let end = fleet.now + START_TIME + Duration::from_secs(6);
    let mut most = 0;
    while fleet.now < end {
        fleet.step();
        most = most.max(fleet.missing_count());
    }
    most
}

#[test]
fn gates_that_report_on_one_another_stay_advertised_and_others_do_not() {
    assert_eq!(most_missing(REPORTING, 1, 2), 0);
    assert!(most_missing(DIRECT, 1, 0) > 0);
}

#[test]
fn a_lost_gate_is_not_advertised_after_its_lease() {
    let mut fleet = PlayedFleet::new(REPORTING, 2, 2);
    let stop = fleet.now + START_TIME;
    while fleet.now < stop {
        fleet.step();
    }
    fleet.gates[7].is_running = false;
    let end = fleet.now + GATE_LEASE + REPORTING.period;
    while fleet.now < end {
        fleet.step();
    }
    assert_eq!(fleet.advertising_count(7), 0);
    // Reports that still go around do not bring it back.
    for _ in 0..100 {
        fleet.step();
        assert_eq!(fleet.advertising_count(7), 0);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4, ..ProptestConfig::default() })]

    #[test]
    fn no_running_gate_is_lost_under_any_order_of_heartbeats(
        seed in any::<u64>(),
        lost_percent in 0_usize..4,
    ) {
        prop_assert_eq!(most_missing(REPORTING, seed, lost_percent), 0);
    }
}
