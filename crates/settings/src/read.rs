//! Reading and printing of settings and documents.

use ggs_model::{EditFault, EditFaults, ServiceDocument, ServiceName};
use jsonc_parser::{CollectOptions, ParseOptions, parse_to_ast};

use crate::document::check_document;
use crate::field::FieldValue;
use crate::gate::check_gate;
use crate::limits::TEXT_LIMIT_BYTES;
use crate::sheet::FaultSheet;
use crate::{GateSettings, SettingsError};

/// Name of a document's text in faults when it came over HTTP.
const EDIT_FILE: &str = "document";

/// JSON with comments and trailing commas, and no other extension.
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

/// Reads the settings of a gate; `file` names the text in faults.
///
/// # Errors
///
/// Lists every fault of the text. A fault of syntax hides those after it.
///
/// ```
/// let text = r#"{ "host": "entry-1", "data_centre": "krakow", "listen_callers": "x" }"#;
/// let error = ggs_settings::read_gate_settings("gate.json", text).unwrap_err();
/// let fields: Vec<_> = error.faults.iter().map(|fault| fault.field.as_str()).collect();
/// assert_eq!(fields, ["listen_peers", "platform", "listen_callers"]);
/// ```
pub fn read_gate_settings(file: &str, text: &str) -> Result<GateSettings, SettingsError> {
    read_checked(file, text, check_gate)
}

/// Reads a service document; `file` names the text in faults.
///
/// # Errors
///
/// Lists every fault of the text. A fault of syntax hides those after it.
///
/// ```
/// let text = r#"{ "service": "ledger", /* owner */ "partner": "wagowa" }"#;
/// let document = ggs_settings::read_document("ledger.json", text).unwrap();
/// assert_eq!(document.service.as_str(), "ledger");
/// ```
pub fn read_document(file: &str, text: &str) -> Result<ServiceDocument, SettingsError> {
    read_checked(file, text, check_document)
}

/// Reads the text of an edit of the document of `service`, as a gate does for
/// `PUT /v1/documents/{service}`.
///
/// # Errors
///
/// Lists every fault of the text; a document of another service is a fault too.
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
    let check = |root: &FieldValue<'_, '_>, sheet: &mut FaultSheet<'_>| {
        check_service(root, sheet, service);
        check_document(root, sheet)
    };
    read_checked(EDIT_FILE, text, check).map_err(EditFaults::from)
}

/// Prints settings as text that [`read_gate_settings`] reads.
pub fn print_gate_settings(settings: &GateSettings) -> String {
    print_value(settings)
}

/// Prints a document as text that [`read_document`] reads.
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
    // Both types have string keys and plain values, which always print.
    serde_json::to_string_pretty(value).unwrap_or_default()
}

/// Adds a fault if the document names another service.
fn check_service(root: &FieldValue<'_, '_>, sheet: &mut FaultSheet<'_>, service: &ServiceName) {
    let quiet = &mut FaultSheet::new("", "");
    let Some(field) = root
        .object(quiet)
        .and_then(|mut object| object.field("service"))
    else {
        return;
    };
    let Some(name) = field.text(quiet) else {
        return;
    };
    if name != service.as_str() {
        field.fault(
            sheet,
            format!("expected \"{service}\", the service of the request"),
        );
    }
}

/// Parses a text and checks it.
fn read_checked<T>(
    file: &str,
    text: &str,
    check: impl FnOnce(&FieldValue<'_, '_>, &mut FaultSheet<'_>) -> Option<T>,
) -> Result<T, SettingsError> {
    let mut sheet = FaultSheet::new(file, text);
    if text.len() > TEXT_LIMIT_BYTES {
        let message = format!("text is longer than {TEXT_LIMIT_BYTES} bytes");
        sheet.add(0, "", message);
        return sheet.finish(None);
    }
    let value = parse_to_ast(text, &CollectOptions::default(), &PARSE_OPTIONS);
    let value = match value {
        Ok(parsed) => parsed.value,
        Err(error) => {
            let offset = error.range().start;
            let message = error.kind().to_string();
            sheet.add(offset, "", message);
            return sheet.finish(None);
        }
    };
    let Some(value) = value else {
        sheet.add(0, "", "text is empty; expected an object".to_owned());
        return sheet.finish(None);
    };
    let checked = check(&FieldValue::root(&value), &mut sheet);
    sheet.finish(checked)
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
