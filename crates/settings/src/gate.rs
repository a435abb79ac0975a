//! Settings of one gate.

use std::net::SocketAddr;

use ggs_model::{DataCentre, HostName};
use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

use crate::field::{FieldValue, ObjectReader};
use crate::limits;
use crate::names::{read_address, read_base_url, read_host};
use crate::sheet::FaultSheet;

/// Policy by which a gate chooses servers.
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
    /// Weighs all load signals by their age.
    #[default]
    Signals,
    /// Takes the server with the fewest attempts of the gate itself; for comparisons.
    LeastInFlight,
}

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
    /// Requests in flight at the gate, over all services.
    #[serde(default = "defaults::in_flight_limit")]
    pub in_flight_limit: u32,
    /// Time for which a caller may take none of its answer before it is given up, in milliseconds.
    #[serde(default = "defaults::caller_stall_ms")]
    pub caller_stall_ms: u64,
    /// Policy by which servers are chosen.
    #[serde(default)]
    pub server_choice: ChoicePolicy,
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

    pub(super) const fn in_flight_limit() -> u32 {
        2_048
    }

    pub(super) const fn caller_stall_ms() -> u64 {
        20_000
    }
}

/// Checks a settings file; adds every fault to the sheet.
pub(crate) fn check_gate(
    root: &FieldValue<'_, '_>,
    sheet: &mut FaultSheet<'_>,
) -> Option<GateSettings> {
    let mut object = root.object(sheet)?;
    let host = object.required(sheet, "host", read_host);
    let data_centre = object.required(sheet, "data_centre", read_host);
    let listen_callers = object.required(sheet, "listen_callers", read_address);
    let listen_peers = object.required(sheet, "listen_peers", read_address);
    let platform = object.required(sheet, "platform", read_base_url);
    let peers = object.optional(sheet, "peers", Vec::new(), read_peers);
    let entry_ttl_ms = defaults::entry_ttl_ms();
    let entry_ttl_ms = object.optional(sheet, "entry_ttl_ms", entry_ttl_ms, |field, sheet| {
        field.number(sheet, &limits::ENTRY_TTL_MS)
    });
    let body_limit = object.optional(
        sheet,
        "body_limit",
        defaults::body_limit(),
        |field, sheet| read_count(field, sheet, &limits::BODY_LIMIT_BYTES),
    );
    let key_limit = object.optional(sheet, "key_limit", defaults::key_limit(), |field, sheet| {
        read_count(field, sheet, &limits::KEY_LIMIT)
    });
    let key_ttl_ms = defaults::key_ttl_ms();
    let key_ttl_ms = object.optional(sheet, "key_ttl_ms", key_ttl_ms, |field, sheet| {
        field.number(sheet, &limits::KEY_TTL_MS)
    });
    let in_flight_limit = defaults::in_flight_limit();
    let in_flight_limit =
        object.optional(sheet, "in_flight_limit", in_flight_limit, |field, sheet| {
            let count = field.number(sheet, &limits::IN_FLIGHT_LIMIT)?;
            u32::try_from(count).ok()
        });
    let caller_stall_ms = defaults::caller_stall_ms();
    let caller_stall_ms =
        object.optional(sheet, "caller_stall_ms", caller_stall_ms, |field, sheet| {
            field.number(sheet, &limits::CALLER_STALL_MS)
        });
    let server_choice = ChoicePolicy::default();
    let server_choice = object.optional(sheet, "server_choice", server_choice, FieldValue::name);
    check_clashes(&mut object, sheet);
    object.finish(sheet);
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

/// Reads a count that the process holds in memory.
fn read_count(
    field: &FieldValue<'_, '_>,
    sheet: &mut FaultSheet<'_>,
    range: &std::ops::RangeInclusive<u64>,
) -> Option<usize> {
    let count = field.number(sheet, range)?;
    usize::try_from(count).ok()
}

/// Reads the peer addresses, each at most once.
fn read_peers(field: &FieldValue<'_, '_>, sheet: &mut FaultSheet<'_>) -> Option<Vec<SocketAddr>> {
    let elements = field.elements(sheet, limits::PEER_LIMIT)?;
    let mut peers = Vec::with_capacity(elements.len());
    for element in &elements {
        let Some(peer) = read_address(element, sheet) else {
            continue;
        };
        if peers.contains(&peer) {
            element.fault(sheet, format!("peer {peer} is listed twice"));
            continue;
        }
        peers.push(peer);
    }
    Some(peers)
}

/// Checks that no two addresses of different meaning are the same.
fn check_clashes(object: &mut ObjectReader<'_, '_>, sheet: &mut FaultSheet<'_>) {
    let Some(callers) = quiet_address(object, "listen_callers") else {
        return;
    };
    if quiet_address(object, "listen_peers") == Some(callers)
        && let Some(field) = object.field("listen_peers")
    {
        field.fault(
            sheet,
            format!("address {callers} is that of listen_callers"),
        );
    }
    check_platform_clash(object, sheet);
    let Some(field) = object.field("peers") else {
        return;
    };
    for element in field
        .elements(&mut FaultSheet::new("", ""), limits::PEER_LIMIT)
        .unwrap_or_default()
    {
        if address_of(&element) == Some(callers) {
            element.fault(
                sheet,
                format!("peer {callers} is the address of listen_callers"),
            );
        }
    }
}

/// Checks that the platform's address is not one of the gate's own.
fn check_platform_clash(object: &mut ObjectReader<'_, '_>, sheet: &mut FaultSheet<'_>) {
    let Some(field) = object.field("platform") else {
        return;
    };
    let text = field.text(&mut FaultSheet::new("", "")).unwrap_or_default();
    let address = text.strip_prefix("http://").unwrap_or_default();
    let Ok(address) = address.parse::<SocketAddr>() else {
        return;
    };
    for name in ["listen_callers", "listen_peers"] {
        if quiet_address(object, name) == Some(address) {
            field.fault(sheet, format!("address {address} is that of {name}"));
        }
    }
}

/// The address in the field `name`, without faults of its own.
fn quiet_address(object: &mut ObjectReader<'_, '_>, name: &'static str) -> Option<SocketAddr> {
    object.field(name).as_ref().and_then(address_of)
}

/// The address in a field, without faults of its own.
fn address_of(field: &FieldValue<'_, '_>) -> Option<SocketAddr> {
    field.text(&mut FaultSheet::new("", ""))?.parse().ok()
}
