//! Compares the operators' documentation and the example files with the code.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use ggs_model::ServiceDocument;
use ggs_settings::{ChoicePolicy, limits, read_document, read_gate_settings};
use serde_json::{Value, json};
use strum::IntoEnumIterator;

/// Resolves a path that is relative to the root of the repository.
fn repository(path: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("../..")
        .join(path)
}

/// Reads a file of the repository.
fn read(path: &str) -> String {
    std::fs::read_to_string(repository(path)).unwrap()
}

/// Rows of all field tables in the operators' page, by the name of the field.
fn field_rows() -> BTreeMap<String, Vec<String>> {
    let page = read("docs/OPERATIONS.md");
    let rows = page.lines().filter(|line| line.starts_with("| `"));
    let rows = rows.map(|line| {
        let columns = line.trim_matches('|').split('|');
        let columns: Vec<_> = columns.map(|column| column.trim().to_owned()).collect();
        (columns[0].trim_matches('`').to_owned(), columns)
    });
    rows.filter(|(_, columns)| columns.len() == 5).collect()
}

/// Adds the paths of all fields of a printed value; elements of arrays are written `name[]`.
fn field_names(value: &Value, prefix: &str, names: &mut Vec<String>) {
    let Value::Object(object) = value else {
        return;
    };
    for (name, value) in object {
        let path = format!("{prefix}{name}");
        names.push(path.clone());
        match value {
            Value::Array(elements) => {
                for element in elements {
                    field_names(element, &format!("{path}[]."), names);
                }
            }
            _ => field_names(value, &format!("{path}."), names),
        }
    }
}

/// Settings and a document with every field present.
fn full_values() -> [Value; 2] {
    let settings = r#"{ "host": "a", "data_centre": "b", "listen_callers": "10.0.0.1:1",
        "listen_peers": "10.0.0.1:2", "platform": "http://10.0.0.1:3" }"#;
    let settings = read_gate_settings("settings", settings).unwrap();
    let mut document = serde_json::to_value(ServiceDocument::new("ledger", "wagowa")).unwrap();
    document["rules"] =
        json!([{ "method": "GET", "path": "/", "non_idempotent": false, "class": "urgent" }]);
    [serde_json::to_value(settings).unwrap(), document]
}

#[test]
fn operators_page_lists_exactly_the_fields_of_the_code() {
    let mut names = Vec::new();
    for value in full_values() {
        field_names(&value, "", &mut names);
    }
    let classes = ["urgent", "standard", "export"];
    let is_class = |name: &str| {
        classes
            .iter()
            .any(|class| name.ends_with(&format!(".{class}")))
    };
    names.retain(|name| !is_class(name));
    let rows = field_rows();
    for name in &names {
        assert!(
            rows.contains_key(name),
            "docs/OPERATIONS.md does not list {name}"
        );
    }
    let metrics = |name: &&String| !name.starts_with("ggs_");
    for name in rows.keys().filter(metrics) {
        assert!(
            names.contains(name),
            "docs/OPERATIONS.md lists {name}, which is not a field"
        );
    }
}

/// A numeric field, its default and its range.
struct NumberCase {
    field: &'static str,
    default: u64,
    limits: std::ops::RangeInclusive<u64>,
}

#[test]
fn operators_page_has_the_defaults_and_limits_of_the_code() {
    let [settings, document] = full_values();
    let case = |field, value: &Value, limits| NumberCase {
        field,
        default: value.as_u64().unwrap(),
        limits,
    };
    let measuring = &document["measuring"];
    let cases = [
        case(
            "entry_ttl_ms",
            &settings["entry_ttl_ms"],
            limits::ENTRY_TTL_MS,
        ),
        case(
            "body_limit",
            &settings["body_limit"],
            limits::BODY_LIMIT_BYTES,
        ),
        case("key_limit", &settings["key_limit"], limits::KEY_LIMIT),
        case("key_ttl_ms", &settings["key_ttl_ms"], limits::KEY_TTL_MS),
        case(
            "in_flight_limit",
            &settings["in_flight_limit"],
            limits::IN_FLIGHT_LIMIT,
        ),
        case(
            "caller_stall_ms",
            &settings["caller_stall_ms"],
            limits::CALLER_STALL_MS,
        ),
        case("measuring.probes", &measuring["probes"], limits::PROBES),
        case(
            "measuring.window_ms",
            &measuring["window_ms"],
            limits::WINDOW_MS,
        ),
        case(
            "retry_percent",
            &document["retry_percent"],
            limits::RETRY_PERCENT,
        ),
        case(
            "eject_percent",
            &document["eject_percent"],
            limits::EJECT_PERCENT,
        ),
        case("slots", &document["slots"], limits::SLOTS),
        case("connections", &document["connections"], limits::CONNECTIONS),
    ];
    let rows = field_rows();
    for case in cases {
        let row = &rows[case.field];
        let range = format!("{} to {}", case.limits.start(), case.limits.end());
        assert_eq!(row[2], case.default.to_string(), "{}", case.field);
        assert!(row[3].starts_with(&range), "{}: {}", case.field, row[3]);
    }
    let policies: Vec<_> = ChoicePolicy::iter()
        .map(|name| format!("`{name}`"))
        .collect();
    let row = &rows["server_choice"];
    assert_eq!(row[2], settings["server_choice"].as_str().unwrap());
    assert_eq!(row[3], policies.join(", "));
    let page = read("docs/OPERATIONS.md");
    for field in ["deadline_ms", "in_flight"] {
        let value = &document[field];
        let (urgent, standard, export) = (&value["urgent"], &value["standard"], &value["export"]);
        let row = format!("| `{field}` | {urgent} | {standard} | {export} |");
        assert!(page.contains(&row), "{row}");
    }
}

#[test]
fn example_files_have_no_fault() {
    let mut services = Vec::new();
    for entry in std::fs::read_dir(repository("examples")).unwrap() {
        let path = entry.unwrap().path();
        let name = path.file_name().unwrap().to_str().unwrap().to_owned();
        if path.extension().is_none_or(|extension| extension != "json") {
            continue;
        }
        let text = std::fs::read_to_string(&path).unwrap();
        if name == "gate.json" {
            read_gate_settings(&name, &text).unwrap();
            continue;
        }
        let document = read_document(&name, &text).unwrap();
        assert_eq!(name, format!("{}.json", document.service));
        services.push(document.service.to_string());
    }
    services.sort();
    assert_eq!(
        services,
        ["booking", "lead", "ledger", "media", "roster", "yield"]
    );
}
