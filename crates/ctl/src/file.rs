//! The operator's file: a document, and the revision that it started from.
//!
//! `get` writes the revision as a comment, so that a file that was fetched, edited and applied
//! carries its own base. A comment is ignored by every other reader of the file.

use std::path::{Path, PathBuf};

use ggs_model::{DocumentRevision, ServiceDocument};
use ggs_settings::SettingsError;

/// Start of the comment that names the revision.
const REVISION_COMMENT: &str = "// revision:";

/// Why a file gave no document.
#[derive(Debug)]
pub(crate) enum FileError {
    /// The file could not be read or written.
    Failed { path: PathBuf, cause: String },
    /// The document has faults.
    Faulty(SettingsError),
}

/// A file with a valid document.
#[derive(Debug)]
pub(crate) struct DocumentFile {
    path: PathBuf,
    /// The file's text.
    pub(crate) text: String,
    /// The document.
    pub(crate) document: ServiceDocument,
}

impl DocumentFile {
    /// Reads and checks a file.
    pub(crate) fn read(path: &Path) -> Result<Self, FileError> {
        let path = path.to_owned();
        let text = match std::fs::read_to_string(&path) {
            Ok(text) => text,
            Err(error) => {
                let cause = error.to_string();
                return Err(FileError::Failed { path, cause });
            }
        };
        let name = path.display().to_string();
        let document = ggs_settings::read_document(&name, &text).map_err(FileError::Faulty)?;
        Ok(Self {
            path,
            text,
            document,
        })
    }

    /// The revision that the file's comment names.
    pub(crate) fn base(&self) -> Option<DocumentRevision> {
        self.text.lines().find_map(comment_revision)
    }

    /// Writes the file again with `revision` in its comment.
    pub(crate) fn update(&self, revision: DocumentRevision) -> Result<(), FileError> {
        let comment = revision_comment(revision);
        let mut lines: Vec<&str> = self.text.lines().collect();
        match lines
            .iter_mut()
            .find(|line| comment_revision(line).is_some())
        {
            Some(line) => *line = &comment,
            None => lines.insert(0, &comment),
        }
        let text = lines.join("\n") + "\n";
        std::fs::write(&self.path, text).map_err(|error| FileError::Failed {
            path: self.path.clone(),
            cause: error.to_string(),
        })
    }
}

/// The comment that names a revision.
pub(crate) fn revision_comment(revision: DocumentRevision) -> String {
    format!("{REVISION_COMMENT} {}", revision.0)
}

/// The revision that a line names, if it is such a comment and nothing else.
fn comment_revision(line: &str) -> Option<DocumentRevision> {
    let number = line.trim().strip_prefix(REVISION_COMMENT)?;
    number.trim().parse().ok().map(DocumentRevision)
}
