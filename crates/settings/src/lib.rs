//! Parses and checks gate settings and service documents, both written in JSON with comments.
//!
//! A file is checked in full, so that one run reports every fault with its file, line, column and
//! field. The syntax tree is walked by hand because `serde` stops at the first fault and loses the
//! position of each value: it reports one fault per run, always at line 1. Only a syntax error
//! hides the faults after it, because the rest of the text cannot be interpreted reliably.

mod collector;
mod document;
mod error;
mod field;
mod gate;
pub mod limits;
mod names;
mod read;

pub use error::{SettingsError, SettingsFault};
pub use gate::{ChoicePolicy, GateSettings};
pub use read::{print_document, print_gate_settings, read_document, read_edit, read_gate_settings};
