//! Where results and messages are printed.

use std::fmt::Display;
use std::io::Write;

use serde::Serialize;

/// Results go to one writer, messages for a person to another.
///
/// ```
/// use ggs_ctl::Console;
///
/// let console = Console::new(Vec::new(), Vec::new());
/// let (results, messages) = console.into_parts();
/// assert!(results.is_empty() && messages.is_empty());
/// ```
#[derive(Debug)]
pub struct Console<O, E> {
    results: O,
    messages: E,
}

impl<O: Write, E: Write> Console<O, E> {
    /// A console over two writers, as standard output and standard error are.
    pub const fn new(results: O, messages: E) -> Self {
        Self { results, messages }
    }

    /// The two writers.
    pub fn into_parts(self) -> (O, E) {
        (self.results, self.messages)
    }

    /// Prints a line of the result.
    pub(crate) fn result(&mut self, line: impl Display) {
        // A reader that has gone, as `head` does, is no failure of the command.
        let _ = writeln!(self.results, "{line}");
    }

    /// Prints a result as indented JSON.
    pub(crate) fn json(&mut self, value: &impl Serialize) {
        // The printed types have string keys, which always print.
        let text = serde_json::to_string_pretty(value).unwrap_or_default();
        self.result(text);
    }

    /// Prints a message for a person.
    pub(crate) fn message(&mut self, line: impl Display) {
        let _ = writeln!(self.messages, "ggs-ctl: {line}");
    }

    /// Prints a line for a person as it stands.
    pub(crate) fn plain(&mut self, line: impl Display) {
        let _ = writeln!(self.messages, "{line}");
    }
}
