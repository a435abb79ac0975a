//! Monotonic spread of accepted service documents.
//!
//! Each gate keeps a [`DocumentBook`]: the documents in force and the fleet revision up to which it
//! holds every accepted change. The table decides what is accepted ([`plan_edit`] turns an edit into
//! one conditional write); books only ever move up, so copies that come late, twice or from a
//! lagging gate change nothing. A book takes changes in whole [`ChangeSet`]s: a set that starts
//! above the book's own revision leaves a gap, and the book asks for the changes it lacks instead.
//!
//! Applying single documents as they come was tried first; it never reverts a service either, but a
//! gate can then not say up to which revision it is complete, and "in force everywhere" has no
//! cheap test.

mod accept;
mod book;
mod edit;
mod error;
mod wire;

pub use accept::{AcceptOutcome, accept_edit};
pub use book::{
    BookFreshness, BookOutcome, ChangeSet, DocumentBook, FleetDigest, HeadPlan, STALE_AFTER,
};
pub use edit::{AcceptedDocument, AcceptedEdit, DocumentEdit, EditPlan, plan_edit};
pub use error::FollowError;
pub use wire::{
    DocumentRow, DocumentsHead, EditEntry, HEAD_KEY, document_key, read_document_row, read_head,
};
