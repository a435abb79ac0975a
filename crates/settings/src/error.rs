//! Faults found in a settings file or a document.

use std::fmt;

/// One fault, with its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFault {
    /// File name, or a name for text that came from elsewhere.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1.
    pub column: usize,
    /// Field path, for example `rules[0].method`; empty for a fault of syntax.
    pub field: String,
    /// What is wrong and what is expected.
    pub message: String,
}

impl fmt::Display for SettingsFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            file,
            line,
            column,
            field,
            message,
        } = self;
        if field.is_empty() {
            return write!(formatter, "{file}:{line}:{column}: {message}");
        }
        write!(
            formatter,
            "{file}:{line}:{column}: field \"{field}\": {message}"
        )
    }
}

/// All faults of one file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The faults in the order of the file.
    pub faults: Vec<SettingsFault>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, fault) in self.faults.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(formatter, "{separator}{fault}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}
