//! The peer table, partly compared with naive models: leases, goodbyes, pauses, and the loss of
//! many peers at once.
//!
//! Guards against withdrawing most gates when this gate was cut off or paused, and against messages
//! of an earlier incarnation that remove a newer one.

use std::collections::BTreeMap;
use std::time::Duration;

use ggs_member::{
    GateRecord, GateState, HeartbeatOutcome, LEASE, PeerLiveness, PeerPolicy, PeerTable, TickReport,
};
use ggs_model::{DataCentre, GateId, HostName, Incarnation, Moment};
use proptest::prelude::*;

/// Time between ticks.
const TICK_MS: u64 = 250;

fn record(host: usize, incarnation: u64) -> GateRecord {
    GateRecord {
        gate: GateId {
            host: HostName::new(&format!("entry-{host}")),
            incarnation: Incarnation(incarnation),
        },
        data_centre: DataCentre::new("dc-1"),
        callers: format!("127.0.0.1:{}", 8_000 + host).parse().unwrap(),
        peers: format!("127.0.0.1:{}", 9_000 + host).parse().unwrap(),
        state: GateState::Live,
    }
}

fn table() -> PeerTable {
    PeerTable::new(record(0, 1), PeerPolicy::default(), Moment::ZERO)
}

/// Hosts of the advertised gates, those in `live` first.
fn hosts(table: &PeerTable, now: Moment) -> Vec<String> {
    let advertised = table.advertised(now);
    let records = advertised.live.iter().chain(&advertised.unsure);
    records.map(|record| record.gate.host.to_string()).collect()
}

/// Ticks from `from` to `upto` in milliseconds, with heartbeats of the hosts `sending` once a
/// second. Returns the time in milliseconds and the number of gates of each withdrawal.
fn run(table: &mut PeerTable, sending: &[usize], from: u64, upto: u64) -> Vec<(u64, usize)> {
    let mut withdrawals = Vec::new();
    for at in (from..=upto).step_by(TICK_MS as usize) {
        let now = Moment::from_millis(at);
        if at % 1_000 == 0 {
            for host in sending {
                table.record_heartbeat(record(*host, 1), now);
            }
        }
        let report = table.tick(now);
        if !report.withdrawn.is_empty() {
            withdrawals.push((at, report.withdrawn.len()));
        }
    }
    withdrawals
}

/// One event of the comparison with the whole history.
#[derive(Clone, Debug)]
enum TableEvent {
    /// A heartbeat of this host and incarnation.
    Heartbeat(usize, u64),
    /// A goodbye of this host and incarnation.
    Goodbye(usize, u64),
    /// [`TICK_MS`] pass, then a tick follows.
    Tick,
}

fn table_event() -> impl Strategy<Value = TableEvent> {
    prop_oneof![
        4 => (1..4usize, 1..3u64).prop_map(|(host, incarnation)| TableEvent::Heartbeat(host, incarnation)),
        1 => (1..4usize, 1..3u64).prop_map(|(host, incarnation)| TableEvent::Goodbye(host, incarnation)),
        4 => Just(TableEvent::Tick),
    ]
}

proptest! {
    /// A gate is live exactly if the whole history has a heartbeat of that incarnation within the
    /// lease and no goodbye of it.
    #[test]
    fn live_gates_match_the_whole_history(
        events in prop::collection::vec(table_event(), 1..120),
    ) {
        let mut table = table();
        let mut now = Moment::ZERO;
        let mut last_heartbeats: BTreeMap<GateId, Moment> = BTreeMap::new();
        let mut gone = Vec::new();
        for event in events {
            match event {
                TableEvent::Heartbeat(host, incarnation) => {
                    let record = record(host, incarnation);
                    last_heartbeats.insert(record.gate.clone(), now);
                    table.record_heartbeat(record, now);
                }
                TableEvent::Goodbye(host, incarnation) => {
                    gone.push(record(host, incarnation).gate);
                    table.record_goodbye(&record(host, incarnation).gate);
                }
                TableEvent::Tick => {
                    now = now + Duration::from_millis(TICK_MS);
                    table.tick(now);
                }
            }
            let live = table.views(now).filter(|view| view.liveness == PeerLiveness::Live);
            let live: Vec<_> = live.map(|view| view.record.gate.clone()).collect();
            let expected = last_heartbeats.iter().filter(|(gate, at)| now.since(**at) <= LEASE && !gone.contains(gate));
            let expected: Vec<_> = expected.map(|(gate, _)| gate.clone()).collect();
            prop_assert_eq!(live, expected);
        }
    }
}

/// Naive model with one flag per host, dropped as soon as the lease expires or a goodbye arrives.
#[derive(Default)]
struct NaiveTable {
    last_heartbeats: BTreeMap<HostName, Moment>,
}

impl NaiveTable {
    fn live(&self, now: Moment) -> usize {
        self.last_heartbeats
            .values()
            .filter(|at| now.since(**at) <= LEASE)
            .count()
    }
}

#[test]
fn late_goodbye_does_not_remove_a_newer_incarnation() {
    let mut table = table();
    let mut naive = NaiveTable::default();
    let now = Moment::from_millis(1_000);
    for incarnation in [1, 2] {
        table.record_heartbeat(record(1, incarnation), now);
        naive
            .last_heartbeats
            .insert(record(1, incarnation).gate.host, now);
    }
    assert!(table.record_goodbye(&record(1, 1).gate));
    naive.last_heartbeats.remove(&record(1, 1).gate.host);
    assert_eq!(hosts(&table, now), ["entry-0", "entry-1"]);
    assert_eq!(
        naive.live(now),
        0,
        "one flag per host loses the newer incarnation"
    );
    assert!(
        !table.record_goodbye(&record(1, 1).gate),
        "goodbye repeated"
    );
    assert_eq!(
        table.record_heartbeat(record(1, 1), now),
        HeartbeatOutcome::Ignored,
        "late heartbeat"
    );
    assert_eq!(hosts(&table, now), ["entry-0", "entry-1"]);
}

#[test]
fn restart_without_goodbye_replaces_the_earlier_incarnation() {
    let mut table = table();
    table.record_heartbeat(record(1, 1), Moment::ZERO);
    let mut replaced = Vec::new();
    for at in (0..=6_000).step_by(TICK_MS as usize) {
        let now = Moment::from_millis(at);
        table.record_heartbeat(record(1, 2), now);
        let TickReport {
            replaced: gates,
            withdrawn,
            ..
        } = table.tick(now);
        assert_eq!(withdrawn, []);
        replaced.extend(gates);
    }
    assert_eq!(replaced, [record(1, 1).gate]);
}

#[test]
fn lost_gates_are_withdrawn_at_a_limited_rate() {
    struct Case {
        name: &'static str,
        gates: usize,
        /// Number of gates that go on sending heartbeats after 5 s.
        sending: usize,
        /// Time in milliseconds and number of gates of each withdrawal.
        withdrawn: &'static [(u64, usize)],
        likely_cut_off: bool,
    }
    // The last heartbeats arrive at 5 s, so the lease of 4 s has expired by the tick at 9.25 s.
    let cases = [
        Case {
            name: "one of 17",
            gates: 17,
            sending: 16,
            withdrawn: &[(9_250, 1)],
            likely_cut_off: false,
        },
        Case {
            name: "a data centre, six of 17",
            gates: 17,
            sending: 11,
            withdrawn: &[(9_250, 4), (13_250, 2)],
            likely_cut_off: false,
        },
        Case {
            name: "half of 16",
            gates: 16,
            sending: 8,
            withdrawn: &[(9_250, 4), (13_250, 4)],
            likely_cut_off: false,
        },
        Case {
            name: "all of 17",
            gates: 17,
            sending: 0,
            withdrawn: &[(9_250, 4), (13_250, 4)],
            likely_cut_off: true,
        },
        Case {
            name: "the only one",
            gates: 1,
            sending: 0,
            withdrawn: &[(9_250, 1)],
            likely_cut_off: false,
        },
    ];
    for case in cases {
        let mut table = table();
        let all: Vec<_> = (1..=case.gates).collect();
        assert_eq!(run(&mut table, &all, 0, 5_000), [], "{}", case.name);
        let withdrawn = run(&mut table, &all[..case.sending], 5_250, 60_000);
        assert_eq!(withdrawn, case.withdrawn, "{}", case.name);
        let now = Moment::from_millis(60_000);
        assert_eq!(
            table.lost_most_peers(now),
            case.likely_cut_off,
            "{}",
            case.name
        );
        let count: usize = case.withdrawn.iter().map(|(_, count)| count).sum();
        assert_eq!(
            hosts(&table, now).len(),
            1 + case.gates - count,
            "{}",
            case.name
        );
        run(&mut table, &all, 61_000, 61_000);
        assert_eq!(
            hosts(&table, Moment::from_millis(61_000)).len(),
            1 + case.gates,
            "{}: all gates are advertised again",
            case.name
        );
        let mut naive = NaiveTable::default();
        for host in &all {
            let last_heartbeat = if *host <= case.sending { 9_000 } else { 5_000 };
            naive.last_heartbeats.insert(
                record(*host, 1).gate.host,
                Moment::from_millis(last_heartbeat),
            );
        }
        let dropped = case.gates - naive.live(Moment::from_millis(9_250));
        assert_eq!(
            dropped,
            case.gates - case.sending,
            "{}: the naive table drops all at once",
            case.name
        );
    }
}

#[test]
fn resumed_gate_waits_for_heartbeats_before_it_withdraws_others() {
    let mut table = table();
    let all: Vec<_> = (1..=17).collect();
    run(&mut table, &all, 0, 5_000);
    let resumed = Moment::from_millis(60_000);
    assert!(table.tick(resumed).woke);
    assert_eq!(hosts(&table, resumed).len(), 18);
    assert!(table.lost_most_peers(resumed));
    let withdrawn = run(&mut table, &all[1..], 60_250, 70_000);
    assert_eq!(
        withdrawn,
        [(64_000, 1)],
        "only the gate that did stop, a lease after the resumption"
    );
    assert!(!table.lost_most_peers(Moment::from_millis(70_000)));
}

#[test]
fn draining_gates_are_known_but_not_advertised() {
    let mut table = table();
    let now = Moment::ZERO;
    table.record_heartbeat(record(1, 1), now);
    let draining = GateRecord {
        state: GateState::Draining,
        ..record(2, 1)
    };
    assert_eq!(
        table.record_heartbeat(draining.clone(), now),
        HeartbeatOutcome::Joined
    );
    assert_eq!(hosts(&table, now), ["entry-0", "entry-1"]);
    assert_eq!(table.views(now).count(), 2);
    table.drain();
    assert_eq!(hosts(&table, now), ["entry-1"]);
    let later = Moment::from_millis(5_000);
    assert_eq!(
        hosts(&table, later),
        ["entry-1"],
        "a lost gate that was draining is not advertised"
    );
}

proptest! {
    /// Whichever gates stop and resume their heartbeats, and when: no more than 25% are withdrawn
    /// within a lease and 50% at any time, and this gate always advertises itself.
    #[test]
    fn withdrawals_stay_within_the_limits_of_the_policy(
        silences in prop::collection::vec((0..60_u64, 0..60_u64), 1..12),
    ) {
        let gates = silences.len();
        let share = (gates * 25 / 100).max(1);
        let cap = (gates * 50 / 100).max(1);
        let mut table = table();
        let mut withdrawals: Vec<u64> = Vec::new();
        for at in (0..90_000).step_by(TICK_MS as usize) {
            let now = Moment::from_millis(at);
            for (index, (from, length)) in silences.iter().enumerate() {
                let second = at / 1_000;
                let silent = second > *from && second <= from + length;
                if at % 1_000 == 0 && !silent {
                    table.record_heartbeat(record(index + 1, 1), now);
                }
            }
            let count = table.tick(now).withdrawn.len();
            withdrawals.extend(std::iter::repeat_n(at, count));
            let recent = withdrawals.iter().filter(|then| *then + 4_000 > at).count();
            prop_assert!(recent <= share, "{recent} of {gates} withdrawn within a lease");
            let withdrawn = table.views(now).filter(|view| view.liveness == PeerLiveness::Withdrawn).count();
            prop_assert!(withdrawn <= cap, "{withdrawn} of {gates} withdrawn at once");
            prop_assert!(hosts(&table, now).contains(&"entry-0".to_owned()));
        }
        let silent = silences.iter().filter(|(from, length)| from + length > 88).count();
        let advertised = hosts(&table, Moment::from_millis(89_750)).len();
        prop_assert_eq!(advertised, 1 + gates - silent.min(cap));
    }
}
