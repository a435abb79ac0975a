//! Collects the faults of a text, and computes the line and column of each.
//!
//! Checks find faults in any order and continue after each one; the result lists them in the order
//! of the text.

use crate::{SettingsError, SettingsFault};

/// Collects the faults of one text.
#[derive(Debug)]
pub(crate) struct FaultCollector<'a> {
    file: &'a str,
    text: &'a str,
    faults: Vec<(usize, SettingsFault)>,
}

impl<'a> FaultCollector<'a> {
    /// A collector without faults for `text`; faults name the text `file`.
    pub(crate) const fn new(file: &'a str, text: &'a str) -> Self {
        Self {
            file,
            text,
            faults: Vec::new(),
        }
    }

    /// Adds a fault of the field with the path `field`, at byte `offset` of the text.
    pub(crate) fn add(&mut self, offset: usize, field: &str, message: String) {
        let (line, column) = self.position(offset);
        let fault = SettingsFault {
            file: self.file.to_owned(),
            line,
            column,
            field: field.to_owned(),
            message,
        };
        self.faults.push((offset, fault));
    }

    /// Line and column of a byte offset, both from 1; columns count characters.
    ///
    /// An offset past the end of the text gives the position of the end.
    pub(crate) fn position(&self, offset: usize) -> (usize, usize) {
        let before = self.text.get(..offset).unwrap_or(self.text);
        let line = before.matches('\n').count() + 1;
        let start = before.rfind('\n').map_or(0, |index| index + 1);
        let column = before[start..].chars().count() + 1;
        (line, column)
    }

    /// Returns `value` if there are no faults, otherwise all faults in the order of the text.
    pub(crate) fn into_result<T>(mut self, value: Option<T>) -> Result<T, SettingsError> {
        self.faults.sort_by_key(|(offset, _)| *offset);
        let faults: Vec<_> = self.faults.into_iter().map(|(_, fault)| fault).collect();
        match value {
            Some(value) if faults.is_empty() => Ok(value),
            _ => Err(SettingsError { faults }),
        }
    }
}
