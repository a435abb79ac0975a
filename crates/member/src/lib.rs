//! Membership: which gates are live, which servers are leaving, and which servers may get requests.
//!
//! - [`PeerTable`]: liveness of the other gates by lease, with a limit on how many are withdrawn at
//!   once.
//! - [`LeavingSet`]: servers, by incarnation, that are shutting down and take no new work.
//! - [`ServerRoster`]: the usable servers, from a host list that may lag and the leaving set.
//! - [`RemovalLimiter`]: limits the share of gates or servers that is removed per interval.
//! - [`order_entries`]: the gate addresses that a caller is told to use, in order.
//! - [`choose_group`]: the subset of gates that serves the callers of one host name.
//! - [`relay_children`]: to whom each gate passes on a message that is meant for all.
//!
//! Nothing here reads a clock or does I/O: the caller passes in events and the current
//! [`Moment`](ggs_model::Moment), and gets back what changed.

mod entries;
mod group;
mod leaving;
mod peers;
mod relay_tree;
mod removal;
mod roster;

pub use entries::order_entries;
pub use group::{GroupCandidate, choose_group, weighted_rank};
pub use leaving::{LeavingSet, MAX_NOTICES, NOTICE_REPEAT_TIME};
pub use peers::{
    AdvertisedGates, GateRecord, GateState, HEARTBEAT_INTERVAL, HeartbeatOutcome, LEASE,
    PeerLiveness, PeerPolicy, PeerReport, PeerTable, PeerView, ReportOutcome, TickReport,
};
pub use relay_tree::relay_children;
pub use removal::RemovalLimiter;
pub use roster::{ListUpdate, ServerRoster, ServerView};
