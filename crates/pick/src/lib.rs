//! Choice of server from aged load signals.
//!
//! A [`ServerChooser`] is told when attempts start and end and what servers report; it answers which
//! server takes the next attempt. It does no I/O and reads no clock.

mod chooser;
mod least;

pub use chooser::{
    AttemptEnd, AttemptOutcome, ChoiceRefusal, ChoiceRequest, ServerChooser, ServerSeed, ServerSlot,
};
pub use least::LeastInFlight;
