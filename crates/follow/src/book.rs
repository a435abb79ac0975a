//! Documents in force at one gate.

use std::collections::BTreeMap;
use std::time::Duration;

use ggs_model::{DocumentRevision, Moment, ServiceName, VersionedDocument};

use crate::{AcceptedDocument, DocumentsHead, FollowError};

/// Time without word from the table, direct or through peers, after which a gate is stale.
pub const STALE_AFTER: Duration = Duration::from_secs(15);

/// All changes after one fleet revision up to another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChangeSet {
    /// The set holds no change up to this revision.
    pub after: DocumentRevision,
    /// The set holds every change after `after` up to this revision.
    pub upto: DocumentRevision,
    /// The newest document of each service that changed.
    pub documents: Vec<AcceptedDocument>,
}

/// What became of an offered change set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BookOutcome {
    /// The set was applied; these services have a new document.
    Applied(Vec<ServiceName>),
    /// Nothing in the set is new.
    Known,
    /// Changes between the book and the set are missing; ask for all changes after this revision.
    Gap(DocumentRevision),
}

/// How far a gate's documents reach, as heartbeats carry it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetDigest {
    /// The gate holds every change up to this revision.
    pub fleet: DocumentRevision,
    /// Time since the table was last known to hold nothing newer; `None` before the first time.
    pub age: Option<Duration>,
}

/// Whether a gate knows its documents to be the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum BookFreshness {
    /// Nothing newer was accepted up to a short while ago.
    Fresh,
    /// The gate is cut off from the table and from every gate that reaches it, and serves on with the
    /// documents that it holds.
    Stale,
    /// The gate has not learned of any revision yet.
    Empty,
}

/// Rows to read to reach the head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HeadPlan {
    after: DocumentRevision,
    upto: DocumentRevision,
    wanted: Vec<(ServiceName, DocumentRevision)>,
}

impl HeadPlan {
    /// The services whose document rows are to be read.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.wanted.iter().map(|(service, _)| service)
    }

    /// The change set made of the rows read.
    ///
    /// A row may be newer than the head: its service then runs ahead of the set, which does no harm.
    ///
    /// # Errors
    ///
    /// A document is missing or older than the head says; a set with holes is never made.
    pub fn complete(self, documents: Vec<AcceptedDocument>) -> Result<ChangeSet, FollowError> {
        for (service, revision) in self.wanted {
            let held = documents.iter().find(|held| *held.service() == service);
            if held.is_none_or(|held| held.revision() < revision) {
                return Err(FollowError::MissingDocument { service, revision });
            }
        }
        Ok(ChangeSet {
            after: self.after,
            upto: self.upto,
            documents,
        })
    }
}

/// The documents in force at one gate.
///
/// ```
/// use ggs_follow::{BookOutcome, ChangeSet, DocumentBook};
/// use ggs_model::DocumentRevision;
///
/// let mut book = DocumentBook::default();
/// let set = ChangeSet { after: DocumentRevision(4), upto: DocumentRevision(5), documents: vec![] };
/// assert_eq!(book.offer(set), BookOutcome::Gap(DocumentRevision(0)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct DocumentBook {
    fleet: DocumentRevision,
    documents: BTreeMap<ServiceName, AcceptedDocument>,
    confirmed: Option<Moment>,
}

impl DocumentBook {
    /// The book holds every change up to this revision.
    pub fn fleet(&self) -> DocumentRevision {
        self.fleet
    }

    /// The document in force for `service`.
    pub fn get(&self, service: &ServiceName) -> Option<&VersionedDocument> {
        self.documents.get(service).map(|held| &held.versioned)
    }

    /// All documents in force, in order of service.
    pub fn documents(&self) -> impl Iterator<Item = &VersionedDocument> {
        self.documents.values().map(|held| &held.versioned)
    }

    /// Takes a change set from the table or a peer.
    ///
    /// Applies the set as a whole or not at all, and of it only documents newer than those held.
    pub fn offer(&mut self, set: ChangeSet) -> BookOutcome {
        if set.after > self.fleet {
            return BookOutcome::Gap(self.fleet);
        }
        if set.upto <= self.fleet {
            return BookOutcome::Known;
        }
        self.fleet = set.upto;
        let mut changed = Vec::new();
        for accepted in set.documents {
            let held = self.documents.get(accepted.service());
            if held.is_some_and(|held| held.revision() >= accepted.revision()) {
                continue;
            }
            changed.push(accepted.service().clone());
            self.documents.insert(accepted.service().clone(), accepted);
        }
        BookOutcome::Applied(changed)
    }

    /// Compares the table's head with the book; `None` when there is nothing to read.
    ///
    /// # Errors
    ///
    /// The head is older than the book: the book keeps what it holds.
    pub fn plan(&self, head: &DocumentsHead) -> Result<Option<HeadPlan>, FollowError> {
        if head.fleet < self.fleet {
            return Err(FollowError::HeadBehind {
                head: head.fleet,
                in_force: self.fleet,
            });
        }
        if head.fleet == self.fleet {
            return Ok(None);
        }
        let newer = |(service, revision): &(&ServiceName, &DocumentRevision)| {
            let held = self.documents.get(*service);
            held.is_none_or(|held| held.revision() < **revision)
        };
        let wanted = head.services.iter().filter(newer);
        Ok(Some(HeadPlan {
            after: self.fleet,
            upto: head.fleet,
            wanted: wanted.map(|(name, at)| (name.clone(), *at)).collect(),
        }))
    }

    /// Notes that nothing newer than `fleet` had been accepted at `moment`.
    pub fn confirm(&mut self, fleet: DocumentRevision, moment: Moment) {
        if fleet <= self.fleet {
            self.confirmed = self.confirmed.max(Some(moment));
        }
    }

    /// Takes a peer's digest; the revision after which to ask it for all changes, if it has newer.
    ///
    /// The age travels as a length and not as a time of day, so clocks need not agree, and two gates
    /// that are cut off together cannot keep each other fresh.
    pub fn compare(&mut self, digest: FleetDigest, now: Moment) -> Option<DocumentRevision> {
        if let Some(age) = digest.age {
            self.confirm(digest.fleet, now - age);
        }
        (digest.fleet > self.fleet).then_some(self.fleet)
    }

    /// How far the book reaches.
    pub fn digest(&self, now: Moment) -> FleetDigest {
        FleetDigest {
            fleet: self.fleet,
            age: self.confirmed.map(|moment| now.since(moment)),
        }
    }

    /// All changes after a revision.
    pub fn changes_since(&self, after: DocumentRevision) -> ChangeSet {
        let newer = self
            .documents
            .values()
            .filter(|held| held.revision() > after);
        ChangeSet {
            after,
            upto: self.fleet,
            documents: newer.cloned().collect(),
        }
    }

    /// Whether the book is known to hold the newest documents.
    pub fn freshness(&self, now: Moment) -> BookFreshness {
        match self.confirmed {
            Some(moment) if now.since(moment) <= STALE_AFTER => BookFreshness::Fresh,
            None if self.fleet == DocumentRevision::default() => BookFreshness::Empty,
            _ => BookFreshness::Stale,
        }
    }
}
