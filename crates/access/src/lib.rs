//! Finds the workspace of a caller by the key in its request.
//!
//! [`WorkspaceRule`] is one workspace of a configuration. [`AccessTable`] holds all of them prepared
//! for lookups, which take the same time however many there are. [`find_key`] reads the key from the
//! credentials of a request.
//!
//! A key is kept only as a [`KeyDigest`], so neither a log line nor a debug print nor a panic message
//! can show it. Nothing here does I/O or reads a clock.

mod credentials;
mod digest;
mod table;

pub use credentials::{AccessRefusal, find_key};
pub use digest::KeyDigest;
pub use table::{AccessError, AccessTable, Workspace, WorkspaceRule};
