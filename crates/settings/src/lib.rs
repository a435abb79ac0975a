//! Gate settings and service documents read from JSON with comments.
//!
//! A file is checked in full: every fault is reported with its file, line, column and field. The
//! syntax tree is walked by hand, because `serde` stops at the first fault and loses the place of
//! a value; it was tried first (one fault a run, always at line 1). Only a fault of syntax hides
//! those after it: past it, the meaning of the text is a guess.

mod document;
mod error;
mod field;
mod gate;
pub mod limits;
mod names;
mod read;
mod sheet;

pub use error::{SettingsError, SettingsFault};
pub use gate::{ChoicePolicy, GateSettings};
pub use read::{print_document, print_gate_settings, read_document, read_edit, read_gate_settings};
