//! JSON forms of rows.

use std::collections::BTreeMap;
use std::sync::Arc;

use ggs_model::{DocumentRevision, EditId, ServiceDocument, ServiceName, VersionedDocument};
use ggs_store::TableRow;
use serde::{Deserialize, Serialize};

use crate::{AcceptedDocument, AcceptedEdit, FollowError};

/// Key of the head row.
pub const HEAD_KEY: &str = "documents/head";

/// Key of the row that holds the document of `service`.
///
/// ```
/// assert_eq!(ggs_follow::document_key(&"ledger".into()), "documents/service/ledger");
/// ```
pub fn document_key(service: &ServiceName) -> String {
    format!("documents/service/{service}")
}

/// The head row: the newest revision of all, and of each service.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DocumentsHead {
    /// Revision of the newest accepted change.
    pub fleet: DocumentRevision,
    /// Revision of each service's document.
    pub services: BTreeMap<ServiceName, DocumentRevision>,
}

/// JSON form of an [`AcceptedDocument`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DocumentRow {
    /// When the document was accepted.
    pub revision: DocumentRevision,
    /// The document.
    pub document: Arc<ServiceDocument>,
    /// The newest accepted edits of the service, newest first.
    #[serde(default)]
    pub edits: Vec<EditEntry>,
}

/// JSON form of an [`AcceptedEdit`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditEntry {
    /// The edit's id.
    id: EditId,
    /// The revision that it was accepted as.
    revision: DocumentRevision,
    /// Fingerprint of its document, in hexadecimal digits.
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
    type Error = FollowError;

    fn try_from(entry: EditEntry) -> Result<Self, Self::Error> {
        let fingerprint = u64::from_str_radix(&entry.fingerprint, 16);
        let fingerprint = fingerprint.map_err(|error| FollowError::BadRow {
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
    type Error = FollowError;

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

/// Reads the head row; a missing row is an empty head.
///
/// # Errors
///
/// The row's value is not a head.
pub fn read_head(row: Option<&TableRow>) -> Result<DocumentsHead, FollowError> {
    let Some(row) = row else {
        return Ok(DocumentsHead::default());
    };
    DocumentsHead::deserialize(&row.value).map_err(|error| bad_row(row, &error))
}

/// Reads the row of a service's document.
///
/// # Errors
///
/// The row's value is not a document, or is the document of another service.
pub fn read_document_row(row: &TableRow) -> Result<AcceptedDocument, FollowError> {
    let value = DocumentRow::deserialize(&row.value).map_err(|error| bad_row(row, &error))?;
    let accepted = AcceptedDocument::try_from(value)?;
    if document_key(accepted.service()) != row.key {
        return Err(FollowError::BadRow {
            key: row.key.clone(),
            cause: format!("holds the document of service \"{}\"", accepted.service()),
        });
    }
    Ok(accepted)
}

/// An error that names the row.
fn bad_row(row: &TableRow, error: &serde_json::Error) -> FollowError {
    FollowError::BadRow {
        key: row.key.clone(),
        cause: error.to_string(),
    }
}
