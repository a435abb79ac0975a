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
    /// Changed settings are in force.
    SettingsReloaded = 105,
    /// A document came into force.
    DocumentInForce = 200,
    /// A document from the platform could not be read.
    DocumentInvalid = 201,
    /// The documents may be out of date.
    DocumentsStale = 202,
    /// The documents are known to be the newest again.
    DocumentsFresh = 203,
    /// A configuration came into force.
    ConfigInForce = 204,
    /// A configuration could not be read; the one in force stays.
    ConfigUnreadable = 205,
    /// A platform call failed.
    PlatformFailed = 300,
    /// Platform calls succeed again.
    PlatformRecovered = 301,
    /// A host list lacks more servers than are dropped at once.
    HostListShrunken = 302,
    /// A server is leaving.
    ServerLeaving = 303,
    /// A server takes new work.
    ServerListed = 304,
    /// A server takes no new work: it is leaving or gone.
    ServerDropped = 305,
    /// A row of the server list names no server that can be used.
    ServerUnreadable = 306,
    /// A request failed with a verdict.
    RequestFailed = 400,
    /// A caller's connection broke a rule of the protocol.
    CallerConnectionFailed = 401,
    /// A request has its final answer.
    RequestEnded = 402,
    /// A send to a server has no answer for the caller.
    AttemptFailed = 403,
    /// A request was refused, as no server can answer it in time.
    RequestRefused = 404,
    /// A caller left before its request had a final answer.
    CallerLeft = 405,
    /// Another gate was heard for the first time or again.
    GateJoined = 500,
    /// Another gate said goodbye.
    GateLeft = 501,
    /// Another gate was not heard for a lease and is no longer handed out.
    GateWithdrawn = 502,
    /// This gate lost sight of most others.
    GatesLost = 503,
    /// This gate sees most others again.
    GatesSeen = 504,
    /// This gate did not run for longer than it should.
    GateWoke = 505,
    /// A connection between gates ended or could not be made.
    PeerLinkEnded = 506,
    /// Something that is not a gate of this version spoke on a connection between gates.
    PeerLinkRejected = 507,
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
            Self::BindFailed
            | Self::SettingsInvalid
            | Self::DocumentInvalid
            | Self::ConfigUnreadable => LogLevel::Error,
            Self::DocumentsStale
            | Self::PlatformFailed
            | Self::HostListShrunken
            | Self::ServerUnreadable
            | Self::GateWithdrawn
            | Self::GatesLost
            | Self::GateWoke
            | Self::PeerLinkRejected => LogLevel::Warning,
            Self::GateStarted
            | Self::GateDraining
            | Self::GateStopped
            | Self::SettingsReloaded
            | Self::DocumentInForce
            | Self::ConfigInForce
            | Self::ServerListed
            | Self::ServerDropped
            | Self::RequestEnded
            | Self::AttemptFailed
            | Self::RequestRefused
            | Self::CallerLeft
            | Self::DocumentsFresh
            | Self::PlatformRecovered
            | Self::ServerLeaving
            | Self::GateJoined
            | Self::GateLeft
            | Self::GatesSeen => LogLevel::Info,
            Self::RequestFailed | Self::CallerConnectionFailed | Self::PeerLinkEnded => {
                LogLevel::Debug
            }
        }
    }
}
