//! Names, times, classes, verdicts and service documents shared by all parts.
//!
//! Every other crate speaks in these types, so they carry no I/O and depend on no runtime. Decisions
//! take a [`Moment`] as an argument; only adapters read a clock.

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
