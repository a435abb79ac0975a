//! Settings of a gate, after the adapter has checked them.
//!
//! The addresses and the size of the host belong to one gate; [`EdgeBounds`] holds for the whole
//! fleet.

use std::net::SocketAddr;
use std::time::Duration;

use ggs_limit::QuotaBounds;
use ggs_model::{DataCentre, HostName};

/// Limits that hold for the whole fleet, as its operators set them.
#[derive(Clone, Debug, PartialEq)]
pub struct EdgeBounds {
    /// Time after a server starts to leave by which it must get no new requests.
    pub server_drain: Duration,
    /// Time after a configuration was accepted by which it must be in force at each gate.
    pub config_apply: Duration,
    /// Time between the signal to stop and the kill.
    pub stop_grace: Duration,
    /// Retries that are allowed per request, on average.
    pub retry_ratio: f64,
    /// Retries that are allowed beyond the ratio in any window of time, over all gates.
    pub retry_slack: f64,
    /// Longest time for which callers may keep an entry answer.
    pub entry_ttl: Duration,
    /// Load probes that are allowed per server and second, over all gates.
    pub probes_per_second: f64,
    /// How far quotas may be exceeded; `None` if the operators do not state it.
    pub quota: Option<QuotaBounds>,
}

/// Settings of a gate.
#[derive(Clone, Debug, PartialEq)]
pub struct EdgeSettings {
    /// Name of the host.
    pub host: HostName,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Address at which callers send requests.
    pub listen_callers: SocketAddr,
    /// Address at which the platform checks whether the gate is ready.
    pub listen_ready: SocketAddr,
    /// Address at which callers look up gates.
    pub listen_entries: SocketAddr,
    /// Address at which metrics are read.
    pub listen_metrics: SocketAddr,
    /// Address at which other gates send datagrams, and fetch lists over HTTP.
    pub listen_gates: SocketAddr,
    /// Addresses like `listen_gates` of a few gates, which may be wrong or out of date.
    pub seeds: Vec<SocketAddr>,
    /// Whether the whole fleet starts for the first time.
    pub new_fleet: bool,
    /// CPU share of the host, in cores.
    pub cpu_share: f64,
    /// Memory that the process may use, in bytes.
    pub memory_bytes: u64,
    /// Bandwidth of the host's own link, in megabits per second.
    pub link_mbps: f64,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Time between two heartbeats that a server writes to its row in the store.
    pub server_heartbeat: Duration,
    /// Limits of the fleet.
    pub bounds: EdgeBounds,
}

/// CPU share of a host of size one, in cores; the smallest host in the fleets in use.
const UNIT_CPU_SHARE: f64 = 0.1;

/// Link bandwidth of a host of size one, in megabits per second; the smallest host in the fleets in
/// use.
const UNIT_LINK_MBPS: f64 = 10.0;

/// Percentage of the memory of the process for bodies of requests and answers. The rest is for the
/// program, its connections and what the system holds of unread bytes.
const BODY_MEMORY_PERCENT: u64 = 40;

impl EdgeSettings {
    /// Bytes of request bodies and answers that the gate may hold at a time.
    pub fn body_bytes(&self) -> usize {
        (self.memory_bytes / 100 * BODY_MEMORY_PERCENT) as usize
    }

    /// Size of the host as a multiple of the smallest host, by its scarcer resource; at least one.
    pub fn capacity(&self) -> u32 {
        let multiple = (self.cpu_share / UNIT_CPU_SHARE).min(self.link_mbps / UNIT_LINK_MBPS);
        (multiple.round() as u32).max(1)
    }
}
