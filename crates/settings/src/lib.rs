//! Gate settings and service documents read from JSON with comments.
//!
//! A file is checked in full: every fault is reported with its file, line, column and field.

mod error;
mod gate;
mod read;

pub use error::{SettingsError, SettingsFault};
pub use gate::GateSettings;
pub use read::{read_document, read_gate_settings};
