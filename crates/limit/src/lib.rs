//! Retry allowances and admission limits per partner and class.
//!
//! [`ChainBudget`] bounds the attempts that retries add along a chain of calls.
//! [`FleetBudget`] bounds the second sends of all gates together.
//! [`AdmissionLimits`] bounds the requests in flight at one gate, so that one partner's flood or one
//! class of request leaves room for the others. [`ConnectionShare`] bounds the connections that one gate
//! holds to a server. All are plain values: they read no clock and do no I/O.

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
