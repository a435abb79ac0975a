//! The catalogue in `docs/EVENTS.md` against the events in the code.

use std::collections::BTreeSet;
use std::path::Path;

use ggs_observe::{LogEvent, LogLevel};
use strum::IntoEnumIterator;

/// Columns of the catalogue: number, name, level, meaning and what to do.
const COLUMN_COUNT: usize = 5;

/// The text of the catalogue.
fn catalogue() -> String {
    let path = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/EVENTS.md");
    std::fs::read_to_string(path).unwrap()
}

/// Rows of the catalogue's table, each split into its columns.
fn rows(text: &str) -> Vec<Vec<&str>> {
    let lines = text.lines().filter(|line| line.starts_with("| "));
    let rows = lines.map(|line| line.trim_matches('|').split(" | ").map(str::trim).collect());
    rows.filter(|row: &Vec<_>| row[0] != "Number").collect()
}

/// The level as the catalogue writes it.
fn level_name(level: LogLevel) -> &'static str {
    match level {
        LogLevel::Error => "error",
        LogLevel::Warning => "warning",
        LogLevel::Info => "info",
        LogLevel::Debug => "debug",
    }
}

#[test]
fn the_catalogue_and_the_code_have_the_same_events() {
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
fn every_row_says_what_an_event_means_and_what_to_do() {
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
fn numbers_and_names_are_unique() {
    let numbers: BTreeSet<_> = LogEvent::iter().map(LogEvent::number).collect();
    let names: BTreeSet<_> = LogEvent::iter().map(LogEvent::name).collect();
    assert_eq!(numbers.len(), LogEvent::iter().count());
    assert_eq!(names.len(), LogEvent::iter().count());
}
