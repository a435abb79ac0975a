//! Types that all other crates share: names, identities, time, request classes, run verdicts,
//! service documents and the messages of the operators' API.
//!
//! The types do no I/O and depend on no async runtime, so that every crate can use them. Code that
//! makes decisions takes the current time as a [`Moment`] argument; only adapters read a clock.

mod class;
mod clock;
mod document;
mod edit;
mod headers;
mod identity;
mod names;
mod operator;
mod server;
mod verdict;

pub use class::RequestClass;
pub use clock::{BootClock, Clock, ManualClock, Moment, WallTime};
pub use document::{
    ClassLimits, DocumentRevision, MeasuringBudget, RequestRule, ServiceDocument, VersionedDocument,
};
pub use edit::{EditId, ParseEditError};
pub use headers::HeaderNames;
pub use identity::{GateId, Incarnation, ServerId};
pub use names::{DataCentre, HostName, PartnerName, ServiceName};
pub use operator::{
    AnswerFailure, BillAnswer, BillRow, DocumentStatus, EditAnswer, EditConflict, EditFault,
    EditFaults, EditRequest, PeerStatus, StatusAnswer,
};
pub use server::{LoadReport, ParseReportError, ServerEntry, ServerState};
pub use verdict::RunVerdict;
