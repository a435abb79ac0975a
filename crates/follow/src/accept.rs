//! Commits an edit to the table, with retries.
//!
//! Decides after each read or write whether to plan the edit again, and tells the operator whether
//! it was committed, was not, or may have been. A write without an answer may still have taken
//! effect, so the rows are read again before anything is reported.

use ggs_model::{DocumentRevision, VersionedDocument};
use ggs_store::{StoreError, TableRow, TableStore, WriteOutcome};

use crate::{ChangeSet, DocumentEdit, DocumentError, EditPlan, HEAD_KEY, document_key, plan_edit};

/// Most times that one call plans an edit. Each edit of another service that is committed between
/// the read and the write, and each write without an answer, costs one attempt.
const MAX_PLAN_ATTEMPTS: u32 = 8;

/// Result of an attempt to commit an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AcceptOutcome {
    /// The edit was committed by this call, as this change.
    Accepted(ChangeSet),
    /// The edit had been committed already, as this revision.
    Repeated(DocumentRevision),
    /// Another edit of the service was committed first and nothing was written. Holds the current
    /// document, or `None` if the service has none.
    Conflict(Option<VersionedDocument>),
    /// Nothing was written, and a retry of the same edit would fail the same way.
    Refused(DocumentError),
    /// Nothing was written: the platform failed, other edits kept being committed first, or the
    /// table's head is older than the documents in force at this gate. The same edit may be
    /// retried.
    Unavailable(String),
    /// The edit may have been committed. A retry of the same edit, with the same id, finds out.
    Unknown(String),
}

/// Commits an edit; `in_force` is the fleet revision that the gate has reached.
///
/// When a write gets no answer, the rows are read again: the document row's list of accepted edits
/// says whether this edit took effect.
pub async fn accept_edit<S: TableStore>(
    store: &S,
    edit: &DocumentEdit,
    in_force: DocumentRevision,
) -> AcceptOutcome {
    let key = document_key(&edit.document.service);
    let mut unanswered = None;
    for _ in 0..MAX_PLAN_ATTEMPTS {
        let (head, row) = match read_rows(store, &key).await {
            Ok(rows) => rows,
            Err(error) => return platform_failure(unanswered, &error),
        };
        let (write, change) = match plan_edit(edit, head.as_ref(), row.as_ref(), in_force) {
            Err(error) => return plan_failure(error),
            Ok(EditPlan::Accepted(revision)) => return AcceptOutcome::Repeated(revision),
            Ok(EditPlan::Conflict(current)) => return AcceptOutcome::Conflict(current),
            Ok(EditPlan::Write { write, change }) => (write, change),
        };
        match store.write(&write).await {
            Ok(WriteOutcome::Written) => return AcceptOutcome::Accepted(change),
            Ok(WriteOutcome::Conflict { .. }) => {}
            Err(error @ StoreError::Unavailable { .. }) => {
                return platform_failure(unanswered, &error);
            }
            Err(error) => unanswered = Some(error),
        }
    }
    match unanswered {
        Some(error) => AcceptOutcome::Unknown(error.to_string()),
        None => AcceptOutcome::Unavailable("other edits came between too often".to_owned()),
    }
}

/// Reads the head row and the document row with this key.
async fn read_rows<S: TableStore>(
    store: &S,
    key: &str,
) -> Result<(Option<TableRow>, Option<TableRow>), StoreError> {
    let head = store.get(HEAD_KEY).await?;
    let row = store.get(key).await?;
    Ok((head, row))
}

/// Returns the outcome when the platform fails: unknown if an earlier write got no answer.
fn platform_failure(unanswered: Option<StoreError>, error: &StoreError) -> AcceptOutcome {
    match unanswered {
        Some(earlier) => AcceptOutcome::Unknown(earlier.to_string()),
        None => AcceptOutcome::Unavailable(error.to_string()),
    }
}

/// Returns the outcome when the edit cannot be planned. A table whose head is older than the
/// documents in force at this gate may recover, so only that failure can be retried.
fn plan_failure(error: DocumentError) -> AcceptOutcome {
    match error {
        DocumentError::HeadBehind { .. } => AcceptOutcome::Unavailable(error.to_string()),
        _ => AcceptOutcome::Refused(error),
    }
}
