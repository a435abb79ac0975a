//! Reports the state of a gate to operators: its documents, when they were last compared with the
//! platform's table, and the other gates.

use actix_http::{Response, StatusCode};
use ggs_follow::ReplicaFreshness;
use ggs_model::{Clock, DocumentStatus, StatusAnswer, VersionedDocument};

use crate::answer;
use crate::body::GateBody;
use crate::core::GateCore;

/// Serves `GET /v1/status`.
pub(crate) fn serve(core: &GateCore) -> Response<GateBody> {
    let now = core.clock.now();
    let documents = &core.documents;
    let last_compared = documents.last_compared();
    let status = StatusAnswer {
        gate: core.id.clone(),
        data_centre: core.settings.data_centre.clone(),
        callers: core.caller_address(),
        draining: core.is_draining(),
        fleet: documents.highest_seen(),
        table_read_ms: last_compared.map(|moment| now.since(moment).as_millis() as u64),
        stale: documents.freshness(now) == ReplicaFreshness::Stale,
        documents: documents.all().iter().map(document_status).collect(),
        peers: core.peers.status(now),
    };
    answer::json(StatusCode::OK, &status)
}

/// Returns the row of the status answer for one document.
fn document_status(versioned: &VersionedDocument) -> DocumentStatus {
    DocumentStatus {
        service: versioned.document.service.clone(),
        partner: versioned.document.partner.clone(),
        revision: versioned.revision,
    }
}
