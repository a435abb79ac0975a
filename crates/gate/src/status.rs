//! What operators see of a gate.

use actix_http::{Response, StatusCode};
use ggs_follow::BookFreshness;
use ggs_model::{Clock, DocumentStatus, StatusAnswer, VersionedDocument};

use crate::answer;
use crate::body::GateBody;
use crate::core::GateCore;

/// Serves `GET /v1/status`.
pub(crate) fn serve(core: &GateCore) -> Response<GateBody> {
    let now = core.clock.now();
    let documents = &core.documents;
    let compared = documents.compared();
    let status = StatusAnswer {
        gate: core.id.clone(),
        data_centre: core.settings.data_centre.clone(),
        callers: core.caller_address(),
        draining: core.is_draining(),
        fleet: documents.heard(),
        table_read_ms: compared.map(|moment| now.since(moment).as_millis() as u64),
        stale: documents.freshness(now) == BookFreshness::Stale,
        documents: documents.all().iter().map(document_status).collect(),
        peers: core.peers.status(now),
    };
    answer::json(StatusCode::OK, &status)
}

/// One row of the status.
fn document_status(versioned: &VersionedDocument) -> DocumentStatus {
    DocumentStatus {
        service: versioned.document.service.clone(),
        partner: versioned.document.partner.clone(),
        revision: versioned.revision,
    }
}
