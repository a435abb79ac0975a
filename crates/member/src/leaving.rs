//! Servers that are leaving: they finish their requests and take no new work.
//!
//! Gates pass leaving notices on to each other and keep them, because the host list may lag and
//! show a server as live long after it has started to leave.

use std::time::Duration;

use foldhash::HashMap;
use ggs_model::{Moment, ServerId};

/// Maximum number of notices kept. It is far above the number of servers, so that only invalid
/// notices can reach it.
pub const MAX_NOTICES: usize = 8_192;

/// Time for which a new notice is repeated in heartbeats, in case the first message was lost.
pub const NOTICE_REPEAT_TIME: Duration = Duration::from_secs(5);

/// Time for which a notice is kept after the host list last showed its server.
const KEEP_UNLISTED: Duration = Duration::from_mins(10);

/// Notice that one server is leaving.
#[derive(Clone, Copy, Debug)]
struct LeavingNotice {
    /// When the first notice for the server was received.
    received: Moment,
    /// When the host list last showed the server, or the time of the first notice if it did not
    /// since.
    last_listed: Moment,
}

/// Servers that are leaving, per incarnation: a restarted server has another [`ServerId`].
///
/// The first notice marks the server, whatever its source; later notices for the same incarnation
/// change nothing and are not passed on. A notice is kept while the host list shows the server,
/// however long the list lags.
///
/// ```
/// use ggs_member::LeavingSet;
/// use ggs_model::{Incarnation, Moment, ServerId};
///
/// let address = "127.0.0.1:80".parse().unwrap();
/// let old = ServerId { address, incarnation: Incarnation(1) };
/// let new = ServerId { address, incarnation: Incarnation(2) };
/// let mut leaving = LeavingSet::default();
/// assert!(leaving.mark(old, Moment::ZERO));
/// assert!(!leaving.mark(old, Moment::ZERO));
/// assert!(leaving.contains(&old) && !leaving.contains(&new));
/// ```
#[derive(Clone, Debug, Default)]
pub struct LeavingSet {
    notices: HashMap<ServerId, LeavingNotice>,
}

impl LeavingSet {
    /// Records a notice that `server` is leaving; returns true if it is the first, which the caller
    /// must pass on to the other gates at once.
    pub fn mark(&mut self, server: ServerId, now: Moment) -> bool {
        if self.notices.contains_key(&server) {
            return false;
        }
        if self.notices.len() >= MAX_NOTICES {
            self.drop_oldest();
        }
        let notice = LeavingNotice {
            received: now,
            last_listed: now,
        };
        self.notices.insert(server, notice);
        true
    }

    /// Returns whether this incarnation of the server is leaving.
    pub fn contains(&self, server: &ServerId) -> bool {
        self.notices.contains_key(server)
    }

    /// All leaving servers, to be sent to a gate that has just connected.
    pub fn all(&self) -> impl Iterator<Item = ServerId> {
        self.notices.keys().copied()
    }

    /// Leaving servers whose notice is younger than [`NOTICE_REPEAT_TIME`], to be repeated in a
    /// heartbeat.
    pub fn recent(&self, now: Moment) -> impl Iterator<Item = ServerId> {
        let recent = self
            .notices
            .iter()
            .filter(move |(_, notice)| now.since(notice.received) < NOTICE_REPEAT_TIME);
        recent.map(|(server, _)| *server)
    }

    /// Number of leaving servers.
    pub fn len(&self) -> usize {
        self.notices.len()
    }

    /// Returns whether no server is leaving.
    pub fn is_empty(&self) -> bool {
        self.notices.is_empty()
    }

    /// Drops notices for servers that the host list has not shown for 10 minutes. `is_listed` tells
    /// whether the list shows an incarnation now.
    ///
    /// Must not be called when no list could be read, so that an outage of the host list drops no
    /// notices.
    pub fn prune(&mut self, is_listed: impl Fn(&ServerId) -> bool, now: Moment) {
        for (server, notice) in &mut self.notices {
            if is_listed(server) {
                notice.last_listed = now;
            }
        }
        self.notices
            .retain(|_, notice| now.since(notice.last_listed) < KEEP_UNLISTED);
    }

    /// Drops the notice for the server that the host list has not shown for the longest time.
    fn drop_oldest(&mut self) {
        let oldest = self
            .notices
            .iter()
            .min_by_key(|(server, notice)| (notice.last_listed, **server));
        if let Some(server) = oldest.map(|(server, _)| *server) {
            self.notices.remove(&server);
        }
    }
}
