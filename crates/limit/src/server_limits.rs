//! Limits that servers name for all gates together, as one gate knows them.
//!
//! A gate learns a limit from an answer of the server or from another gate. A gate that may send
//! nothing to the server gets no more answers from it, so what it knows expires, and a single request
//! then shows whether the server still names a limit.

use std::sync::Arc;
use std::time::Duration;

use foldhash::HashMap;
use ggs_model::Moment;

/// What the newest known answer of a server said.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NamedLimit {
    /// Requests per second from all gates together; `None` if the server names no limit any more.
    pub per_second: Option<f64>,
    /// When a gate received that answer.
    pub named_at: Moment,
}

/// A limit and how long it is taken to hold without news.
#[derive(Clone, Copy, Debug)]
struct LimitEntry {
    limit: NamedLimit,
    expires_at: Moment,
}

/// The servers that name a limit, or did so lately, by instance identifier.
///
/// ```
/// use std::time::Duration;
/// use ggs_limit::{NamedLimit, ServerLimits};
/// use ggs_model::Moment;
///
/// let mut limits = ServerLimits::default();
/// let limit = NamedLimit { per_second: Some(2.5), named_at: Moment::ZERO };
/// assert!(limits.observe("i-1", limit, Duration::from_secs(5)));
/// assert_eq!(limits.newest().next(), Some(("i-1", limit)));
/// assert_eq!(limits.expire(Moment::from_millis(5_000)).len(), 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ServerLimits {
    entries: HashMap<Arc<str>, LimitEntry>,
}

impl ServerLimits {
    /// Records what an answer of a server said; it expires `ttl` after the answer. Returns whether
    /// the limit of the server changed. An answer that is not newer than the known one is ignored,
    /// and so is one without a limit of a server that named none before.
    pub fn observe(&mut self, server: &str, limit: NamedLimit, ttl: Duration) -> bool {
        let entry = LimitEntry {
            limit,
            expires_at: limit.named_at + ttl,
        };
        let Some(known) = self.entries.get_mut(server) else {
            if limit.per_second.is_none() {
                return false;
            }
            self.entries.insert(server.into(), entry);
            return true;
        };
        if limit.named_at <= known.limit.named_at {
            return false;
        }
        let changed = limit.per_second != known.limit.per_second;
        *known = entry;
        changed
    }

    /// Forgets what has expired, and returns those servers.
    pub fn expire(&mut self, now: Moment) -> Vec<Arc<str>> {
        let expired = self.entries.extract_if(|_, entry| entry.expires_at <= now);
        expired.map(|(server, _)| server).collect()
    }

    /// Whether no server names a limit or did so lately.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// All known limits, newest first.
    pub fn newest(&self) -> impl Iterator<Item = (&str, NamedLimit)> {
        let mut entries: Vec<_> = self.entries.iter().collect();
        entries.sort_by_key(|(_, entry)| std::cmp::Reverse(entry.limit.named_at));
        let limits = entries.into_iter();
        limits.map(|(server, entry)| (server.as_ref(), entry.limit))
    }
}
