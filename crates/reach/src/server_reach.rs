//! Tells whether a gate reaches the servers of a group.

use std::net::SocketAddr;

use ggs_model::Moment;
use strum::{Display, IntoStaticStr};

use crate::run::FailureRun;

/// What a gate sees at a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ReachEvent {
    /// A connection was opened.
    Opened,
    /// No connection could be opened.
    NotOpened,
    /// An answer arrived, of whatever kind.
    Answered,
    /// An open connection broke or brought no answer in time.
    NotAnswered,
}

/// How far a gate reaches the servers of a group.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ReachState {
    /// It reaches them, or at least some.
    #[default]
    Reached,
    /// Answers arrive on open connections, but no new ones can be opened.
    OpenConnections,
    /// No answers arrive. New connections may still work, as open ones go silent for other reasons too.
    Silent,
    /// No answers arrive, and no new connections can be opened.
    Cut,
}

/// Whether a gate reaches the servers of a group, by what it has seen at each of them.
///
/// A path is taken to be cut when several servers fail over some time without a success of any, and
/// to be restored when several succeed. Opening connections and getting answers are judged apart, as
/// a partition may leave open connections alive.
///
/// ```
/// use ggs_model::Moment;
/// use ggs_reach::{ReachEvent, ReachState, ServerReach};
///
/// let servers: Vec<std::net::SocketAddr> =
///     (1..=4).map(|host| ([10, 0, 0, host], 80).into()).collect();
/// let mut reach = ServerReach::default();
/// for (server, at_ms) in servers.iter().zip([0, 100, 200, 300]) {
///     reach.record(*server, ReachEvent::NotOpened, servers.len(), Moment::from_millis(at_ms));
/// }
/// assert_eq!(reach.state(), ReachState::Cut);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ServerReach {
    connects: FailureRun,
    answers: FailureRun,
}

impl ServerReach {
    /// Records what was seen at one of `listed` servers.
    pub fn record(&mut self, server: SocketAddr, event: ReachEvent, listed: usize, now: Moment) {
        match event {
            ReachEvent::Opened => self.connects.record_success(server, listed),
            ReachEvent::NotOpened => {
                self.connects.record_failure(server, listed, now);
                self.answers.record_failure(server, listed, now);
            }
            ReachEvent::Answered => self.answers.record_success(server, listed),
            ReachEvent::NotAnswered => self.answers.record_failure(server, listed, now),
        }
    }

    /// Whether servers have to be tried to tell how far they are reached: they are not, or enough have
    /// failed to doubt it, and there may be no further requests to find out.
    pub const fn needs_trial(&self) -> bool {
        !matches!(self.state(), ReachState::Reached)
            || self.answers.is_doubtful()
            || self.connects.is_doubtful()
    }

    /// How far the servers are reached.
    pub const fn state(&self) -> ReachState {
        match (self.answers.is_cut(), self.connects.is_cut()) {
            (true, true) => ReachState::Cut,
            (true, false) => ReachState::Silent,
            (false, true) => ReachState::OpenConnections,
            (false, false) => ReachState::Reached,
        }
    }
}
