//! Messages between operators and a gate (JSON over HTTP).
//!
//! | Request | Body | Answers |
//! |---|---|---|
//! | `PUT /v1/documents/{service}` | [`EditRequest`] | 200 [`EditAnswer`], 400 [`EditFaults`], 409 [`EditConflict`], 503 and 504 [`AnswerFailure`] |
//! | `GET /v1/documents/{service}` | | 200 [`VersionedDocument`], 404 |
//! | `GET /v1/status` | | 200 [`StatusAnswer`] |
//! | `GET /v1/bill` | | 200 [`BillAnswer`], 503 [`AnswerFailure`] |
//!
//! 503 promises that nothing was written. 504 means that the edit may have been written; the same
//! request, with the same [`EditId`], may be sent again to any gate and takes effect once. Readers
//! of answers ignore fields that they do not know, so that hosts can be replaced one by one.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    DataCentre, DocumentRevision, EditId, GateId, PartnerName, ServiceName, VersionedDocument,
};

/// A change of one service's document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditRequest {
    /// Revision of the document that the edit starts from; 0 for a service without a document.
    pub base: DocumentRevision,
    /// Identity of the edit; the same when the edit is sent again.
    pub edit: EditId,
    /// The new document, as JSON with comments.
    pub text: String,
}

/// The edit is accepted: it is in the platform's table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditAnswer {
    /// The service.
    pub service: ServiceName,
    /// Revision that the edit took.
    pub revision: DocumentRevision,
    /// Whether this edit had been accepted before, so that nothing was written now.
    #[serde(default)]
    pub repeated: bool,
}

/// One fault of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditFault {
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1.
    pub column: usize,
    /// Field path, for example `rules[0].method`; empty for a fault of syntax.
    pub field: String,
    /// What is wrong and what is expected.
    pub message: String,
}

/// The document is faulty; nothing was written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditFaults {
    /// Every fault, in the order of the text.
    pub faults: Vec<EditFault>,
}

/// Another edit won; nothing was written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditConflict {
    /// The document as it stands; `None` if the service has none.
    pub current: Option<VersionedDocument>,
}

/// Why an edit or a question has no result.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerFailure {
    /// What failed.
    pub message: String,
}

/// A document as one gate has it in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentStatus {
    /// The service.
    pub service: ServiceName,
    /// The partner that owns it.
    pub partner: PartnerName,
    /// Revision in force at the gate.
    pub revision: DocumentRevision,
}

/// A gate as another gate sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// The run of the gate.
    pub gate: GateId,
    /// Data centre of its host.
    pub data_centre: DataCentre,
    /// Address for callers and operators.
    pub callers: SocketAddr,
    /// Whether it is handed out to callers.
    pub live: bool,
    /// Milliseconds since its last heartbeat arrived.
    pub heard_ms: u64,
}

/// What one gate knows and has in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusAnswer {
    /// The gate that answers.
    pub gate: GateId,
    /// Data centre of its host.
    pub data_centre: DataCentre,
    /// Address for callers and operators.
    pub callers: SocketAddr,
    /// Whether the gate drains.
    pub draining: bool,
    /// Highest revision of the whole fleet that the gate has heard of, from the table or a peer.
    pub fleet: DocumentRevision,
    /// Milliseconds since the documents were last compared with the platform's table; `None`
    /// before the first time.
    pub table_read_ms: Option<u64>,
    /// Whether the gate is cut off from both the table and its peers, so that its documents may
    /// be out of date.
    pub stale: bool,
    /// Documents in force, in order of service.
    pub documents: Vec<DocumentStatus>,
    /// The other gates, in order of host.
    pub peers: Vec<PeerStatus>,
}

impl StatusAnswer {
    /// The revision that the gate has in force for `service`.
    pub fn in_force(&self, service: &ServiceName) -> Option<DocumentRevision> {
        let document = self.documents.iter().find(|row| row.service == *service);
        document.map(|row| row.revision)
    }
}

/// What measuring one service's servers cost on one day.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillRow {
    /// The partner that pays.
    pub partner: PartnerName,
    /// The service.
    pub service: ServiceName,
    /// Start of the day, in milliseconds since the Unix epoch.
    pub window_start_ms: u64,
    /// Length of a day in milliseconds.
    pub window_ms: u64,
    /// Probes that the document allowed in the windows of the day up to the last debit.
    pub allowed: u64,
    /// Probes granted to gates; never less than those that servers saw.
    pub granted: u64,
    /// Probes that gates sent: exact once all have settled, else an upper bound.
    pub spent: u64,
}

/// What measuring cost, by partner, service and day.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillAnswer {
    /// Rows in order of partner, service and day.
    pub rows: Vec<BillRow>,
}
