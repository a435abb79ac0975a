//! A load balancer process (a gate) that runs on every entry host of a platform.
//!
//! Callers ask any gate for the addresses of gates and connect to one of those. A gate finds the
//! route of a request, probes the load of a few servers just before it sends the request, and sends
//! it to the server that is expected to answer first. All durable state lies in the platform's
//! store, reached through [`FleetStore`]; the platform's names and wire formats are behind
//! [`EdgeWire`]. The gates of a data centre exchange heartbeats, load updates and changes of the
//! server list in UDP datagrams. A gate that does not reach the servers sends its requests through
//! other gates.

mod access;
mod answer;
mod attempt;
mod body;
mod catalog;
mod cold;
mod config;
mod connect;
mod contacts;
mod core;
mod crashes;
mod datagrams;
mod detour;
mod detour_wire;
mod discovery;
mod drain;
mod entries;
mod evacuation;
mod feeds;
mod gates;
mod handle;
mod leaving;
mod limits;
mod listen;
mod load_updates;
mod metrics;
mod operator;
mod parts;
mod pending;
mod placement;
mod ports;
mod probe;
mod program;
mod quarantine;
mod quota;
mod reach;
mod request;
mod rest;
mod scarcity;
mod serve;
mod servers;
mod service;
mod settings;
mod span;
mod startup;
mod store_health;
mod trial;

pub use catalog::{CatalogDiff, ServerCatalog};
pub use handle::{EdgeError, EdgeHandle, start};
pub use ports::{
    EdgeWire, EntryAnswer, EntryQuery, FeedChange, FeedCursor, FeedPage, FeedValue, FleetError,
    FleetStore, GateEntry, OperatorPage, QuarantineRow, ServerRecord, SettingsSource, WireHeaders,
};
pub use program::run;
pub use settings::{EdgeBounds, EdgeSettings};
pub use store_health::max_read_backoff;
