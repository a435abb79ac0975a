//! Carrying an edit through the table.

use ggs_model::{DocumentRevision, VersionedDocument};
use ggs_store::{StoreError, TableRow, TableStore, WriteOutcome};

use crate::{ChangeSet, DocumentEdit, EditPlan, FollowError, HEAD_KEY, document_key, plan_edit};

/// Times that an edit is planned anew when edits of other services come between.
const MAX_PLANS: u32 = 8;

/// What became of an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AcceptOutcome {
    /// The edit was committed now.
    Accepted(ChangeSet),
    /// The edit was committed by an earlier try, as this revision.
    Repeated(DocumentRevision),
    /// Another edit came first; nothing was written. The document as it stands.
    Conflict(Option<VersionedDocument>),
    /// Nothing was written, and sending the same edit again cannot change that.
    Refused(FollowError),
    /// Nothing was written; the platform is down or busy. The same edit may be sent again.
    Unavailable(String),
    /// The edit may have been committed; the same edit sent again tells.
    Unknown(String),
}

/// Commits an edit.
///
/// Nothing is lost when the answer of a write is: the rows are read again, and the row's list of
/// edits says whether this one took effect. `in_force` is the fleet revision that the gate holds.
pub async fn accept_edit<S: TableStore>(
    store: &S,
    edit: &DocumentEdit,
    in_force: DocumentRevision,
) -> AcceptOutcome {
    let key = document_key(&edit.document.service);
    let mut unanswered = None;
    for _ in 0..MAX_PLANS {
        let (head, row) = match read_rows(store, &key).await {
            Ok(rows) => rows,
            Err(error) => return give_up(unanswered, &error),
        };
        let (write, change) = match plan_edit(edit, head.as_ref(), row.as_ref(), in_force) {
            Err(error) => return refuse(error),
            Ok(EditPlan::Accepted(revision)) => return AcceptOutcome::Repeated(revision),
            Ok(EditPlan::Conflict(current)) => return AcceptOutcome::Conflict(current),
            Ok(EditPlan::Write { write, change }) => (write, change),
        };
        match store.write(&write).await {
            Ok(WriteOutcome::Written) => return AcceptOutcome::Accepted(change),
            Ok(WriteOutcome::Conflict { .. }) => {}
            Err(error @ StoreError::Unavailable { .. }) => return give_up(unanswered, &error),
            Err(error) => unanswered = Some(error),
        }
    }
    match unanswered {
        Some(error) => AcceptOutcome::Unknown(error.to_string()),
        None => AcceptOutcome::Unavailable("other edits came between too often".to_owned()),
    }
}

/// The head row and the document row as they stand.
async fn read_rows<S: TableStore>(
    store: &S,
    key: &str,
) -> Result<(Option<TableRow>, Option<TableRow>), StoreError> {
    let head = store.get(HEAD_KEY).await?;
    let row = store.get(key).await?;
    Ok((head, row))
}

/// The outcome when the platform fails: unknown if an earlier write was not answered.
fn give_up(unanswered: Option<StoreError>, error: &StoreError) -> AcceptOutcome {
    match unanswered {
        Some(earlier) => AcceptOutcome::Unknown(earlier.to_string()),
        None => AcceptOutcome::Unavailable(error.to_string()),
    }
}

/// The outcome when the edit cannot be planned.
fn refuse(error: FollowError) -> AcceptOutcome {
    match error {
        FollowError::HeadBehind { .. } => AcceptOutcome::Unavailable(error.to_string()),
        _ => AcceptOutcome::Refused(error),
    }
}
