//! What a gate needs of its platform; an adapter crate implements it.

use std::fmt;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use actix_http::Uri;
use actix_http::header::{HeaderMap, HeaderName};
use bytes::Bytes;
use ggs_member::GateRecord;
use ggs_model::{DataCentre, HostName, ServiceName};
use ggs_place::LoadSample;
use ggs_route::RouteConfig;

use crate::EdgeSettings;

/// Names of the headers that callers, gates and servers exchange.
#[derive(Clone, Debug)]
pub struct WireHeaders {
    /// Names one attempt of a caller; servers repeat it.
    pub request_id: HeaderName,
    /// Milliseconds left to answer.
    pub deadline: HeaderName,
    /// The run of a server that alone may work on the request.
    pub expect_instance: HeaderName,
    /// A server's proof of its answer.
    pub seal: HeaderName,
    /// Present when the server did not run the request.
    pub not_run: HeaderName,
    /// The run of the server that answers.
    pub instance: HeaderName,
}

/// A caller's question for gates.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryQuery {
    /// Host name that the caller wants to reach.
    pub host: String,
    /// Data centre of the caller.
    pub data_centre: DataCentre,
}

/// Gates that a caller may use.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EntryAnswer {
    /// Their addresses for callers.
    pub addresses: Vec<SocketAddr>,
    /// How long the answer may be kept.
    pub ttl: Duration,
}

/// What callers, servers and the platform say to a gate and hear from it.
pub trait EdgeWire: Clone + 'static {
    /// The names of headers.
    fn headers(&self) -> &WireHeaders;

    /// Whether `uri` asks whether the gate is ready.
    fn is_readiness_check(&self, uri: &Uri) -> bool;

    /// The question for gates that `uri` asks, if it does.
    fn read_entry_query(&self, uri: &Uri) -> Option<EntryQuery>;

    /// The body of an answer to such a question, in JSON.
    fn write_entry_answer(&self, answer: &EntryAnswer) -> Bytes;

    /// Reads a configuration as the operator wrote it.
    ///
    /// # Errors
    ///
    /// Names the route and the field that cannot be used.
    fn read_config(&self, bytes: &[u8]) -> Result<RouteConfig, String>;

    /// The load that a server tells in its headers.
    fn read_load(&self, headers: &HeaderMap) -> Option<LoadSample>;
}

/// A source of settings that may change while the gate runs.
pub trait SettingsSource: 'static {
    /// Reads and checks the settings.
    ///
    /// # Errors
    ///
    /// One line that names the field and the cause.
    fn read(&self) -> Result<EdgeSettings, String>;
}

/// A place in a feed of changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct FeedCursor(pub u64);

/// What a row holds now.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedValue<T> {
    /// A value.
    Present(T),
    /// Nothing: the row was removed.
    Removed,
    /// Something that cannot be used, with the cause.
    Unreadable(String),
}

/// One row that changed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedChange<T> {
    /// Key of the row.
    pub key: Arc<str>,
    /// What it holds now.
    pub value: FeedValue<T>,
}

/// Changes since a cursor, or all rows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FeedPage<T> {
    /// Whether these are all rows there are.
    pub whole: bool,
    /// The rows.
    pub changes: Vec<FeedChange<T>>,
    /// Where to go on.
    pub cursor: FeedCursor,
}

/// A server as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerRecord {
    /// Name under which the server checks that a request is meant for it.
    pub instance: Arc<str>,
    /// Wall time of its start, in milliseconds; tells two runs under one name apart.
    pub started_ms: Option<u64>,
    /// Its service.
    pub service: ServiceName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it takes no new work.
    pub draining: bool,
    /// How much longer it is slow after its start.
    pub cold_left: Duration,
}

/// A gate as it registered itself.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct GateEntry {
    /// Who it is and where it is reached.
    pub record: GateRecord,
    /// Its size, relative to the others.
    pub capacity: u32,
}

impl GateEntry {
    /// Whether an entry names this gate's host where this one stands, whichever its run.
    pub fn is_at(&self, other: &Self) -> bool {
        let (one, other_record) = (&self.record, &other.record);
        one.gate.host == other_record.gate.host
            && one.data_centre == other_record.data_centre
            && one.callers == other_record.callers
            && one.peers == other_record.peers
            && self.capacity == other.capacity
    }
}

/// Why a call to the store has no result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FleetError {
    /// The changes since the cursor are no longer kept; all rows have to be read.
    HistoryLost,
    /// The store did not answer, or not in time.
    Unavailable {
        /// What was seen.
        cause: String,
    },
    /// The store turned the call away.
    Rejected {
        /// Status of its answer.
        status: u16,
    },
    /// The answer could not be read.
    Malformed {
        /// What was wrong.
        cause: String,
    },
}

impl fmt::Display for FleetError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::HistoryLost => formatter.write_str("the store dropped the history of the feed"),
            Self::Unavailable { cause } => write!(formatter, "the store did not answer: {cause}"),
            Self::Rejected { status } => write!(formatter, "the store answered {status}"),
            Self::Malformed { cause } => {
                write!(formatter, "the store's answer is malformed: {cause}")
            }
        }
    }
}

impl std::error::Error for FleetError {}

/// The platform's store as a gate uses it.
///
/// A read with a cursor returns what changed since, after at most `wait` if nothing does; a read
/// without one returns all rows at once.
pub trait FleetStore: Clone + 'static {
    /// Reads configurations, as the operator wrote them.
    fn read_configs(
        &self,
        after: Option<FeedCursor>,
        wait: Duration,
    ) -> impl Future<Output = Result<FeedPage<Bytes>, FleetError>>;

    /// Reads servers.
    fn read_servers(
        &self,
        after: Option<FeedCursor>,
        wait: Duration,
    ) -> impl Future<Output = Result<FeedPage<ServerRecord>, FleetError>>;

    /// Reads the gates that registered themselves.
    fn read_gates(&self) -> impl Future<Output = Result<Vec<GateEntry>, FleetError>>;

    /// Registers a gate, in place of what its host registered before.
    fn write_gate(&self, gate: &GateEntry) -> impl Future<Output = Result<(), FleetError>>;

    /// Removes a gate.
    fn remove_gate(&self, host: &HostName) -> impl Future<Output = Result<(), FleetError>>;

    /// Takes a new address of the store.
    fn set_address(&self, address: SocketAddr);
}
