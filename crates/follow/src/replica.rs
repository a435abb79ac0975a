//! The documents in force at one gate, and how complete and how current they are.
//!
//! Decides which changes from the table or from another gate are applied, which changes the gate
//! has to ask for, and whether its documents count as stale. Change sets arrive from several
//! sources at once, late or repeated; a service must never go back to an older document, and a gate
//! must never report a fleet revision below which it lacks a change.

use std::collections::BTreeMap;
use std::time::Duration;

use ggs_model::{DocumentRevision, Moment, ServiceName, VersionedDocument};

use crate::{AcceptedDocument, DocumentError, DocumentsHead};

/// Time after the last confirmation by the table, direct or through other gates, at which a gate's
/// documents become stale.
pub const STALE_AFTER: Duration = Duration::from_secs(15);

/// All changes after one fleet revision, up to and including another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChangeSet {
    /// Revision that the receiver must have reached: the set holds no change up to it.
    pub after: DocumentRevision,
    /// Revision that the receiver reaches by applying the set.
    pub up_to: DocumentRevision,
    /// The newest document of each service that changed.
    pub documents: Vec<AcceptedDocument>,
}

/// Result of applying a change set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The set was applied; these services have a new document.
    Applied(Vec<ServiceName>),
    /// The replica had reached the end of the set before; nothing changed.
    AlreadyApplied,
    /// The set starts above this revision, the replica's own, and was not applied. All changes
    /// after this revision have to be requested.
    Gap(DocumentRevision),
}

/// Fleet revision of a gate and its age, as sent in heartbeats.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct FleetDigest {
    /// Fleet revision: the gate has every change up to it.
    pub fleet: DocumentRevision,
    /// Time since the table was last known to hold nothing newer; `None` if that was never known.
    pub age: Option<Duration>,
}

/// Whether a gate's documents are known to be the newest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum ReplicaFreshness {
    /// The table held nothing newer at most [`STALE_AFTER`] ago.
    Fresh,
    /// The gate can reach neither the table nor a gate that reaches it, or it lags behind. It keeps
    /// the documents that it has in force.
    Stale,
    /// The gate has no documents yet, and no confirmation that there are none.
    Empty,
}

/// The document rows that a replica has to read to reach the fleet revision of the table's head.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CatchUpPlan {
    after: DocumentRevision,
    up_to: DocumentRevision,
    outdated: Vec<(ServiceName, DocumentRevision)>,
}

impl CatchUpPlan {
    /// Returns the services whose document rows have to be read.
    pub fn services(&self) -> impl Iterator<Item = &ServiceName> {
        self.outdated.iter().map(|(service, _)| service)
    }

    /// Builds the change set from the documents that were read.
    ///
    /// The head and the rows are read by separate calls, so a document may be newer than the head
    /// says. That does no harm: when the document arrives again in a later change set, the replica
    /// skips it.
    ///
    /// # Errors
    ///
    /// A document is missing or older than the head says, so the set would lack a change.
    pub fn into_change_set(
        self,
        documents: Vec<AcceptedDocument>,
    ) -> Result<ChangeSet, DocumentError> {
        for (service, revision) in self.outdated {
            let current = documents
                .iter()
                .find(|current| *current.service() == service);
            if current.is_none_or(|current| current.revision() < revision) {
                return Err(DocumentError::MissingDocument { service, revision });
            }
        }
        Ok(ChangeSet {
            after: self.after,
            up_to: self.up_to,
            documents,
        })
    }
}

/// One gate's copy of the accepted documents.
///
/// ```
/// use ggs_follow::{ApplyOutcome, ChangeSet, DocumentReplica};
/// use ggs_model::DocumentRevision;
///
/// let mut replica = DocumentReplica::default();
/// let set = ChangeSet { after: DocumentRevision(4), up_to: DocumentRevision(5), documents: vec![] };
/// assert_eq!(replica.apply(set), ApplyOutcome::Gap(DocumentRevision(0)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct DocumentReplica {
    fleet_revision: DocumentRevision,
    documents: BTreeMap<ServiceName, AcceptedDocument>,
    confirmed_at: Option<Moment>,
}

impl DocumentReplica {
    /// Returns the fleet revision that the replica has reached: it has every change up to it.
    pub fn fleet_revision(&self) -> DocumentRevision {
        self.fleet_revision
    }

    /// Returns the document in force for `service`.
    pub fn get(&self, service: &ServiceName) -> Option<&VersionedDocument> {
        self.documents
            .get(service)
            .map(|current| &current.versioned)
    }

    /// Returns all documents in force, ordered by service name.
    pub fn documents(&self) -> impl Iterator<Item = &VersionedDocument> {
        self.documents.values().map(|current| &current.versioned)
    }

    /// Applies a change set from the table or another gate, as a whole or not at all.
    ///
    /// A document of the set that is not newer than the current one is skipped.
    pub fn apply(&mut self, set: ChangeSet) -> ApplyOutcome {
        if set.after > self.fleet_revision {
            return ApplyOutcome::Gap(self.fleet_revision);
        }
        if set.up_to <= self.fleet_revision {
            return ApplyOutcome::AlreadyApplied;
        }
        self.fleet_revision = set.up_to;
        let mut changed = Vec::new();
        for accepted in set.documents {
            let current = self.documents.get(accepted.service());
            if current.is_some_and(|current| current.revision() >= accepted.revision()) {
                continue;
            }
            changed.push(accepted.service().clone());
            self.documents.insert(accepted.service().clone(), accepted);
        }
        ApplyOutcome::Applied(changed)
    }

    /// Returns which rows to read to reach the table's head; `None` if the replica has reached it.
    ///
    /// # Errors
    ///
    /// The head is older than the replica. The replica keeps its documents.
    pub fn plan_catch_up(
        &self,
        head: &DocumentsHead,
    ) -> Result<Option<CatchUpPlan>, DocumentError> {
        if head.fleet < self.fleet_revision {
            return Err(DocumentError::HeadBehind {
                head: head.fleet,
                in_force: self.fleet_revision,
            });
        }
        if head.fleet == self.fleet_revision {
            return Ok(None);
        }
        let is_outdated = |(service, revision): &(&ServiceName, &DocumentRevision)| {
            let current = self.documents.get(*service);
            current.is_none_or(|current| current.revision() < **revision)
        };
        let outdated = head.services.iter().filter(is_outdated);
        Ok(Some(CatchUpPlan {
            after: self.fleet_revision,
            up_to: head.fleet,
            outdated: outdated
                .map(|(name, revision)| (name.clone(), *revision))
                .collect(),
        }))
    }

    /// Records that nothing newer than `fleet` had been accepted at `moment`.
    ///
    /// Ignored while the replica is behind `fleet`.
    pub fn confirm(&mut self, fleet: DocumentRevision, moment: Moment) {
        if fleet <= self.fleet_revision {
            self.confirmed_at = self.confirmed_at.max(Some(moment));
        }
    }

    /// Merges the digest of another gate. If that gate has newer changes, returns the revision
    /// after which to request them.
    ///
    /// The digest carries an age and not a time of day, so the clocks of the gates need not agree.
    /// The age keeps growing while it is passed on, so two gates that are both cut off from the
    /// table cannot keep each other fresh.
    pub fn merge_digest(&mut self, digest: FleetDigest, now: Moment) -> Option<DocumentRevision> {
        if let Some(age) = digest.age {
            self.confirm(digest.fleet, now - age);
        }
        (digest.fleet > self.fleet_revision).then_some(self.fleet_revision)
    }

    /// Returns the fleet revision and its age, to be sent to other gates.
    pub fn digest(&self, now: Moment) -> FleetDigest {
        FleetDigest {
            fleet: self.fleet_revision,
            age: self.confirmed_at.map(|moment| now.since(moment)),
        }
    }

    /// Returns all changes after a revision.
    pub fn changes_since(&self, after: DocumentRevision) -> ChangeSet {
        let newer = self
            .documents
            .values()
            .filter(|current| current.revision() > after);
        ChangeSet {
            after,
            up_to: self.fleet_revision,
            documents: newer.cloned().collect(),
        }
    }

    /// Returns whether the documents are known to be the newest.
    pub fn freshness(&self, now: Moment) -> ReplicaFreshness {
        match self.confirmed_at {
            Some(moment) if now.since(moment) <= STALE_AFTER => ReplicaFreshness::Fresh,
            None if self.fleet_revision == DocumentRevision::default() => ReplicaFreshness::Empty,
            _ => ReplicaFreshness::Stale,
        }
    }
}
