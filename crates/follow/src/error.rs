//! Faults in stored documents and edits.

use std::fmt;

use ggs_model::{DocumentRevision, EditId, ServiceName};

/// Why documents could not be read or an edit could not be planned.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FollowError {
    /// A row's value is not what its key promises.
    BadRow {
        /// Key of the row.
        key: String,
        /// What is wrong with it.
        cause: String,
    },
    /// The head row names a document whose row is missing or older than the head says.
    MissingDocument {
        /// The service.
        service: ServiceName,
        /// The revision that the head row names.
        revision: DocumentRevision,
    },
    /// The table's head is older than the documents in force.
    HeadBehind {
        /// Fleet revision of the head row.
        head: DocumentRevision,
        /// Fleet revision in force at this gate.
        in_force: DocumentRevision,
    },
    /// The edit id was used before for another document.
    EditIdReused {
        /// The id.
        edit: EditId,
    },
}

impl fmt::Display for FollowError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::BadRow { key, cause } => write!(formatter, "row \"{key}\": {cause}"),
            Self::MissingDocument { service, revision } => write!(
                formatter,
                "head names revision {} of service \"{service}\", but its row is not there yet",
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

impl std::error::Error for FollowError {}
