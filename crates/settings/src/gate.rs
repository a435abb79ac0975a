//! Settings of one gate process, and their checks.
//!
//! Each value is checked on its own. Then the addresses are compared with each other, because a
//! gate with conflicting addresses could not bind both, would use itself as the platform, or would
//! send messages for peers to an address for callers.

use std::net::SocketAddr;

use ggs_model::{DataCentre, HostName};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::collector::FaultCollector;
use crate::field::{FieldValue, ObjectReader};
use crate::limits;
use crate::names::{read_address, read_base_url, read_host_name};

/// Policy by which a gate chooses the server of a request.
///
/// ```
/// use ggs_settings::ChoicePolicy;
///
/// assert_eq!("least-in-flight".parse(), Ok(ChoicePolicy::LeastInFlight));
/// assert_eq!(ChoicePolicy::default().to_string(), "signals");
/// ```
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum ChoicePolicy {
    /// Ranks servers by all load signals, each weighted by its age.
    #[default]
    Signals,
    /// Chooses the server with the fewest attempts in flight from this gate; a baseline for
    /// comparisons.
    LeastInFlight,
}

/// Settings that a gate reads from its settings file.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GateSettings {
    /// Name of the host that the gate runs on.
    pub host: HostName,
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Listen address for callers and operators (HTTP).
    pub listen_callers: SocketAddr,
    /// Listen address for other gates (binary frames).
    pub listen_peers: SocketAddr,
    /// Base URL of the platform, for example `http://127.0.0.1:9000`.
    pub platform: String,
    /// Peer addresses of the gates to contact first; the gate's own address may be among them.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Time to live of an entry answer at a caller, in milliseconds.
    #[serde(default = "defaults::entry_ttl_ms")]
    pub entry_ttl_ms: u64,
    /// Maximum size of a request body, in bytes.
    #[serde(default = "defaults::body_limit")]
    pub body_limit: usize,
    /// Maximum number of idempotency keys that the gate keeps at once.
    #[serde(default = "defaults::key_limit")]
    pub key_limit: usize,
    /// Time to live of an issued idempotency key, in milliseconds.
    #[serde(default = "defaults::key_ttl_ms")]
    pub key_ttl_ms: u64,
    /// Maximum number of requests in flight at the gate, over all services.
    #[serde(default = "defaults::in_flight_limit")]
    pub in_flight_limit: u32,
    /// Time without write progress after which the gate closes a caller's connection, in
    /// milliseconds.
    #[serde(default = "defaults::caller_stall_ms")]
    pub caller_stall_ms: u64,
    /// Policy by which the gate chooses servers.
    #[serde(default)]
    pub server_choice: ChoicePolicy,
}

/// Values of settings that a file omits, in the unit of each field.
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

    pub(super) const fn in_flight_limit() -> u32 {
        2_048
    }

    pub(super) const fn caller_stall_ms() -> u64 {
        20_000
    }
}

/// Checks a settings file and adds every fault to `collector`.
///
/// Returns `None` if a field has no usable value. Returned settings may still have faults, which
/// [`FaultCollector::into_result`] turns into an error.
pub(crate) fn check_gate(
    root: &FieldValue<'_, '_>,
    collector: &mut FaultCollector<'_>,
) -> Option<GateSettings> {
    let mut object = root.object(collector)?;
    let host = object.required(collector, "host", read_host_name);
    let data_centre = object.required(collector, "data_centre", read_host_name);
    let listen_callers = object.required(collector, "listen_callers", read_address);
    let listen_peers = object.required(collector, "listen_peers", read_address);
    let platform = object.required(collector, "platform", read_base_url);
    let peers = object.optional(collector, "peers", Vec::new(), read_peers);
    let entry_ttl_ms = defaults::entry_ttl_ms();
    let entry_ttl_ms = object.optional(
        collector,
        "entry_ttl_ms",
        entry_ttl_ms,
        |field, collector| field.number(collector, &limits::ENTRY_TTL_MS),
    );
    let body_limit = object.optional(
        collector,
        "body_limit",
        defaults::body_limit(),
        |field, collector| read_usize(field, collector, &limits::BODY_LIMIT_BYTES),
    );
    let key_limit = object.optional(
        collector,
        "key_limit",
        defaults::key_limit(),
        |field, collector| read_usize(field, collector, &limits::KEY_LIMIT),
    );
    let key_ttl_ms = defaults::key_ttl_ms();
    let key_ttl_ms = object.optional(collector, "key_ttl_ms", key_ttl_ms, |field, collector| {
        field.number(collector, &limits::KEY_TTL_MS)
    });
    let in_flight_limit = defaults::in_flight_limit();
    let in_flight_limit = object.optional(
        collector,
        "in_flight_limit",
        in_flight_limit,
        |field, collector| {
            let count = field.number(collector, &limits::IN_FLIGHT_LIMIT)?;
            u32::try_from(count).ok()
        },
    );
    let caller_stall_ms = defaults::caller_stall_ms();
    let caller_stall_ms = object.optional(
        collector,
        "caller_stall_ms",
        caller_stall_ms,
        |field, collector| field.number(collector, &limits::CALLER_STALL_MS),
    );
    let server_choice = ChoicePolicy::default();
    let server_choice = object.optional(
        collector,
        "server_choice",
        server_choice,
        FieldValue::enum_value,
    );
    check_address_conflicts(&mut object, collector);
    object.finish(collector);
    Some(GateSettings {
        host: host?,
        data_centre: data_centre?,
        listen_callers: listen_callers?,
        listen_peers: listen_peers?,
        platform: platform?,
        peers: peers?,
        entry_ttl_ms: entry_ttl_ms?,
        body_limit: body_limit?,
        key_limit: key_limit?,
        key_ttl_ms: key_ttl_ms?,
        in_flight_limit: in_flight_limit?,
        caller_stall_ms: caller_stall_ms?,
        server_choice: server_choice?,
    })
}

/// Reads a whole number within `range` as a size or count in memory.
fn read_usize(
    field: &FieldValue<'_, '_>,
    collector: &mut FaultCollector<'_>,
    range: &std::ops::RangeInclusive<u64>,
) -> Option<usize> {
    let count = field.number(collector, range)?;
    usize::try_from(count).ok()
}

/// Reads the peer addresses; a repeated address is a fault.
fn read_peers(
    field: &FieldValue<'_, '_>,
    collector: &mut FaultCollector<'_>,
) -> Option<Vec<SocketAddr>> {
    let elements = field.elements(collector, limits::PEER_LIMIT)?;
    let mut peers = Vec::with_capacity(elements.len());
    for element in &elements {
        let Some(peer) = read_address(element, collector) else {
            continue;
        };
        if peers.contains(&peer) {
            element.add_fault(collector, format!("peer {peer} is listed twice"));
            continue;
        }
        peers.push(peer);
    }
    Some(peers)
}

/// Checks that the addresses of callers, peers and the platform differ.
fn check_address_conflicts(object: &mut ObjectReader<'_, '_>, collector: &mut FaultCollector<'_>) {
    let Some(callers) = valid_address(object, "listen_callers") else {
        return;
    };
    if valid_address(object, "listen_peers") == Some(callers)
        && let Some(field) = object.field("listen_peers")
    {
        field.add_fault(
            collector,
            format!("address {callers} is that of listen_callers"),
        );
    }
    check_platform_conflict(object, collector);
    let Some(field) = object.field("peers") else {
        return;
    };
    for element in field
        .elements(&mut FaultCollector::new("", ""), limits::PEER_LIMIT)
        .unwrap_or_default()
    {
        if parse_address(&element) == Some(callers) {
            element.add_fault(
                collector,
                format!("peer {callers} is the address of listen_callers"),
            );
        }
    }
}

/// Checks that the platform's address is not a listen address of this gate.
fn check_platform_conflict(object: &mut ObjectReader<'_, '_>, collector: &mut FaultCollector<'_>) {
    let Some(field) = object.field("platform") else {
        return;
    };
    let text = field
        .string(&mut FaultCollector::new("", ""))
        .unwrap_or_default();
    let address = text.strip_prefix("http://").unwrap_or_default();
    let Ok(address) = address.parse::<SocketAddr>() else {
        return;
    };
    for name in ["listen_callers", "listen_peers"] {
        if valid_address(object, name) == Some(address) {
            field.add_fault(collector, format!("address {address} is that of {name}"));
        }
    }
}

/// The address in the field `name`; `None` without a fault if it is missing or invalid.
fn valid_address(object: &mut ObjectReader<'_, '_>, name: &'static str) -> Option<SocketAddr> {
    object.field(name).as_ref().and_then(parse_address)
}

/// The address in `field`; `None` without a fault if it is invalid.
fn parse_address(field: &FieldValue<'_, '_>) -> Option<SocketAddr> {
    field.string(&mut FaultCollector::new("", ""))?.parse().ok()
}
