//! The servers that may get new requests, from what the store's feed tells.
//!
//! A server's row ends when the server falls silent, and while the store is away it cannot be renewed.
//! So rows that are found missing after an outage are kept for a moment, in which living servers write
//! theirs again.

use std::hash::BuildHasher;
use std::sync::Arc;
use std::time::Duration;

use foldhash::quality::FixedState;
use foldhash::{HashMap, HashMapExt};
use ggs_model::Moment;

use crate::{FeedChange, FeedPage, FeedValue, ServerRecord};

/// Time after the store's return in which living servers write their rows again, a little over the two
/// seconds that the platform names.
const RETURN_GRACE: Duration = Duration::from_millis(2_100);

/// Heartbeats of silence after which the store drops a row.
const LEASE_HEARTBEAT_COUNT: u32 = 3;

/// Seed of the digest's hash; all gates use the same.
const DIGEST_SEED: u64 = 1;

/// One server.
#[derive(Clone, Debug)]
struct CatalogEntry {
    record: ServerRecord,
    /// Until when the server is slow after its start.
    cold_until: Moment,
    /// When the entry goes unless its row comes back; `None` while the row stands.
    expires_at: Option<Moment>,
}

/// What a page changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CatalogDiff {
    /// Servers that take new work from now on.
    pub listed: Vec<Arc<str>>,
    /// Servers that take none any more.
    pub dropped: Vec<Arc<str>>,
    /// Rows that name no server, with the cause.
    pub unreadable: Vec<(Arc<str>, String)>,
}

impl CatalogDiff {
    /// Whether servers came or went.
    pub fn changes_servers(&self) -> bool {
        !self.listed.is_empty() || !self.dropped.is_empty()
    }
}

/// Servers by the key of their row.
#[derive(Clone, Debug)]
pub struct ServerCatalog {
    entries: HashMap<Arc<str>, CatalogEntry>,
    unreadable: HashMap<Arc<str>, String>,
    heartbeat: Duration,
    last_read_at: Option<Moment>,
    /// Until when missing rows count as lapsed only.
    grace_until: Moment,
}

impl ServerCatalog {
    /// A catalog without servers, which write their rows once a `heartbeat`.
    pub fn new(heartbeat: Duration) -> Self {
        Self {
            entries: HashMap::new(),
            unreadable: HashMap::new(),
            heartbeat,
            last_read_at: None,
            grace_until: Moment::ZERO,
        }
    }

    /// Takes a page that the store answered at `now`.
    pub fn apply(&mut self, page: FeedPage<ServerRecord>, now: Moment) -> CatalogDiff {
        // Rows can lapse only in a span without reads that is longer than a row lives.
        let lease = self.heartbeat * LEASE_HEARTBEAT_COUNT;
        if self
            .last_read_at
            .is_some_and(|at| now.since(at) + self.heartbeat > lease)
        {
            self.grace_until = now + RETURN_GRACE;
        }
        self.last_read_at = Some(now);
        let mut diff = CatalogDiff::default();
        if page.whole {
            self.drop_missing(&page, now, &mut diff);
        }
        for change in page.changes {
            match change.value {
                FeedValue::Present(record) => self.put(change.key, record, now, &mut diff),
                FeedValue::Removed => self.remove(&change.key, now, &mut diff),
                FeedValue::Unreadable(cause) => {
                    self.reject(&change.key, cause, &mut diff);
                }
            }
        }
        self.expire(now, &mut diff);
        diff
    }

    /// Whether a change says more than that its server lives.
    pub fn is_relevant(&self, change: &FeedChange<ServerRecord>) -> bool {
        let entry = self.entries.get(&change.key);
        match &change.value {
            FeedValue::Present(record) => entry.is_none_or(|entry| {
                let known = &entry.record;
                let same =
                    known.started_ms == record.started_ms && known.draining == record.draining;
                !same || known.address != record.address || entry.expires_at.is_some()
            }),
            FeedValue::Removed => entry.is_some(),
            FeedValue::Unreadable(cause) => {
                entry.is_some() || self.unreadable.get(&change.key) != Some(cause)
            }
        }
    }

    /// Digest of the servers whose rows stand; equal lists have equal digests.
    pub fn digest(&self) -> u64 {
        let state = FixedState::with_seed(DIGEST_SEED);
        let present = self.entries.iter();
        let present = present.filter(|(_, entry)| entry.expires_at.is_none());
        present.fold(0, |digest, (key, entry)| {
            let record = &entry.record;
            digest ^ state.hash_one((key, record.started_ms, record.draining, record.address))
        })
    }

    /// Drops rows that did not come back in time.
    pub fn expire(&mut self, now: Moment, diff: &mut CatalogDiff) {
        let expired = self.entries.iter();
        let expired = expired.filter(|(_, entry)| entry.expires_at.is_some_and(|at| at <= now));
        let expired: Vec<_> = expired.map(|(key, _)| Arc::clone(key)).collect();
        for key in expired {
            self.entries.remove(&key);
            diff.dropped.push(key);
        }
    }

    /// When the next missing row is given up.
    pub fn next_expiry(&self) -> Option<Moment> {
        let entries = self.entries.values();
        entries.filter_map(|entry| entry.expires_at).min()
    }

    /// All servers whose rows stand, as changes of an empty list.
    pub(crate) fn snapshot(&self, now: Moment) -> Vec<FeedChange<ServerRecord>> {
        let entries = self.entries.iter();
        let present = entries.filter(|(_, entry)| entry.expires_at.is_none());
        let changes = present.map(|(key, entry)| {
            let cold_left = entry.cold_until.since(now);
            FeedChange {
                key: Arc::clone(key),
                value: FeedValue::Present(ServerRecord {
                    cold_left,
                    ..entry.record.clone()
                }),
            }
        });
        changes.collect()
    }

    /// The servers that take new work, with the moment until which each is slow.
    pub fn usable(&self) -> impl Iterator<Item = (&ServerRecord, Moment)> {
        let entries = self.entries.values();
        let entries = entries.filter(|entry| !entry.record.draining);
        entries.map(|entry| (&entry.record, entry.cold_until))
    }

    /// Takes a row.
    fn put(&mut self, key: Arc<str>, record: ServerRecord, now: Moment, diff: &mut CatalogDiff) {
        self.unreadable.remove(&key);
        let before = self.entries.get(&key).map(|entry| &entry.record);
        let was_usable = before.is_some_and(|record| !record.draining);
        let same_run = before.is_some_and(|before| before.started_ms == record.started_ms);
        // A late word of the same run does not bring a leaving server back.
        if before.is_some_and(|before| before.draining) && same_run && !record.draining {
            return;
        }
        if was_usable && record.draining {
            diff.dropped.push(Arc::clone(&key));
        } else if !(record.draining || was_usable && same_run) {
            diff.listed.push(Arc::clone(&key));
        }
        let entry = CatalogEntry {
            cold_until: now + record.cold_left,
            record,
            expires_at: None,
        };
        self.entries.insert(key, entry);
    }

    /// Takes the end of a row.
    fn remove(&mut self, key: &Arc<str>, now: Moment, diff: &mut CatalogDiff) {
        self.unreadable.remove(key);
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if now < self.grace_until && !entry.record.draining {
            let until = self.grace_until;
            entry.expires_at.get_or_insert(until);
            return;
        }
        let entry = self.entries.remove(key);
        if entry.is_some_and(|entry| !entry.record.draining) {
            diff.dropped.push(Arc::clone(key));
        }
    }

    /// Takes a row that names no server.
    fn reject(&mut self, key: &Arc<str>, cause: String, diff: &mut CatalogDiff) {
        let entry = self.entries.remove(key);
        if entry.is_some_and(|entry| !entry.record.draining) {
            diff.dropped.push(Arc::clone(key));
        }
        if self.unreadable.get(key) != Some(&cause) {
            self.unreadable.insert(Arc::clone(key), cause.clone());
            diff.unreadable.push((Arc::clone(key), cause));
        }
    }

    /// Takes the rows that a whole page lacks for ended.
    fn drop_missing(&mut self, page: &FeedPage<ServerRecord>, now: Moment, diff: &mut CatalogDiff) {
        let missing = self.entries.keys();
        let missing = missing.filter(|key| !page.changes.iter().any(|change| change.key == **key));
        let missing: Vec<_> = missing.cloned().collect();
        for key in missing {
            self.remove(&key, now, diff);
        }
    }
}
