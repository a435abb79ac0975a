//! Keeps the documents in force up to date, from the platform's table and from the other gates.
//!
//! The gate reads the head row of the table about once a second. The head names the newest fleet
//! revision, a number that increases with each accepted edit of any document, and other rows are
//! read only if it has changed. A gate that applies a change sends a heartbeat at once, and a gate
//! that sees a higher fleet revision in a heartbeat pulls the changes that it lacks. So a gate that
//! cannot reach the platform stays up to date through the others.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use ggs_follow::{
    ApplyOutcome, ChangeSet, DocumentError, DocumentReplica, FleetDigest, HEAD_KEY,
    ReplicaFreshness, document_key, read_document_row, read_head,
};
use ggs_model::{Clock, DocumentRevision, Moment, ServiceName, VersionedDocument};
use ggs_observe::LogEvent;
use ggs_store::{StoreError, TableStore};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::core::GateCore;

/// Mean time between two reads of the table's head.
const READ_INTERVAL: Duration = Duration::from_secs(1);

/// Delay between two reads of the table while the gate waits for a committed edit to come into
/// force.
const READ_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Why the changes in the table could not be read.
#[derive(Debug)]
enum ReadError {
    /// The platform failed to serve the read.
    Store(StoreError),
    /// The rows are invalid, or do not fit the documents in force.
    Content(DocumentError),
}

impl From<StoreError> for ReadError {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

impl From<DocumentError> for ReadError {
    fn from(error: DocumentError) -> Self {
        Self::Content(error)
    }
}

/// The documents in force, and the newest fleet revision known.
#[derive(Debug, Default)]
pub(crate) struct FollowedDocuments {
    replica: RefCell<DocumentReplica>,
    /// Highest fleet revision that another gate or a change set has named.
    highest_seen: Cell<DocumentRevision>,
    /// Start of the last successful read of the table.
    last_compared: Cell<Option<Moment>>,
    /// Wakes the task that reads the table.
    read_wanted: Notify,
    /// Whether the last read of the table failed.
    read_failing: Cell<bool>,
    /// Whether the last logged state is that the documents are stale.
    stale: Cell<bool>,
}

impl FollowedDocuments {
    /// Returns the fleet revision up to which the gate has every change.
    pub(crate) fn fleet(&self) -> DocumentRevision {
        self.replica.borrow().fleet_revision()
    }

    /// Returns the highest fleet revision known, whether or not the gate has its changes.
    pub(crate) fn highest_seen(&self) -> DocumentRevision {
        self.highest_seen.get().max(self.fleet())
    }

    /// Returns the start of the last successful read of the table, `None` before the first.
    pub(crate) fn last_compared(&self) -> Option<Moment> {
        self.last_compared.get()
    }

    /// Returns the document in force for `service`.
    pub(crate) fn get(&self, service: &ServiceName) -> Option<VersionedDocument> {
        self.replica.borrow().get(service).cloned()
    }

    /// Returns all documents in force, in order of service.
    pub(crate) fn all(&self) -> Vec<VersionedDocument> {
        self.replica.borrow().documents().cloned().collect()
    }

    /// Returns whether the documents are known to be the newest.
    pub(crate) fn freshness(&self, now: Moment) -> ReplicaFreshness {
        self.replica.borrow().freshness(now)
    }

    /// Returns the fleet revision and its age, for the heartbeat.
    pub(crate) fn digest(&self, now: Moment) -> FleetDigest {
        self.replica.borrow().digest(now)
    }

    /// Returns all changes after a fleet revision.
    pub(crate) fn changes_since(&self, after: DocumentRevision) -> ChangeSet {
        self.replica.borrow().changes_since(after)
    }

    /// Compares the digest of another gate with the documents here; returns the fleet revision
    /// after which to pull changes from that gate, or `None` if it has nothing newer.
    pub(crate) fn compare(&self, digest: FleetDigest, now: Moment) -> Option<DocumentRevision> {
        self.highest_seen
            .set(self.highest_seen.get().max(digest.fleet));
        self.replica.borrow_mut().merge_digest(digest, now)
    }

    /// Has the table read at once, ahead of its interval.
    pub(crate) fn request_read(&self) {
        self.read_wanted.notify_one();
    }
}

/// Puts a change set in force. The other gates learn of it from a heartbeat, which is sent at once.
pub(crate) fn apply(core: &GateCore, set: ChangeSet, source: &'static str) -> ApplyOutcome {
    let highest = core.documents.highest_seen.get().max(set.up_to);
    core.documents.highest_seen.set(highest);
    let outcome = core.documents.replica.borrow_mut().apply(set);
    if let ApplyOutcome::Applied(services) = &outcome {
        for service in services {
            put_in_force(core, service, source);
        }
        core.peers.request_heartbeat();
    }
    outcome
}

/// Puts the document of one service in force, and logs it if it is newer than the one before.
fn put_in_force(core: &GateCore, service: &ServiceName, source: &'static str) {
    let Some(versioned) = core.documents.get(service) else {
        return;
    };
    let revision = versioned.revision.0;
    if core.put_in_force(versioned) {
        let service = service.to_string();
        let pairs = slog::o!("service" => service, "revision" => revision, "source" => source);
        core.log
            .emit(LogEvent::DocumentInForce, "document came into force", pairs);
    }
}

/// Reads the table at each interval, and when a read is requested, until the gate ends.
pub(crate) async fn follow_table(core: Rc<GateCore>) {
    loop {
        read_table(&core).await;
        let wait = READ_INTERVAL.mul_f64(rand::random_range(0.8..1.2));
        // Both a timeout and a request lead to the next read.
        let _ = timeout(wait, core.documents.read_wanted.notified()).await;
    }
}

/// Reads the changes in the table; logs the first failure of a series and the first success after
/// it.
pub(crate) async fn read_table(core: &GateCore) {
    let result = read_changes(core).await;
    let failed = result.is_err();
    let failed_before = core.documents.read_failing.replace(failed);
    match result {
        Ok(()) if failed_before => {
            let message = "document table can be read again";
            core.log
                .emit(LogEvent::PlatformRecovered, message, slog::o!());
        }
        Err(ReadError::Store(error)) => {
            core.metrics.count_platform_failure("table-get");
            if !failed_before {
                let pairs = slog::o!("cause" => error.to_string());
                let message = "document table cannot be read; the documents in force are kept";
                core.log.emit(LogEvent::PlatformFailed, message, pairs);
            }
        }
        Err(ReadError::Content(error)) if !failed_before => {
            let pairs = slog::o!("cause" => error.to_string());
            let message =
                "rows of the document table cannot be used; the documents in force are kept";
            core.log.emit(LogEvent::DocumentInvalid, message, pairs);
        }
        Ok(()) | Err(ReadError::Content(_)) => {}
    }
}

/// Reads the head of the table, and the rows that are newer than the documents in force.
async fn read_changes(core: &GateCore) -> Result<(), ReadError> {
    let started_at = core.clock.now();
    let head = core.platform.get(HEAD_KEY).await?;
    let head = read_head(head.as_ref())?;
    let plan = core.documents.replica.borrow().plan_catch_up(&head)?;
    if let Some(plan) = plan {
        let mut documents = Vec::new();
        for service in plan.services() {
            let row = core.platform.get(&document_key(service)).await?;
            if let Some(row) = row {
                documents.push(read_document_row(&row)?);
            }
        }
        apply(core, plan.into_change_set(documents)?, "table");
    }
    core.documents.last_compared.set(Some(started_at));
    core.documents
        .replica
        .borrow_mut()
        .confirm(head.fleet, started_at);
    Ok(())
}

/// Logs when the documents become stale or are no longer stale, and updates the metrics of
/// documents.
pub(crate) fn report_staleness(core: &GateCore, now: Moment) {
    let stale = core.documents.freshness(now) == ReplicaFreshness::Stale;
    let digest = core.documents.digest(now);
    core.metrics.fleet_revision.set(digest.fleet.0 as i64);
    core.metrics.documents_stale.set(i64::from(stale));
    if let Some(age) = digest.age {
        core.metrics.document_age.set(age.as_secs_f64());
    }
    if core.documents.stale.replace(stale) == stale {
        return;
    }
    let pairs = slog::o!("fleet" => digest.fleet.0);
    if stale {
        let message = "documents may be out of date: they have not been confirmed for too long";
        core.log.emit(LogEvent::DocumentsStale, message, pairs);
    } else {
        let message = "documents are up to date again";
        core.log.emit(LogEvent::DocumentsFresh, message, pairs);
    }
}

/// Reads the table until the gate has every change up to a fleet revision, or `max_wait` has
/// passed.
pub(crate) async fn wait_for_revision(
    core: &GateCore,
    revision: DocumentRevision,
    max_wait: Duration,
) {
    let started_at = core.clock.now();
    while core.documents.fleet() < revision && core.clock.now().since(started_at) < max_wait {
        read_table(core).await;
        if core.documents.fleet() < revision {
            sleep(READ_RETRY_DELAY).await;
        }
    }
}
