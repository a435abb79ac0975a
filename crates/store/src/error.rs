//! Errors of platform calls.
//!
//! The variants differ in what they say about a write: it had no effect, or its effect is unknown.

use std::fmt;

/// Why a platform call failed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreError {
    /// The platform could not be reached or refused the call; a write had no effect.
    Unavailable {
        /// Method and path of the call, or only the trait method for the platform in memory.
        call: String,
        /// The underlying failure.
        cause: String,
    },
    /// No complete answer arrived in time, or the platform failed during the call; a write may have
    /// taken effect or may still do so.
    Unanswered {
        /// Method and path of the call, or only the trait method for the platform in memory.
        call: String,
        /// The underlying failure.
        cause: String,
    },
    /// The answer has an unexpected status or format; a write may have taken effect.
    BadAnswer {
        /// Method and path of the call, or only the path if the body could not be parsed.
        call: String,
        /// The underlying failure.
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
