//! Errors in stored documents and in edits.

use std::fmt;

use ggs_model::{DocumentRevision, EditId, ServiceName};

/// Why documents could not be read or an edit could not be planned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DocumentError {
    /// A row's value cannot be decoded, or does not belong under the row's key.
    BadRow {
        /// Key of the row, or `edit ID` for an edit that a row lists.
        key: String,
        /// Description of the problem.
        cause: String,
    },
    /// The head row names a document whose row is missing or older than the head says.
    MissingDocument {
        /// The service whose document is missing.
        service: ServiceName,
        /// The revision that the head row names.
        revision: DocumentRevision,
    },
    /// The table's head is older than the documents in force, as after the table was restored from
    /// a backup.
    HeadBehind {
        /// Fleet revision of the head row.
        head: DocumentRevision,
        /// Fleet revision that this gate has reached.
        in_force: DocumentRevision,
    },
    /// The edit id was used before, for another base or document.
    EditIdReused {
        /// The reused id.
        edit: EditId,
    },
}

impl fmt::Display for DocumentError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BadRow { key, cause } => write!(formatter, "row \"{key}\": {cause}"),
            Self::MissingDocument { service, revision } => write!(
                formatter,
                "head names revision {} of service \"{service}\", but the row of that service is missing or older",
                revision.0
            ),
            Self::HeadBehind { head, in_force } => write!(
                formatter,
                "the table's head is at revision {}, below revision {} in force here; \
                 was the table restored from a backup?",
                head.0, in_force.0
            ),
            Self::EditIdReused { edit } => write!(
                formatter,
                "edit id {edit} was used before for another document; draw a new one"
            ),
        }
    }
}

impl std::error::Error for DocumentError {}
