//! Checks the replica against a naive one with change sets that arrive late, twice and with gaps.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ggs_follow::{
    AcceptedDocument, ApplyOutcome, ChangeSet, DocumentError, DocumentReplica, DocumentsHead,
    FleetDigest, ReplicaFreshness, STALE_AFTER,
};
use ggs_model::{DocumentRevision, Moment, ServiceDocument, ServiceName, VersionedDocument};
use proptest::prelude::*;

/// Names of the services that change.
const SERVICES: [&str; 3] = ["roster", "ledger", "yield"];

fn document(service: &str, revision: u64) -> AcceptedDocument {
    let document = Arc::new(ServiceDocument::new(service, "wagowa"));
    let revision = DocumentRevision(revision);
    let versioned = VersionedDocument { revision, document };
    let edits = Vec::new();
    AcceptedDocument { versioned, edits }
}

/// Returns the changes in `(after, up_to]` of a history whose change `n` is at index `n - 1`.
fn slice_set(history: &[usize], after: u64, up_to: u64) -> ChangeSet {
    let mut newest = BTreeMap::new();
    for revision in after + 1..=up_to {
        newest.insert(history[revision as usize - 1], revision);
    }
    ChangeSet {
        after: DocumentRevision(after),
        up_to: DocumentRevision(up_to),
        documents: newest
            .iter()
            .map(|(index, at)| document(SERVICES[*index], *at))
            .collect(),
    }
}

/// A replica under test, correct or naive.
trait ApplyTarget: Default {
    fn receive(&mut self, set: ChangeSet);
    fn revision_of(&self, service: &str) -> u64;
    fn reached(&self) -> u64;
}

impl ApplyTarget for DocumentReplica {
    fn receive(&mut self, set: ChangeSet) {
        self.apply(set);
    }
    fn revision_of(&self, service: &str) -> u64 {
        self.get(&ServiceName::new(service))
            .map_or(0, |current| current.revision.0)
    }
    fn reached(&self) -> u64 {
        self.fleet_revision().0
    }
}

/// Applies every set in the order of arrival.
#[derive(Default)]
struct NaiveReplica {
    revisions: BTreeMap<ServiceName, u64>,
    fleet: u64,
}

impl ApplyTarget for NaiveReplica {
    fn receive(&mut self, set: ChangeSet) {
        self.fleet = set.up_to.0;
        for accepted in set.documents {
            self.revisions
                .insert(accepted.service().clone(), accepted.revision().0);
        }
    }
    fn revision_of(&self, service: &str) -> u64 {
        self.revisions.get(service).copied().unwrap_or_default()
    }
    fn reached(&self) -> u64 {
        self.fleet
    }
}

/// Applies the sets in turn, and fails if a service reverts to an older document or lacks a change
/// that the fleet revision includes.
fn check_sets<T: ApplyTarget>(history: &[usize], sets: &[(u64, u64)]) -> Result<(), String> {
    let mut target = T::default();
    for (after, up_to) in sets {
        let before = SERVICES.map(|service| target.revision_of(service));
        target.receive(slice_set(history, *after, *up_to));
        for (index, service) in SERVICES.iter().enumerate() {
            let current = target.revision_of(service);
            if current < before[index] {
                return Err(format!(
                    "{service} reverted from {} to {current}",
                    before[index]
                ));
            }
            let reached = target.reached();
            let newest = (1..=reached)
                .rev()
                .find(|at| history[*at as usize - 1] == index);
            if current != newest.unwrap_or_default() {
                return Err(format!(
                    "{service} is at {current}, but the fleet revision is {reached}"
                ));
            }
        }
    }
    Ok(())
}

proptest! {
    #[test]
    fn replica_never_reverts_and_has_no_gaps(
        history in prop::collection::vec(0..SERVICES.len(), 1..20),
        picks in prop::collection::vec((any::<u64>(), any::<u64>()), 1..40),
    ) {
        let length = history.len() as u64 + 1;
        let bounds = |(a, b): &(u64, u64)| ((a % length).min(b % length), (a % length).max(b % length));
        let sets: Vec<_> = picks.iter().map(bounds).collect();
        prop_assert_eq!(check_sets::<DocumentReplica>(&history, &sets), Ok(()));
    }
}

/// Shows that the checks can fail: a replica that applies every set reverts services and skips
/// changes.
#[test]
fn naive_replica_fails_the_same_checks() {
    struct Case {
        name: &'static str,
        sets: &'static [(u64, u64)],
    }
    let cases = [
        Case {
            name: "an old set arrives late",
            sets: &[(0, 3), (0, 1)],
        },
        Case {
            name: "a set is missing",
            sets: &[(0, 1), (2, 3)],
        },
    ];
    for case in cases {
        let history = [0, 1, 0];
        assert_eq!(
            check_sets::<DocumentReplica>(&history, case.sets),
            Ok(()),
            "{}",
            case.name
        );
        assert!(
            check_sets::<NaiveReplica>(&history, case.sets).is_err(),
            "{}",
            case.name
        );
    }
}

/// A replica that applied a set above its own revision would skip the changes in between for good.
#[test]
fn gap_is_filled_by_the_requested_changes() {
    let history = [0, 1, 0, 2, 1];
    let mut newest = DocumentReplica::default();
    newest.apply(slice_set(&history, 0, 5));
    let mut behind = DocumentReplica::default();
    behind.apply(slice_set(&history, 0, 2));
    let gap = behind.apply(slice_set(&history, 4, 5));
    assert_eq!(gap, ApplyOutcome::Gap(DocumentRevision(2)));
    let requested = behind.merge_digest(newest.digest(Moment::ZERO), Moment::ZERO);
    assert_eq!(requested, Some(DocumentRevision(2)));
    let outcome = behind.apply(newest.changes_since(DocumentRevision(2)));
    let changed = ["ledger", "roster", "yield"].map(ServiceName::new).to_vec();
    assert_eq!(outcome, ApplyOutcome::Applied(changed));
    assert_eq!(behind.fleet_revision(), newest.fleet_revision());
}

/// A document row may be missing or older than the head says. A replica that applied only the other
/// rows would report a fleet revision of which it lacks a change.
#[test]
fn head_with_a_missing_row_is_not_applied_in_part() {
    let services = [("ledger", 2), ("roster", 3)];
    let services = services.map(|(name, at)| (ServiceName::new(name), DocumentRevision(at)));
    let head = DocumentsHead {
        fleet: DocumentRevision(3),
        services: services.into(),
    };
    let mut replica = DocumentReplica::default();
    for rows in [
        vec![],
        vec![document("roster", 3)],
        vec![document("roster", 3), document("ledger", 1)],
    ] {
        let plan = replica.plan_catch_up(&head).unwrap().unwrap();
        assert!(plan.into_change_set(rows).is_err());
    }
    let plan = replica.plan_catch_up(&head).unwrap().unwrap();
    let set = plan
        .into_change_set(vec![document("roster", 3), document("ledger", 2)])
        .unwrap();
    replica.apply(set);
    assert_eq!(replica.plan_catch_up(&head), Ok(None));
    let older = DocumentsHead {
        fleet: DocumentRevision(1),
        ..head
    };
    assert!(matches!(
        replica.plan_catch_up(&older),
        Err(DocumentError::HeadBehind { .. })
    ));
}

/// Gates pass on when the table was last read. If each took a digest as a new confirmation, two
/// gates that both lost the table would report their documents as fresh forever.
#[test]
fn two_gates_cut_off_together_do_not_keep_each_other_fresh() {
    let mut replicas = [DocumentReplica::default(), DocumentReplica::default()];
    assert_eq!(replicas[0].freshness(Moment::ZERO), ReplicaFreshness::Empty);
    replicas[0].confirm(DocumentRevision(0), Moment::ZERO);
    let mut now = Moment::ZERO;
    for _ in 0..20 {
        now = now + Duration::from_secs(1);
        for index in [0, 1] {
            let digest = replicas[index].digest(now);
            replicas[1 - index].merge_digest(digest, now);
        }
        let late = now.since(Moment::ZERO) > STALE_AFTER;
        let expected = if late {
            ReplicaFreshness::Stale
        } else {
            ReplicaFreshness::Fresh
        };
        assert_eq!(
            replicas.each_ref().map(|replica| replica.freshness(now)),
            [expected; 2],
            "{now:?}"
        );
    }
    let digest = FleetDigest {
        fleet: DocumentRevision(0),
        age: Some(Duration::ZERO),
    };
    replicas[1].merge_digest(digest, now);
    assert_eq!(replicas[1].freshness(now), ReplicaFreshness::Fresh);
}
