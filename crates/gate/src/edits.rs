//! Shows documents to operators, and accepts their edits.
//!
//! An edit is committed to the platform's table, sent to the other gates and put in force here, in
//! this order. Only then is it answered as accepted, so that its effect is visible at this gate at
//! once; if it does not come into force here within [`IN_FORCE_TIMEOUT`], it is answered as
//! accepted all the same, as it is committed.

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

/// Maximum size of the body of an edit.
const MAX_EDIT_BYTES: usize = 256 << 10;

/// Time within which the whole body of an edit must arrive.
const BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum time for which the answer to an accepted edit waits until the edit is in force at this
/// gate.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(2);

/// Serves `GET /v1/documents/{service}`.
pub(crate) fn show(core: &GateCore, service: &str) -> Response<GateBody> {
    match core.documents.get(&ServiceName::new(service)) {
        Some(versioned) => answer::json(StatusCode::OK, &versioned),
        None => answer::fault(CallerFault::UnknownService),
    }
}

/// Serves `PUT /v1/documents/{service}`.
pub(crate) async fn accept(
    core: &GateCore,
    service: ServiceName,
    mut request: Request,
) -> Response<GateBody> {
    let payload = request.take_payload();
    let body = match request::read_body(payload, MAX_EDIT_BYTES, BODY_TIMEOUT).await {
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
            let revision = change.up_to;
            distribute(core, change).await;
            accepted_answer(service, revision, false)
        }
        AcceptOutcome::Repeated(revision) => {
            documents::wait_for_revision(core, revision, IN_FORCE_TIMEOUT).await;
            accepted_answer(service, revision, true)
        }
        AcceptOutcome::Conflict(current) => {
            core.documents.request_read();
            answer::json(StatusCode::CONFLICT, &EditConflict { current })
        }
        AcceptOutcome::Refused(error) => {
            let faults = single_fault("", error.to_string());
            answer::json(StatusCode::BAD_REQUEST, &faults)
        }
        AcceptOutcome::Unavailable(message) => {
            failure_answer(StatusCode::SERVICE_UNAVAILABLE, message)
        }
        AcceptOutcome::Unknown(message) => failure_answer(StatusCode::GATEWAY_TIMEOUT, message),
    }
}

/// Sends a committed change to the other gates and puts it in force here.
async fn distribute(core: &GateCore, change: ChangeSet) {
    core.peers.send_all(&PeerMessage::Changes(change.clone()));
    let revision = change.up_to;
    documents::apply(core, change, "edit");
    // If changes that other gates accepted before have not arrived here, this one was not applied;
    // reading the table brings all of them.
    documents::wait_for_revision(core, revision, IN_FORCE_TIMEOUT).await;
}

/// Parses the body of an edit, and checks the document in it.
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

/// Returns the answer to an accepted edit; `repeated` if an earlier request committed it.
fn accepted_answer(
    service: ServiceName,
    revision: DocumentRevision,
    repeated: bool,
) -> Response<GateBody> {
    let answer = EditAnswer {
        service,
        revision,
        repeated,
    };
    answer::json(StatusCode::OK, &answer)
}

/// Returns a list of one fault, placed at the start of the text.
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

/// Returns an answer that says what failed, and asks the operator's tool to retry after one second.
fn failure_answer(status: StatusCode, message: String) -> Response<GateBody> {
    let mut response = answer::json(status, &AnswerFailure { message });
    answer::set_header(&mut response, "retry-after", "1");
    response
}
