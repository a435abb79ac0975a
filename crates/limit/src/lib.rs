//! Limits that one gate applies: retry budgets, admission limits and connection shares.
//!
//! - [`ChainRetries`]: retry budget that bounds the attempts along a chain of calls.
//! - [`FleetRetries`]: retry budget that bounds the retries of all gates together.
//! - [`AdmissionLimits`]: requests in flight at one gate, bounded so that overload by one partner
//!   or one class of request leaves capacity for the others.
//! - [`ConnectionShare`]: connections that one gate may hold to a server.
//! - [`ByteBudget`]: bytes of bodies that one process holds in memory.
//! - [`ServerLimits`]: limits that servers name for all gates together.
//! - [`QuotaLedger`], [`QuotaStock`]: a quota of requests that all gates share, leased by its holder.
//! - [`ServerRests`]: servers that want no requests of this gate for some time.
//!
//! All are plain values: they read no clock and do no I/O.

mod admission;
mod bytes;
mod chain_retries;
mod fleet_retries;
mod quota;
mod server_limits;
mod server_rests;
mod share;

pub use admission::{
    AdmissionLimits, AdmissionPermit, AdmissionRefusal, AdmissionRequest, GateCapacity,
    RefusalCause,
};
pub use bytes::{ByteBudget, ByteLease};
pub use chain_retries::{ChainPosition, ChainRetries};
pub use fleet_retries::FleetRetries;
pub use quota::{
    FleetReach, HolderCandidate, HolderStanding, HolderTable, LedgerChanges, LedgerView, QuotaAsk,
    QuotaBounds, QuotaGrant, QuotaLedger, QuotaRule, QuotaStock, StockDecision,
};
pub use server_limits::{LimitChange, LimitState, NamedLimit, ServerLimits};
pub use server_rests::ServerRests;
pub use share::{ConnectionShare, MAX_GATES, MAX_UNNOTICED_PAUSE, SHARE_GROWTH_DELAY};
