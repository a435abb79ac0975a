//! Checks of service documents.

use std::sync::Arc;

use ggs_model::{ClassLimits, MeasuringBudget, RequestRule, ServiceDocument};

use crate::field::{FieldValue, ObjectReader};
use crate::limits;
use crate::names::read_label;
use crate::sheet::FaultSheet;

/// Checks a document; adds every fault to the sheet.
pub(crate) fn check_document(
    root: &FieldValue<'_, '_>,
    sheet: &mut FaultSheet<'_>,
) -> Option<ServiceDocument> {
    let mut object = root.object(sheet)?;
    let default = ServiceDocument::new("", "");
    let service = object.required(sheet, "service", read_label);
    let partner = object.required(sheet, "partner", read_label);
    let rules = object.optional(sheet, "rules", Vec::new(), read_rules);
    let deadline_ms = object.optional(sheet, "deadline_ms", default.deadline_ms, |field, sheet| {
        read_classes(field, sheet, &limits::DEADLINE_MS)
    });
    let in_flight = object.optional(sheet, "in_flight", default.in_flight, |field, sheet| {
        read_classes(field, sheet, &limits::IN_FLIGHT)
    });
    let measuring = object.optional(sheet, "measuring", default.measuring, read_measuring);
    let mut small = |name, default, range| {
        object.optional(sheet, name, default, |field, sheet| {
            field.small_number(sheet, range)
        })
    };
    let retry_percent = small(
        "retry_percent",
        default.retry_percent,
        &limits::RETRY_PERCENT,
    );
    let eject_percent = small(
        "eject_percent",
        default.eject_percent,
        &limits::EJECT_PERCENT,
    );
    let slots = small("slots", default.slots, &limits::SLOTS);
    let connections = small("connections", default.connections, &limits::CONNECTIONS);
    let trust_refusals = default.trust_refusals;
    let trust_refusals = object.optional(sheet, "trust_refusals", trust_refusals, FieldValue::flag);
    check_connections(&mut object, sheet, slots, connections);
    object.finish(sheet);
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

/// Checks that every slot of a server can have a connection.
fn check_connections(
    object: &mut ObjectReader<'_, '_>,
    sheet: &mut FaultSheet<'_>,
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
        field.fault(sheet, message);
    }
}

/// Reads the rules and checks that each can match.
fn read_rules(field: &FieldValue<'_, '_>, sheet: &mut FaultSheet<'_>) -> Option<Vec<RequestRule>> {
    let elements = field.elements(sheet, limits::RULE_LIMIT)?;
    let mut rules = Vec::with_capacity(elements.len());
    for (index, element) in elements.iter().enumerate() {
        let Some(rule) = read_rule(element, sheet) else {
            continue;
        };
        let cover = rules.iter().find(|(_, earlier)| hides(earlier, &rule));
        if let Some((earlier, _)) = cover {
            let message = format!("rule can never match: rules[{earlier}] covers all its requests");
            element.fault(sheet, message);
        }
        rules.push((index, rule));
    }
    Some(rules.into_iter().map(|(_, rule)| rule).collect())
}

/// Whether every request that `later` covers is covered by `earlier`.
fn hides(earlier: &RequestRule, later: &RequestRule) -> bool {
    let method = &*earlier.method == "*" || earlier.method == later.method;
    method && later.path.starts_with(&*earlier.path)
}

/// Reads one rule.
fn read_rule(field: &FieldValue<'_, '_>, sheet: &mut FaultSheet<'_>) -> Option<RequestRule> {
    let mut object = field.object(sheet)?;
    let method = object.required(sheet, "method", read_method);
    let path = object.required(sheet, "path", read_path);
    let non_idempotent = object.optional(sheet, "non_idempotent", false, FieldValue::flag);
    let class = object.optional(sheet, "class", None, |field, sheet| {
        field.name(sheet).map(Some)
    });
    object.finish(sheet);
    Some(RequestRule {
        method: method?,
        path: path?,
        non_idempotent: non_idempotent?,
        class: class?,
    })
}

/// Reads a method in upper case, or `*`.
fn read_method(field: &FieldValue<'_, '_>, sheet: &mut FaultSheet<'_>) -> Option<Arc<str>> {
    let method = field.text(sheet)?;
    let is_upper = method.bytes().all(|byte| byte.is_ascii_uppercase());
    let is_short = (1..=limits::METHOD_LIMIT_CHARS).contains(&method.len());
    if method == "*" || (is_upper && is_short) {
        return Some(Arc::from(method));
    }
    let message = format!("expected a method in upper case such as POST, or *, found {method:?}");
    field.fault(sheet, message);
    None
}

/// Reads the start of a path.
fn read_path(field: &FieldValue<'_, '_>, sheet: &mut FaultSheet<'_>) -> Option<Arc<str>> {
    let path = field.text(sheet)?;
    if !path.starts_with('/') {
        field.fault(
            sheet,
            format!("expected a path that starts with \"/\", found {path:?}"),
        );
        return None;
    }
    if path.len() > limits::PATH_LIMIT_CHARS {
        let limit = limits::PATH_LIMIT_CHARS;
        field.fault(sheet, format!("expected at most {limit} characters"));
        return None;
    }
    let is_legal = |symbol: char| symbol.is_ascii_graphic() && !matches!(symbol, '?' | '#');
    if let Some(symbol) = path.chars().find(|symbol| !is_legal(*symbol)) {
        let message = format!("character {symbol:?} never appears in a path; encode it");
        field.fault(sheet, message);
        return None;
    }
    Some(Arc::from(path))
}

/// Reads one number for each class.
fn read_classes(
    field: &FieldValue<'_, '_>,
    sheet: &mut FaultSheet<'_>,
    range: &std::ops::RangeInclusive<u64>,
) -> Option<ClassLimits> {
    let mut object = field.object(sheet)?;
    let mut number = |name| object.required(sheet, name, |field, sheet| field.number(sheet, range));
    let urgent = number("urgent");
    let standard = number("standard");
    let export = number("export");
    object.finish(sheet);
    Some(ClassLimits {
        urgent: urgent?,
        standard: standard?,
        export: export?,
    })
}

/// Reads the measuring budget.
fn read_measuring(
    field: &FieldValue<'_, '_>,
    sheet: &mut FaultSheet<'_>,
) -> Option<MeasuringBudget> {
    let mut object = field.object(sheet)?;
    let probes = object.required(sheet, "probes", |field, sheet| {
        field.small_number(sheet, &limits::PROBES)
    });
    let window_ms = object.required(sheet, "window_ms", |field, sheet| {
        field.number(sheet, &limits::WINDOW_MS)
    });
    object.finish(sheet);
    Some(MeasuringBudget {
        probes: probes?,
        window_ms: window_ms?,
    })
}
