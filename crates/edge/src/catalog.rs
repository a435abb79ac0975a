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
const RETURN_TIME: Duration = Duration::from_millis(2_100);

/// Heartbeats of silence after which the store drops a row.
const LAPSE_HEARTBEATS: u32 = 3;

/// Seed of the digest's hash; all gates use the same.
const DIGEST_SEED: u64 = 1;

/// One server.
#[derive(Clone, Debug)]
struct CatalogEntry {
    record: ServerRecord,
    /// Until when the server is slow after its start.
    cold_until: Moment,
    /// When the entry goes unless its row comes back; `None` while the row stands.
    lapses_at: Option<Moment>,
}

/// What a page changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CatalogNews {
    /// Servers that take new work from now on.
    pub listed: Vec<Arc<str>>,
    /// Servers that take none any more.
    pub dropped: Vec<Arc<str>>,
    /// Rows that name no server, with the cause.
    pub unreadable: Vec<(Arc<str>, String)>,
}

impl CatalogNews {
    /// Whether servers came or went.
    pub fn is_change(&self) -> bool {
        !self.listed.is_empty() || !self.dropped.is_empty()
    }
}

/// Servers by the key of their row.
#[derive(Clone, Debug)]
pub struct ServerCatalog {
    entries: HashMap<Arc<str>, CatalogEntry>,
    unreadable: HashMap<Arc<str>, String>,
    heartbeat: Duration,
    read_at: Option<Moment>,
    /// Until when missing rows count as lapsed only.
    returning_until: Moment,
}

impl ServerCatalog {
    /// A catalog without servers, which write their rows once a `heartbeat`.
    pub fn new(heartbeat: Duration) -> Self {
        Self {
            entries: HashMap::new(),
            unreadable: HashMap::new(),
            heartbeat,
            read_at: None,
            returning_until: Moment::ZERO,
        }
    }

    /// Takes a page that the store answered at `now`.
    pub fn apply(&mut self, page: FeedPage<ServerRecord>, now: Moment) -> CatalogNews {
        // Rows can lapse only in a span without reads that is longer than a row lives.
        let life = self.heartbeat * LAPSE_HEARTBEATS;
        if self
            .read_at
            .is_some_and(|at| now.since(at) + self.heartbeat > life)
        {
            self.returning_until = now + RETURN_TIME;
        }
        self.read_at = Some(now);
        let mut news = CatalogNews::default();
        if page.whole {
            self.drop_missing(&page, now, &mut news);
        }
        for change in page.changes {
            match change.value {
                FeedValue::Present(record) => self.put(change.key, record, now, &mut news),
                FeedValue::Removed => self.remove(&change.key, now, &mut news),
                FeedValue::Unreadable(cause) => {
                    self.reject(&change.key, cause, &mut news);
                }
            }
        }
        self.expire(now, &mut news);
        news
    }

    /// Whether a change says more than that its server lives.
    pub fn is_news(&self, change: &FeedChange<ServerRecord>) -> bool {
        let entry = self.entries.get(&change.key);
        match &change.value {
            FeedValue::Present(record) => entry.is_none_or(|entry| {
                let known = &entry.record;
                let same = known.born == record.born && known.draining == record.draining;
                !same || known.address != record.address || entry.lapses_at.is_some()
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
        let standing = self.entries.iter();
        let standing = standing.filter(|(_, entry)| entry.lapses_at.is_none());
        standing.fold(0, |digest, (key, entry)| {
            let record = &entry.record;
            digest ^ state.hash_one((key, record.born, record.draining, record.address))
        })
    }

    /// Drops rows that did not come back in time.
    pub fn expire(&mut self, now: Moment, news: &mut CatalogNews) {
        let gone = self.entries.iter();
        let gone = gone.filter(|(_, entry)| entry.lapses_at.is_some_and(|at| at <= now));
        let gone: Vec<_> = gone.map(|(key, _)| Arc::clone(key)).collect();
        for key in gone {
            self.entries.remove(&key);
            news.dropped.push(key);
        }
    }

    /// When the next missing row is given up.
    pub fn next_expiry(&self) -> Option<Moment> {
        let lapses = self.entries.values();
        lapses.filter_map(|entry| entry.lapses_at).min()
    }

    /// All servers whose rows stand, as changes of an empty list.
    pub(crate) fn all(&self, now: Moment) -> Vec<FeedChange<ServerRecord>> {
        let entries = self.entries.iter();
        let standing = entries.filter(|(_, entry)| entry.lapses_at.is_none());
        let changes = standing.map(|(key, entry)| {
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
    fn put(&mut self, key: Arc<str>, record: ServerRecord, now: Moment, news: &mut CatalogNews) {
        self.unreadable.remove(&key);
        let before = self.entries.get(&key).map(|entry| &entry.record);
        let was_usable = before.is_some_and(|record| !record.draining);
        let same_run = before.is_some_and(|before| before.born == record.born);
        // A late word of the same run does not bring a leaving server back.
        if before.is_some_and(|before| before.draining) && same_run && !record.draining {
            return;
        }
        if was_usable && record.draining {
            news.dropped.push(Arc::clone(&key));
        } else if !(record.draining || was_usable && same_run) {
            news.listed.push(Arc::clone(&key));
        }
        let entry = CatalogEntry {
            cold_until: now + record.cold_left,
            record,
            lapses_at: None,
        };
        self.entries.insert(key, entry);
    }

    /// Takes the end of a row.
    fn remove(&mut self, key: &Arc<str>, now: Moment, news: &mut CatalogNews) {
        self.unreadable.remove(key);
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        if now < self.returning_until && !entry.record.draining {
            let until = self.returning_until;
            entry.lapses_at.get_or_insert(until);
            return;
        }
        let entry = self.entries.remove(key);
        if entry.is_some_and(|entry| !entry.record.draining) {
            news.dropped.push(Arc::clone(key));
        }
    }

    /// Takes a row that names no server.
    fn reject(&mut self, key: &Arc<str>, cause: String, news: &mut CatalogNews) {
        let entry = self.entries.remove(key);
        if entry.is_some_and(|entry| !entry.record.draining) {
            news.dropped.push(Arc::clone(key));
        }
        if self.unreadable.get(key) != Some(&cause) {
            self.unreadable.insert(Arc::clone(key), cause.clone());
            news.unreadable.push((Arc::clone(key), cause));
        }
    }

    /// Takes the rows that a whole page lacks for ended.
    fn drop_missing(&mut self, page: &FeedPage<ServerRecord>, now: Moment, news: &mut CatalogNews) {
        let missing = self.entries.keys();
        let missing = missing.filter(|key| !page.changes.iter().any(|change| change.key == **key));
        let missing: Vec<_> = missing.cloned().collect();
        for key in missing {
            self.remove(&key, now, news);
        }
    }
}
