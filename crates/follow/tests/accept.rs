//! Edits against a table that loses answers, holds writes back, and takes other operators' edits.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::sync::Arc;

use ggs_follow::{AcceptOutcome, DocumentEdit, EditPlan, accept_edit, document_key, plan_edit};
use ggs_model::{DocumentRevision, EditId, ServiceDocument, ServiceName};
use ggs_store::{MemoryTable, StoreError, TableRow, TableStore, TableWrite, WriteOutcome};

/// What happens to one write.
#[derive(Clone, Copy, Debug, PartialEq)]
enum WriteFate {
    Answered,
    AnswerLost,
    RequestLost,
    TakenLater,
    Refused,
    OtherFirst(&'static str),
}

/// A table in memory with a list of fates for its next writes.
#[derive(Default)]
struct FakeTable {
    rows: RefCell<MemoryTable>,
    fates: RefCell<VecDeque<WriteFate>>,
    held: RefCell<Vec<TableWrite>>,
}

impl FakeTable {
    fn apply(&self, write: &TableWrite) -> WriteOutcome {
        self.rows.borrow_mut().write(write)
    }

    fn late_writes(&self) -> Vec<WriteOutcome> {
        self.held
            .take()
            .iter()
            .map(|write| self.apply(write))
            .collect()
    }
}

fn lost() -> StoreError {
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
        let fate = self
            .fates
            .borrow_mut()
            .pop_front()
            .unwrap_or(WriteFate::Answered);
        match fate {
            WriteFate::Answered => Ok(self.apply(write)),
            WriteFate::AnswerLost => {
                self.apply(write);
                Err(lost())
            }
            WriteFate::RequestLost => Err(lost()),
            WriteFate::TakenLater => {
                self.held.borrow_mut().push(write.clone());
                Err(lost())
            }
            WriteFate::Refused => Err(StoreError::Unavailable {
                call: "write".to_owned(),
                cause: "down".to_owned(),
            }),
            WriteFate::OtherFirst(service) => {
                let other = edit(service, 99, self.revision_of(service), 7);
                let outcome = Box::pin(accept_edit(self, &other, DocumentRevision(0))).await;
                assert!(matches!(outcome, AcceptOutcome::Accepted(_)));
                Ok(self.apply(write))
            }
        }
    }
}

impl FakeTable {
    /// A number in a row; 0 if there is no row.
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

/// Takes a lost answer for a write that was not made, and starts over without looking for its own.
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

fn name_of(outcome: &AcceptOutcome) -> &'static str {
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
        AcceptOutcome::Accepted(change) => Some(change.upto),
        AcceptOutcome::Repeated(revision) => Some(*revision),
        _ => None,
    }
}

#[actix_rt::test]
async fn answers_are_true_whatever_becomes_of_the_write() {
    struct Case {
        fates: &'static [WriteFate],
        expected: &'static str,
        naive: &'static str,
        fleet: u64,
    }
    use WriteFate::{AnswerLost, Answered, OtherFirst, Refused, RequestLost, TakenLater};
    let cases = [
        Case {
            fates: &[],
            expected: "accepted",
            naive: "accepted",
            fleet: 1,
        },
        Case {
            fates: &[AnswerLost],
            expected: "accepted",
            naive: "conflict",
            fleet: 1,
        },
        Case {
            fates: &[RequestLost],
            expected: "accepted",
            naive: "accepted",
            fleet: 1,
        },
        Case {
            fates: &[TakenLater],
            expected: "accepted",
            naive: "accepted",
            fleet: 1,
        },
        Case {
            fates: &[TakenLater, AnswerLost],
            expected: "accepted",
            naive: "conflict",
            fleet: 1,
        },
        Case {
            fates: &[Refused],
            expected: "unavailable",
            naive: "accepted",
            fleet: 0,
        },
        Case {
            fates: &[TakenLater, Refused],
            expected: "unknown",
            naive: "accepted",
            fleet: 0,
        },
        Case {
            fates: &[OtherFirst("ledger")],
            expected: "conflict",
            naive: "conflict",
            fleet: 1,
        },
        Case {
            fates: &[OtherFirst("yield")],
            expected: "accepted",
            naive: "conflict",
            fleet: 2,
        },
        Case {
            fates: &[RequestLost, OtherFirst("ledger")],
            expected: "conflict",
            naive: "conflict",
            fleet: 1,
        },
        Case {
            fates: &[RequestLost, OtherFirst("yield"), Answered],
            expected: "accepted",
            naive: "conflict",
            fleet: 2,
        },
    ];
    for case in cases {
        let table = FakeTable {
            fates: RefCell::new(case.fates.iter().copied().collect()),
            ..FakeTable::default()
        };
        let change = edit("ledger", 1, 0, 1);
        let answer = accept_edit(&table, &change, DocumentRevision(0)).await;
        assert_eq!(name_of(&answer), case.expected, "{:?}", case.fates);
        assert_eq!(table.fleet(), case.fleet, "{:?}", case.fates);
        if case.expected == "accepted" {
            let late = table.late_writes();
            assert!(
                !late.contains(&WriteOutcome::Written),
                "{:?}: written twice",
                case.fates
            );
            let again = accept_edit(&table, &change, DocumentRevision(0)).await;
            assert_eq!(
                revision_of(&again),
                revision_of(&answer),
                "{:?}: sent again",
                case.fates
            );
            assert_eq!(table.fleet(), case.fleet, "{:?}", case.fates);
        }
        let table = FakeTable {
            fates: RefCell::new(case.fates.iter().copied().collect()),
            ..FakeTable::default()
        };
        assert_eq!(
            accept_naively(&table, &change).await,
            case.naive,
            "{:?}",
            case.fates
        );
    }
}

#[actix_rt::test]
async fn same_id_gets_the_same_answer_after_later_edits() {
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
    assert_eq!(name_of(&reused), "refused");
    assert_eq!(table.fleet(), 2);
}

#[actix_rt::test]
async fn table_that_went_back_takes_no_edit() {
    let table = FakeTable::default();
    let change = edit("ledger", 1, 0, 1);
    let answer = accept_edit(&table, &change, DocumentRevision(5)).await;
    assert_eq!(name_of(&answer), "unavailable");
    assert_eq!(table.fleet(), 0);
}
