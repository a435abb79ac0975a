//! Probe budget of a service: grants that are debited before they are spent, and the bill.
//!
//! The document of a service limits how many load probes all gates together may send in a window of
//! wall time: the allowance. Before a gate probes the servers of a service, it debits a number of
//! probes for the current window, its grant, from the service's row in the platform's table. It
//! sends only probes that it has debited, and only within that window, so a gate that crashes,
//! pauses or loses the answer to a write can underspend the budget but never overspend it. The row
//! sums the debits for each partner and day; these sums are the bill.
//!
//! # Guarantee
//!
//! In any interval of the document's window length, wherever it starts, the servers receive at most
//! as many probes as the document allows, provided that the wall clocks of any two gates differ by
//! less than [`MAX_CLOCK_SKEW`] and that a probe reaches its server within [`PROBE_TIMEOUT`]. Three
//! rules ensure this:
//!
//! - For any two consecutive windows, the sum over all gates of the *larger* of a gate's two grants
//!   stays within the allowance (see [`plan_debit`]).
//! - A gate never sends more probes than its current grant in any interval of the window length,
//!   including one that spans the boundary between two windows.
//! - A gate sends no probe close to a window boundary, so no interval of the window length contains
//!   probes from three windows.
//!
//! A grant is debited during its window and against the document row as it is then, so a lowered
//! budget applies from the first window that starts after the change.

mod bill;
mod budget;
mod debit;
mod pacer;
mod row;
mod window;

pub use bill::{BillParseError, bill_rows};
pub use budget::{BudgetAction, ClockReading, DebitOutcome, ProbeBudget, RowReading};
pub use debit::{DebitPlan, DebitRefusal, DebitRequest, GrantSettlement, plan_debit};
pub use row::{BillArchive, BillDay, BudgetRow, GateGrant};
pub use window::{MAX_CLOCK_SKEW, MIN_WINDOW, PROBE_TIMEOUT, ProbeWindow};
