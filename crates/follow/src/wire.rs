//! JSON encoding of the rows that hold documents in the table.
//!
//! The head row names the newest revision of each service, so a gate finds out with one read which
//! document rows it has to read. The encoding of a document row is also used between gates.

use std::collections::BTreeMap;
use std::sync::Arc;

use ggs_model::{DocumentRevision, EditId, ServiceDocument, ServiceName, VersionedDocument};
use ggs_store::TableRow;
use serde::{Deserialize, Serialize};

use crate::{AcceptedDocument, AcceptedEdit, DocumentError};

/// Key of the head row, a [`DocumentsHead`].
pub const HEAD_KEY: &str = "documents/head";

/// Key of the row that holds the document of `service`.
///
/// ```
/// assert_eq!(ggs_follow::document_key(&"ledger".into()), "documents/service/ledger");
/// ```
pub fn document_key(service: &ServiceName) -> String {
    format!("documents/service/{service}")
}

/// Value of the head row: the fleet revision, and the newest revision of each service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DocumentsHead {
    /// Fleet revision: the revision of the newest accepted change of any service.
    pub fleet: DocumentRevision,
    /// Revision of each service's document.
    pub services: BTreeMap<ServiceName, DocumentRevision>,
}

/// JSON form of an [`AcceptedDocument`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DocumentRow {
    /// Fleet revision as which the document was accepted.
    pub revision: DocumentRevision,
    /// The service document.
    pub document: Arc<ServiceDocument>,
    /// The latest accepted edits of the service, newest first; empty if the row does not list any.
    #[serde(default)]
    pub edits: Vec<EditEntry>,
}

/// JSON form of an [`AcceptedEdit`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditEntry {
    /// Id that the operator's client chose.
    id: EditId,
    /// Fleet revision as which the edit was accepted.
    revision: DocumentRevision,
    /// Fingerprint of its base and document, in hexadecimal digits.
    fingerprint: String,
}

impl From<&AcceptedDocument> for DocumentRow {
    fn from(accepted: &AcceptedDocument) -> Self {
        let entry = |edit: &AcceptedEdit| EditEntry {
            id: edit.id,
            revision: edit.revision,
            fingerprint: format!("{:016x}", edit.fingerprint),
        };
        Self {
            revision: accepted.versioned.revision,
            document: Arc::clone(&accepted.versioned.document),
            edits: accepted.edits.iter().map(entry).collect(),
        }
    }
}

impl TryFrom<EditEntry> for AcceptedEdit {
    type Error = DocumentError;

    fn try_from(entry: EditEntry) -> Result<Self, Self::Error> {
        let fingerprint = u64::from_str_radix(&entry.fingerprint, 16);
        let fingerprint = fingerprint.map_err(|error| DocumentError::BadRow {
            key: format!("edit {}", entry.id),
            cause: error.to_string(),
        })?;
        Ok(Self {
            id: entry.id,
            revision: entry.revision,
            fingerprint,
        })
    }
}

impl TryFrom<DocumentRow> for AcceptedDocument {
    type Error = DocumentError;

    fn try_from(row: DocumentRow) -> Result<Self, Self::Error> {
        let edits: Result<Vec<_>, _> = row.edits.into_iter().map(TryInto::try_into).collect();
        Ok(Self {
            versioned: VersionedDocument {
                revision: row.revision,
                document: row.document,
            },
            edits: edits?,
        })
    }
}

/// Decodes the head row; a missing row is an empty head, as in a table without documents.
///
/// # Errors
///
/// The row's value is not a valid head.
pub fn read_head(row: Option<&TableRow>) -> Result<DocumentsHead, DocumentError> {
    let Some(row) = row else {
        return Ok(DocumentsHead::default());
    };
    DocumentsHead::deserialize(&row.value).map_err(|error| decode_error(row, &error))
}

/// Decodes the row of a service's document.
///
/// # Errors
///
/// The row's value is not a valid document, or the document belongs to a service other than the one
/// in the row's key.
pub fn read_document_row(row: &TableRow) -> Result<AcceptedDocument, DocumentError> {
    let value = DocumentRow::deserialize(&row.value).map_err(|error| decode_error(row, &error))?;
    let accepted = AcceptedDocument::try_from(value)?;
    if document_key(accepted.service()) != row.key {
        return Err(DocumentError::BadRow {
            key: row.key.clone(),
            cause: format!("holds the document of service \"{}\"", accepted.service()),
        });
    }
    Ok(accepted)
}

/// Returns the error for a row whose value cannot be decoded.
fn decode_error(row: &TableRow, error: &serde_json::Error) -> DocumentError {
    DocumentError::BadRow {
        key: row.key.clone(),
        cause: error.to_string(),
    }
}
