//! Quotas of requests that all gates of the fleet share.
//!
//! One gate, the holder, keeps the account of a quota in its [`QuotaLedger`] and grants parts of it.
//! The other gates keep what they were granted in a [`QuotaStock`] until it expires. [`HolderTable`]
//! says which gate is the holder, and [`FleetReach`] how much of a quota a holder may grant if it
//! does not reach the whole fleet.

mod holders;
mod ledger;
mod reach;
mod rule;
mod stock;

pub use holders::{HolderCandidate, HolderStanding, HolderTable};
pub use ledger::{LedgerChanges, LedgerView, QuotaAsk, QuotaGrant, QuotaLedger};
pub use reach::FleetReach;
pub use rule::{QuotaBounds, QuotaRule};
pub use stock::{QuotaStock, StockDecision};
