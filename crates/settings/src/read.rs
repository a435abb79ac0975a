//! Reads and prints settings and documents.
//!
//! Reading parses the text, checks the syntax tree and returns either the value or all faults.
//! What is printed here can be read again.

use ggs_model::{EditFault, EditFaults, ServiceDocument, ServiceName};
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use crate::collector::FaultCollector;
use crate::document::check_document;
use crate::field::FieldValue;
use crate::gate::check_gate;
use crate::limits::TEXT_LIMIT_BYTES;
use crate::{GateSettings, SettingsError};

/// Stand-in for the file name in the faults of a document that was sent over HTTP.
const EDIT_FILE_NAME: &str = "document";

/// Accepts JSON with comments and trailing commas, and no other extension.
const PARSE_OPTIONS: ParseOptions = ParseOptions {
    allow_comments: true,
    allow_loose_object_property_names: false,
    allow_trailing_commas: true,
    allow_missing_commas: false,
    allow_single_quoted_strings: false,
    allow_hexadecimal_numbers: false,
    allow_unary_plus_numbers: false,
    allow_bare_decimal_point_numbers: false,
    allow_non_finite_numbers: false,
    allow_extended_string_escapes: false,
};

/// Reads the settings of a gate; faults name the text `file`.
///
/// # Errors
///
/// Returns every fault of the text. A syntax error hides the faults after it.
///
/// ```
/// let text = r#"{ "host": "entry-1", "data_centre": "krakow", "listen_callers": "x" }"#;
/// let error = ggs_settings::read_gate_settings("gate.json", text).unwrap_err();
/// let fields: Vec<_> = error.faults.iter().map(|fault| fault.field.as_str()).collect();
/// assert_eq!(fields, ["listen_peers", "platform", "listen_callers"]);
/// ```
pub fn read_gate_settings(file: &str, text: &str) -> Result<GateSettings, SettingsError> {
    parse_and_check(file, text, check_gate)
}

/// Reads a service document; faults name the text `file`.
///
/// # Errors
///
/// Returns every fault of the text. A syntax error hides the faults after it.
///
/// ```
/// let text = r#"{ "service": "ledger", /* owner */ "partner": "wagowa" }"#;
/// let document = ggs_settings::read_document("ledger.json", text).unwrap();
/// assert_eq!(document.service.as_str(), "ledger");
/// ```
pub fn read_document(file: &str, text: &str) -> Result<ServiceDocument, SettingsError> {
    parse_and_check(file, text, check_document)
}

/// Reads the text of an edit of the document of `service`, as a gate does for
/// `PUT /v1/documents/{service}`.
///
/// # Errors
///
/// Returns every fault of the text. It is also a fault if the document is of another service.
///
/// ```
/// use ggs_model::ServiceName;
///
/// let text = r#"{ "service": "ledger", "partner": "wagowa" }"#;
/// assert!(ggs_settings::read_edit(&ServiceName::new("ledger"), text).is_ok());
/// let faults = ggs_settings::read_edit(&ServiceName::new("roster"), text).unwrap_err().faults;
/// assert_eq!(faults[0].field, "service");
/// ```
pub fn read_edit(service: &ServiceName, text: &str) -> Result<ServiceDocument, EditFaults> {
    let check = |root: &FieldValue<'_, '_>, collector: &mut FaultCollector<'_>| {
        check_service(root, collector, service);
        check_document(root, collector)
    };
    parse_and_check(EDIT_FILE_NAME, text, check).map_err(EditFaults::from)
}

/// Prints settings as JSON that [`read_gate_settings`] reads.
pub fn print_gate_settings(settings: &GateSettings) -> String {
    print_value(settings)
}

/// Prints a document as JSON that [`read_document`] reads.
///
/// ```
/// let document = ggs_model::ServiceDocument::new("ledger", "wagowa");
/// let text = ggs_settings::print_document(&document);
/// assert_eq!(ggs_settings::read_document("ledger.json", &text), Ok(document));
/// ```
pub fn print_document(document: &ServiceDocument) -> String {
    print_value(document)
}

/// Prints a value as indented JSON.
fn print_value(value: &impl serde::Serialize) -> String {
    // Cannot fail: both types have string keys only, and values that JSON can represent.
    serde_json::to_string_pretty(value).unwrap_or_default()
}

/// Adds a fault if the document is of another service than `service`.
///
/// A missing or invalid name is not a fault here, as `check_document` reports it.
fn check_service(
    root: &FieldValue<'_, '_>,
    collector: &mut FaultCollector<'_>,
    service: &ServiceName,
) {
    let discarded = &mut FaultCollector::new("", "");
    let Some(field) = root
        .object(discarded)
        .and_then(|mut object| object.field("service"))
    else {
        return;
    };
    let Some(name) = field.string(discarded) else {
        return;
    };
    if name != service.as_str() {
        field.add_fault(
            collector,
            format!("expected \"{service}\", the service of the request"),
        );
    }
}

/// Parses a text and passes its top-level value to `check`.
fn parse_and_check<T>(
    file: &str,
    text: &str,
    check: impl FnOnce(&FieldValue<'_, '_>, &mut FaultCollector<'_>) -> Option<T>,
) -> Result<T, SettingsError> {
    let mut collector = FaultCollector::new(file, text);
    if text.len() > TEXT_LIMIT_BYTES {
        let message = format!("text is longer than {TEXT_LIMIT_BYTES} bytes");
        collector.add(0, "", message);
        return collector.into_result(None);
    }
    let value = parse_to_ast(text, &CollectOptions::default(), &PARSE_OPTIONS);
    let value = match value {
        Ok(parsed) => parsed.value,
        Err(error) => {
            let offset = error.range().start;
            let message = error.kind().to_string();
            collector.add(offset, "", message);
            return collector.into_result(None);
        }
    };
    let Some(value) = value else {
        collector.add(0, "", "text is empty; expected an object".to_owned());
        return collector.into_result(None);
    };
    let checked = check(&FieldValue::root(&value), &mut collector);
    collector.into_result(checked)
}

impl From<SettingsError> for EditFaults {
    fn from(error: SettingsError) -> Self {
        let faults = error.faults.into_iter().map(|fault| EditFault {
            line: fault.line,
            column: fault.column,
            field: fault.field,
            message: fault.message,
        });
        let faults = faults.collect();
        Self { faults }
    }
}
