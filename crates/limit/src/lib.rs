//! Limits that one gate applies: retry budgets, admission limits and connection shares.
//!
//! - [`ChainBudget`]: retry budget that bounds the attempts along a chain of calls.
//! - [`FleetBudget`]: retry budget that bounds the retries of all gates together.
//! - [`AdmissionLimits`]: requests in flight at one gate, bounded so that overload by one partner
//!   or one class of request leaves capacity for the others.
//! - [`ConnectionShare`]: connections that one gate may hold to a server.
//!
//! All are plain values: they read no clock and do no I/O.

mod admission;
mod budget;
mod retry;
mod share;

pub use admission::{
    AdmissionLimits, AdmissionPermit, AdmissionRefusal, AdmissionRequest, GateCapacity,
    RefusalCause,
};
pub use budget::FleetBudget;
pub use retry::{ChainBudget, ChainPosition};
pub use share::{ConnectionShare, MAX_GATES, MAX_UNNOTICED_PAUSE, SHARE_GROWTH_DELAY};
