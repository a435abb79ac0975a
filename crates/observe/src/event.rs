//! The catalogue of log events; `docs/EVENTS.md` lists the same.

use strum::{EnumIter, IntoStaticStr};

/// How much an event matters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogLevel {
    /// Needs an operator.
    Error,
    /// May need an operator.
    Warning,
    /// Normal operation.
    Info,
    /// Detail.
    Debug,
}

/// A numbered event. Numbers are never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
#[repr(u16)]
pub enum LogEvent {
    /// A gate started and listens.
    GateStarted = 100,
    /// A gate was told to stop and drains.
    GateDraining = 101,
    /// A gate finished all requests and ends.
    GateStopped = 102,
    /// An address could not be bound.
    BindFailed = 103,
    /// Settings have faults.
    SettingsInvalid = 104,
    /// A document came into force.
    DocumentInForce = 200,
    /// A document from the platform could not be read.
    DocumentInvalid = 201,
    /// A platform call failed.
    PlatformFailed = 300,
    /// Platform calls succeed again.
    PlatformRecovered = 301,
    /// A request failed with a verdict.
    RequestFailed = 400,
    /// A caller's connection broke a rule of the protocol.
    CallerConnectionFailed = 401,
}

impl LogEvent {
    /// The event's number.
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// The event's name.
    pub fn name(self) -> &'static str {
        self.into()
    }

    /// How much the event matters.
    pub const fn level(self) -> LogLevel {
        match self {
            Self::BindFailed | Self::SettingsInvalid | Self::DocumentInvalid => LogLevel::Error,
            Self::PlatformFailed => LogLevel::Warning,
            Self::GateStarted
            | Self::GateDraining
            | Self::GateStopped
            | Self::DocumentInForce
            | Self::PlatformRecovered => LogLevel::Info,
            Self::RequestFailed | Self::CallerConnectionFailed => LogLevel::Debug,
        }
    }
}
