//! The peer table against naive ones: leases, goodbyes, freezes, and many lost at once.

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

fn hosts(table: &PeerTable, now: Moment) -> Vec<String> {
    let advertised = table.advertised(now);
    let records = advertised.live.iter().chain(&advertised.unsure);
    records.map(|record| record.gate.host.to_string()).collect()
}

/// Ticks from `from` to `upto`, with heartbeats of `beating` once a second; all withdrawals by time.
fn run(table: &mut PeerTable, beating: &[usize], from: u64, upto: u64) -> Vec<(u64, usize)> {
    let mut withdrawals = Vec::new();
    for at in (from..=upto).step_by(TICK_MS as usize) {
        let now = Moment::from_millis(at);
        if at % 1_000 == 0 {
            for host in beating {
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

/// An event of the differential test.
#[derive(Clone, Debug)]
enum TableEvent {
    Hear(usize, u64),
    Goodbye(usize, u64),
    Pass,
}

fn table_event() -> impl Strategy<Value = TableEvent> {
    prop_oneof![
        4 => (1..4usize, 1..3u64).prop_map(|(host, run)| TableEvent::Hear(host, run)),
        1 => (1..4usize, 1..3u64).prop_map(|(host, run)| TableEvent::Goodbye(host, run)),
        4 => Just(TableEvent::Pass),
    ]
}

proptest! {
    /// A gate is live exactly if the whole history has a heartbeat of that run within the lease and
    /// no goodbye of it.
    #[test]
    fn live_gates_are_those_of_the_whole_history(
        events in prop::collection::vec(table_event(), 1..120),
    ) {
        let mut table = table();
        let mut now = Moment::ZERO;
        let mut heard: BTreeMap<GateId, Moment> = BTreeMap::new();
        let mut gone = Vec::new();
        for event in events {
            match event {
                TableEvent::Hear(host, run) => {
                    let record = record(host, run);
                    heard.insert(record.gate.clone(), now);
                    table.record_heartbeat(record, now);
                }
                TableEvent::Goodbye(host, run) => {
                    gone.push(record(host, run).gate);
                    table.record_goodbye(&record(host, run).gate);
                }
                TableEvent::Pass => {
                    now = now + Duration::from_millis(TICK_MS);
                    table.tick(now);
                }
            }
            let live = table.views(now).filter(|view| view.liveness == PeerLiveness::Live);
            let live: Vec<_> = live.map(|view| view.record.gate.clone()).collect();
            let expected = heard.iter().filter(|(gate, at)| now.since(**at) <= LEASE && !gone.contains(gate));
            let expected: Vec<_> = expected.map(|(gate, _)| gate.clone()).collect();
            prop_assert_eq!(live, expected);
        }
    }
}

/// Keeps one flag per host and drops it at once, as in the plain-flag design that "Presence" rejects.
#[derive(Default)]
struct NaiveTable {
    heard: BTreeMap<HostName, Moment>,
}

impl NaiveTable {
    fn live(&self, now: Moment) -> usize {
        self.heard
            .values()
            .filter(|at| now.since(**at) <= LEASE)
            .count()
    }
}

#[test]
fn late_goodbye_does_not_remove_a_newer_start() {
    let mut table = table();
    let mut naive = NaiveTable::default();
    let now = Moment::from_millis(1_000);
    for incarnation in [1, 2] {
        table.record_heartbeat(record(1, incarnation), now);
        naive.heard.insert(record(1, incarnation).gate.host, now);
    }
    assert!(table.record_goodbye(&record(1, 1).gate));
    naive.heard.remove(&record(1, 1).gate.host);
    assert_eq!(hosts(&table, now), ["entry-0", "entry-1"]);
    assert_eq!(
        naive.live(now),
        0,
        "the flag per host loses the newer start"
    );
    assert!(!table.record_goodbye(&record(1, 1).gate), "twice");
    assert_eq!(
        table.record_heartbeat(record(1, 1), now),
        HeartbeatOutcome::Ignored,
        "late heartbeat"
    );
    assert_eq!(hosts(&table, now), ["entry-0", "entry-1"]);
}

#[test]
fn restart_without_goodbye_replaces_the_earlier_run() {
    let mut table = table();
    table.record_heartbeat(record(1, 1), Moment::ZERO);
    let mut replaced = Vec::new();
    for at in (0..=6_000).step_by(TICK_MS as usize) {
        let now = Moment::from_millis(at);
        table.record_heartbeat(record(1, 2), now);
        let TickReport {
            replaced: runs,
            withdrawn,
            ..
        } = table.tick(now);
        assert_eq!(withdrawn, []);
        replaced.extend(runs);
    }
    assert_eq!(replaced, [record(1, 1).gate]);
}

#[test]
fn losses_are_withdrawn_at_the_stated_rate() {
    struct Case {
        name: &'static str,
        gates: usize,
        beating: usize,
        withdrawn: &'static [(u64, usize)],
        suspect: bool,
    }
    // Last heartbeats at 5 s; the lease of 4 s has run out at the tick at 9.25 s.
    let cases = [
        Case {
            name: "one of 17",
            gates: 17,
            beating: 16,
            withdrawn: &[(9_250, 1)],
            suspect: false,
        },
        Case {
            name: "a data centre",
            gates: 17,
            beating: 11,
            withdrawn: &[(9_250, 4), (13_250, 2)],
            suspect: false,
        },
        Case {
            name: "a half",
            gates: 16,
            beating: 8,
            withdrawn: &[(9_250, 4), (13_250, 4)],
            suspect: false,
        },
        Case {
            name: "all",
            gates: 17,
            beating: 0,
            withdrawn: &[(9_250, 4), (13_250, 4)],
            suspect: true,
        },
        Case {
            name: "the only one",
            gates: 1,
            beating: 0,
            withdrawn: &[(9_250, 1)],
            suspect: false,
        },
    ];
    for case in cases {
        let mut table = table();
        let all: Vec<_> = (1..=case.gates).collect();
        assert_eq!(run(&mut table, &all, 0, 5_000), [], "{}", case.name);
        let withdrawn = run(&mut table, &all[..case.beating], 5_250, 60_000);
        assert_eq!(withdrawn, case.withdrawn, "{}", case.name);
        let now = Moment::from_millis(60_000);
        assert_eq!(table.lost_most_peers(now), case.suspect, "{}", case.name);
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
            "{}: sight returns",
            case.name
        );
        let mut naive = NaiveTable::default();
        for host in &all {
            let heard = if *host <= case.beating { 9_000 } else { 5_000 };
            naive
                .heard
                .insert(record(*host, 1).gate.host, Moment::from_millis(heard));
        }
        let dropped = case.gates - naive.live(Moment::from_millis(9_250));
        assert_eq!(
            dropped,
            case.gates - case.beating,
            "{}: the naive table drops all at once",
            case.name
        );
    }
}

#[test]
fn waking_gate_listens_before_it_declares_others_lost() {
    let mut table = table();
    let all: Vec<_> = (1..=17).collect();
    run(&mut table, &all, 0, 5_000);
    let woken = Moment::from_millis(60_000);
    assert!(table.tick(woken).woke);
    assert_eq!(hosts(&table, woken).len(), 18);
    assert!(table.lost_most_peers(woken));
    let withdrawn = run(&mut table, &all[1..], 60_250, 70_000);
    assert_eq!(
        withdrawn,
        [(64_000, 1)],
        "only the gate that did stop, after a lease of listening"
    );
    assert!(!table.lost_most_peers(Moment::from_millis(70_000)));
}

#[test]
fn draining_gates_are_known_and_not_handed_out() {
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
        "a lost gate that drained stays out"
    );
}

proptest! {
    /// Whoever falls silent and returns, and when: in no lease are more withdrawn than the stated
    /// share, in all never more than the cap, and this gate always hands out itself.
    #[test]
    fn withdrawals_stay_within_the_stated_shares(
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
            prop_assert!(recent <= share, "{recent} of {gates} within a lease");
            let out = table.views(now).filter(|view| view.liveness == PeerLiveness::Withdrawn).count();
            prop_assert!(out <= cap, "{out} of {gates} in all");
            prop_assert!(hosts(&table, now).contains(&"entry-0".to_owned()));
        }
        let silent = silences.iter().filter(|(from, length)| from + length > 88).count();
        let advertised = hosts(&table, Moment::from_millis(89_750)).len();
        prop_assert_eq!(advertised, 1 + gates - silent.min(cap));
    }
}
