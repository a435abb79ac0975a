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
    pub entry_ttl: Duration,
    /// Questions of load that are allowed for each server and second, over all gates.
    pub probes_per_second: f64,
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
    /// Where metrics are read.
    pub listen_metrics: SocketAddr,
    /// Where other gates send datagrams.
    pub listen_gates: SocketAddr,
    /// Whether the whole fleet starts for the first time.
    pub new_fleet: bool,
    /// Part of a core that the host has.
    pub cpu_share: f64,
    /// Megabits a second of the host's own link.
    pub link_mbps: f64,
    /// The platform's store.
    pub store: SocketAddr,
    /// Time between two writes of a server to its row in the store.
    pub server_heartbeat: Duration,
    /// Bounds of the fleet.
    pub bounds: EdgeBounds,
}

/// Part of a core that a host of size one has; the smallest of the fleets in use.
const UNIT_CPU_SHARE: f64 = 0.1;

/// Megabits a second that a host of size one has; the smallest of the fleets in use.
const UNIT_LINK_MBPS: f64 = 10.0;

impl EdgeSettings {
    /// Size of the host: how many times that of the smallest its scarcest part is.
    pub fn capacity(&self) -> u32 {
        let parts = (self.cpu_share / UNIT_CPU_SHARE).min(self.link_mbps / UNIT_LINK_MBPS);
        (parts.round() as u32).max(1)
    }
}
