//! Settings of one gate.

use std::net::SocketAddr;

use ggs_model::{DataCentre, HostName};
use serde::{Deserialize, Serialize};

/// What a gate learns from its settings file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GateSettings {
    /// Name of the host that the gate runs on.
    pub host: HostName,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Address for callers and operators (HTTP).
    pub listen_callers: SocketAddr,
    /// Address for other gates (frames).
    pub listen_peers: SocketAddr,
    /// Base URL of the platform, for example `http://127.0.0.1:9000`.
    pub platform: String,
    /// Peer addresses of other gates, to start from; the gate's own may be among them.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Time that a caller may keep an entry answer, in milliseconds.
    #[serde(default = "defaults::entry_ttl_ms")]
    pub entry_ttl_ms: u64,
    /// Longest body of a request, in bytes.
    #[serde(default = "defaults::body_limit")]
    pub body_limit: usize,
    /// Keys remembered at once.
    #[serde(default = "defaults::key_limit")]
    pub key_limit: usize,
    /// Time that an issued key can be used, in milliseconds.
    #[serde(default = "defaults::key_ttl_ms")]
    pub key_ttl_ms: u64,
}

/// Values of settings that a file leaves out.
mod defaults {
    pub(super) const fn entry_ttl_ms() -> u64 {
        3_000
    }

    pub(super) const fn body_limit() -> usize {
        1 << 20
    }

    pub(super) const fn key_limit() -> usize {
        100_000
    }

    pub(super) const fn key_ttl_ms() -> u64 {
        600_000
    }
}
