//! Failures of platform calls.

use std::fmt;

/// Why a platform call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The platform could not be reached or refused the call; nothing was written.
    Unavailable {
        /// What was asked.
        call: String,
        /// What went wrong.
        cause: String,
    },
    /// No answer came in time; a write may have taken effect.
    Unanswered {
        /// What was asked.
        call: String,
        /// What went wrong.
        cause: String,
    },
    /// The answer could not be understood.
    BadAnswer {
        /// What was asked.
        call: String,
        /// What went wrong.
        cause: String,
    },
}

impl fmt::Display for StoreError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unavailable { call, cause } => {
                write!(formatter, "platform call {call} was not taken: {cause}")
            }
            Self::Unanswered { call, cause } => {
                write!(
                    formatter,
                    "platform call {call} may have taken effect: {cause}"
                )
            }
            Self::BadAnswer { call, cause } => {
                write!(
                    formatter,
                    "platform call {call} had an unreadable answer: {cause}"
                )
            }
        }
    }
}

impl std::error::Error for StoreError {}
