//! Differences between two documents.

use ggs_model::{ServiceDocument, VersionedDocument};
use ggs_settings::print_document;
use similar::TextDiff;

/// Unchanged lines shown around a difference.
const CONTEXT_LINES: usize = 2;

/// What differs between the document as it stands and the one in `file`, as a unified diff; empty
/// if nothing does.
///
/// Both are printed the same way first, so that comments, order and spaces do not count.
pub(crate) fn difference(
    current: Option<&VersionedDocument>,
    file: &str,
    document: &ServiceDocument,
) -> String {
    let service = &document.service;
    let (name, old) = match current {
        Some(current) => {
            let name = format!("{service} revision {}", current.revision.0);
            (name, print_document(&current.document))
        }
        None => (format!("{service} (no document)"), String::new()),
    };
    let new = print_document(document);
    let changes = TextDiff::from_lines(old.as_str(), new.as_str());
    let mut printed = changes.unified_diff();
    printed
        .context_radius(CONTEXT_LINES)
        .header(&name, file)
        .missing_newline_hint(false);
    printed.to_string()
}
