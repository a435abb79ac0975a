//! Open-loop load against gates or servers, with a check of every answer.
//!
//! [`run_load`] plays the callers of a system as its documentation asks them to behave. Servers are
//! expected to answer as stand-ins do: each answer proves whether it is whole and the caller's own.

mod args;
mod arrivals;
mod attempt;
mod caller;
mod entries;
mod error;
mod outcome;
mod plan;
mod program;
mod progress;
mod run;
mod summary;
mod tally;

pub use error::LoadError;
pub use outcome::CallOutcome;
pub use plan::{LoadPlan, LoadTarget, ParseShareError, TrafficShare};
pub use program::run;
pub use run::run_load;
pub use summary::{AddedLatency, CallPath, LatencySummary, LoadSummary, ReasonCount, ShareSummary};
