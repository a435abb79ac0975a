//! Decides when one gate debits probes for one service, and when it sends them.
//!
//! The state machine does no I/O and reads no clock: the owner passes the clocks in, reads and
//! writes the rows, and reports the outcomes. A test can therefore simulate many gates, clocks and
//! faults.

use std::time::Duration;

use ggs_model::{GateId, MeasuringBudget, Moment, PartnerName, WallTime};

use crate::debit::{DebitPlan, DebitRefusal, DebitRequest, GrantSettlement, plan_debit};
use crate::pacer::ProbePacer;
use crate::row::BudgetRow;
use crate::window::ProbeWindow;

/// Longest time between two polls. A step of the wall clock or a change of the document is noticed
/// within it.
const MAX_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Backoff after the first failed debit; doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(20);

/// Limit on how often the backoff doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 5;

/// Gates spread their debits over the window length divided by this number, so that fewer of their
/// writes conflict.
const STAGGER_DIVISOR: u64 = 8;

/// Readings of the boot clock and the wall clock, taken together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    /// The boot clock, which goes on while the host is suspended.
    pub now: Moment,
    /// The wall clock, which determines the window.
    pub wall: WallTime,
}

/// What the owner of a [`ProbeBudget`] has to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetAction {
    /// Poll again after at most this time.
    Wait(Duration),
    /// Read the budget row and the document row, then call [`ProbeBudget::handle_read`].
    Read,
    /// Send one probe now; it already counts as sent. An owner that has to wait before it can send
    /// must poll again first.
    Probe,
}

/// The contents of the rows that a debit depends on.
#[derive(Clone, Debug)]
pub struct RowReading {
    /// The budget row; `None` if it does not exist.
    pub row: Option<BudgetRow>,
    /// The probe budget in the document row.
    pub budget: MeasuringBudget,
    /// The partner in the document row.
    pub partner: PartnerName,
}

/// How the write of a debit ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DebitOutcome {
    /// The debit took effect.
    Written,
    /// One of the rows had changed since it was read; nothing was written.
    Conflict,
    /// The platform did not accept the write.
    Refused,
    /// No answer arrived; the write may have taken effect or may still do so.
    Unanswered,
}

/// A grant for one window, and how much of it is spent.
#[derive(Clone, Copy, Debug)]
struct ActiveGrant {
    window: ProbeWindow,
    count: u32,
    spent: u32,
    /// Time on the boot clock from which no probe is sent, even if the wall clock has been set
    /// back.
    expires_at: Moment,
    /// Shortest time between two probes.
    gap: Duration,
}

#[derive(Clone, Copy, Debug)]
enum BudgetState {
    Idle,
    Reading,
    Writing(ActiveGrant),
    Granted(ActiveGrant),
}

/// Schedules the debits and probes of one gate for one service.
///
/// The owner polls it, carries out the returned action, and reports the outcome of reads and
/// writes.
///
/// ```
/// use ggs_budget::{BudgetAction, ClockReading, DebitOutcome, ProbeBudget, RowReading};
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
    /// Differs between gates, and so spreads their debits over the start of a window.
    stagger: u64,
    /// Settlement of the last grant, recorded with the next debit.
    settled: Option<GrantSettlement>,
    /// The latest window for which this gate makes no further debit.
    finished_window: Option<ProbeWindow>,
    retry_at: Moment,
    /// Reads and writes that have failed since the last grant.
    failures: u32,
}

impl ProbeBudget {
    /// Creates the budget of one service at `gate`. `stagger` is any number that differs between
    /// gates.
    pub fn new(gate: GateId, stagger: u64) -> Self {
        Self {
            gate,
            state: BudgetState::Idle,
            pacer: ProbePacer::default(),
            stagger,
            settled: None,
            finished_window: None,
            retry_at: Moment::ZERO,
            failures: 0,
        }
    }

    /// The gate, with its incarnation.
    pub const fn gate(&self) -> &GateId {
        &self.gate
    }

    /// Number of probes in the grant that is being spent; zero if there is none.
    pub const fn granted(&self) -> u32 {
        match &self.state {
            BudgetState::Granted(grant) => grant.count,
            BudgetState::Idle | BudgetState::Reading | BudgetState::Writing(_) => 0,
        }
    }

    /// Returns what to do next. `budget` is the one in the document in force at this gate; `wanted`
    /// is whether the gate has a use for probes.
    pub fn poll(
        &mut self,
        reading: ClockReading,
        budget: MeasuringBudget,
        wanted: bool,
    ) -> BudgetAction {
        let window = ProbeWindow::at(reading.wall, budget.window_ms);
        if let BudgetState::Granted(grant) = self.state {
            if window == Some(grant.window) && reading.now < grant.expires_at {
                return self.spend(grant, reading, budget);
            }
            self.end_grant(grant);
        }
        let Some(window) = window.filter(|_| wanted && budget.probes > 0) else {
            return BudgetAction::Wait(MAX_POLL_INTERVAL);
        };
        if !matches!(self.state, BudgetState::Idle) || self.finished_window == Some(window) {
            return wait_until(window.end(), reading);
        }
        let spread_ms = window.length_ms / STAGGER_DIVISOR;
        let start = WallTime(window.opens().0 + self.stagger % spread_ms);
        if reading.wall < start {
            return wait_until(start, reading);
        }
        if reading.wall >= window.closes() {
            return wait_until(window.end(), reading);
        }
        if reading.now < self.retry_at {
            return BudgetAction::Wait(self.retry_at.since(reading.now).min(MAX_POLL_INTERVAL));
        }
        self.state = BudgetState::Reading;
        BudgetAction::Read
    }

    /// Handles the end of a read; `rows` is `None` if it failed. Returns the debit to write, on the
    /// condition that neither row has changed since it was read.
    pub fn handle_read(
        &mut self,
        reading: ClockReading,
        rows: Option<&RowReading>,
    ) -> Option<DebitPlan> {
        self.state = BudgetState::Idle;
        let Some(rows) = rows else {
            self.back_off(reading);
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
                self.finished_window = Some(window);
                None
            }
        }
    }

    /// Handles the end of a write.
    pub fn handle_write(&mut self, reading: ClockReading, outcome: DebitOutcome) {
        let BudgetState::Writing(grant) = self.state else {
            return;
        };
        self.state = BudgetState::Idle;
        match outcome {
            DebitOutcome::Written => self.begin_grant(grant),
            // Either the next read finds that an unanswered write took effect, or the next write,
            // which depends on the same row version, keeps it from taking effect.
            DebitOutcome::Conflict | DebitOutcome::Refused | DebitOutcome::Unanswered => {
                self.back_off(reading);
            }
        }
    }

    /// Spends one probe of the grant if one may be sent now; otherwise waits.
    fn spend(
        &mut self,
        mut grant: ActiveGrant,
        reading: ClockReading,
        budget: MeasuringBudget,
    ) -> BudgetAction {
        let window = grant.window;
        // The document in force may allow less than at the debit; the rest stays unspent then.
        let count = grant.count.min(budget.probes);
        if grant.spent >= count || reading.wall >= window.closes() {
            return wait_until(window.end(), reading);
        }
        let length = Duration::from_millis(window.length_ms);
        let Some(ready_at) = self.pacer.ready_at(count, length) else {
            return wait_until(window.end(), reading);
        };
        if reading.now < ready_at {
            return BudgetAction::Wait(ready_at.since(reading.now).min(MAX_POLL_INTERVAL));
        }
        if !window.is_open(reading.wall) {
            return wait_until(window.opens(), reading);
        }
        grant.spent += 1;
        self.state = BudgetState::Granted(grant);
        self.pacer.record(reading.now, length, grant.gap);
        BudgetAction::Probe
    }

    /// Makes a grant available for spending.
    fn begin_grant(&mut self, grant: ActiveGrant) {
        self.state = BudgetState::Granted(grant);
        self.settled = None;
        self.failures = 0;
    }

    /// Ends a grant and keeps what was spent for the settlement.
    fn end_grant(&mut self, grant: ActiveGrant) {
        self.state = BudgetState::Idle;
        self.finished_window = Some(grant.window);
        self.settled = Some(GrantSettlement {
            window: grant.window,
            spent: grant.spent,
        });
    }

    /// Schedules the next attempt after an exponential backoff, with an offset that differs between
    /// gates.
    fn back_off(&mut self, reading: ClockReading) {
        let backoff = INITIAL_BACKOFF * (1 << self.failures.min(MAX_BACKOFF_DOUBLINGS));
        let offset = Duration::from_millis(self.stagger % INITIAL_BACKOFF.as_millis() as u64);
        self.retry_at = reading.now + backoff + offset;
        self.failures += 1;
    }
}

/// Creates a grant of `count` probes for `window`, spread over the rest of the window.
fn new_grant(window: ProbeWindow, count: u32, reading: ClockReading) -> ActiveGrant {
    let left = window.closes().0.saturating_sub(reading.wall.0);
    let left = Duration::from_millis(left);
    ActiveGrant {
        window,
        count,
        spent: 0,
        expires_at: reading.now + left,
        gap: left / count.max(1),
    }
}

/// Waits until the wall clock reaches `wall`, but for at most [`MAX_POLL_INTERVAL`].
fn wait_until(wall: WallTime, reading: ClockReading) -> BudgetAction {
    let left = wall.0.saturating_sub(reading.wall.0).max(1);
    BudgetAction::Wait(Duration::from_millis(left).min(MAX_POLL_INTERVAL))
}
