//! Edits, and the table writes that accept them.

use std::hash::BuildHasher;
use std::sync::Arc;

use foldhash::quality::FixedState;
use ggs_model::{DocumentRevision, EditId, ServiceDocument, ServiceName, VersionedDocument};
use ggs_store::{RowCheck, RowPut, RowVersion, TableRow, TableWrite};
use serde::Serialize;

use crate::{
    ChangeSet, DocumentRow, FollowError, HEAD_KEY, document_key, read_document_row, read_head,
};

/// Edits that a document row remembers, so that an edit sent again is recognised.
const MAX_REMEMBERED_EDITS: usize = 16;

/// An operator's edit of one document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentEdit {
    /// Id of the edit.
    pub id: EditId,
    /// Revision of the document that the operator started from; 0 for a new service.
    pub base: DocumentRevision,
    /// The whole new document.
    pub document: Arc<ServiceDocument>,
}

/// An edit that was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedEdit {
    /// Id of the edit.
    pub id: EditId,
    /// The revision that it was accepted as.
    pub revision: DocumentRevision,
    /// Fingerprint of its base and document.
    pub fingerprint: u64,
}

/// An accepted document with the edits that led to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedDocument {
    /// The document and its revision.
    pub versioned: VersionedDocument,
    /// The newest accepted edits of the service, newest first.
    pub edits: Vec<AcceptedEdit>,
}

impl AcceptedDocument {
    /// The service that the document is for.
    pub fn service(&self) -> &ServiceName {
        &self.versioned.document.service
    }

    /// When the document was accepted.
    pub fn revision(&self) -> DocumentRevision {
        self.versioned.revision
    }
}

/// What to do about an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditPlan {
    /// The edit was accepted before, as this revision.
    Accepted(DocumentRevision),
    /// Another edit came first; the document as it stands.
    Conflict(Option<VersionedDocument>),
    /// The write that accepts the edit, and the change that it makes.
    Write {
        /// The write.
        write: TableWrite,
        /// The change once the write has taken effect.
        change: ChangeSet,
    },
}

/// Turns an edit into a write, given the head row and the service's row as just read.
///
/// The write checks both rows' versions, so of two edits planned on the same rows at most one takes
/// effect, and a write whose answer was lost can be planned anew: either it had taken effect and the
/// plan is [`EditPlan::Accepted`], or the late copy of it can no longer take effect after the new one.
///
/// # Errors
///
/// A row cannot be read, the id was used for another document, or the head is older than `in_force`,
/// the fleet revision that the gate holds: a restored table would hand out revisions that gates
/// already know as something else.
pub fn plan_edit(
    edit: &DocumentEdit,
    head_row: Option<&TableRow>,
    document_row: Option<&TableRow>,
    in_force: DocumentRevision,
) -> Result<EditPlan, FollowError> {
    let mut head = read_head(head_row)?;
    let current = document_row.map(read_document_row).transpose()?;
    let fingerprint = fingerprint(edit);
    if let Some(earlier) = find_edit(current.as_ref(), edit.id) {
        if earlier.fingerprint == fingerprint {
            return Ok(EditPlan::Accepted(earlier.revision));
        }
        return Err(FollowError::EditIdReused { edit: edit.id });
    }
    if head.fleet < in_force {
        return Err(FollowError::HeadBehind {
            head: head.fleet,
            in_force,
        });
    }
    let revision = current.as_ref().map(AcceptedDocument::revision);
    if revision.unwrap_or_default() != edit.base {
        return Ok(EditPlan::Conflict(current.map(|current| current.versioned)));
    }
    let after = head.fleet;
    let upto = DocumentRevision(after.0 + 1);
    let accepted = next_document(edit, current, upto, fingerprint);
    head.fleet = upto;
    head.services.insert(accepted.service().clone(), upto);
    let key = document_key(accepted.service());
    let write = TableWrite {
        checks: vec![
            row_check(HEAD_KEY.to_owned(), head_row),
            row_check(key.clone(), document_row),
        ],
        puts: vec![
            row_put(HEAD_KEY.to_owned(), &head)?,
            row_put(key, &DocumentRow::from(&accepted))?,
        ],
    };
    let change = ChangeSet {
        after,
        upto,
        documents: vec![accepted],
    };
    Ok(EditPlan::Write { write, change })
}

/// The document as it stands once `edit` is accepted as `revision`.
fn next_document(
    edit: &DocumentEdit,
    current: Option<AcceptedDocument>,
    revision: DocumentRevision,
    fingerprint: u64,
) -> AcceptedDocument {
    let mut edits = current.map(|current| current.edits).unwrap_or_default();
    let accepted = AcceptedEdit {
        id: edit.id,
        revision,
        fingerprint,
    };
    edits.insert(0, accepted);
    edits.truncate(MAX_REMEMBERED_EDITS);
    AcceptedDocument {
        versioned: VersionedDocument {
            revision,
            document: Arc::clone(&edit.document),
        },
        edits,
    }
}

/// The accepted edit with this id, if the row still remembers it.
fn find_edit(current: Option<&AcceptedDocument>, id: EditId) -> Option<&AcceptedEdit> {
    current?.edits.iter().find(|edit| edit.id == id)
}

/// A number that differs, all but surely, between edits with different content.
fn fingerprint(edit: &DocumentEdit) -> u64 {
    let text = serde_json::to_string(&edit.document).unwrap_or_default();
    FixedState::with_seed(edit.base.0).hash_one(text)
}

/// The condition that a row is still as read.
fn row_check(key: String, row: Option<&TableRow>) -> RowCheck {
    let version = row.map_or(RowVersion(0), |row| row.version);
    RowCheck { key, version }
}

/// A put of `value` in its JSON form.
fn row_put<T: Serialize>(key: String, value: &T) -> Result<RowPut, FollowError> {
    match serde_json::to_value(value) {
        Ok(value) => Ok(RowPut { key, value }),
        Err(error) => Err(FollowError::BadRow {
            key,
            cause: error.to_string(),
        }),
    }
}
