//! Compares the catalogue in `docs/EVENTS.md` with the log events in the code.

use std::collections::BTreeSet;
use std::path::Path;

use ggs_observe::{LogEvent, LogLevel};
use strum::IntoEnumIterator;

/// Columns of the catalogue: number, name, level, meaning and action.
const COLUMN_COUNT: usize = 5;

/// Reads the text of the catalogue.
fn catalogue() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/EVENTS.md");
    std::fs::read_to_string(path).unwrap()
}

/// Splits the rows of the catalogue's table into columns, without the header row.
fn rows(text: &str) -> Vec<Vec<&str>> {
    let lines = text.lines().filter(|line| line.starts_with("| "));
    let rows = lines.map(|line| line.trim_matches('|').split(" | ").map(str::trim).collect());
    rows.filter(|row: &Vec<_>| row[0] != "Number").collect()
}

/// Name of a level in the catalogue.
fn level_name(level: LogLevel) -> &'static str {
    match level {
        LogLevel::Error => "error",
        LogLevel::Warning => "warning",
        LogLevel::Info => "info",
        LogLevel::Debug => "debug",
    }
}

#[test]
fn catalogue_lists_exactly_the_events_of_the_code() {
    let text = catalogue();
    let listed: BTreeSet<String> = rows(&text).iter().map(|row| row[..3].join(" ")).collect();
    let coded: BTreeSet<String> = LogEvent::iter()
        .map(|event| {
            let level = level_name(event.level());
            format!("{} {} {level}", event.number(), event.name())
        })
        .collect();
    let unlisted: Vec<_> = coded.difference(&listed).collect();
    let unknown: Vec<_> = listed.difference(&coded).collect();
    assert!(
        unlisted.is_empty(),
        "in the code and not in docs/EVENTS.md: {unlisted:?}"
    );
    assert!(
        unknown.is_empty(),
        "in docs/EVENTS.md and not in the code: {unknown:?}"
    );
}

#[test]
fn catalogue_rows_are_complete_and_in_order_of_number() {
    let text = catalogue();
    let mut last = 0;
    for row in rows(&text) {
        assert_eq!(row.len(), COLUMN_COUNT, "{row:?}");
        assert!(row.iter().all(|column| !column.is_empty()), "{row:?}");
        let number: u16 = row[0].parse().unwrap();
        assert!(number > last, "event {number} is out of order");
        last = number;
    }
}

#[test]
fn event_numbers_and_names_are_unique() {
    let numbers: BTreeSet<_> = LogEvent::iter().map(LogEvent::number).collect();
    let names: BTreeSet<_> = LogEvent::iter().map(LogEvent::name).collect();
    assert_eq!(numbers.len(), LogEvent::iter().count());
    assert_eq!(names.len(), LogEvent::iter().count());
}
