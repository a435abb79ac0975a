//! One gate's dealings with the measuring budget of one service.

use std::time::Duration;

use ggs_model::{GateId, MeasuringBudget, Moment, PartnerName, WallTime};

use crate::debit::{DebitPlan, DebitRefusal, DebitRequest, GrantSettlement, plan_debit};
use crate::pacer::ProbePacer;
use crate::row::BudgetRow;
use crate::window::ProbeWindow;

/// Longest time between two polls.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// First pause after a debit that did not succeed; doubles with each further one.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Doublings of the pause at most.
const MAX_DOUBLINGS: u32 = 5;

/// The part of a window, as a divisor, over which the gates spread their debits.
const STAGGER_PART: u64 = 8;

/// Both clocks, read together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// The boot clock, which counts the time that a host sleeps.
    pub now: Moment,
    /// Wall time; names the window.
    pub wall: WallTime,
}

/// What is to be done next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetAction {
    /// Poll again after this time at the latest.
    Wait(Duration),
    /// Read the budget row and the document row, then call [`ProbeBudget::handle_read`].
    Read,
    /// Send one probe now; it is counted as sent. What waits before it is sent, polls again first.
    Probe,
}

/// The rows that a debit builds on.
#[derive(Clone, Debug)]
pub struct RowReading {
    /// The budget row, unless it does not exist.
    pub row: Option<BudgetRow>,
    /// What the document row allows.
    pub budget: MeasuringBudget,
    /// The partner that the document row names.
    pub partner: PartnerName,
}

/// How a write ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DebitOutcome {
    /// It took effect.
    Written,
    /// One of the rows had changed; nothing was written.
    Conflict,
    /// The platform did not take the write.
    Refused,
    /// No answer came; the write may have taken effect, or may still do so.
    Unanswered,
}

/// Probes that may be sent in one window.
#[derive(Clone, Copy, Debug)]
struct ActiveGrant {
    window: ProbeWindow,
    count: u32,
    spent: u32,
    /// The moment on the boot clock from which nothing is sent, whatever the wall clock shows.
    ends: Moment,
    gap: Duration,
}

#[derive(Clone, Copy, Debug)]
enum BudgetState {
    Idle,
    Reading,
    Writing(ActiveGrant),
    Granted(ActiveGrant),
}

/// Decides when a gate debits and when it sends a probe, for one service.
///
/// The owner polls it, carries out the action, and reports the end of reads and writes.
///
/// ```
/// use ggs_budget::{BudgetAction, ClockReading, ProbeBudget, RowReading, DebitOutcome};
/// use ggs_model::{GateId, HostName, Incarnation, MeasuringBudget, Moment, PartnerName, WallTime};
///
/// let gate = GateId { host: HostName::new("entry-1"), incarnation: Incarnation(7) };
/// let allowed = MeasuringBudget { probes: 10, window_ms: 10_000 };
/// let mut budget = ProbeBudget::new(gate, 0);
/// let reading = ClockReading { now: Moment::from_millis(500), wall: WallTime(500) };
/// assert_eq!(budget.poll(reading, allowed, true), BudgetAction::Read);
/// let rows = RowReading { row: None, budget: allowed, partner: PartnerName::new("wagowa") };
/// let plan = budget.handle_read(reading, Some(&rows)).unwrap();
/// assert_eq!(plan.granted, 10);
/// budget.handle_write(reading, DebitOutcome::Written);
/// assert_eq!(budget.granted(), 10);
/// assert_eq!(budget.poll(reading, allowed, true), BudgetAction::Probe);
/// ```
#[derive(Clone, Debug)]
pub struct ProbeBudget {
    gate: GateId,
    state: BudgetState,
    pacer: ProbePacer,
    /// Spreads the debits of the gates over the start of a window.
    stagger: u64,
    /// What is to be settled with the next debit.
    settled: Option<GrantSettlement>,
    /// The last window for which nothing more is to be debited.
    done: Option<ProbeWindow>,
    retry_at: Moment,
    failures: u32,
}

impl ProbeBudget {
    /// The budget of one service at `gate`; `stagger` is any number that differs between gates.
    pub fn new(gate: GateId, stagger: u64) -> Self {
        Self {
            gate,
            state: BudgetState::Idle,
            pacer: ProbePacer::default(),
            stagger,
            settled: None,
            done: None,
            retry_at: Moment::ZERO,
            failures: 0,
        }
    }

    /// The run of the gate.
    pub const fn gate(&self) -> &GateId {
        &self.gate
    }

    /// Probes of the grant that is being spent; zero without one.
    pub const fn granted(&self) -> u32 {
        match &self.state {
            BudgetState::Granted(grant) => grant.count,
            BudgetState::Idle | BudgetState::Reading | BudgetState::Writing(_) => 0,
        }
    }

    /// Says what to do next. `budget` is the one of the document in force at this gate, and `wanted`
    /// says whether the gate has a use for probes.
    pub fn poll(
        &mut self,
        reading: ClockReading,
        budget: MeasuringBudget,
        wanted: bool,
    ) -> BudgetAction {
        let window = ProbeWindow::at(reading.wall, budget.window_ms);
        if let BudgetState::Granted(grant) = self.state {
            if window == Some(grant.window) && reading.now < grant.ends {
                return self.spend(grant, reading, budget);
            }
            self.end_grant(grant);
        }
        let Some(window) = window.filter(|_| wanted && budget.probes > 0) else {
            return BudgetAction::Wait(MAX_WAIT);
        };
        if !matches!(self.state, BudgetState::Idle) || self.done == Some(window) {
            return wait_until(window.end(), reading);
        }
        let part = window.length_ms / STAGGER_PART;
        let start = WallTime(window.opens().0 + self.stagger % part);
        if reading.wall < start {
            return wait_until(start, reading);
        }
        if reading.wall >= window.closes() {
            return wait_until(window.end(), reading);
        }
        if reading.now < self.retry_at {
            return BudgetAction::Wait(self.retry_at.since(reading.now).min(MAX_WAIT));
        }
        self.state = BudgetState::Reading;
        BudgetAction::Read
    }

    /// Takes the rows that were read, `None` if they could not be. Answers the debit to write if
    /// neither row has changed since it was read.
    pub fn handle_read(
        &mut self,
        reading: ClockReading,
        rows: Option<&RowReading>,
    ) -> Option<DebitPlan> {
        self.state = BudgetState::Idle;
        let Some(rows) = rows else {
            self.pause(reading);
            return None;
        };
        let window = ProbeWindow::at(reading.wall, rows.budget.window_ms)?;
        let request = DebitRequest {
            gate: &self.gate,
            window,
            budget: rows.budget,
            partner: &rows.partner,
            settled: self.settled,
        };
        match plan_debit(rows.row.as_ref(), &request) {
            Ok(plan) => {
                self.state = BudgetState::Writing(new_grant(window, plan.granted, reading));
                Some(plan)
            }
            Err(DebitRefusal::AlreadyDebited { granted }) => {
                self.begin_grant(new_grant(window, granted, reading));
                None
            }
            Err(DebitRefusal::ClockBehind | DebitRefusal::LengthChanged) => {
                self.done = Some(window);
                None
            }
        }
    }

    /// Takes the end of a write.
    pub fn handle_write(&mut self, reading: ClockReading, end: DebitOutcome) {
        let BudgetState::Writing(grant) = self.state else {
            return;
        };
        self.state = BudgetState::Idle;
        match end {
            DebitOutcome::Written => self.begin_grant(grant),
            // The next read finds a lost write, or the next write, which depends on the same
            // version, keeps it from taking effect.
            DebitOutcome::Conflict | DebitOutcome::Refused | DebitOutcome::Unanswered => {
                self.pause(reading)
            }
        }
    }

    /// Sends a probe of the grant when its time has come.
    fn spend(
        &mut self,
        mut grant: ActiveGrant,
        reading: ClockReading,
        budget: MeasuringBudget,
    ) -> BudgetAction {
        let window = grant.window;
        // The document in force here may have fallen meanwhile; the grant is not used up then.
        let count = grant.count.min(budget.probes);
        if grant.spent >= count || reading.wall >= window.closes() {
            return wait_until(window.end(), reading);
        }
        let length = Duration::from_millis(window.length_ms);
        let Some(ready_at) = self.pacer.ready_at(count, length) else {
            return wait_until(window.end(), reading);
        };
        if reading.now < ready_at {
            return BudgetAction::Wait(ready_at.since(reading.now).min(MAX_WAIT));
        }
        if !window.is_open(reading.wall) {
            return wait_until(window.opens(), reading);
        }
        grant.spent += 1;
        self.state = BudgetState::Granted(grant);
        self.pacer.record(reading.now, length, grant.gap);
        BudgetAction::Probe
    }

    /// Starts to spend a grant.
    fn begin_grant(&mut self, grant: ActiveGrant) {
        self.state = BudgetState::Granted(grant);
        self.settled = None;
        self.failures = 0;
    }

    /// Ends a grant and notes what is to be settled.
    fn end_grant(&mut self, grant: ActiveGrant) {
        self.state = BudgetState::Idle;
        self.done = Some(grant.window);
        self.settled = Some(GrantSettlement {
            window: grant.window,
            spent: grant.spent,
        });
    }

    /// Waits before the next try, longer after each failure and not as long as other gates.
    fn pause(&mut self, reading: ClockReading) {
        let pause = RETRY_PAUSE * (1 << self.failures.min(MAX_DOUBLINGS));
        let spread = Duration::from_millis(self.stagger % RETRY_PAUSE.as_millis() as u64);
        self.retry_at = reading.now + pause + spread;
        self.failures += 1;
    }
}

/// A grant of `count` probes for `window`.
fn new_grant(window: ProbeWindow, count: u32, reading: ClockReading) -> ActiveGrant {
    let left = window.closes().0.saturating_sub(reading.wall.0);
    let left = Duration::from_millis(left);
    ActiveGrant {
        window,
        count,
        spent: 0,
        ends: reading.now + left,
        gap: left / count.max(1),
    }
}

/// Waits until the wall clock shows `wall`.
fn wait_until(wall: WallTime, reading: ClockReading) -> BudgetAction {
    let left = wall.0.saturating_sub(reading.wall.0).max(1);
    BudgetAction::Wait(Duration::from_millis(left).min(MAX_WAIT))
}
