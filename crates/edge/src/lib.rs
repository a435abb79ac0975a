//! The gate as one role on every entry host of a platform.
//!
//! Callers connect to any gate that an entry answer names. A gate finds the route of a request, asks
//! a few servers for their load just before it sends, and sends to the one that is expected to answer
//! first. Everything that must last lies in the platform's store, reached through [`FleetStore`];
//! names and formats of the platform are behind [`EdgeWire`]. Gates of a data centre tell one another
//! with datagrams that they live.

mod answer;
mod ask;
mod attempt;
mod body;
mod catalog;
mod config;
mod contacts;
mod core;
mod datagrams;
mod drain;
mod entries;
mod feeds;
mod gates;
mod handle;
mod listen;
mod load_updates;
mod metrics;
mod pending;
mod placing;
mod ports;
mod program;
mod request;
mod serve;
mod servers;
mod service;
mod settings;
mod span;
mod startup;
mod store_health;

pub use catalog::{CatalogDiff, ServerCatalog};
pub use handle::{EdgeError, EdgeHandle, start};
pub use ports::{
    EdgeWire, EntryAnswer, EntryQuery, FeedChange, FeedCursor, FeedPage, FeedValue, FleetError,
    FleetStore, GateEntry, ServerRecord, SettingsSource, WireHeaders,
};
pub use program::run;
pub use settings::{EdgeBounds, EdgeSettings};
pub use store_health::max_read_backoff;
