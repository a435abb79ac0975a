//! Chooses the server for each request by load that servers reported a few milliseconds ago.
//!
//! Servers have few slots and their speed changes within milliseconds, so a load that is 100 ms old
//! says little about where a request would be answered first. A gate therefore sends load probes to
//! a few servers right before it sends a request, and [`LoadTable`] ranks those servers by the time
//! in which each is expected to answer. [`decide_placement`] then decides whether to send the
//! request, probe more servers, wait or refuse. [`prefer_connected`] chooses which to probe. [`ProbeBucket`] limits the rate of probes.
//! [`RoomGauge`] decides which requests give way while a service has too little room.
//!
//! Nothing here does I/O or reads a clock: the time is passed in as a
//! [`Moment`](ggs_model::Moment).

mod bucket;
mod connected;
mod decision;
mod load_table;
mod sample;
mod scarcity;
mod work;

pub use bucket::ProbeBucket;
pub use connected::{DRAWN_PER_PROBE, prefer_connected};
pub use decision::{PlacementDecision, PlacementInput, ProbeStage, decide_placement};
pub use load_table::{
    ListedServer, LoadTable, Placement, PlacementQuery, SendOutcome, ServerKey, ServerScope,
};
pub use sample::LoadSample;
pub use scarcity::{RoomChange, RoomGauge, RoomOutcome};
pub use work::WorkEstimate;
