//! Server runs that take no new work.

use std::time::Duration;

use foldhash::HashMap;
use ggs_model::{Moment, ServerId};

/// Words kept at once; far above the number of servers, so that only garbage reaches it.
pub const MAX_NOTICES: usize = 8_192;

/// Time for which a new notice is repeated in heartbeats, in case the first message was lost.
pub const NOTICE_REPEAT_TIME: Duration = Duration::from_secs(5);

/// Time for which a notice is kept after the host list stops to show its server.
const KEEP_UNLISTED: Duration = Duration::from_mins(10);

/// What is known of one leaving server.
#[derive(Clone, Copy, Debug)]
struct LeavingNotice {
    /// When the first sign came.
    received: Moment,
    /// When the host list last showed the server; the first sign counts as well.
    last_listed: Moment,
}

/// Servers that are leaving, per run: a restarted server is another [`ServerId`].
///
/// The first sign counts, wherever it comes from; the same notice again changes nothing and is not
/// passed on. A notice is kept while the host list shows the server, however long the list lags.
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
    /// Notes a sign that `server` is leaving; true if it is the first, to be passed on at once.
    pub fn mark(&mut self, server: ServerId, now: Moment) -> bool {
        if self.notices.contains_key(&server) {
            return false;
        }
        if self.notices.len() >= MAX_NOTICES {
            self.drop_longest_unlisted();
        }
        let notice = LeavingNotice {
            received: now,
            last_listed: now,
        };
        self.notices.insert(server, notice);
        true
    }

    /// Whether this run of the server is leaving.
    pub fn contains(&self, server: &ServerId) -> bool {
        self.notices.contains_key(server)
    }

    /// All notices, for a gate that has just connected.
    pub fn all(&self) -> impl Iterator<Item = ServerId> {
        self.notices.keys().copied()
    }

    /// Words that are new enough to be repeated in a heartbeat.
    pub fn recent(&self, now: Moment) -> impl Iterator<Item = ServerId> {
        let recent = self
            .notices
            .iter()
            .filter(move |(_, notice)| now.since(notice.received) < NOTICE_REPEAT_TIME);
        recent.map(|(server, _)| *server)
    }

    /// Number of notices.
    pub fn len(&self) -> usize {
        self.notices.len()
    }

    /// Whether there is no notice.
    pub fn is_empty(&self) -> bool {
        self.notices.is_empty()
    }

    /// Drops notices of servers that the host list has not shown for long; `is_listed` says whether the
    /// list shows a run now. Not to be called without a list, so that an outage drops no notice.
    pub fn prune(&mut self, is_listed: impl Fn(&ServerId) -> bool, now: Moment) {
        for (server, notice) in &mut self.notices {
            if is_listed(server) {
                notice.last_listed = now;
            }
        }
        self.notices
            .retain(|_, notice| now.since(notice.last_listed) < KEEP_UNLISTED);
    }

    /// Drops the notice whose server the list has not shown for longest.
    fn drop_longest_unlisted(&mut self) {
        let victim = self
            .notices
            .iter()
            .min_by_key(|(server, notice)| (notice.last_listed, **server));
        if let Some(server) = victim.map(|(server, _)| *server) {
            self.notices.remove(&server);
        }
    }
}
