//! The book against a naive one, on sets that come late, twice and with holes.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use ggs_follow::{
    AcceptedDocument, BookFreshness, BookOutcome, ChangeSet, DocumentBook, DocumentsHead,
    FleetDigest, FollowError, STALE_AFTER,
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

/// The set of changes in `(after, upto]` of a history whose change `n` is at index `n - 1`.
fn slice_set(history: &[usize], after: u64, upto: u64) -> ChangeSet {
    let mut newest = BTreeMap::new();
    for revision in after + 1..=upto {
        newest.insert(history[revision as usize - 1], revision);
    }
    ChangeSet {
        after: DocumentRevision(after),
        upto: DocumentRevision(upto),
        documents: newest
            .iter()
            .map(|(index, at)| document(SERVICES[*index], *at))
            .collect(),
    }
}

/// A thing that change sets are offered to.
trait OfferTarget: Default {
    fn take(&mut self, set: ChangeSet);
    fn revision_of(&self, service: &str) -> u64;
    fn claimed(&self) -> u64;
}

impl OfferTarget for DocumentBook {
    fn take(&mut self, set: ChangeSet) {
        self.offer(set);
    }
    fn revision_of(&self, service: &str) -> u64 {
        self.get(&ServiceName::new(service))
            .map_or(0, |held| held.revision.0)
    }
    fn claimed(&self) -> u64 {
        self.fleet().0
    }
}

/// Takes whatever comes last.
#[derive(Default)]
struct NaiveBook {
    revisions: BTreeMap<ServiceName, u64>,
    fleet: u64,
}

impl OfferTarget for NaiveBook {
    fn take(&mut self, set: ChangeSet) {
        self.fleet = set.upto.0;
        for accepted in set.documents {
            self.revisions
                .insert(accepted.service().clone(), accepted.revision().0);
        }
    }
    fn revision_of(&self, service: &str) -> u64 {
        self.revisions.get(service).copied().unwrap_or_default()
    }
    fn claimed(&self) -> u64 {
        self.fleet
    }
}

/// Offers the sets in turn; says what was broken, if anything.
fn check_offers<T: OfferTarget>(history: &[usize], offers: &[(u64, u64)]) -> Result<(), String> {
    let mut target = T::default();
    for (after, upto) in offers {
        let before = SERVICES.map(|service| target.revision_of(service));
        target.take(slice_set(history, *after, *upto));
        for (index, service) in SERVICES.iter().enumerate() {
            let held = target.revision_of(service);
            if held < before[index] {
                return Err(format!(
                    "{service} went back from {} to {held}",
                    before[index]
                ));
            }
            let claimed = target.claimed();
            let newest = (1..=claimed)
                .rev()
                .find(|at| history[*at as usize - 1] == index);
            if held != newest.unwrap_or_default() {
                return Err(format!(
                    "{service} at {held}, but the claim is all up to {claimed}"
                ));
            }
        }
    }
    Ok(())
}

proptest! {
    #[test]
    fn book_never_reverts_and_has_no_holes(
        history in prop::collection::vec(0..SERVICES.len(), 1..20),
        picks in prop::collection::vec((any::<u64>(), any::<u64>()), 1..40),
    ) {
        let length = history.len() as u64 + 1;
        let bounds = |(a, b): &(u64, u64)| ((a % length).min(b % length), (a % length).max(b % length));
        let offers: Vec<_> = picks.iter().map(bounds).collect();
        prop_assert_eq!(check_offers::<DocumentBook>(&history, &offers), Ok(()));
    }
}

#[test]
fn naive_book_fails_the_same_checks() {
    struct Case {
        name: &'static str,
        offers: &'static [(u64, u64)],
    }
    let cases = [
        Case {
            name: "an old set comes late",
            offers: &[(0, 3), (0, 1)],
        },
        Case {
            name: "a set is missing",
            offers: &[(0, 1), (2, 3)],
        },
    ];
    for case in cases {
        let history = [0, 1, 0];
        assert_eq!(
            check_offers::<DocumentBook>(&history, case.offers),
            Ok(()),
            "{}",
            case.name
        );
        assert!(
            check_offers::<NaiveBook>(&history, case.offers).is_err(),
            "{}",
            case.name
        );
    }
}

#[test]
fn gap_is_closed_by_the_changes_asked_for() {
    let history = [0, 1, 0, 2, 1];
    let mut newest = DocumentBook::default();
    newest.offer(slice_set(&history, 0, 5));
    let mut behind = DocumentBook::default();
    behind.offer(slice_set(&history, 0, 2));
    let gap = behind.offer(slice_set(&history, 4, 5));
    assert_eq!(gap, BookOutcome::Gap(DocumentRevision(2)));
    let asked = behind.compare(newest.digest(Moment::ZERO), Moment::ZERO);
    assert_eq!(asked, Some(DocumentRevision(2)));
    let outcome = behind.offer(newest.changes_since(DocumentRevision(2)));
    let changed = ["ledger", "roster", "yield"].map(ServiceName::new).to_vec();
    assert_eq!(outcome, BookOutcome::Applied(changed));
    assert_eq!(behind.fleet(), newest.fleet());
}

#[test]
fn head_with_a_missing_row_is_not_followed_in_part() {
    let services = [("ledger", 2), ("roster", 3)];
    let services = services.map(|(name, at)| (ServiceName::new(name), DocumentRevision(at)));
    let head = DocumentsHead {
        fleet: DocumentRevision(3),
        services: services.into(),
    };
    let mut book = DocumentBook::default();
    for rows in [
        vec![],
        vec![document("roster", 3)],
        vec![document("roster", 3), document("ledger", 1)],
    ] {
        let plan = book.plan(&head).unwrap().unwrap();
        assert!(plan.complete(rows).is_err());
    }
    let plan = book.plan(&head).unwrap().unwrap();
    let set = plan
        .complete(vec![document("roster", 3), document("ledger", 2)])
        .unwrap();
    book.offer(set);
    assert_eq!(book.plan(&head), Ok(None));
    let older = DocumentsHead {
        fleet: DocumentRevision(1),
        ..head
    };
    assert!(matches!(
        book.plan(&older),
        Err(FollowError::HeadBehind { .. })
    ));
}

#[test]
fn two_gates_cut_off_together_do_not_keep_each_other_fresh() {
    let mut books = [DocumentBook::default(), DocumentBook::default()];
    assert_eq!(books[0].freshness(Moment::ZERO), BookFreshness::Empty);
    books[0].confirm(DocumentRevision(0), Moment::ZERO);
    let mut now = Moment::ZERO;
    for _ in 0..20 {
        now = now + Duration::from_secs(1);
        for index in [0, 1] {
            let digest = books[index].digest(now);
            books[1 - index].compare(digest, now);
        }
        let late = now.since(Moment::ZERO) > STALE_AFTER;
        let expected = if late {
            BookFreshness::Stale
        } else {
            BookFreshness::Fresh
        };
        assert_eq!(
            books.each_ref().map(|book| book.freshness(now)),
            [expected; 2],
            "{now:?}"
        );
    }
    let digest = FleetDigest {
        fleet: DocumentRevision(0),
        age: Some(Duration::ZERO),
    };
    books[1].compare(digest, now);
    assert_eq!(books[1].freshness(now), BookFreshness::Fresh);
}
