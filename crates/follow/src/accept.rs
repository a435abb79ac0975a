//! Carrying an edit through the table.

use ggs_model::DocumentRevision;
use ggs_store::{StoreError, TableRow, TableStore, WriteOutcome};

use crate::{
    ChangeSet, DocumentEdit, EditAnswer, EditPlan, FollowError, HEAD_KEY, document_key, plan_edit,
};

/// Times that an edit is planned anew when edits of other services come between.
const MAX_PLANS: u32 = 8;

/// Commits an edit; returns the answer for the operator and, once committed here, the change.
///
/// Nothing is lost when the answer of a write is: the rows are read again, and the row's list of
/// edits says whether this one took effect. `in_force` is the fleet revision that the gate holds.
pub async fn accept_edit<S: TableStore>(
    store: &S,
    edit: &DocumentEdit,
    in_force: DocumentRevision,
) -> (EditAnswer, Option<ChangeSet>) {
    let key = document_key(&edit.document.service);
    let mut unanswered = None;
    for _ in 0..MAX_PLANS {
        let rows = read_rows(store, &key).await;
        let (head, row) = match rows {
            Ok(rows) => rows,
            Err(error) => return (give_up(unanswered, &error), None),
        };
        match plan_edit(edit, head.as_ref(), row.as_ref(), in_force) {
            Err(error) => return (refuse(&error), None),
            Ok(EditPlan::Accepted(revision)) => {
                return (EditAnswer::Accepted { revision }, None);
            }
            Ok(EditPlan::Conflict(current)) => return (EditAnswer::Conflict { current }, None),
            Ok(EditPlan::Write { write, change }) => match store.write(&write).await {
                Ok(WriteOutcome::Written) => {
                    let revision = change.upto;
                    return (EditAnswer::Accepted { revision }, Some(change));
                }
                Ok(WriteOutcome::Conflict { .. }) => {}
                Err(error @ StoreError::Unavailable { .. }) => {
                    return (give_up(unanswered, &error), None);
                }
                Err(error) => unanswered = Some(error),
            },
        }
    }
    let reason = "edits of other services came between too often".to_owned();
    match unanswered {
        Some(_) => (EditAnswer::Unknown { reason }, None),
        None => (EditAnswer::Unavailable { reason }, None),
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

/// The answer when the platform fails: unknown if an earlier write was not answered.
fn give_up(unanswered: Option<StoreError>, error: &StoreError) -> EditAnswer {
    match unanswered {
        Some(earlier) => EditAnswer::Unknown {
            reason: earlier.to_string(),
        },
        None => EditAnswer::Unavailable {
            reason: error.to_string(),
        },
    }
}

/// The answer when the edit cannot be planned.
fn refuse(error: &FollowError) -> EditAnswer {
    let reason = error.to_string();
    match error {
        FollowError::HeadBehind { .. } | FollowError::MissingDocument { .. } => {
            EditAnswer::Unavailable { reason }
        }
        _ => EditAnswer::Refused { reason },
    }
}
