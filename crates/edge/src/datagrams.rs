//! Protobuf encoding of what the gates of a data centre send one another.
//!
//! A [`Datagram`] carries a heartbeat, a load update, changes of the server list, or news of leaving
//! servers or crashes. The whole list is fetched over HTTP instead, as a [`ServerListBody`]. During a
//! rolling restart, gates of different versions exchange these messages, so tags and types are fixed.

use std::sync::Arc;
use std::time::Duration;

use ggs_limit::{QuotaAsk, QuotaGrant};
use ggs_model::DataCentre;
use ggs_place::LoadSample;
use ggs_reach::FeedPosition;
use prost::Message;

use crate::{FeedChange, FeedCursor, FeedValue, ServerRecord};

/// One datagram; fields that it does not carry are absent or zero.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct Datagram {
    /// An encoded message of `ggs-peer`: a heartbeat or a goodbye.
    #[prost(bytes = "vec", optional, tag = "1")]
    pub(crate) peer: Option<Vec<u8>>,
    /// Whether the sender can read the store: its last read of the servers succeeded.
    #[prost(bool, tag = "2")]
    pub(crate) reads_store: bool,
    /// Size of the sender's host, as a multiple of the smallest; set in a heartbeat.
    #[prost(uint32, tag = "5")]
    pub(crate) capacity: u32,
    /// Version of the configuration in force at the sender; zero if there is none or the datagram
    /// does not state it.
    #[prost(uint64, tag = "6")]
    pub(crate) config_version: u64,
    /// Milliseconds since the sender last knew that version to be the newest; absent if the datagram
    /// does not state it.
    #[prost(uint64, optional, tag = "7")]
    pub(crate) config_age_ms: Option<u64>,
    /// Length of the text of that configuration, in bytes; zero if the datagram does not state it.
    #[prost(uint64, tag = "8")]
    pub(crate) config_bytes: u64,
    /// Limits that servers named; set in a heartbeat.
    #[prost(message, repeated, tag = "9")]
    pub(crate) limits: Vec<LimitBody>,
    /// Incarnations of gates of the data centre whose leases are current at the sender, without the
    /// sender; set in a heartbeat.
    #[prost(fixed64, repeated, tag = "10")]
    pub(crate) heard_gates: Vec<u64>,
    /// For each of them, when it was last heard and what it said, as a [`HeardState`].
    #[prost(uint32, repeated, tag = "11")]
    pub(crate) heard_states: Vec<u32>,
    /// Whether the sender wants the list of gates that the receiver knows.
    #[prost(bool, tag = "12")]
    pub(crate) asks_gates: bool,
    /// Gates that the sender knows.
    #[prost(message, optional, tag = "13")]
    pub(crate) gate_list: Option<GateListBody>,
    /// Servers that said to the sender that they are leaving.
    #[prost(message, repeated, tag = "14")]
    pub(crate) leaving: Vec<LeavingBody>,
    /// Requests under which servers ended.
    #[prost(message, repeated, tag = "15")]
    pub(crate) crashes: Vec<CrashBody>,
    /// What concerns quotas of workspaces.
    #[prost(message, optional, tag = "16")]
    pub(crate) quota: Option<QuotaBody>,
    /// Evacuated data centres; absent if there have been none.
    #[prost(message, optional, tag = "17")]
    pub(crate) evacuations: Option<EvacuationBody>,
    /// Load reports and sends since the last update.
    #[prost(message, optional, tag = "3")]
    pub(crate) load_update: Option<LoadUpdateBody>,
    /// Changes of the list of servers.
    #[prost(message, optional, tag = "4")]
    pub(crate) servers: Option<ServerChangesBody>,
}

/// Gates that the sender knows, in any of the data centres, or a part of them.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct GateListBody {
    /// Names of data centres, to which the gates refer.
    #[prost(string, repeated, tag = "1")]
    pub(crate) data_centres: Vec<String>,
    #[prost(message, repeated, tag = "2")]
    pub(crate) gates: Vec<ListedGateBody>,
}

/// One gate of a list.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct ListedGateBody {
    /// Address at which it accepts callers: the IP address, then the port in two bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub(crate) callers: Vec<u8>,
    /// Address for datagrams, in the same form.
    #[prost(bytes = "vec", tag = "2")]
    pub(crate) peers: Vec<u8>,
    /// Index of its data centre in the names.
    #[prost(uint32, tag = "3")]
    pub(crate) data_centre: u32,
    /// Size of its host, as a multiple of the smallest.
    #[prost(uint32, tag = "4")]
    pub(crate) capacity: u32,
    /// Seconds since it was last heard of.
    #[prost(uint32, tag = "5")]
    pub(crate) age_s: u32,
}

/// What a gate said of itself, and how long ago, in one number: the milliseconds times four, plus one
/// if the gate accepts callers, plus two if it reads the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct HeardState {
    pub(crate) age: Duration,
    pub(crate) is_live: bool,
    pub(crate) reads_store: bool,
}

impl From<HeardState> for u32 {
    fn from(state: HeardState) -> Self {
        let age_ms = state.age.as_millis().min(u128::from(u32::MAX >> 2)) as Self;
        (age_ms << 2) | Self::from(state.is_live) | (Self::from(state.reads_store) << 1)
    }
}

impl From<u32> for HeardState {
    fn from(number: u32) -> Self {
        Self {
            age: Duration::from_millis(u64::from(number >> 2)),
            is_live: number & 1 != 0,
            reads_store: number & 2 != 0,
        }
    }
}

/// What the newest answer of a server that its sender knows said of the server's limit.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct LimitBody {
    #[prost(string, tag = "1")]
    pub(crate) instance: String,
    /// Requests per second from all gates together; absent if the server names no limit any more.
    #[prost(double, optional, tag = "2")]
    pub(crate) per_second: Option<f64>,
    /// Milliseconds since that answer.
    #[prost(uint64, tag = "3")]
    pub(crate) age_ms: u64,
}

/// A server that said that it is leaving.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct LeavingBody {
    #[prost(string, tag = "1")]
    pub(crate) instance: String,
    /// Start of the incarnation that said it; absent if it is not known.
    #[prost(uint64, optional, tag = "2")]
    pub(crate) started_ms: Option<u64>,
}

/// What the sender knows of a request under which servers ended.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct CrashBody {
    /// Digest of the request, in 16 bytes.
    #[prost(bytes = "vec", tag = "1")]
    pub(crate) request: Vec<u8>,
    /// Server runs that ended under it.
    #[prost(fixed64, repeated, tag = "2")]
    pub(crate) runs: Vec<u64>,
    /// Whether a server has answered it since the first of them ended.
    #[prost(bool, tag = "3")]
    pub(crate) answered: bool,
    /// For each run, the milliseconds since the request was sent and since its connection was lost;
    /// empty if they are not known.
    #[prost(uint32, repeated, tag = "4")]
    pub(crate) ages_ms: Vec<u32>,
    /// Trials of the request that failed.
    #[prost(uint32, tag = "5")]
    pub(crate) failed_trials: u32,
}

/// The evacuated data centres as of a position in the operator's feed.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct EvacuationBody {
    #[prost(uint64, tag = "1")]
    era: u64,
    #[prost(uint64, tag = "2")]
    version: u64,
    #[prost(message, repeated, tag = "3")]
    data_centres: Vec<EvacuatedBody>,
}

/// An evacuated data centre.
#[derive(Clone, PartialEq, Message)]
struct EvacuatedBody {
    #[prost(string, tag = "1")]
    name: String,
    /// Milliseconds after which it is dropped unless the restored store lists it again; absent while it
    /// is listed.
    #[prost(uint64, optional, tag = "2")]
    left_ms: Option<u64>,
}

impl EvacuationBody {
    /// Encodes the evacuated data centres as of `position`.
    pub(crate) fn new(position: FeedPosition, entries: &[(DataCentre, Option<Duration>)]) -> Self {
        let entries = entries.iter().map(|(name, left)| EvacuatedBody {
            name: name.to_string(),
            left_ms: left.map(|left| left.as_millis() as u64),
        });
        Self {
            era: position.era,
            version: position.version,
            data_centres: entries.collect(),
        }
    }

    /// The position up to which the sender knows the evacuations.
    pub(crate) const fn position(&self) -> FeedPosition {
        FeedPosition {
            era: self.era,
            version: self.version,
        }
    }

    /// The evacuated data centres.
    pub(crate) fn entries(&self) -> impl Iterator<Item = (DataCentre, Option<Duration>)> {
        let entries = self.data_centres.iter();
        entries.map(|entry| {
            let left = entry.left_ms.map(Duration::from_millis);
            (entry.name.as_str().into(), left)
        })
    }
}

/// Questions for parts of quotas, and their answers, with the gates that the sender counts.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct QuotaBody {
    #[prost(message, repeated, tag = "1")]
    pub(crate) asks: Vec<QuotaAskBody>,
    #[prost(message, repeated, tag = "2")]
    pub(crate) grants: Vec<QuotaGrantBody>,
    /// Live gates of the sender's data centre.
    #[prost(uint32, tag = "3")]
    pub(crate) live: u32,
    /// Known gates of the sender's data centre.
    #[prost(uint32, tag = "4")]
    pub(crate) known: u32,
    /// Whether the sender wants an answer, to learn that the receiver is live.
    #[prost(bool, tag = "5")]
    pub(crate) asks_sign: bool,
    /// Whether the sender wants to know which configuration is in force at the receiver.
    #[prost(bool, tag = "6")]
    pub(crate) asks_config: bool,
}

/// A question for a part of a quota.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct QuotaAskBody {
    /// Number that the answer repeats.
    #[prost(fixed64, tag = "1")]
    pub(crate) number: u64,
    #[prost(string, tag = "2")]
    pub(crate) workspace: String,
    #[prost(uint32, tag = "3")]
    waiting: u32,
    #[prost(uint32, tag = "4")]
    ahead: u32,
    #[prost(uint32, tag = "5")]
    returned: u32,
    #[prost(uint32, tag = "6")]
    refused: u32,
    /// Gates that have passed it on.
    #[prost(uint32, tag = "7")]
    pub(crate) hops: u32,
}

/// The answer to a [`QuotaAskBody`].
#[derive(Clone, PartialEq, Message)]
pub(crate) struct QuotaGrantBody {
    #[prost(fixed64, tag = "1")]
    pub(crate) number: u64,
    /// Whether the sender cannot hold the quota; it grants nothing then.
    #[prost(bool, tag = "2")]
    pub(crate) unable: bool,
    #[prost(uint32, tag = "3")]
    granted: u32,
    #[prost(uint32, tag = "4")]
    pause_ms: u32,
    #[prost(uint32, tag = "5")]
    retry_after_ms: u32,
}

impl QuotaAskBody {
    /// Encodes a question that has passed through `hops` gates.
    pub(crate) fn new(number: u64, workspace: &str, ask: &QuotaAsk, hops: u32) -> Self {
        Self {
            number,
            workspace: workspace.to_owned(),
            waiting: ask.waiting,
            ahead: ask.ahead,
            returned: ask.returned,
            refused: ask.refused,
            hops,
        }
    }
}

impl From<&QuotaAskBody> for QuotaAsk {
    fn from(body: &QuotaAskBody) -> Self {
        Self {
            waiting: body.waiting,
            ahead: body.ahead,
            returned: body.returned,
            refused: body.refused,
        }
    }
}

impl QuotaGrantBody {
    /// Encodes an answer.
    pub(crate) fn new(number: u64, grant: &QuotaGrant) -> Self {
        Self {
            number,
            unable: false,
            granted: grant.granted,
            pause_ms: grant.pause.as_millis() as u32,
            retry_after_ms: grant.retry_after.as_millis() as u32,
        }
    }

    /// The answer of a gate that cannot hold quotas now.
    pub(crate) fn unable(number: u64) -> Self {
        Self {
            number,
            unable: true,
            ..Self::default()
        }
    }
}

impl From<&QuotaGrantBody> for QuotaGrant {
    fn from(body: &QuotaGrantBody) -> Self {
        Self {
            granted: body.granted,
            pause: Duration::from_millis(body.pause_ms.into()),
            retry_after: Duration::from_millis(body.retry_after_ms.into()),
        }
    }
}

/// Load reports that the sender received in the last milliseconds, and requests that it sent.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct LoadUpdateBody {
    /// Loads that servers reported to the sender.
    #[prost(message, repeated, tag = "1")]
    pub(crate) loads: Vec<LoadBody>,
    /// Instance identifiers of the servers that it sent a request to, one per request.
    #[prost(string, repeated, tag = "2")]
    pub(crate) sends: Vec<String>,
}

/// The load of one server.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct LoadBody {
    #[prost(string, tag = "1")]
    pub(crate) instance: String,
    #[prost(uint32, tag = "2")]
    running: u32,
    #[prost(uint32, tag = "3")]
    waiting: u32,
    #[prost(uint32, tag = "4")]
    slots: u32,
    #[prost(uint32, tag = "5")]
    pace_percent: u32,
    /// Milliseconds for which the server stays cold.
    #[prost(uint32, tag = "6")]
    cold_ms: u32,
}

impl LoadBody {
    /// Encodes the load of `instance`.
    pub(crate) fn new(instance: &str, sample: LoadSample, cold_left: Duration) -> Self {
        Self {
            instance: instance.to_owned(),
            running: sample.running,
            waiting: sample.waiting,
            slots: sample.slots,
            pace_percent: sample.pace_percent,
            cold_ms: cold_left.as_millis() as u32,
        }
    }

    /// Time for which the server stays cold; `None` if it is not, or the sender does not limit what cold
    /// servers get.
    pub(crate) fn cold_left(&self) -> Option<Duration> {
        (self.cold_ms > 0).then(|| Duration::from_millis(self.cold_ms.into()))
    }
}

impl From<&LoadBody> for LoadSample {
    fn from(body: &LoadBody) -> Self {
        Self {
            running: body.running,
            waiting: body.waiting,
            slots: body.slots,
            pace_percent: body.pace_percent,
        }
    }
}

/// Changes of the list of servers up to a cursor, or a part of them.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct ServerChangesBody {
    /// Version of the cursor at which the changes end.
    #[prost(uint64, tag = "2")]
    version: u64,
    /// Era of that cursor.
    #[prost(uint64, tag = "5")]
    era: u64,
    /// Digest of the list after all changes; `None` if more changes follow.
    #[prost(uint64, optional, tag = "3")]
    pub(crate) digest: Option<u64>,
    /// Changed rows.
    #[prost(message, repeated, tag = "4")]
    changes: Vec<ChangeBody>,
    /// Version of the cursor at which the changes begin, in the same era; absent if the sender does
    /// not state it.
    #[prost(uint64, optional, tag = "6")]
    pub(crate) from_version: Option<u64>,
    /// Number of parts of the changes; zero if the sender does not state it.
    #[prost(uint32, tag = "7")]
    pub(crate) part_count: u32,
    /// Number of this part, from zero.
    #[prost(uint32, tag = "8")]
    pub(crate) part: u32,
    /// Address for datagrams of the gate that read the changes, if each gate passes them on; empty if
    /// that gate sends them to all.
    #[prost(string, tag = "9")]
    pub(crate) root: String,
}

/// The whole list of servers of a gate.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct ServerListBody {
    /// The servers, as changes to an empty list.
    #[prost(message, required, tag = "1")]
    pub(crate) servers: ServerChangesBody,
    /// Milliseconds since the sender last knew the list to be up to date.
    #[prost(uint64, tag = "2")]
    pub(crate) age_ms: u64,
}

/// One changed row.
#[derive(Clone, PartialEq, Message)]
struct ChangeBody {
    #[prost(string, tag = "1")]
    key: String,
    /// The server in the row; `None` if the row was removed or cannot be used.
    #[prost(message, optional, tag = "2")]
    record: Option<RecordBody>,
    /// Why the row cannot be used.
    #[prost(string, optional, tag = "3")]
    fault: Option<String>,
}

/// A server's row.
#[derive(Clone, PartialEq, Message)]
struct RecordBody {
    #[prost(uint64, optional, tag = "1")]
    started_ms: Option<u64>,
    #[prost(string, tag = "2")]
    service: String,
    #[prost(string, tag = "3")]
    address: String,
    #[prost(string, tag = "4")]
    data_centre: String,
    #[prost(uint32, tag = "5")]
    slots: u32,
    #[prost(bool, tag = "6")]
    draining: bool,
    #[prost(uint64, tag = "7")]
    cold_left_ms: u64,
}

impl ServerChangesBody {
    /// Splits the changes up to `cursor` into parts of at most `max_bytes`; a longer change gets a
    /// part of its own. The last part, which may hold no change, carries the digest.
    pub(crate) fn split(
        cursor: FeedCursor,
        digest: u64,
        changes: &[FeedChange<ServerRecord>],
        max_bytes: usize,
    ) -> Vec<Self> {
        let mut parts = vec![Self::part(cursor)];
        let mut used_bytes = 0;
        for change in changes.iter().map(ChangeBody::from) {
            let size = change.encoded_len();
            if used_bytes > 0 && used_bytes + size > max_bytes {
                parts.push(Self::part(cursor));
                used_bytes = 0;
            }
            used_bytes += size;
            if let Some(part) = parts.last_mut() {
                part.changes.push(change);
            }
        }
        if let Some(last) = parts.last_mut() {
            last.digest = Some(digest);
        }
        let count = parts.len() as u32;
        for (index, part) in parts.iter_mut().enumerate() {
            part.part = index as u32;
            part.part_count = count;
        }
        parts
    }

    /// Joins the parts of one set of changes.
    pub(crate) fn join(parts: Vec<Self>) -> Self {
        let mut joined = Self::default();
        for mut part in parts {
            joined.version = part.version;
            joined.era = part.era;
            joined.from_version = part.from_version;
            joined.digest = joined.digest.or(part.digest);
            joined.changes.append(&mut part.changes);
        }
        joined
    }

    /// Whether a list that is known up to `cursor` lacks changes before these.
    pub(crate) fn skips_changes_after(&self, cursor: FeedCursor) -> bool {
        let from = self.from_version.unwrap_or(0);
        self.era != cursor.era || from > cursor.version
    }

    /// Puts all changes up to `cursor` into one message, whatever its length.
    pub(crate) fn unsplit(
        cursor: FeedCursor,
        digest: u64,
        changes: &[FeedChange<ServerRecord>],
    ) -> Self {
        Self {
            version: cursor.version,
            era: cursor.era,
            digest: Some(digest),
            changes: changes.iter().map(ChangeBody::from).collect(),
            ..Self::default()
        }
    }

    /// An empty part without a digest.
    fn part(cursor: FeedCursor) -> Self {
        Self {
            version: cursor.version,
            era: cursor.era,
            ..Self::default()
        }
    }

    /// Cursor of the feed at which the changes end.
    pub(crate) fn cursor(&self) -> FeedCursor {
        FeedCursor {
            era: self.era,
            version: self.version,
        }
    }

    /// Decodes the changes; one that cannot be decoded becomes [`FeedValue::Unreadable`].
    pub(crate) fn changes(&self) -> Vec<FeedChange<ServerRecord>> {
        self.changes.iter().map(FeedChange::from).collect()
    }
}

impl From<&FeedChange<ServerRecord>> for ChangeBody {
    fn from(change: &FeedChange<ServerRecord>) -> Self {
        let (record, fault) = match &change.value {
            FeedValue::Present(record) => (Some(RecordBody::from(record)), None),
            FeedValue::Removed => (None, None),
            FeedValue::Unreadable(cause) => (None, Some(cause.clone())),
        };
        Self {
            key: change.key.to_string(),
            record,
            fault,
        }
    }
}

impl From<&ChangeBody> for FeedChange<ServerRecord> {
    fn from(body: &ChangeBody) -> Self {
        let value = match (&body.record, &body.fault) {
            (_, Some(fault)) => FeedValue::Unreadable(fault.clone()),
            (None, None) => FeedValue::Removed,
            (Some(record), None) => match record.to_record(&body.key) {
                Ok(record) => FeedValue::Present(record),
                Err(cause) => FeedValue::Unreadable(cause),
            },
        };
        Self {
            key: Arc::from(body.key.as_str()),
            value,
        }
    }
}

impl From<&ServerRecord> for RecordBody {
    fn from(record: &ServerRecord) -> Self {
        Self {
            started_ms: record.started_ms,
            service: record.service.as_str().to_owned(),
            address: record.address.to_string(),
            data_centre: record.data_centre.as_str().to_owned(),
            slots: record.slots,
            draining: record.draining,
            cold_left_ms: record.cold_left.as_millis() as u64,
        }
    }
}

impl RecordBody {
    /// Decodes the record under `key`.
    fn to_record(&self, key: &str) -> Result<ServerRecord, String> {
        let address = self.address.parse();
        Ok(ServerRecord {
            instance: Arc::from(key),
            started_ms: self.started_ms,
            service: self.service.as_str().into(),
            address: address.map_err(|error| format!("address: {error}"))?,
            data_centre: self.data_centre.as_str().into(),
            slots: self.slots,
            draining: self.draining,
            cold_left: Duration::from_millis(self.cold_left_ms),
        })
    }
}
