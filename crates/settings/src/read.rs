//! Reading of settings and documents.

use ggs_model::ServiceDocument;
use serde::de::DeserializeOwned;

use crate::{GateSettings, SettingsError, SettingsFault};

/// Reads the settings of a gate; `file` names the text in faults.
///
/// # Errors
///
/// Lists every fault of the text.
pub fn read_gate_settings(file: &str, text: &str) -> Result<GateSettings, SettingsError> {
    read_value(file, text)
}

/// Reads a service document; `file` names the text in faults.
///
/// # Errors
///
/// Lists every fault of the text.
///
/// ```
/// let text = r#"{ "service": "ledger", /* owner */ "partner": "wagowa" }"#;
/// let document = ggs_settings::read_document("ledger.json", text).unwrap();
/// assert_eq!(document.service.as_str(), "ledger");
/// ```
pub fn read_document(file: &str, text: &str) -> Result<ServiceDocument, SettingsError> {
    read_value(file, text)
}

/// Reads any value from JSON with comments.
fn read_value<T: DeserializeOwned>(file: &str, text: &str) -> Result<T, SettingsError> {
    let options = jsonc_parser::ParseOptions::default();
    let value = jsonc_parser::parse_to_serde_value::<serde_json::Value>(text, &options);
    let value = value.map_err(|error| single_fault(file, error.to_string()))?;
    serde_json::from_value(value).map_err(|error| single_fault(file, error.to_string()))
}

/// An error with one fault at the start of the file.
fn single_fault(file: &str, message: String) -> SettingsError {
    let file = file.to_owned();
    SettingsError {
        faults: vec![SettingsFault {
            file,
            line: 1,
            column: 1,
            field: String::new(),
            message,
        }],
    }
}
