//! Which gates live, which servers leave, and which servers may be used.
//!
//! - [`PeerTable`]: live gates by lease, with a limit on how many are withdrawn at once.
//! - [`LeavingSet`]: server runs that take no new work.
//! - [`ServerRoster`]: the lagging host list joined with the leaving set.
//! - [`order_entries`]: the addresses that a caller is told to use.
//! - [`choose_group`]: the few gates that serve the callers of one host name.
//!
//! All three are pure: events and the present [`Moment`](ggs_model::Moment) go in, changes come out.

mod allowance;
mod entries;
mod group;
mod leaving;
mod peers;
mod roster;

pub use allowance::ShareAllowance;
pub use entries::order_entries;
pub use group::{GroupCandidate, choose_group};
pub use leaving::{LeavingSet, MAX_WORDS, REPEAT_FOR};
pub use peers::{
    GateRecord, GateState, HEARTBEAT_EVERY, HandedOut, LEASE, PeerNews, PeerSight, PeerTable,
    PeerTiming, PeerView, TickReport,
};
pub use roster::{ListNews, ServerRoster, ServerView};
