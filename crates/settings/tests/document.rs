//! Checks which faults a service document has, and the position of each.

use ggs_model::{EditFaults, ServiceName};
use ggs_settings::{read_document, read_edit};

/// A part of a document and the faults that are expected for it.
struct FaultCase {
    /// Second line of the text, after the line with `service` and `partner`.
    line: &'static str,
    /// Column, field path and a part of the message.
    faults: &'static [(usize, &'static str, &'static str)],
}

const CASES: &[FaultCase] = &[
    FaultCase {
        line: "",
        faults: &[],
    },
    FaultCase {
        line: r#""measuring": { "probes": 10, "window_ms": 0 }"#,
        faults: &[(43, "measuring.window_ms", "from 1000 to 86400000, found 0")],
    },
    FaultCase {
        line: r#""measuring": { "probes": -1, "window_ms": 1000 }"#,
        faults: &[(26, "measuring.probes", "found -1")],
    },
    FaultCase {
        line: r#""measuring": { "probes": 1 }"#,
        faults: &[(14, "measuring.window_ms", "is missing")],
    },
    FaultCase {
        line: r#""rules": [{ "method": "post", "path": "/a" }]"#,
        faults: &[(23, "rules[0].method", "expected a method in upper case")],
    },
    FaultCase {
        line: r#""rules": [{ "method": "", "path": "/a" }]"#,
        faults: &[(23, "rules[0].method", "expected a method in upper case")],
    },
    FaultCase {
        line: r#""rules": [{ "method": "GET", "path": "a" }]"#,
        faults: &[(38, "rules[0].path", "starts with \"/\"")],
    },
    FaultCase {
        line: r#""rules": [{ "method": "GET", "path": "/a?b" }]"#,
        faults: &[(38, "rules[0].path", "character '?' never appears")],
    },
    FaultCase {
        line: r#""rules": [{ "method": "GET", "path": "/a", "class": "slow" }]"#,
        faults: &[(
            53,
            "rules[0].class",
            "expected one of urgent, standard, export",
        )],
    },
    FaultCase {
        line: r#""rules": [{ "method": "*", "path": "/" }, { "method": "POST", "path": "/credit" }]"#,
        faults: &[(43, "rules[1]", "never match: rules[0] covers")],
    },
    FaultCase {
        line: r#""rules": [{ "method": "GET", "path": "/a" }, { "method": "*", "path": "/a" }]"#,
        faults: &[],
    },
    FaultCase {
        line: r#""rules": [{ "method": "GET", "path": "/a" }, { "method": "GET", "path": "/a" }]"#,
        faults: &[(46, "rules[1]", "never match: rules[0] covers")],
    },
    FaultCase {
        line: r#""rules": [{}, { "method": "GET", "path": "/", "retry": 1 }]"#,
        faults: &[
            (11, "rules[0].method", "is missing"),
            (11, "rules[0].path", "is missing"),
            (47, "rules[1].retry", "unknown field"),
        ],
    },
    FaultCase {
        line: r#""deadline_ms": { "urgent": 0, "standard": 1, "export": "1 s" }"#,
        faults: &[
            (28, "deadline_ms.urgent", "found 0"),
            (56, "deadline_ms.export", "found a string"),
        ],
    },
    FaultCase {
        line: r#""in_flight": { "urgent": 1, "standard": 1, "export": 0 }"#,
        faults: &[(54, "in_flight.export", "from 1 to 100000, found 0")],
    },
    FaultCase {
        line: r#""retry_percent": 101, "eject_percent": 51"#,
        faults: &[
            (18, "retry_percent", "from 0 to 100"),
            (40, "eject_percent", "from 0 to 50"),
        ],
    },
    FaultCase {
        line: r#""slots": 3, "connections": 2"#,
        faults: &[(28, "connections", "2 connections cannot use 3 slots")],
    },
    FaultCase {
        line: r#""slots": 251"#,
        faults: &[(10, "slots", "250 connections cannot use 251 slots")],
    },
    FaultCase {
        line: r#""trust_refusals": "yes""#,
        faults: &[(19, "trust_refusals", "expected true or false")],
    },
    FaultCase {
        line: r#""service": "roster""#,
        faults: &[(1, "service", "given twice, first on line 1")],
    },
];

#[test]
fn every_fault_is_reported_with_its_position() {
    for case in CASES {
        let line = case.line;
        let text = format!("{{ \"service\": \"ledger\", \"partner\": \"wagowa\",\n{line}\n}}");
        let result = read_document("ledger.json", &text);
        let faults = result.err().map(|error| error.faults).unwrap_or_default();
        assert_eq!(faults.len(), case.faults.len(), "{line}: {faults:#?}");
        for (fault, (column, field, message)) in faults.iter().zip(case.faults) {
            assert_eq!((fault.line, fault.column), (2, *column), "{line}: {fault}");
            assert_eq!(fault.field, *field, "{line}");
            assert!(fault.message.contains(message), "{line}: {fault}");
        }
    }
}

#[test]
fn service_name_that_is_not_valid_in_a_url_is_a_fault() {
    let names = ["", "Ledger", "led ger", "led/ger", "l\u{e9}ger", "-ledger"];
    let long = "a".repeat(ggs_settings::limits::NAME_LIMIT_CHARS + 1);
    for name in names.into_iter().chain([&*long]) {
        let text = format!("{{ \"service\": \"{name}\", \"partner\": \"wagowa\" }}");
        let error = read_document("ledger.json", &text).unwrap_err();
        assert_eq!(error.faults.len(), 1, "{name:?}");
        assert_eq!(error.faults[0].field, "service", "{name:?}");
    }
}

#[test]
fn edit_of_another_service_is_reported_with_all_other_faults() {
    let text = r#"{ "service": "ledger", "slots": 0 }"#;
    let EditFaults { faults } = read_edit(&ServiceName::new("roster"), text).unwrap_err();
    let fields: Vec<_> = faults.iter().map(|fault| fault.field.as_str()).collect();
    assert_eq!(fields, ["partner", "service", "slots"]);
    assert_eq!(
        faults[1].message,
        "expected \"roster\", the service of the request"
    );
}
