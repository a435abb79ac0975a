//! Property tests: faults point into the text, reading never panics, and what is printed can be
//! read again.

use std::net::SocketAddr;

use ggs_model::{
    ClassLimits, DataCentre, HostName, MeasuringBudget, RequestClass, RequestRule, ServiceDocument,
};
use ggs_settings::{
    ChoicePolicy, GateSettings, SettingsError, print_document, print_gate_settings, read_document,
    read_gate_settings,
};
use proptest::prelude::*;
use strum::IntoEnumIterator;

/// Tokens of settings and documents, and some that are invalid in JSON.
const PIECES: &str = r#"{ } [ ] , : "service" "rules" "host" "peers" "method" "platform" "http://"
"127.0.0.1:1" 1 -1 1e9 null true // /* */ " \ \ud800 é 🌿 'a' 0x1 "measuring" "*" "/""#;

/// Texts of pieces in any order; most are invalid.
fn broken_text() -> impl Strategy<Value = String> {
    let mut pieces: Vec<_> = PIECES.split_whitespace().collect();
    pieces.extend(["\n", "\r", "// x\n"]);
    let piece = prop::sample::select(pieces);
    prop::collection::vec(piece, 0..40).prop_map(|pieces| pieces.concat())
}

/// Any class limits from 1 to `high`.
fn class_limits(high: u64) -> impl Strategy<Value = ClassLimits> {
    (1..=high, 1..=high, 1..=high).prop_map(|(urgent, standard, export)| ClassLimits {
        urgent,
        standard,
        export,
    })
}

/// A rule with a unique path, so that no earlier rule shadows it.
fn rule(index: usize) -> impl Strategy<Value = RequestRule> {
    let method = prop::sample::select(vec!["GET", "POST", "*"]);
    let class = prop::option::of(prop::sample::select(vec![
        RequestClass::Urgent,
        RequestClass::Standard,
        RequestClass::Export,
    ]));
    (method, any::<bool>(), class).prop_map(move |(method, non_idempotent, class)| RequestRule {
        method: method.into(),
        path: format!("/{index}/").into(),
        non_idempotent,
        class,
    })
}

/// Any valid document.
fn document() -> impl Strategy<Value = ServiceDocument> {
    let rules = prop::collection::vec(any::<()>(), 0..5)
        .prop_flat_map(|rules| (0..rules.len()).map(rule).collect::<Vec<_>>());
    let numbers = (
        0_u32..=100,
        0_u32..=50,
        1_u32..=10_000,
        10_000_u32..=100_000,
    );
    let measuring = (0_u32..=1_000_000, 1_000_u64..=86_400_000);
    let parts = (
        rules,
        class_limits(3_600_000),
        class_limits(100_000),
        measuring,
        numbers,
    );
    (parts, any::<bool>()).prop_map(
        |((rules, deadline_ms, in_flight, measuring, numbers), trust)| ServiceDocument {
            rules,
            deadline_ms,
            in_flight,
            measuring: MeasuringBudget {
                probes: measuring.0,
                window_ms: measuring.1,
            },
            retry_percent: numbers.0,
            eject_percent: numbers.1,
            slots: numbers.2,
            connections: numbers.3,
            trust_refusals: trust,
            ..ServiceDocument::new("ledger", "wagowa")
        },
    )
}

/// Any valid settings.
fn settings() -> impl Strategy<Value = GateSettings> {
    let peers = prop::collection::btree_set(2_u16..=u16::MAX, 0..5);
    let numbers = (
        100_u64..=60_000,
        1_usize..=64 << 20,
        1_usize..=10_000_000,
        1_u32..=100_000,
        100_u64..=600_000,
    );
    let policies: Vec<_> = ChoicePolicy::iter().collect();
    (
        "[a-z0-9][a-zA-Z0-9.-]{0,60}",
        peers,
        numbers,
        100_u64..=86_400_000,
        prop::sample::select(policies),
    )
        .prop_map(
            |(host, peers, numbers, key_ttl_ms, server_choice)| GateSettings {
                host: HostName::new(&host),
                data_centre: DataCentre::new("nairobi-2"),
                listen_callers: SocketAddr::from(([127, 0, 0, 1], 1)),
                listen_peers: SocketAddr::from(([127, 0, 0, 2], 1)),
                platform: "http://platform.example:9000".to_owned(),
                peers: peers
                    .into_iter()
                    .map(|port| ([127, 0, 0, 1], port).into())
                    .collect(),
                entry_ttl_ms: numbers.0,
                body_limit: numbers.1,
                key_limit: numbers.2,
                key_ttl_ms,
                in_flight_limit: numbers.3,
                caller_stall_ms: numbers.4,
                server_choice,
            },
        )
}

/// Fails unless every fault points into the text or just past its end.
fn check_positions(text: &str, error: &SettingsError) -> Result<(), TestCaseError> {
    prop_assert!(!error.faults.is_empty());
    let lines: Vec<_> = text.split('\n').collect();
    for fault in &error.faults {
        let line = lines.get(fault.line.wrapping_sub(1));
        let Some(line) = line else {
            return Err(TestCaseError::fail(format!("no such line: {fault}")));
        };
        let length = line.chars().count();
        prop_assert!((1..=length + 1).contains(&fault.column), "{fault}");
    }
    Ok(())
}

proptest! {
    #[test]
    fn positions_of_faults_are_inside_the_text(text in prop_oneof![broken_text(), ".{0,200}"]) {
        if let Err(error) = read_document("ledger.json", &text) {
            check_positions(&text, &error)?;
        }
        if let Err(error) = read_gate_settings("gate.json", &text) {
            check_positions(&text, &error)?;
        }
    }

    #[test]
    fn document_with_one_character_changed_never_panics(
        document in document(), position in any::<prop::sample::Index>(), with in any::<char>(),
    ) {
        let mut characters: Vec<char> = print_document(&document).chars().collect();
        let position = position.index(characters.len());
        characters[position] = with;
        let text: String = characters.into_iter().collect();
        if let Err(error) = read_document("ledger.json", &text) {
            check_positions(&text, &error)?;
        }
    }

    #[test]
    fn printed_document_reads_back_unchanged(document in document()) {
        let text = print_document(&document);
        prop_assert_eq!(read_document("ledger.json", &text), Ok(document));
    }

    #[test]
    fn printed_settings_read_back_unchanged(settings in settings()) {
        let text = print_gate_settings(&settings);
        prop_assert_eq!(read_gate_settings("gate.json", &text), Ok(settings));
    }
}

#[test]
fn deep_nesting_is_a_fault_and_no_stack_overflow() {
    let text = "[".repeat(100_000);
    let error = read_document("ledger.json", &text).unwrap_err();
    assert_eq!(error.faults.len(), 1);
}
