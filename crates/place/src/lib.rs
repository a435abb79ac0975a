//! Which server takes a request, decided on load that servers told a moment ago.
//!
//! On servers with few slots whose speed changes within milliseconds, any figure that is a hundred
//! milliseconds old is worth little. So a gate asks a few servers for their load just before it sends,
//! and [`LoadTable`] ranks them by the time in which each is expected to answer. [`decide_placement`] decides
//! whether to send, to ask more servers, to wait or to refuse. [`ProbeBucket`] bounds the questions.
//!
//! All parts are pure and take the present [`Moment`](ggs_model::Moment) as an argument.

mod bucket;
mod decision;
mod load_table;
mod sample;
mod work;

pub use bucket::ProbeBucket;
pub use decision::{PlacementDecision, PlacementInput, ProbeStage, decide_placement};
pub use load_table::{
    ListedServer, LoadTable, Placement, PlacementQuery, SendOutcome, ServerKey, ServerScope,
};
pub use sample::LoadSample;
pub use work::WorkEstimate;
