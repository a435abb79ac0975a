//! Catalogue of log events: their numbers, names and levels.
//!
//! Operators can filter and alert on the number. `docs/EVENTS.md` lists the same events; a test
//! compares the two.

use strum::{EnumIter, IntoStaticStr};

/// Severity of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogLevel {
    /// An operator must act.
    Error,
    /// An operator may have to act.
    Warning,
    /// Part of normal operation.
    Info,
    /// Detail for finding the cause of a failure.
    Debug,
}

/// A log event; the discriminant is its number, which is never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
#[repr(u16)]
pub enum LogEvent {
    /// A gate started and listens on its addresses.
    GateStarted = 100,
    /// A gate was asked to stop and is draining.
    GateDraining = 101,
    /// A gate finished draining and stops; if a grace period limits the drain, requests may be
    /// unfinished.
    GateStopped = 102,
    /// A listening address could not be bound.
    BindFailed = 103,
    /// The settings file has errors.
    SettingsInvalid = 104,
    /// Changed settings were loaded and are in force.
    SettingsReloaded = 105,
    /// A document came into force.
    DocumentInForce = 200,
    /// A document from the platform could not be parsed.
    DocumentInvalid = 201,
    /// The documents may be out of date: neither the platform's table nor a gate that reaches it
    /// has confirmed them for too long.
    DocumentsStale = 202,
    /// The documents are known to be up to date again.
    DocumentsFresh = 203,
    /// A configuration, which sets the routes of an edge, came into force.
    ConfigInForce = 204,
    /// A configuration could not be read; the one in force remains in use.
    ConfigUnreadable = 205,
    /// The configuration in force may be out of date: neither the platform's store nor another gate
    /// has confirmed it in time. The gate reads the store itself.
    ConfigUnconfirmed = 206,
    /// A platform call failed.
    PlatformFailed = 300,
    /// Platform calls succeed again.
    PlatformRecovered = 301,
    /// More servers are missing from a host list than a gate drops at once; it keeps some of them.
    HostListShrunken = 302,
    /// A server is draining before it stops.
    ServerLeaving = 303,
    /// Servers were listed and accept new requests.
    ServerListed = 304,
    /// Servers no longer accept new requests: they are leaving or gone.
    ServerDropped = 305,
    /// A row of the server list could not be read as a usable server, which gets no new requests.
    ServerUnreadable = 306,
    /// The platform's store no longer has the changes since a gate's last read of a table.
    StoreHistoryLost = 307,
    /// The platform's store was restored from a copy and lost its newest changes.
    StoreRestored = 308,
    /// A server named a limit on the requests that it takes from all gates together, or named none
    /// any more.
    ServerLimited = 309,
    /// A server ended while it had a request.
    ServerEnded = 310,
    /// A gate does not reach the servers of a service, or opens no new connections to them; its
    /// requests go through other gates.
    ServersUnreachable = 311,
    /// A gate reaches the servers of a service again.
    ServersReached = 312,
    /// A server turned a request away and said for how long it wants no further ones.
    ServerResting = 313,
    /// The time is over for which servers wanted no requests.
    ServerRested = 314,
    /// Operators evacuated data centres or took them back: their servers get nothing, or requests again.
    EvacuationChanged = 315,
    /// A service began to lack room, so that less urgent requests give way, or has room again.
    RoomChanged = 316,
    /// A request failed with a verdict on whether it ran.
    RequestFailed = 400,
    /// A caller's connection failed, for example by a protocol error.
    CallerConnectionFailed = 401,
    /// A request completed with its final answer.
    RequestEnded = 402,
    /// An attempt at a server ended without an answer for the caller.
    AttemptFailed = 403,
    /// A request was refused, because no server is expected to answer it in time, or was not
    /// retried, because the retry budget is exhausted.
    RequestRefused = 404,
    /// A caller disconnected before its request had a final answer.
    CallerLeft = 405,
    /// A request was answered before its body was read: the body is too long, does not fit into the
    /// memory of the gate, or did not arrive in time.
    BodyNotRead = 406,
    /// Servers ended each time they ran a request, which gets no more servers.
    RequestQuarantined = 407,
    /// A server answered a request in quarantine, or an operator released it; it is sent again from now
    /// on.
    RequestReleased = 408,
    /// A request in quarantine was tried at a server, which brought no good answer.
    TrialFailed = 409,
    /// A caller sent no key, or one that no workspace of the configuration has.
    CallerUnauthorized = 410,
    /// A workspace sends more than its quota; requests beyond it are refused.
    QuotaExceeded = 411,
    /// A workspace is within its quota again.
    QuotaRestored = 412,
    /// Heartbeats arrived from gates that are new or were unreachable.
    GateJoined = 500,
    /// Another gate announced that it stops.
    GateLeft = 501,
    /// The lease of another gate expired without a heartbeat; it is no longer advertised.
    GateWithdrawn = 502,
    /// This gate lost contact with most other gates.
    GatesLost = 503,
    /// This gate is in contact with most other gates again.
    GatesSeen = 504,
    /// This gate was paused for longer than allowed, for example while its host was suspended; it
    /// withdraws no other gate for one lease.
    GateWoke = 505,
    /// A connection between gates ended or could not be established.
    PeerLinkEnded = 506,
    /// A connection between gates was rejected: the other end is not a gate of this version.
    PeerLinkRejected = 507,
}

impl LogEvent {
    /// Number of the event, written to the log as `event`.
    pub const fn number(self) -> u16 {
        self as u16
    }

    /// Name of the event in kebab case, written to the log as `name`.
    pub fn name(self) -> &'static str {
        self.into()
    }

    /// Level at which the event is logged.
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
            | Self::StoreRestored
            | Self::RequestQuarantined
            | Self::TrialFailed
            | Self::ServersUnreachable
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
            | Self::ConfigUnconfirmed
            | Self::ServerListed
            | Self::ServerDropped
            | Self::RequestEnded
            | Self::AttemptFailed
            | Self::RequestRefused
            | Self::CallerLeft
            | Self::BodyNotRead
            | Self::CallerUnauthorized
            | Self::QuotaExceeded
            | Self::QuotaRestored
            | Self::EvacuationChanged
            | Self::RoomChanged
            | Self::RequestReleased
            | Self::DocumentsFresh
            | Self::PlatformRecovered
            | Self::ServerLeaving
            | Self::StoreHistoryLost
            | Self::ServerLimited
            | Self::ServerEnded
            | Self::ServersReached
            | Self::ServerResting
            | Self::ServerRested
            | Self::GateJoined
            | Self::GateLeft
            | Self::GatesSeen => LogLevel::Info,
            Self::RequestFailed | Self::CallerConnectionFailed | Self::PeerLinkEnded => {
                LogLevel::Debug
            }
        }
    }
}
