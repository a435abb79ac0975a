//! Commits edits to a table that loses requests and answers, delays writes, and accepts other
//! operators' edits in between.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::sync::Arc;

use ggs_follow::{AcceptOutcome, DocumentEdit, EditPlan, accept_edit, document_key, plan_edit};
use ggs_model::{DocumentRevision, EditId, ServiceDocument, ServiceName};
use ggs_store::{MemoryTable, StoreError, TableRow, TableStore, TableWrite, WriteOutcome};

/// What the fake table does with one write.
#[derive(Clone, Copy, Debug, PartialEq)]
enum WriteBehaviour {
    Answered,
    AnswerLost,
    RequestLost,
    Delayed,
    Unavailable,
    OtherEditFirst(&'static str),
}

/// A table in memory with scripted behaviour for its next writes.
#[derive(Default)]
struct FakeTable {
    rows: RefCell<MemoryTable>,
    behaviours: RefCell<VecDeque<WriteBehaviour>>,
    delayed: RefCell<Vec<TableWrite>>,
}

impl FakeTable {
    fn apply(&self, write: &TableWrite) -> WriteOutcome {
        self.rows.borrow_mut().write(write)
    }

    fn apply_delayed(&self) -> Vec<WriteOutcome> {
        self.delayed
            .take()
            .iter()
            .map(|write| self.apply(write))
            .collect()
    }
}

fn unanswered() -> StoreError {
    StoreError::Unanswered {
        call: "write".to_owned(),
        cause: "timeout".to_owned(),
    }
}

impl TableStore for FakeTable {
    async fn get(&self, key: &str) -> Result<Option<TableRow>, StoreError> {
        Ok(self.rows.borrow().get(key))
    }

    async fn list(&self, prefix: &str) -> Result<Vec<TableRow>, StoreError> {
        Ok(self.rows.borrow().list(prefix))
    }

    async fn write(&self, write: &TableWrite) -> Result<WriteOutcome, StoreError> {
        let behaviour = self
            .behaviours
            .borrow_mut()
            .pop_front()
            .unwrap_or(WriteBehaviour::Answered);
        match behaviour {
            WriteBehaviour::Answered => Ok(self.apply(write)),
            WriteBehaviour::AnswerLost => {
                self.apply(write);
                Err(unanswered())
            }
            WriteBehaviour::RequestLost => Err(unanswered()),
            WriteBehaviour::Delayed => {
                self.delayed.borrow_mut().push(write.clone());
                Err(unanswered())
            }
            WriteBehaviour::Unavailable => Err(StoreError::Unavailable {
                call: "write".to_owned(),
                cause: "down".to_owned(),
            }),
            WriteBehaviour::OtherEditFirst(service) => {
                let other = edit(service, 99, self.revision_of(service), 7);
                let outcome = Box::pin(accept_edit(self, &other, DocumentRevision(0))).await;
                assert!(matches!(outcome, AcceptOutcome::Accepted(_)));
                Ok(self.apply(write))
            }
        }
    }
}

impl FakeTable {
    /// Returns a number from a row; 0 if there is no row.
    fn number(&self, key: &str, field: &str) -> u64 {
        let row = self.rows.borrow().get(key);
        row.map_or(0, |row| row.value[field].as_u64().unwrap())
    }

    fn revision_of(&self, service: &str) -> u64 {
        self.number(&document_key(&ServiceName::new(service)), "revision")
    }

    fn fleet(&self) -> u64 {
        self.number("documents/head", "fleet")
    }
}

fn edit(service: &str, id: u128, base: u64, retry_percent: u32) -> DocumentEdit {
    let mut document = ServiceDocument::new(service, "wagowa");
    document.retry_percent = retry_percent;
    DocumentEdit {
        id: EditId(id),
        base: DocumentRevision(base),
        document: Arc::new(document),
    }
}

/// Treats a write without an answer as not made, and retries without looking for its own edit in
/// the row. Shows that the cases tell a wrong implementation from a correct one.
async fn accept_naively(table: &FakeTable, edit: &DocumentEdit) -> &'static str {
    for _ in 0..3 {
        let service = edit.document.service.as_str();
        if table.revision_of(service) != edit.base.0 {
            return "conflict";
        }
        let head = table.get("documents/head").await.unwrap();
        let row = table
            .get(&document_key(&edit.document.service))
            .await
            .unwrap();
        let plan = plan_edit(edit, head.as_ref(), row.as_ref(), DocumentRevision(0));
        let Ok(EditPlan::Write { write, .. }) = plan else {
            return "refused";
        };
        match table.write(&write).await {
            Ok(WriteOutcome::Written) => return "accepted",
            Ok(WriteOutcome::Conflict { .. }) => return "conflict",
            Err(_) => {}
        }
    }
    "unavailable"
}

fn kind_of(outcome: &AcceptOutcome) -> &'static str {
    match outcome {
        AcceptOutcome::Accepted(_) | AcceptOutcome::Repeated(_) => "accepted",
        AcceptOutcome::Conflict(_) => "conflict",
        AcceptOutcome::Refused(_) => "refused",
        AcceptOutcome::Unavailable(_) => "unavailable",
        AcceptOutcome::Unknown(_) => "unknown",
    }
}

/// The revision that an accepted edit took.
fn revision_of(outcome: &AcceptOutcome) -> Option<DocumentRevision> {
    match outcome {
        AcceptOutcome::Accepted(change) => Some(change.up_to),
        AcceptOutcome::Repeated(revision) => Some(*revision),
        _ => None,
    }
}

/// A write whose answer is lost may have taken effect, now or later. An implementation that takes
/// the lost answer for a failure reports a conflict with its own edit, or commits it a second time.
#[actix_rt::test]
async fn outcome_is_correct_when_writes_are_lost_delayed_or_refused() {
    struct Case {
        behaviours: &'static [WriteBehaviour],
        expected: &'static str,
        naive: &'static str,
        fleet: u64,
    }
    use WriteBehaviour::{AnswerLost, Answered, Delayed, OtherEditFirst, RequestLost, Unavailable};
    let cases = [
        Case {
            behaviours: &[],
            expected: "accepted",
            naive: "accepted",
            fleet: 1,
        },
        Case {
            behaviours: &[AnswerLost],
            expected: "accepted",
            naive: "conflict",
            fleet: 1,
        },
        Case {
            behaviours: &[RequestLost],
            expected: "accepted",
            naive: "accepted",
            fleet: 1,
        },
        Case {
            behaviours: &[Delayed],
            expected: "accepted",
            naive: "accepted",
            fleet: 1,
        },
        Case {
            behaviours: &[Delayed, AnswerLost],
            expected: "accepted",
            naive: "conflict",
            fleet: 1,
        },
        Case {
            behaviours: &[Unavailable],
            expected: "unavailable",
            naive: "accepted",
            fleet: 0,
        },
        Case {
            behaviours: &[Delayed, Unavailable],
            expected: "unknown",
            naive: "accepted",
            fleet: 0,
        },
        Case {
            behaviours: &[OtherEditFirst("ledger")],
            expected: "conflict",
            naive: "conflict",
            fleet: 1,
        },
        Case {
            behaviours: &[OtherEditFirst("yield")],
            expected: "accepted",
            naive: "conflict",
            fleet: 2,
        },
        Case {
            behaviours: &[RequestLost, OtherEditFirst("ledger")],
            expected: "conflict",
            naive: "conflict",
            fleet: 1,
        },
        Case {
            behaviours: &[RequestLost, OtherEditFirst("yield"), Answered],
            expected: "accepted",
            naive: "conflict",
            fleet: 2,
        },
    ];
    for case in cases {
        let table = FakeTable {
            behaviours: RefCell::new(case.behaviours.iter().copied().collect()),
            ..FakeTable::default()
        };
        let ledger_edit = edit("ledger", 1, 0, 1);
        let outcome = accept_edit(&table, &ledger_edit, DocumentRevision(0)).await;
        assert_eq!(kind_of(&outcome), case.expected, "{:?}", case.behaviours);
        assert_eq!(table.fleet(), case.fleet, "{:?}", case.behaviours);
        if case.expected == "accepted" {
            let late = table.apply_delayed();
            assert!(
                !late.contains(&WriteOutcome::Written),
                "{:?}: written twice",
                case.behaviours
            );
            let again = accept_edit(&table, &ledger_edit, DocumentRevision(0)).await;
            assert_eq!(
                revision_of(&again),
                revision_of(&outcome),
                "{:?}: sent again",
                case.behaviours
            );
            assert_eq!(table.fleet(), case.fleet, "{:?}", case.behaviours);
        }
        let table = FakeTable {
            behaviours: RefCell::new(case.behaviours.iter().copied().collect()),
            ..FakeTable::default()
        };
        assert_eq!(
            accept_naively(&table, &ledger_edit).await,
            case.naive,
            "{:?}",
            case.behaviours
        );
    }
}

/// A client that got no answer may retry after another operator has edited the document. Without
/// the list of accepted edits, the retry would be reported as a conflict.
#[actix_rt::test]
async fn repeated_edit_gets_its_first_revision_after_later_edits() {
    let table = FakeTable::default();
    let first = edit("ledger", 1, 0, 1);
    let in_force = DocumentRevision(0);
    let accepted = accept_edit(&table, &first, in_force).await;
    accept_edit(&table, &edit("ledger", 2, 1, 2), in_force).await;
    let again = accept_edit(&table, &first, in_force).await;
    assert_eq!(
        Some(again),
        revision_of(&accepted).map(AcceptOutcome::Repeated)
    );
    let reused = accept_edit(&table, &edit("ledger", 1, 2, 3), in_force).await;
    assert_eq!(kind_of(&reused), "refused");
    assert_eq!(table.fleet(), 2);
}

/// A table that was restored from a backup would assign revisions that gates know as other changes.
#[actix_rt::test]
async fn table_behind_the_gate_accepts_no_edit() {
    let table = FakeTable::default();
    let ledger_edit = edit("ledger", 1, 0, 1);
    let outcome = accept_edit(&table, &ledger_edit, DocumentRevision(5)).await;
    assert_eq!(kind_of(&outcome), "unavailable");
    assert_eq!(table.fleet(), 0);
}
