//! JSON form of the messages of the operators' API.

use ggs_model::{
    DocumentRevision, EditAnswer, EditId, EditRequest, ServiceDocument, ServiceName, StatusAnswer,
};
use serde_json::json;

#[test]
fn edit_id_parses_only_from_32_lower_case_hex_digits() {
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
fn edit_request_with_unknown_field_is_rejected() {
    let edit = EditId(7).to_string();
    let value = json!({ "base": 3, "edit": edit, "text": "{}" });
    let request: EditRequest = serde_json::from_value(value.clone()).unwrap();
    assert_eq!(request.base, DocumentRevision(3));
    assert_eq!(serde_json::to_value(&request).unwrap(), value);
    let value = json!({ "base": 3, "edit": edit, "text": "{}", "force": true });
    assert!(serde_json::from_value::<EditRequest>(value).is_err());
}

/// A newer gate may add fields to its answers; older clients must still read them.
#[test]
fn edit_answer_with_unknown_field_is_accepted() {
    let value = json!({ "service": "ledger", "revision": 9, "reason": "new" });
    let answer: EditAnswer = serde_json::from_value(value).unwrap();
    assert_eq!(answer.revision, DocumentRevision(9));
    assert!(!answer.repeated);
}

#[test]
fn status_answer_returns_revision_in_force_of_a_service() {
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
