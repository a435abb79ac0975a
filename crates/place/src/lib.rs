//! Which server takes a request, decided on load that servers told a moment ago.
//!
//! On servers with few slots whose speed changes within milliseconds, any figure that is a hundred
//! milliseconds old is worth little. So a gate asks a few servers for their load just before it sends,
//! and [`LoadTable`] ranks them by the time in which each is expected to answer. [`next_move`] decides
//! whether to send, to ask more servers, to wait or to refuse. [`AskBudget`] bounds the questions.
//!
//! All parts are pure and take the present [`Moment`](ggs_model::Moment) as an argument.

mod budget;
mod load_table;
mod moves;
mod sample;
mod work;

pub use budget::AskBudget;
pub use load_table::{
    ListedServer, LoadTable, Placement, PlacementQuery, SendOutcome, ServerKey, ServerScope,
};
pub use moves::{AskStage, MoveFacts, NextMove, next_move};
pub use sample::LoadSample;
pub use work::WorkEstimate;
