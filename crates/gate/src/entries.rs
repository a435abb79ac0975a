//! Serves entry queries: which gate addresses a caller should use for a service, and for how long.
//!
//! Callers send their requests straight to the first address that works, so the order of the
//! addresses spreads callers over the gates.

use actix_http::{Response, StatusCode};
use ggs_model::Clock;
use serde::Serialize;

use crate::answer::{self, CallerFault};
use crate::body::GateBody;
use crate::core::GateCore;

/// Body of the answer to an entry query.
#[derive(Debug, Serialize)]
struct EntryAnswer<'a> {
    service: &'a str,
    /// Caller addresses of gates, in the order in which to try them.
    addresses: Vec<std::net::SocketAddr>,
    /// Time for which the caller may keep the answer, in milliseconds.
    ttl_ms: u64,
}

/// Serves `GET /v1/entries/{service}`.
pub(crate) fn serve(core: &GateCore, service: &str) -> Response<GateBody> {
    if core.service(service).is_none() {
        return answer::fault(CallerFault::UnknownService);
    }
    let now = core.clock.now();
    let near = &core.settings.data_centre;
    let addresses = core.peers.entries(&service.into(), near, now);
    let ttl_ms = core.settings.entry_ttl_ms;
    answer::json(
        StatusCode::OK,
        &EntryAnswer {
            service,
            addresses,
            ttl_ms,
        },
    )
}
