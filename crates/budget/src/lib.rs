//! Measuring budget: grants debited before they are spent, and the bill.
//!
//! Before a gate probes the servers of a service, it debits a count of probes for one window from the
//! service's row in the platform's table. It spends only what was debited and only inside that
//! window, so that gates which die, pause or lose an answer can only underspend. The row adds up the
//! debits of each partner and day: they are the bill.
//!
//! # What holds
//!
//! In any interval as long as the document's window, wherever it begins, the servers see at most as
//! many probes as the document allows, provided that the wall clocks of any two gates differ by less
//! than [`MAX_CLOCK_SKEW`] and a probe reaches its server within [`PROBE_TIMEOUT`]. Three rules give this:
//!
//! - For windows `k` and `k + 1`, the row keeps the sum over gates of the *larger* of a gate's two
//!   grants within the allowance (see [`plan_debit`]).
//! - A gate sends no more than its present grant in any interval of a window's length, also across
//!   the boundary of two windows.
//! - A gate sends nothing close to a boundary, so no interval of a window's length meets the sends of
//!   three windows.
//!
//! A grant is debited inside its window against the document row as it is then, so a lower budget
//! binds from the first window that begins after the change.

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
