//! Documents: follows the platform's table and the other gates.
//!
//! The table's head row is read about once a second and says whether anything changed; only then are
//! rows read. Peers push what they learn, and a gate that sees a higher revision in a heartbeat asks
//! for what it lacks, so a gate without a path to the platform stays up to date.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use ggs_follow::{
    BookFreshness, BookOutcome, ChangeSet, DocumentBook, FleetDigest, FollowError, HEAD_KEY,
    document_key, read_document_row, read_head,
};
use ggs_model::{Clock, DocumentRevision, Moment, ServiceName, VersionedDocument};
use ggs_observe::LogEvent;
use ggs_store::{StoreError, TableStore};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::core::GateCore;

/// Mean time between two reads of the table's head.
const READ_PERIOD: Duration = Duration::from_secs(1);

/// Pause between two reads of the table while a committed edit waits to come into force here.
const READ_RETRY: Duration = Duration::from_millis(50);

/// Why the table could not be followed.
#[derive(Debug)]
enum ReadError {
    Store(StoreError),
    Content(FollowError),
}

impl From<StoreError> for ReadError {
    fn from(error: StoreError) -> Self {
        Self::Store(error)
    }
}

impl From<FollowError> for ReadError {
    fn from(error: FollowError) -> Self {
        Self::Content(error)
    }
}

/// The documents in force, and what is known of newer ones.
#[derive(Debug, Default)]
pub(crate) struct FollowedDocuments {
    book: RefCell<DocumentBook>,
    /// Highest fleet revision heard of.
    heard: Cell<DocumentRevision>,
    /// When the book was last compared with the table.
    compared: Cell<Option<Moment>>,
    /// Asks for a read of the table at once.
    wanted: Notify,
    /// Whether the last read of the table failed.
    failing: Cell<bool>,
    /// Whether the gate said that it is stale.
    stale: Cell<bool>,
}

impl FollowedDocuments {
    /// The gate holds every change up to this revision.
    pub(crate) fn fleet(&self) -> DocumentRevision {
        self.book.borrow().fleet()
    }

    /// Highest fleet revision heard of, here or elsewhere.
    pub(crate) fn heard(&self) -> DocumentRevision {
        self.heard.get().max(self.fleet())
    }

    /// When the book was last compared with the table.
    pub(crate) fn compared(&self) -> Option<Moment> {
        self.compared.get()
    }

    /// The document in force for `service`.
    pub(crate) fn get(&self, service: &ServiceName) -> Option<VersionedDocument> {
        self.book.borrow().get(service).cloned()
    }

    /// All documents in force.
    pub(crate) fn all(&self) -> Vec<VersionedDocument> {
        self.book.borrow().documents().cloned().collect()
    }

    /// Whether the documents are known to be the newest.
    pub(crate) fn freshness(&self, now: Moment) -> BookFreshness {
        self.book.borrow().freshness(now)
    }

    /// How far the documents reach.
    pub(crate) fn digest(&self, now: Moment) -> FleetDigest {
        self.book.borrow().digest(now)
    }

    /// All changes after a revision.
    pub(crate) fn changes_since(&self, after: DocumentRevision) -> ChangeSet {
        self.book.borrow().changes_since(after)
    }

    /// Takes a peer's digest; the revision after which to ask it for changes.
    pub(crate) fn compare(&self, digest: FleetDigest, now: Moment) -> Option<DocumentRevision> {
        self.heard.set(self.heard.get().max(digest.fleet));
        self.book.borrow_mut().compare(digest, now)
    }

    /// Asks for a read of the table at once.
    pub(crate) fn want_read(&self) {
        self.wanted.notify_one();
    }
}

/// Puts a change set in force; peers learn of it in the next heartbeat, which is sent at once.
pub(crate) fn apply(core: &GateCore, set: ChangeSet, source: &'static str) -> BookOutcome {
    let heard = core.documents.heard.get().max(set.upto);
    core.documents.heard.set(heard);
    let outcome = core.documents.book.borrow_mut().offer(set);
    if let BookOutcome::Applied(services) = &outcome {
        for service in services {
            put_in_force(core, service, source);
        }
        core.peers.want_beat();
    }
    outcome
}

/// Puts the book's document of one service in force.
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

/// Follows the table until the gate ends.
pub(crate) async fn follow_table(core: Rc<GateCore>) {
    loop {
        read_table(&core).await;
        let wait = READ_PERIOD.mul_f64(rand::random_range(0.8..1.2));
        // Either way it is time to read.
        let _ = timeout(wait, core.documents.wanted.notified()).await;
    }
}

/// Reads the table's head and what is new since the last read; logs when this begins or ends to fail.
pub(crate) async fn read_table(core: &GateCore) {
    let result = read_changes(core).await;
    let failed = result.is_err();
    let failed_before = core.documents.failing.replace(failed);
    match result {
        Ok(()) if failed_before => {
            let message = "table can be followed again";
            core.log
                .emit(LogEvent::PlatformRecovered, message, slog::o!());
        }
        Err(ReadError::Store(error)) => {
            core.metrics.count_platform_failure("table-get");
            if !failed_before {
                let pairs = slog::o!("cause" => error.to_string());
                let message = "table cannot be read";
                core.log.emit(LogEvent::PlatformFailed, message, pairs);
            }
        }
        Err(ReadError::Content(error)) if !failed_before => {
            let pairs = slog::o!("cause" => error.to_string());
            let message = "documents in the table cannot be followed";
            core.log.emit(LogEvent::DocumentInvalid, message, pairs);
        }
        Ok(()) | Err(ReadError::Content(_)) => {}
    }
}

/// Brings the book up to the table's head.
async fn read_changes(core: &GateCore) -> Result<(), ReadError> {
    let began = core.clock.now();
    let head = core.platform.get(HEAD_KEY).await?;
    let head = read_head(head.as_ref())?;
    let plan = core.documents.book.borrow().plan(&head)?;
    if let Some(plan) = plan {
        let mut documents = Vec::new();
        for service in plan.services() {
            let row = core.platform.get(&document_key(service)).await?;
            if let Some(row) = row {
                documents.push(read_document_row(&row)?);
            }
        }
        apply(core, plan.complete(documents)?, "table");
    }
    core.documents.compared.set(Some(began));
    core.documents.book.borrow_mut().confirm(head.fleet, began);
    Ok(())
}

/// Logs when the documents become or cease to be stale, and sets the metrics of documents.
pub(crate) fn observe(core: &GateCore, now: Moment) {
    let stale = core.documents.freshness(now) == BookFreshness::Stale;
    let digest = core.documents.digest(now);
    core.metrics.fleet_revision.set(digest.fleet.0 as i64);
    core.metrics.stale.set(i64::from(stale));
    if let Some(age) = digest.age {
        core.metrics.document_age.set(age.as_secs_f64());
    }
    if core.documents.stale.replace(stale) == stale {
        return;
    }
    let pairs = slog::o!("fleet" => digest.fleet.0);
    if stale {
        let message = "documents may be out of date";
        core.log.emit(LogEvent::DocumentsStale, message, pairs);
    } else {
        let message = "documents are the newest";
        core.log.emit(LogEvent::DocumentsFresh, message, pairs);
    }
}

/// Waits until the gate holds a revision, for `limit` at most.
pub(crate) async fn wait_revision(core: &GateCore, revision: DocumentRevision, limit: Duration) {
    let began = core.clock.now();
    while core.documents.fleet() < revision && core.clock.now().since(began) < limit {
        read_table(core).await;
        if core.documents.fleet() < revision {
            sleep(READ_RETRY).await;
        }
    }
}
