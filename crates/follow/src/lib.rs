//! Replication of accepted service documents to every gate.
//!
//! The platform's table is the source of truth: [`plan_edit`] turns an operator's edit into one
//! conditional write, and each accepted edit raises the fleet revision by one. Each gate keeps a
//! [`DocumentReplica`]: the documents in force and the fleet revision up to which it has every
//! accepted change. Revisions in a replica never go back, so changes that arrive late, twice or
//! from a gate that lags have no effect.
//!
//! A replica applies changes in whole [`ChangeSet`]s. A set that starts above the replica's own
//! revision leaves a gap; the replica rejects it and asks for the changes that it lacks. Applying
//! single documents as they arrive never reverts a service either, but a gate then cannot say up to
//! which revision it is complete, and there is no cheap test of whether a change is in force at
//! every gate.

mod accept;
mod edit;
mod error;
mod replica;
mod wire;

pub use accept::{AcceptOutcome, accept_edit};
pub use edit::{AcceptedDocument, AcceptedEdit, DocumentEdit, EditPlan, plan_edit};
pub use error::DocumentError;
pub use replica::{
    ApplyOutcome, CatchUpPlan, ChangeSet, DocumentReplica, FleetDigest, ReplicaFreshness,
    STALE_AFTER,
};
pub use wire::{
    DocumentRow, DocumentsHead, EditEntry, HEAD_KEY, document_key, read_document_row, read_head,
};
