//! Limits that servers name for all gates together, as one gate knows them.
//!
//! A gate learns a limit from an answer of the server or from another gate. A gate that may send
//! nothing to the server gets no more answers from it, so what it knows expires, and a trial request
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

/// What a gate may send to a server that names a limit or did so lately.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitState {
    /// All gates together may send this many requests per second.
    Limited(f64),
    /// The limit has expired; a gate may send one request to learn whether it still holds.
    Trial,
    /// The server names no limit any more.
    Unlimited,
}

/// How a report changes what is known of a server's limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitChange {
    /// Not at all.
    Unchanged,
    /// The server still names a limit, but another one.
    Rate,
    /// The server began or ceased to name a limit, or one that had expired holds.
    State,
}

/// Time after the expiry of a limit for which a server is remembered without an answer.
const TRIAL_TIME: Duration = Duration::from_mins(5);

/// A limit and how long it is taken to hold without news.
#[derive(Clone, Copy, Debug)]
struct LimitEntry {
    limit: NamedLimit,
    expires_at: Moment,
}

impl LimitEntry {
    /// What a gate may send at `now`.
    fn state(&self, now: Moment) -> LimitState {
        match self.limit.per_second {
            None => LimitState::Unlimited,
            Some(_) if now >= self.expires_at => LimitState::Trial,
            Some(per_second) => LimitState::Limited(per_second),
        }
    }
}

/// The servers that name a limit, or did so lately, by instance identifier.
///
/// ```
/// use std::time::Duration;
/// use ggs_limit::{LimitChange, LimitState, NamedLimit, ServerLimits};
/// use ggs_model::Moment;
///
/// let mut limits = ServerLimits::default();
/// let limit = NamedLimit { per_second: Some(2.5), named_at: Moment::ZERO };
/// assert_eq!(limits.observe("i-1", limit, Duration::from_secs(5)), LimitChange::State);
/// let state = |at_ms| limits.states(Moment::from_millis(at_ms)).next();
/// assert_eq!(state(4_999), Some(("i-1", LimitState::Limited(2.5))));
/// assert_eq!(state(5_000), Some(("i-1", LimitState::Trial)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct ServerLimits {
    entries: HashMap<Arc<str>, LimitEntry>,
}

impl ServerLimits {
    /// Records what an answer of a server said; it expires `ttl` after the answer. An answer that is
    /// not newer than the known one is ignored, and so is one without a limit of a server that named
    /// none before.
    pub fn observe(&mut self, server: &str, limit: NamedLimit, ttl: Duration) -> LimitChange {
        let entry = LimitEntry {
            limit,
            expires_at: limit.named_at + ttl,
        };
        let Some(known) = self.entries.get_mut(server) else {
            if limit.per_second.is_none() {
                return LimitChange::Unchanged;
            }
            self.entries.insert(server.into(), entry);
            return LimitChange::State;
        };
        if limit.named_at <= known.limit.named_at {
            return LimitChange::Unchanged;
        }
        let before = known.state(limit.named_at);
        *known = entry;
        match (before, entry.state(limit.named_at)) {
            (before, after) if before == after => LimitChange::Unchanged,
            (LimitState::Limited(_), LimitState::Limited(_)) => LimitChange::Rate,
            _ => LimitChange::State,
        }
    }

    /// Forgets servers that have named no limit for a long time, and returns them.
    pub fn expire(&mut self, now: Moment) -> Vec<Arc<str>> {
        let expired = self.entries.extract_if(|_, entry| {
            let ends_at = match entry.limit.per_second {
                Some(_) => entry.expires_at + TRIAL_TIME,
                None => entry.expires_at,
            };
            ends_at <= now
        });
        expired.map(|(server, _)| server).collect()
    }

    /// What a gate may send to each server at `now`, in no particular order.
    pub fn states(&self, now: Moment) -> impl Iterator<Item = (&str, LimitState)> {
        let entries = self.entries.iter();
        entries.map(move |(server, entry)| (server.as_ref(), entry.state(now)))
    }

    /// All known limits, newest first.
    pub fn newest(&self) -> impl Iterator<Item = (&str, NamedLimit)> {
        let mut entries: Vec<_> = self.entries.iter().collect();
        entries.sort_by_key(|(_, entry)| std::cmp::Reverse(entry.limit.named_at));
        let limits = entries.into_iter();
        limits.map(|(server, entry)| (server.as_ref(), entry.limit))
    }
}
