//! Plans the table write that accepts an edit.
//!
//! Decides whether an edit is new, a repeat of one accepted before, or in conflict with another,
//! from the rows alone and without I/O. Each document row lists the latest edits of its service, so
//! that a client that got no answer can send the same edit again safely.

use std::hash::BuildHasher;
use std::sync::Arc;

use foldhash::quality::FixedState;
use ggs_model::{DocumentRevision, EditId, ServiceDocument, ServiceName, VersionedDocument};
use ggs_store::{RowCheck, RowPut, RowVersion, TableRow, TableWrite};
use serde::Serialize;

use crate::{
    ChangeSet, DocumentError, DocumentRow, HEAD_KEY, document_key, read_document_row, read_head,
};

/// How many accepted edits a document row lists, so that an edit that is sent again is recognised.
const MAX_REMEMBERED_EDITS: usize = 16;

/// An operator's edit of one document.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentEdit {
    /// Id that the operator's client chose; the same for each retry of the edit.
    pub id: EditId,
    /// Revision of the document that the operator edited; 0 for a new service.
    pub base: DocumentRevision,
    /// The whole new document.
    pub document: Arc<ServiceDocument>,
}

/// An edit that was accepted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedEdit {
    /// Id that the operator's client chose.
    pub id: EditId,
    /// Fleet revision as which the edit was accepted.
    pub revision: DocumentRevision,
    /// Hash of its base and document; tells a retry from another edit with the same id.
    pub fingerprint: u64,
}

/// An accepted document with the latest edits that led to it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AcceptedDocument {
    /// The document and its revision.
    pub versioned: VersionedDocument,
    /// The latest accepted edits of the service, newest first.
    pub edits: Vec<AcceptedEdit>,
}

impl AcceptedDocument {
    /// Returns the service that the document configures.
    pub fn service(&self) -> &ServiceName {
        &self.versioned.document.service
    }

    /// Returns the fleet revision as which the document was accepted.
    pub fn revision(&self) -> DocumentRevision {
        self.versioned.revision
    }
}

/// What to do with an edit.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EditPlan {
    /// The edit has been accepted before, as this revision; there is nothing to write.
    Accepted(DocumentRevision),
    /// Another edit was accepted first. Holds the current document, or `None` if the service has
    /// none.
    Conflict(Option<VersionedDocument>),
    /// The edit is new; this conditional write accepts it.
    Write {
        /// The write; it fails if either row has changed since it was read.
        write: TableWrite,
        /// The change that the write makes if it takes effect.
        change: ChangeSet,
    },
}

/// Turns an edit into a write, given the head row and the service's document row as just read.
///
/// The write checks the versions of both rows, so of two edits that were planned on the same rows
/// at most one takes effect. A write whose answer was lost can be planned again: if it took effect,
/// the plan is [`EditPlan::Accepted`]; if it is still delayed, it can no longer take effect after
/// the new write.
///
/// # Errors
///
/// A row cannot be decoded, the id was used for another edit, or the head is older than `in_force`,
/// the fleet revision that the gate has reached. In the last case the table was probably restored
/// from a backup, and would assign revisions that gates already know as other changes.
pub fn plan_edit(
    edit: &DocumentEdit,
    head_row: Option<&TableRow>,
    document_row: Option<&TableRow>,
    in_force: DocumentRevision,
) -> Result<EditPlan, DocumentError> {
    let mut head = read_head(head_row)?;
    let current = document_row.map(read_document_row).transpose()?;
    let fingerprint = fingerprint(edit);
    if let Some(earlier) = find_edit(current.as_ref(), edit.id) {
        if earlier.fingerprint == fingerprint {
            return Ok(EditPlan::Accepted(earlier.revision));
        }
        return Err(DocumentError::EditIdReused { edit: edit.id });
    }
    if head.fleet < in_force {
        return Err(DocumentError::HeadBehind {
            head: head.fleet,
            in_force,
        });
    }
    let revision = current.as_ref().map(AcceptedDocument::revision);
    if revision.unwrap_or_default() != edit.base {
        return Ok(EditPlan::Conflict(current.map(|current| current.versioned)));
    }
    let after = head.fleet;
    let up_to = DocumentRevision(after.0 + 1);
    let accepted = next_document(edit, current, up_to, fingerprint);
    head.fleet = up_to;
    head.services.insert(accepted.service().clone(), up_to);
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
        up_to,
        documents: vec![accepted],
    };
    Ok(EditPlan::Write { write, change })
}

/// Returns the document and its list of edits after `edit` is accepted as `revision`.
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

/// Returns the accepted edit with this id, if the row still lists it.
fn find_edit(current: Option<&AcceptedDocument>, id: EditId) -> Option<&AcceptedEdit> {
    current?.edits.iter().find(|edit| edit.id == id)
}

/// Hashes the base and the document; the base is the seed. Edits with different content have
/// different hashes but for rare collisions.
fn fingerprint(edit: &DocumentEdit) -> u64 {
    let text = serde_json::to_string(&edit.document).unwrap_or_default();
    FixedState::with_seed(edit.base.0).hash_one(text)
}

/// Returns the condition that a row has not changed since it was read; version 0 means no row.
fn row_check(key: String, row: Option<&TableRow>) -> RowCheck {
    let version = row.map_or(RowVersion(0), |row| row.version);
    RowCheck { key, version }
}

/// Returns the write of one row, with `value` encoded as JSON.
fn row_put<T: Serialize>(key: String, value: &T) -> Result<RowPut, DocumentError> {
    match serde_json::to_value(value) {
        Ok(value) => Ok(RowPut { key, value }),
        Err(error) => Err(DocumentError::BadRow {
            key,
            cause: error.to_string(),
        }),
    }
}
