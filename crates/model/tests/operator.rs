//! The operators' messages as they appear on the wire.

use ggs_model::{
    DocumentRevision, EditAnswer, EditId, EditRequest, ServiceDocument, ServiceName, StatusAnswer,
};
use serde_json::json;

#[test]
fn edit_ids_are_read_in_one_form_only() {
    let cases = [
        ("000000000000000000000000000000ff", Some(EditId(255))),
        ("ffffffffffffffffffffffffffffffff", Some(EditId(u128::MAX))),
        ("ff", None),
        ("000000000000000000000000000000FF", None),
        ("+00000000000000000000000000000ff", None),
        ("", None),
    ];
    for (text, expected) in cases {
        assert_eq!(text.parse().ok(), expected, "{text:?}");
    }
}

#[test]
fn an_edit_request_refuses_unknown_fields() {
    let edit = EditId(7).to_string();
    let value = json!({ "base": 3, "edit": edit, "text": "{}" });
    let request: EditRequest = serde_json::from_value(value.clone()).unwrap();
    assert_eq!(request.base, DocumentRevision(3));
    assert_eq!(serde_json::to_value(&request).unwrap(), value);
    let value = json!({ "base": 3, "edit": edit, "text": "{}", "force": true });
    assert!(serde_json::from_value::<EditRequest>(value).is_err());
}

#[test]
fn an_answer_of_a_newer_gate_is_understood() {
    let value = json!({ "service": "ledger", "revision": 9, "reason": "new" });
    let answer: EditAnswer = serde_json::from_value(value).unwrap();
    assert_eq!(answer.revision, DocumentRevision(9));
    assert!(!answer.repeated);
}

#[test]
fn status_tells_the_revision_in_force() {
    let value = json!({
        "gate": { "host": "entry-1", "incarnation": 1 },
        "data_centre": "krakow",
        "callers": "127.0.0.1:8080",
        "draining": false,
        "fleet": 9,
        "table_read_ms": null,
        "stale": false,
        "documents": [{ "service": "ledger", "partner": "wagowa", "revision": 4 }],
        "peers": [],
    });
    let status: StatusAnswer = serde_json::from_value(value).unwrap();
    let document = ServiceDocument::new("ledger", "wagowa");
    assert_eq!(
        status.in_force(&document.service),
        Some(DocumentRevision(4))
    );
    assert_eq!(status.in_force(&ServiceName::new("roster")), None);
}
