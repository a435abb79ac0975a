//! Operators' edits of documents.

use std::time::Duration;

use actix_http::{Request, Response, StatusCode};
use ggs_follow::{AcceptOutcome, ChangeSet, DocumentEdit, accept_edit};
use ggs_model::{
    AnswerFailure, DocumentRevision, EditAnswer, EditConflict, EditFault, EditFaults, EditRequest,
    ServiceName,
};
use ggs_peer::PeerMessage;

use crate::answer::{self, CallerFault};
use crate::body::GateBody;
use crate::core::GateCore;
use crate::{documents, request};

/// Longest body of an edit, in bytes.
const EDIT_LIMIT: usize = 256 << 10;

/// Time to read the body of an edit.
const BODY_TIME: Duration = Duration::from_secs(5);

/// Longest time for which an accepted edit is held back until it is in force at this gate.
const IN_FORCE_TIME: Duration = Duration::from_secs(2);

/// Serves `GET /v1/documents/{service}`.
pub(crate) fn show(core: &GateCore, service: &str) -> Response<GateBody> {
    match core.documents.get(&ServiceName::new(service)) {
        Some(versioned) => answer::json(StatusCode::OK, &versioned),
        None => answer::fault(CallerFault::UnknownService),
    }
}

/// Serves `PUT /v1/documents/{service}`: commits the edit, puts it in force here, pushes it to the
/// other gates, and only then says that it is accepted.
pub(crate) async fn accept(
    core: &GateCore,
    service: ServiceName,
    mut request: Request,
) -> Response<GateBody> {
    let payload = request.take_payload();
    let body = match request::read_body(payload, EDIT_LIMIT, BODY_TIME).await {
        Ok(body) => body,
        Err(fault) => return answer::fault(fault),
    };
    let edit = match read_edit(&service, &body) {
        Ok(edit) => edit,
        Err(faults) => return answer::json(StatusCode::BAD_REQUEST, &faults),
    };
    let outcome = accept_edit(&core.platform, &edit, core.documents.fleet()).await;
    match outcome {
        AcceptOutcome::Accepted(change) => {
            let revision = change.upto;
            spread(core, change).await;
            accepted(service, revision, false)
        }
        AcceptOutcome::Repeated(revision) => {
            documents::wait_revision(core, revision, IN_FORCE_TIME).await;
            accepted(service, revision, true)
        }
        AcceptOutcome::Conflict(current) => {
            core.documents.want_read();
            answer::json(StatusCode::CONFLICT, &EditConflict { current })
        }
        AcceptOutcome::Refused(error) => {
            let faults = single_fault("", error.to_string());
            answer::json(StatusCode::BAD_REQUEST, &faults)
        }
        AcceptOutcome::Unavailable(message) => failure(StatusCode::SERVICE_UNAVAILABLE, message),
        AcceptOutcome::Unknown(message) => failure(StatusCode::GATEWAY_TIMEOUT, message),
    }
}

/// Puts a committed change in force here and pushes it to the other gates.
async fn spread(core: &GateCore, change: ChangeSet) {
    core.peers.send_all(&PeerMessage::Changes(change.clone()));
    let revision = change.upto;
    documents::apply(core, change, "edit");
    // After a gap: changes that other gates accepted have not come here yet.
    documents::wait_revision(core, revision, IN_FORCE_TIME).await;
}

/// Reads the body of an edit.
fn read_edit(service: &ServiceName, body: &[u8]) -> Result<DocumentEdit, EditFaults> {
    let request: EditRequest =
        serde_json::from_slice(body).map_err(|error| single_fault("body", error.to_string()))?;
    let document = ggs_settings::read_edit(service, &request.text)?;
    Ok(DocumentEdit {
        id: request.edit,
        base: request.base,
        document: document.into(),
    })
}

/// The answer to an accepted edit.
fn accepted(
    service: ServiceName,
    revision: DocumentRevision,
    repeated: bool,
) -> Response<GateBody> {
    let edit = EditAnswer {
        service,
        revision,
        repeated,
    };
    answer::json(StatusCode::OK, &edit)
}

/// Faults with one entry, at the start of the text.
fn single_fault(field: &str, message: String) -> EditFaults {
    let fault = EditFault {
        line: 1,
        column: 1,
        field: field.to_owned(),
        message,
    };
    EditFaults {
        faults: vec![fault],
    }
}

/// An answer that names what failed and asks the operator's tool to wait a second.
fn failure(status: StatusCode, message: String) -> Response<GateBody> {
    let mut response = answer::json(status, &AnswerFailure { message });
    answer::set_header(&mut response, "retry-after", "1");
    response
}
