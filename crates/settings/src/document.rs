//! Checks of service documents.
//!
//! A document that passes is complete and consistent: each value is in its range, no earlier
//! rule covers all requests of a later one, and a server accepts at least as many connections as it
//! has request slots.

use std::sync::Arc;

use ggs_model::{ClassLimits, MeasuringBudget, RequestRule, ServiceDocument};

use crate::collector::FaultCollector;
use crate::field::{FieldValue, ObjectReader};
use crate::limits;
use crate::names::read_label;

/// Checks a document and adds every fault to `collector`.
///
/// Returns `None` if a field has no usable value. A returned document may still have faults, which
/// [`FaultCollector::into_result`] turns into an error.
pub(crate) fn check_document(
    root: &FieldValue<'_, '_>,
    collector: &mut FaultCollector<'_>,
) -> Option<ServiceDocument> {
    let mut object = root.object(collector)?;
    let default = ServiceDocument::new("", "");
    let service = object.required(collector, "service", read_label);
    let partner = object.required(collector, "partner", read_label);
    let rules = object.optional(collector, "rules", Vec::new(), read_rules);
    let deadline_ms = object.optional(
        collector,
        "deadline_ms",
        default.deadline_ms,
        |field, collector| read_class_limits(field, collector, &limits::DEADLINE_MS),
    );
    let in_flight = object.optional(
        collector,
        "in_flight",
        default.in_flight,
        |field, collector| read_class_limits(field, collector, &limits::IN_FLIGHT),
    );
    let measuring = object.optional(collector, "measuring", default.measuring, read_measuring);
    let mut number = |name, default, range| {
        object.optional(collector, name, default, |field, collector| {
            field.number_u32(collector, range)
        })
    };
    let retry_percent = number(
        "retry_percent",
        default.retry_percent,
        &limits::RETRY_PERCENT,
    );
    let eject_percent = number(
        "eject_percent",
        default.eject_percent,
        &limits::EJECT_PERCENT,
    );
    let slots = number("slots", default.slots, &limits::SLOTS);
    let connections = number("connections", default.connections, &limits::CONNECTIONS);
    let trust_refusals = default.trust_refusals;
    let trust_refusals = object.optional(
        collector,
        "trust_refusals",
        trust_refusals,
        FieldValue::boolean,
    );
    check_connections(&mut object, collector, slots, connections);
    object.finish(collector);
    Some(ServiceDocument {
        service: service?,
        partner: partner?,
        rules: rules?,
        deadline_ms: deadline_ms?,
        in_flight: in_flight?,
        measuring: measuring?,
        retry_percent: retry_percent?,
        eject_percent: eject_percent?,
        slots: slots?,
        connections: connections?,
        trust_refusals: trust_refusals?,
    })
}

/// Checks that each request slot of a server can have a connection of its own.
fn check_connections(
    object: &mut ObjectReader<'_, '_>,
    collector: &mut FaultCollector<'_>,
    slots: Option<u32>,
    connections: Option<u32>,
) {
    let (Some(slots), Some(connections)) = (slots, connections) else {
        return;
    };
    if connections >= slots {
        return;
    }
    let message = format!("{connections} connections cannot use {slots} slots");
    let field = object
        .field("connections")
        .or_else(|| object.field("slots"));
    if let Some(field) = field {
        field.add_fault(collector, message);
    }
}

/// Reads the rules and checks that no earlier rule shadows a later one.
fn read_rules(
    field: &FieldValue<'_, '_>,
    collector: &mut FaultCollector<'_>,
) -> Option<Vec<RequestRule>> {
    let elements = field.elements(collector, limits::RULE_LIMIT)?;
    let mut rules = Vec::with_capacity(elements.len());
    for (index, element) in elements.iter().enumerate() {
        let Some(rule) = read_rule(element, collector) else {
            continue;
        };
        let shadowing = rules.iter().find(|(_, earlier)| shadows(earlier, &rule));
        if let Some((earlier, _)) = shadowing {
            let message = format!("rule can never match: rules[{earlier}] covers all its requests");
            element.add_fault(collector, message);
        }
        rules.push((index, rule));
    }
    Some(rules.into_iter().map(|(_, rule)| rule).collect())
}

/// Whether `earlier` covers every request that `later` covers, so that `later` never applies.
fn shadows(earlier: &RequestRule, later: &RequestRule) -> bool {
    let covers_method = &*earlier.method == "*" || earlier.method == later.method;
    covers_method && later.path.starts_with(&*earlier.path)
}

/// Reads one rule, an object of method, path prefix, and what applies to the requests.
fn read_rule(
    field: &FieldValue<'_, '_>,
    collector: &mut FaultCollector<'_>,
) -> Option<RequestRule> {
    let mut object = field.object(collector)?;
    let method = object.required(collector, "method", read_method);
    let path = object.required(collector, "path", read_path);
    let non_idempotent = object.optional(collector, "non_idempotent", false, FieldValue::boolean);
    let class = object.optional(collector, "class", None, |field, collector| {
        field.enum_value(collector).map(Some)
    });
    object.finish(collector);
    Some(RequestRule {
        method: method?,
        path: path?,
        non_idempotent: non_idempotent?,
        class: class?,
    })
}

/// Reads an HTTP method in upper case, or `*` for every method.
fn read_method(field: &FieldValue<'_, '_>, collector: &mut FaultCollector<'_>) -> Option<Arc<str>> {
    let method = field.string(collector)?;
    let is_upper = method.bytes().all(|byte| byte.is_ascii_uppercase());
    let is_short = (1..=limits::METHOD_LIMIT_CHARS).contains(&method.len());
    if method == "*" || (is_upper && is_short) {
        return Some(Arc::from(method));
    }
    let message = format!("expected a method in upper case such as POST, or *, found {method:?}");
    field.add_fault(collector, message);
    None
}

/// Reads a path prefix; a character that cannot appear in the path of a URL must be encoded.
fn read_path(field: &FieldValue<'_, '_>, collector: &mut FaultCollector<'_>) -> Option<Arc<str>> {
    let path = field.string(collector)?;
    if !path.starts_with('/') {
        field.add_fault(
            collector,
            format!("expected a path that starts with \"/\", found {path:?}"),
        );
        return None;
    }
    if path.len() > limits::PATH_LIMIT_CHARS {
        let limit = limits::PATH_LIMIT_CHARS;
        field.add_fault(collector, format!("expected at most {limit} characters"));
        return None;
    }
    let is_allowed =
        |character: char| character.is_ascii_graphic() && !matches!(character, '?' | '#');
    if let Some(character) = path.chars().find(|character| !is_allowed(*character)) {
        let message = format!("character {character:?} never appears in a path; encode it");
        field.add_fault(collector, message);
        return None;
    }
    Some(Arc::from(path))
}

/// Reads an object with one number for each request class, all in the same range.
fn read_class_limits(
    field: &FieldValue<'_, '_>,
    collector: &mut FaultCollector<'_>,
    range: &std::ops::RangeInclusive<u64>,
) -> Option<ClassLimits> {
    let mut object = field.object(collector)?;
    let mut number = |name| {
        object.required(collector, name, |field, collector| {
            field.number(collector, range)
        })
    };
    let urgent = number("urgent");
    let standard = number("standard");
    let export = number("export");
    object.finish(collector);
    Some(ClassLimits {
        urgent: urgent?,
        standard: standard?,
        export: export?,
    })
}

/// Reads the budget of load probes.
fn read_measuring(
    field: &FieldValue<'_, '_>,
    collector: &mut FaultCollector<'_>,
) -> Option<MeasuringBudget> {
    let mut object = field.object(collector)?;
    let probes = object.required(collector, "probes", |field, collector| {
        field.number_u32(collector, &limits::PROBES)
    });
    let window_ms = object.required(collector, "window_ms", |field, collector| {
        field.number(collector, &limits::WINDOW_MS)
    });
    object.finish(collector);
    Some(MeasuringBudget {
        probes: probes?,
        window_ms: window_ms?,
    })
}
