//! Settings of a gate, checked.

use std::net::SocketAddr;
use std::time::Duration;

use ggs_model::{DataCentre, HostName};

/// What a fleet promises, as its operators set it.
#[derive(Clone, Debug, PartialEq)]
pub struct EdgeBounds {
    /// Time after which a leaving server gets no new request.
    pub server_drain: Duration,
    /// Time between the order to stop and the kill.
    pub stop_grace: Duration,
    /// Second sends that are allowed for each request.
    pub retry_ratio: f64,
    /// Second sends that are allowed beyond the ratio, over all gates.
    pub retry_slack: f64,
    /// Longest time for which callers keep an entry answer.
    pub entry_life: Duration,
    /// Questions of load that are allowed for each server and second, over all gates.
    pub asks_per_second: f64,
}

/// Settings of a gate.
#[derive(Clone, Debug, PartialEq)]
pub struct EdgeSettings {
    /// Name of the host.
    pub host: HostName,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Where callers send requests.
    pub listen_callers: SocketAddr,
    /// Where the platform asks whether the gate is ready.
    pub listen_ready: SocketAddr,
    /// Where callers ask for gates.
    pub listen_entries: SocketAddr,
    /// Where other gates send datagrams.
    pub listen_gates: SocketAddr,
    /// The platform's store.
    pub store: SocketAddr,
    /// Time between two writes of a server to its row in the store.
    pub server_heartbeat: Duration,
    /// Bounds of the fleet.
    pub bounds: EdgeBounds,
}
