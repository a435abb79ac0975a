//! Identity of an edit, so that the same edit sent twice takes effect once.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Hexadecimal digits of a printed edit id.
const EDIT_DIGITS: usize = 32;

/// A number drawn anew for each edit of a document and repeated when that edit is sent again.
///
/// ```
/// use ggs_model::EditId;
///
/// let edit: EditId = "000000000000000000000000000000ff".parse().unwrap();
/// assert_eq!(edit, EditId(255));
/// assert_eq!(edit.to_string(), "000000000000000000000000000000ff");
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct EditId(pub u128);

impl fmt::Display for EditId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{:032x}", self.0)
    }
}

/// An edit id that could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseEditError;

impl fmt::Display for ParseEditError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "edit id is not {EDIT_DIGITS} hexadecimal digits in lower case"
        )
    }
}

impl std::error::Error for ParseEditError {}

impl FromStr for EditId {
    type Err = ParseEditError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
        if text.len() != EDIT_DIGITS || !text.bytes().all(is_digit) {
            return Err(ParseEditError);
        }
        let number = u128::from_str_radix(text, 16).map_err(|_| ParseEditError)?;
        Ok(Self(number))
    }
}

impl TryFrom<String> for EditId {
    type Error = ParseEditError;

    fn try_from(text: String) -> Result<Self, Self::Error> {
        text.parse()
    }
}

impl From<EditId> for String {
    fn from(edit: EditId) -> Self {
        edit.to_string()
    }
}
