//! Whether a gate reaches its servers, and through which other gate its requests can go if not.
//!
//! A partition may cut one gate off from servers that others reach. The gate then sees the same as if
//! the servers had failed, but there is a way: another gate. [`ServerReach`] tells from the ends of
//! connections and requests whether a gate reaches the servers of a group. [`DetourTable`] chooses
//! the gate that takes a request instead, and remembers which gates would not.
//!
//! Nothing here does I/O or reads a clock: the time is passed in as a
//! [`Moment`](ggs_model::Moment).

mod detours;
mod evacuations;
mod run;
mod server_reach;

pub use detours::{DetourGate, DetourTable};
pub use evacuations::{EvacuationNews, EvacuationTable, FeedPosition, RESTORE_GRACE};
pub use server_reach::{ReachEvent, ReachState, ServerReach};
