//! Faults of messages and connections.

use std::fmt;

/// Why bytes are not a message.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WireError {
    /// The bytes are not of the form of a frame.
    Malformed {
        /// What the codec says.
        cause: String,
    },
    /// A field is missing or has a value outside its range.
    BadField {
        /// Name of the field.
        field: &'static str,
    },
    /// A document in the message cannot be read.
    BadDocument {
        /// What is wrong with it.
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
            Self::BadDocument { cause } => write!(formatter, "document cannot be read: {cause}"),
        }
    }
}

impl std::error::Error for WireError {}

/// Why a connection ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LinkFault {
    /// No connection could be made.
    Unreachable {
        /// What the system says.
        cause: String,
    },
    /// The other end closed the connection, or it broke.
    Closed {
        /// What the system says.
        cause: String,
    },
    /// Nothing came, or nothing could be sent, for too long.
    Silent,
    /// The other end sent something that is not a message.
    Garbage(WireError),
    /// The other end did not introduce itself first.
    NoHello,
    /// The other end speaks another version.
    OtherVersion {
        /// Its version.
        version: u32,
    },
    /// The address is this gate's own.
    OwnAddress,
    /// This gate ended the connection.
    HungUp,
}

impl fmt::Display for LinkFault {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable { cause } => write!(formatter, "cannot connect: {cause}"),
            Self::Closed { cause } => write!(formatter, "connection ended: {cause}"),
            Self::Silent => formatter.write_str("connection went silent"),
            Self::Garbage(error) => write!(formatter, "other end is not a gate: {error}"),
            Self::NoHello => formatter.write_str("other end did not introduce itself"),
            Self::OtherVersion { version } => {
                write!(
                    formatter,
                    "other end speaks version {version} of the protocol"
                )
            }
            Self::OwnAddress => formatter.write_str("address is this gate's own"),
            Self::HungUp => formatter.write_str("hung up"),
        }
    }
}

impl std::error::Error for LinkFault {}
