//! Faults found in a settings file or a service document, and how they are printed.

use std::fmt;

/// One fault, with its position in the text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsFault {
    /// File name, or a stand-in name for a text that is not from a file.
    pub file: String,
    /// Line, from 1.
    pub line: usize,
    /// Column, from 1; counts characters, not bytes.
    pub column: usize,
    /// Field path, for example `rules[0].method`; empty for a syntax error or a fault of the
    /// whole text.
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

/// All faults of one text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SettingsError {
    /// The faults, in the order of their positions in the text.
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
