//! Reasons why a message cannot be decoded or a connection ended.

use std::fmt;

/// Why a frame cannot be decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WireError {
    /// The bytes are not a frame, or the frame is too long.
    Malformed {
        /// Error message of the codec.
        cause: String,
    },
    /// A field is missing or has a value outside its range.
    BadField {
        /// Name of the field in the protocol.
        field: &'static str,
    },
    /// A document in the message cannot be decoded.
    BadDocument {
        /// Description of the problem.
        cause: String,
    },
}

impl fmt::Display for WireError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Malformed { cause } => write!(formatter, "frame cannot be decoded: {cause}"),
            Self::BadField { field } => {
                write!(formatter, "field \"{field}\" is missing or out of range")
            }
            Self::BadDocument { cause } => write!(formatter, "document cannot be decoded: {cause}"),
        }
    }
}

impl std::error::Error for WireError {}

/// Why a connection ended or could not be made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// The connection attempt failed.
    Unreachable {
        /// Error message of the operating system.
        cause: String,
    },
    /// The other end closed the connection, or an I/O error ended it.
    Closed {
        /// Error message of the operating system, or that the other end closed the connection.
        cause: String,
    },
    /// Connecting, the handshake, or waiting for or sending a frame took too long.
    TimedOut,
    /// The other end sent bytes that are not a valid message.
    InvalidFrame(WireError),
    /// The first message of the other end was not a hello.
    NoHello,
    /// The other end uses another version of the protocol.
    VersionMismatch {
        /// Version that the other end uses.
        version: u32,
    },
    /// The other end is this gate itself: the address is its own.
    OwnAddress,
    /// This gate closed the connection.
    ClosedLocally,
}

impl fmt::Display for LinkFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable { cause } => write!(formatter, "cannot connect: {cause}"),
            Self::Closed { cause } => write!(formatter, "connection ended: {cause}"),
            Self::TimedOut => formatter.write_str("connection timed out"),
            Self::InvalidFrame(error) => {
                write!(formatter, "other end sent an invalid message: {error}")
            }
            Self::NoHello => formatter.write_str("first message is not a hello"),
            Self::VersionMismatch { version } => {
                write!(
                    formatter,
                    "other end uses version {version} of the protocol"
                )
            }
            Self::OwnAddress => formatter.write_str("address is this gate's own"),
            Self::ClosedLocally => formatter.write_str("closed by this gate"),
        }
    }
}

impl std::error::Error for LinkFault {}
