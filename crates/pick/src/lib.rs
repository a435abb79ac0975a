//! Load balancing policies: which server of a service takes the next attempt.
//!
//! A [`ServerChooser`] is told when attempts start and end and what load servers report. It does no
//! I/O and reads no clock, so tests and simulations can drive it. [`SignalChooser`] is the default
//! policy of gates: it weighs load signals by their age. [`LeastInFlight`] is the baseline that it
//! is compared with.

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
