//! The gate as one role on every entry host of a platform.
//!
//! Callers connect to any gate that an entry answer names. A gate finds the route of a request, asks
//! a few servers for their load just before it sends, and sends to the one that is expected to answer
//! first. Everything that must last lies in the platform's store, reached through [`FleetStore`];
//! names and formats of the platform are behind [`EdgeWire`]. Gates of a data centre tell one another
//! with datagrams that they live.

mod answer;
mod attempt;
mod body;
mod catalog;
mod config;
mod contacts;
mod core;
mod drain;
mod entries;
mod follow;
mod frames;
mod gates;
mod handle;
mod learn;
mod listen;
mod metrics;
mod news;
mod pending;
mod placement;
mod ports;
mod probe;
mod program;
mod request;
mod serve;
mod servers;
mod service;
mod settings;
mod span;
mod store_health;

pub use catalog::{CatalogNews, ServerCatalog};
pub use handle::{EdgeError, EdgeHandle, start};
pub use ports::{
    EdgeWire, EntryAnswer, EntryQuestion, FeedChange, FeedCursor, FeedPage, FeedValue, FleetError,
    FleetStore, GateEntry, ServerRecord, SettingsSource, WireHeaders,
};
pub use program::run;
pub use settings::{EdgeBounds, EdgeSettings};
pub use store_health::longest_read_pause;
