//! Messages of the API that operators use to edit documents and to inspect a gate (JSON over HTTP).
//!
//! | Request | Body | Answers |
//! |---|---|---|
//! | `PUT /v1/documents/{service}` | [`EditRequest`] | 200 [`EditAnswer`], 400 [`EditFaults`], 409 [`EditConflict`], 503 and 504 [`AnswerFailure`] |
//! | `GET /v1/documents/{service}` | | 200 [`VersionedDocument`], 404 |
//! | `GET /v1/status` | | 200 [`StatusAnswer`] |
//! | `GET /v1/bill` | | 200 [`BillAnswer`], 503 [`AnswerFailure`] |
//!
//! 503 guarantees that nothing was written. After 504 the edit may have been written; the client
//! may retry the request with the same [`EditId`] at any gate, and the edit takes effect once.
//! Clients ignore unknown fields in answers, so that gates can be upgraded one host at a time.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::{
    DataCentre, DocumentRevision, EditId, GateId, PartnerName, ServiceName, VersionedDocument,
};

/// A request to replace one service's document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EditRequest {
    /// Revision of the document that the edit starts from; 0 for a service without a document.
    pub base: DocumentRevision,
    /// Id of the edit; a retry carries the same id.
    pub edit: EditId,
    /// The new document, as JSON with comments.
    pub text: String,
}

/// Answer to an accepted edit, which is now in the platform's table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditAnswer {
    /// Service whose document was edited.
    pub service: ServiceName,
    /// Revision that the edit was given.
    pub revision: DocumentRevision,
    /// Whether the edit was already accepted earlier, so that this request wrote nothing.
    #[serde(default)]
    pub repeated: bool,
}

/// One error in a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditFault {
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1.
    pub column: usize,
    /// Field path, for example `rules[0].method`; empty for a syntax error.
    pub field: String,
    /// What is wrong and what is expected.
    pub message: String,
}

/// Answer to an edit whose document has errors; nothing was written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditFaults {
    /// All errors, in order of their position in the text.
    pub faults: Vec<EditFault>,
}

/// Answer to an edit whose base revision is no longer the current one; nothing was written.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EditConflict {
    /// Current document; `None` if the service has none.
    pub current: Option<VersionedDocument>,
}

/// Answer to an edit or a query that failed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerFailure {
    /// What failed.
    pub message: String,
}

/// Which revision of a document a gate applies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DocumentStatus {
    /// Service that the document configures.
    pub service: ServiceName,
    /// Partner that owns the service.
    pub partner: PartnerName,
    /// Revision that is in force at the gate.
    pub revision: DocumentRevision,
}

/// State of a gate as another gate sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerStatus {
    /// Gate that the state is about.
    pub gate: GateId,
    /// Data centre of the gate's host.
    pub data_centre: DataCentre,
    /// Address on which the gate serves callers and operators.
    pub callers: SocketAddr,
    /// Whether the gate is live and advertised to callers.
    pub live: bool,
    /// Milliseconds since the last heartbeat of the gate was received.
    pub heard_ms: u64,
}

/// State of one gate: its documents, their staleness, and its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StatusAnswer {
    /// Gate that answers.
    pub gate: GateId,
    /// Data centre of the gate's host.
    pub data_centre: DataCentre,
    /// Address on which the gate serves callers and operators.
    pub callers: SocketAddr,
    /// Whether the gate is draining before it stops.
    pub draining: bool,
    /// Highest revision in the fleet that the gate knows of, from the table or from a peer.
    pub fleet: DocumentRevision,
    /// Milliseconds since the gate last compared its documents with the platform's table; `None`
    /// before the first comparison.
    pub table_read_ms: Option<u64>,
    /// Whether the documents may be out of date: neither the platform's table nor a gate that
    /// reaches it has confirmed them within `STALE_AFTER` (in ggs-follow).
    pub stale: bool,
    /// Documents in force, sorted by service.
    pub documents: Vec<DocumentStatus>,
    /// Other gates, sorted by host.
    pub peers: Vec<PeerStatus>,
}

impl StatusAnswer {
    /// Revision in force at the gate for `service`; `None` if the gate has no document for it.
    pub fn in_force(&self, service: &ServiceName) -> Option<DocumentRevision> {
        let document = self.documents.iter().find(|row| row.service == *service);
        document.map(|row| row.revision)
    }
}

/// Load probes that one service's partner pays for on one day.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillRow {
    /// Partner that pays for the probes.
    pub partner: PartnerName,
    /// Service whose servers were probed.
    pub service: ServiceName,
    /// Start of the day, in milliseconds since the Unix epoch.
    pub window_start_ms: u64,
    /// Length of a day in milliseconds.
    pub window_ms: u64,
    /// Probes that the document allowed in the day's windows up to the last debit.
    pub allowed: u64,
    /// Probes granted to gates; never fewer than servers received.
    pub granted: u64,
    /// Probes that gates sent: exact once all gates have settled their grants, an upper bound
    /// before that.
    pub spent: u64,
}

/// Bill for load probes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BillAnswer {
    /// Rows sorted by partner, service and day.
    pub rows: Vec<BillRow>,
}
