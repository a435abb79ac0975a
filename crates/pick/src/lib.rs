//! Choice of server from aged load signals.
//!
//! A [`ServerChooser`] is told when attempts start and end and what servers report; it answers which
//! server takes the next attempt. It does no I/O and reads no clock. [`SignalChooser`] is the policy
//! that gates use; [`LeastInFlight`] is the naive one that it is compared with.

mod attempts;
mod builder;
mod chooser;
mod health;
mod least;
mod peers;
mod samples;
mod signal;
mod signal_chooser;
mod table;
mod trust;

pub use builder::ChooserBuilder;
pub use chooser::{
    AttemptEnd, AttemptOutcome, ChoiceRefusal, ChoiceRequest, ServerChooser, ServerHandle,
    ServerSpec,
};
pub use least::LeastInFlight;
pub use signal_chooser::SignalChooser;
