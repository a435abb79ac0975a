//! Checks that the exposed metrics are well-formed OpenMetrics text in base units, and that the
//! operators' page lists them.

use std::collections::BTreeMap;
use std::time::Duration;

use ggs_model::{DocumentRevision, RequestClass};
use ggs_observe::GateMetrics;
use strum::IntoEnumIterator;

/// Creates metrics with a value in every family that has labels.
///
/// Each class gets one latency within the finite buckets and one above them.
fn filled_metrics() -> GateMetrics {
    let metrics = GateMetrics::new();
    metrics.document_age.set(1.5);
    metrics.count_platform_failure("table-get");
    metrics.count_peer_sent(100);
    metrics.count_peer_received(50);
    let service = metrics.service(&"ledger".into(), &"wagowa".into());
    for class in RequestClass::iter() {
        service.observe_request(class, "ran", Duration::from_millis(4));
        service.observe_request(class, "ran", Duration::from_mins(1));
    }
    service.count_refusal("no-capacity");
    service.count_refusal("no-capacity");
    service.count_attempt("answered");
    service.count_retry();
    service.set_probes_allowed(40);
    service.count_probes_granted(10);
    service.count_probes_spent(3);
    service.set_revision(DocumentRevision(7));
    service.set_servers(9, 1);
    metrics
}

/// One sample line of an exposition.
#[derive(Debug)]
struct Sample {
    name: String,
    labels: String,
    value: f64,
}

/// A parsed exposition: types and units by family, and all samples.
#[derive(Debug, Default)]
struct Exposition {
    types: BTreeMap<String, String>,
    units: BTreeMap<String, String>,
    samples: Vec<Sample>,
}

impl Exposition {
    /// Parses `text`; panics if it is not well-formed.
    fn parse(text: &str) -> Self {
        let body = text
            .strip_suffix("# EOF\n")
            .expect("the text ends with an EOF line");
        let mut parsed = Self::default();
        for line in body.lines() {
            match line.strip_prefix("# ") {
                Some(comment) => parsed.parse_metadata(comment),
                None => parsed.samples.push(Self::parse_sample(line)),
            }
        }
        parsed
    }

    /// Parses a `TYPE`, `UNIT` or `HELP` line.
    fn parse_metadata(&mut self, comment: &str) {
        let words: Vec<_> = comment.splitn(3, ' ').collect();
        let (name, text) = (words[1].to_owned(), words[2].to_owned());
        let earlier = match words[0] {
            "TYPE" => self.types.insert(name, text),
            "UNIT" => self.units.insert(name, text),
            "HELP" => None,
            other => panic!("unknown comment {other}"),
        };
        assert_eq!(earlier, None, "{comment} is declared twice");
    }

    /// Parses a sample line.
    fn parse_sample(line: &str) -> Sample {
        let (series, value) = line.rsplit_once(' ').expect("a sample has a value");
        let (name, labels) = series.split_once('{').unwrap_or((series, "}"));
        let labels = labels.strip_suffix('}').expect("labels are closed");
        let legal = |symbol: char| symbol.is_ascii_lowercase() || symbol == '_';
        assert!(name.chars().all(legal), "{line}");
        Sample {
            name: name.to_owned(),
            labels: labels.to_owned(),
            value: value.parse().expect("a value is a number"),
        }
    }

    /// Value of one series; panics if the exposition lacks it.
    fn value(&self, name: &str, labels: &str) -> f64 {
        let matches = |sample: &&Sample| sample.name == name && sample.labels == labels;
        let sample = self.samples.iter().find(matches);
        sample
            .unwrap_or_else(|| panic!("no {name}{{{labels}}} in {self:#?}"))
            .value
    }
}

#[test]
fn every_sample_belongs_to_a_declared_family() {
    let parsed = Exposition::parse(&filled_metrics().render());
    for sample in &parsed.samples {
        let owner = parsed.types.iter().find(|(family, kind)| {
            let suffixes: &[&str] = match kind.as_str() {
                "counter" => &["_total"],
                "gauge" => &[""],
                "histogram" => &["_bucket", "_sum", "_count"],
                _ => &[],
            };
            let matches = |suffix: &&str| sample.name == format!("{family}{suffix}");
            suffixes.iter().any(matches)
        });
        assert!(owner.is_some(), "{sample:?} has no family");
    }
    let named = parsed.types.keys().all(|family| family.starts_with("ggs_"));
    assert!(named, "{:?}", parsed.types);
}

#[test]
fn latency_is_in_seconds_with_cumulative_buckets() {
    let parsed = Exposition::parse(&filled_metrics().render());
    let unit = parsed.units.get("ggs_request_latency_seconds");
    assert_eq!(unit.map(String::as_str), Some("seconds"));
    for class in RequestClass::iter() {
        let labels = format!("partner=\"wagowa\",class=\"{class}\",verdict=\"ran\"");
        let name = "ggs_request_latency_seconds";
        assert!((parsed.value(&format!("{name}_sum"), &labels) - 60.004).abs() < 1e-9);
        let series = format!("{name}_bucket");
        let suffix = format!(",{labels}");
        let buckets = parsed
            .samples
            .iter()
            .filter(|sample| sample.name == series && sample.labels.ends_with(&suffix));
        let counts: Vec<f64> = buckets.map(|sample| sample.value).collect();
        assert!(counts.is_sorted(), "{counts:?}");
        let last = counts.last().copied();
        assert_eq!(last, Some(parsed.value(&format!("{name}_count"), &labels)));
        let below = format!("le=\"0.003\",{labels}");
        let above = format!("le=\"0.005\",{labels}");
        assert!(parsed.value(&series, &below) < 0.5);
        assert!((parsed.value(&series, &above) - 1.0).abs() < 0.5);
    }
}

#[test]
fn handles_of_the_same_service_count_in_one_series() {
    let metrics = filled_metrics();
    let again = metrics.service(&"ledger".into(), &"wagowa".into());
    again.count_refusal("no-capacity");
    again.count_probes_granted(5);
    let parsed = Exposition::parse(&metrics.render());
    let labels = "partner=\"wagowa\",service=\"ledger\"";
    let cases = [
        ("ggs_requests_refused_total", ",reason=\"no-capacity\"", 3),
        ("ggs_server_attempts_total", ",outcome=\"answered\"", 1),
        ("ggs_request_retries_total", "", 1),
        ("ggs_probes_allowed", "", 40),
        ("ggs_probes_granted_total", "", 15),
        ("ggs_probes_spent_total", "", 3),
        ("ggs_document_revision", "", 7),
        ("ggs_servers", "", 9),
        ("ggs_servers_leaving", "", 1),
    ];
    for (name, suffix, expected) in cases {
        let value = parsed.value(name, &format!("{labels}{suffix}"));
        assert!((value - f64::from(expected)).abs() < 0.5, "{name}: {value}");
    }
}

#[test]
fn quotes_and_line_breaks_in_labels_are_escaped() {
    let metrics = GateMetrics::new();
    let service = metrics.service(&"a\"b\\c".into(), &"line\nbreak".into());
    service.count_retry();
    let text = metrics.render();
    assert!(
        text.contains(r#"partner="line\nbreak",service="a\"b\\c""#),
        "{text}"
    );
}

#[test]
fn operators_page_lists_exactly_the_exposed_metrics() {
    let path = std::path::Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/OPERATIONS.md");
    let page = std::fs::read_to_string(path).unwrap();
    let rows = page.lines().filter_map(|line| line.strip_prefix("| `ggs_"));
    let listed: BTreeMap<String, &str> = rows
        .map(|row| {
            let (name, rest) = row.split_once("` | ").unwrap();
            (format!("ggs_{name}"), rest)
        })
        .collect();
    let parsed = Exposition::parse(&filled_metrics().render());
    let exposed: Vec<_> = parsed.types.keys().collect();
    assert_eq!(listed.keys().collect::<Vec<_>>(), exposed);
    for (name, rest) in listed {
        assert!(rest.starts_with(&parsed.types[&name]), "{name}: {rest}");
    }
}
