//! Identity of an edit of a document.
//!
//! A client retries an edit whose outcome is unknown with the same id, so that the edit takes
//! effect once.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

/// Length of an edit id in text form.
const EDIT_ID_DIGIT_COUNT: usize = 32;

/// Random id of one edit of a document; a retry of the edit carries the same id.
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

/// Error of parsing an edit id: the text is not 32 hexadecimal digits in lower case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseEditError;

impl fmt::Display for ParseEditError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "edit id is not {EDIT_ID_DIGIT_COUNT} hexadecimal digits in lower case"
        )
    }
}

impl std::error::Error for ParseEditError {}

impl FromStr for EditId {
    type Err = ParseEditError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let is_digit = |byte: u8| matches!(byte, b'0'..=b'9' | b'a'..=b'f');
        if text.len() != EDIT_ID_DIGIT_COUNT || !text.bytes().all(is_digit) {
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
