//! Which gates live, which servers leave, and which servers may be used.
//!
//! - [`PeerTable`]: live gates by lease, with a limit on how many are withdrawn at once.
//! - [`LeavingSet`]: server runs that take no new work.
//! - [`ServerRoster`]: the lagging host list joined with the leaving set.
//! - [`order_entries`]: the addresses that a caller is told to use.
//! - [`choose_group`]: the few gates that serve the callers of one host name.
//!
//! All three are pure: events and the present [`Moment`](ggs_model::Moment) go in, changes come out.

mod entries;
mod group;
mod leaving;
mod peers;
mod removal;
mod roster;

pub use entries::order_entries;
pub use group::{GroupCandidate, choose_group};
pub use leaving::{LeavingSet, MAX_NOTICES, NOTICE_REPEAT_TIME};
pub use peers::{
    AdvertisedGates, GateRecord, GateState, HEARTBEAT_INTERVAL, HeartbeatOutcome, LEASE,
    PeerLiveness, PeerPolicy, PeerTable, PeerView, TickReport,
};
pub use removal::RemovalLimiter;
pub use roster::{ListUpdate, ServerRoster, ServerView};
