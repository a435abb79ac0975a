//! Cases of grants that outlive their window, of successive debits and of the bill.

use std::time::Duration;

use ggs_budget::{
    BudgetAction, BudgetRow, ClockReading, DebitOutcome, DebitPlan, DebitRefusal, DebitRequest,
    GrantSettlement, MAX_CLOCK_SKEW, PROBE_TIMEOUT, ProbeBudget, ProbeWindow, RowReading,
    bill_rows, plan_debit,
};
use ggs_model::{GateId, HostName, Incarnation, MeasuringBudget, Moment, PartnerName, WallTime};

/// Length of a window in milliseconds.
const WINDOW_MS: u64 = 10_000;

/// Start of the first window in these cases; a midnight.
const MIDNIGHT_MS: u64 = 86_400_000 * 20_000;

fn gate(number: u64) -> GateId {
    GateId {
        host: HostName::new("entry"),
        incarnation: Incarnation(number),
    }
}

fn allowed(probes: u32) -> MeasuringBudget {
    MeasuringBudget {
        probes,
        window_ms: WINDOW_MS,
    }
}

fn reading(boot_ms: u64, wall_ms: u64) -> ClockReading {
    ClockReading {
        now: Moment::from_millis(boot_ms),
        wall: WallTime(MIDNIGHT_MS + wall_ms),
    }
}

struct PauseCase {
    name: &'static str,
    /// Advance of the boot clock during the pause.
    boot_ms: u64,
    /// Wall clock after the pause, from the start of the window.
    wall_ms: u64,
    /// Whether the gate may still send a probe.
    probes: bool,
}

/// A gate that was suspended must not spend its grant in a later window, even if its wall clock was
/// set back meanwhile and shows the grant's window again.
#[test]
fn a_gate_that_resumes_after_its_window_sends_no_probe() {
    let cases = [
        PauseCase {
            name: "a pause within the window",
            boot_ms: 4_000,
            wall_ms: 5_000,
            probes: true,
        },
        PauseCase {
            name: "a pause into the margin at the end of the window",
            boot_ms: 8_760,
            wall_ms: 9_760,
            probes: false,
        },
        PauseCase {
            name: "a pause into the next window",
            boot_ms: 9_500,
            wall_ms: 10_500,
            probes: false,
        },
        PauseCase {
            name: "a long pause during which the wall clock was set back",
            boot_ms: 60_000,
            wall_ms: 2_000,
            probes: false,
        },
        PauseCase {
            name: "a short pause during which the wall clock was set forward",
            boot_ms: 100,
            wall_ms: 60_000,
            probes: false,
        },
    ];
    for case in cases {
        let mut budget = ProbeBudget::new(gate(1), 0);
        let start = reading(1_000, 1_000);
        assert_eq!(budget.poll(start, allowed(5), true), BudgetAction::Read);
        let rows = RowReading {
            row: None,
            budget: allowed(5),
            partner: PartnerName::new("wagowa"),
        };
        assert!(budget.handle_read(start, Some(&rows)).is_some());
        budget.handle_write(start, DebitOutcome::Written);
        let resumed = reading(1_000 + case.boot_ms, case.wall_ms);
        let action = budget.poll(resumed, allowed(5), true);
        let probes = action == BudgetAction::Probe;
        assert_eq!(probes, case.probes, "case: {}: {action:?}", case.name);
    }
}

/// The grant of a debit that is confirmed late has expired and must not be spent in the next
/// window.
#[test]
fn a_debit_confirmed_after_its_window_allows_no_probe() {
    let mut budget = ProbeBudget::new(gate(1), 0);
    let start = reading(1_000, 1_000);
    assert_eq!(budget.poll(start, allowed(5), true), BudgetAction::Read);
    let rows = RowReading {
        row: None,
        budget: allowed(5),
        partner: PartnerName::new("wagowa"),
    };
    assert!(budget.handle_read(start, Some(&rows)).is_some());
    let late = reading(12_000, 12_000);
    budget.handle_write(late, DebitOutcome::Written);
    assert_ne!(budget.poll(late, allowed(5), true), BudgetAction::Probe);
}

/// The margins must be wide enough that the probes of windows 0 and 2 are more than a window length
/// apart even at the largest clock skew and the longest time until a probe arrives.
#[test]
fn no_interval_of_the_window_length_contains_probes_of_three_windows() {
    let before = ProbeWindow::at(WallTime(0), WINDOW_MS).unwrap();
    let after = ProbeWindow::at(WallTime(2 * WINDOW_MS), WINDOW_MS).unwrap();
    let distance = Duration::from_millis(after.opens().0 - before.closes().0);
    let required = Duration::from_millis(WINDOW_MS) + MAX_CLOCK_SKEW + PROBE_TIMEOUT;
    assert!(distance >= required);
}

/// Debits for `gate_number` in window `index`, counted from midnight.
fn debit(
    row: Option<&BudgetRow>,
    gate_number: u64,
    index: u64,
    budget: MeasuringBudget,
    settled: Option<u32>,
) -> Result<DebitPlan, DebitRefusal> {
    let wall = WallTime(MIDNIGHT_MS + index * budget.window_ms);
    let window = ProbeWindow::at(wall, budget.window_ms).unwrap();
    let before = ProbeWindow {
        index: window.index - 1,
        ..window
    };
    plan_debit(
        row,
        &DebitRequest {
            gate: &gate(gate_number),
            window,
            budget,
            partner: &PartnerName::new("wagowa"),
            settled: settled.map(|spent| GrantSettlement {
                window: before,
                spent,
            }),
        },
    )
}

/// A grant that ignored the previous window would let two full grants meet in one interval of the
/// window length. Also covers repeated debits, clocks that are behind and changes of the budget.
#[test]
fn debits_share_the_allowance_and_never_move_it_between_windows() {
    let first = debit(None, 1, 0, allowed(12), None).unwrap();
    assert_eq!(first.granted, 12, "a single gate gets the whole allowance");
    let second = debit(Some(&first.row), 2, 0, allowed(12), None).unwrap();
    assert_eq!(second.granted, 0, "the allowance of this window is used up");
    let again = debit(Some(&second.row), 1, 0, allowed(12), None);
    assert_eq!(again, Err(DebitRefusal::AlreadyDebited { granted: 12 }));
    // Gate 1 reports 3 of its 12 probes as spent, so the other 9 are available to other gates.
    let third = debit(Some(&second.row), 1, 1, allowed(12), Some(3)).unwrap();
    assert_eq!(
        third.granted, 6,
        "half of the allowance, as the row names two gates"
    );
    let fourth = debit(Some(&third.row), 2, 1, allowed(12), Some(0)).unwrap();
    assert_eq!(fourth.granted, 6);
    let lowered = debit(Some(&fourth.row), 1, 2, allowed(4), Some(6)).unwrap();
    assert_eq!(
        lowered.granted, 2,
        "a lowered allowance applies from the next window"
    );
    let behind = debit(Some(&lowered.row), 2, 1, allowed(4), None);
    assert_eq!(behind, Err(DebitRefusal::ClockBehind));
    let halved = MeasuringBudget {
        probes: 4,
        window_ms: WINDOW_MS / 2,
    };
    // The last window of the old length ends 30 s after midnight. After a pause of one new window
    // length, the first usable window of the new length starts at 35 s.
    let paused = debit(Some(&lowered.row), 1, 6, halved, None);
    assert_eq!(paused, Err(DebitRefusal::LengthChanged));
    assert_eq!(
        debit(Some(&lowered.row), 1, 7, halved, None)
            .unwrap()
            .granted,
        4
    );
}

/// The budget row keeps only the current day, so the bill of a past day would be lost if the first
/// debit of the next day did not archive it.
#[test]
fn the_bill_of_an_ended_day_is_archived_with_the_next_debit() {
    let per_day = 86_400_000 / WINDOW_MS;
    let first = debit(None, 1, 0, allowed(12), None).unwrap();
    let settled = debit(Some(&first.row), 1, 1, allowed(12), Some(5)).unwrap();
    let next_day = debit(Some(&settled.row), 1, per_day + 2, allowed(12), None).unwrap();
    let archive = serde_json::to_value(next_day.archive.unwrap()).unwrap();
    let rows = bill_rows("budget/bill/020000/ledger", &archive).unwrap();
    assert_eq!(rows[0].allowed, 12 * per_day);
    assert_eq!(rows[0].granted, 24);
    assert_eq!(rows[0].spent, 5 + 12, "an unsettled grant counts as spent");
    let today = serde_json::to_value(&next_day.row).unwrap();
    let rows = bill_rows(&BudgetRow::key("ledger"), &today).unwrap();
    assert_eq!(rows[0].window_start_ms, 20_001 * 86_400_000);
    assert_eq!((rows[0].allowed, rows[0].granted), (36, 12));
}
