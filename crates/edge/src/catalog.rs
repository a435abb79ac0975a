//! Decides from the store's feed which servers may get new requests.
//!
//! A server renews its row with heartbeats, and the store drops a row whose server sends none.
//! During an outage of the store no row can be renewed, so live servers lose theirs too. Rows that
//! are found missing after an outage, or after a restore of the store from a copy, are therefore kept
//! for a grace period, in which live servers write theirs again.
//!
//! A server may also say in its answers that it is leaving, before its row says so or without its row
//! ever saying so. Such a notice holds for that incarnation of the server, whatever the store lists.

use std::hash::BuildHasher;
use std::sync::Arc;
use std::time::Duration;

use foldhash::quality::FixedState;
use foldhash::{HashMap, HashMapExt, HashSet};
use ggs_model::Moment;

use crate::{FeedChange, FeedPage, FeedValue, ServerRecord};

/// Time after an outage of the store in which live servers write their rows again; a little over
/// the two seconds that the platform states.
const RETURN_GRACE: Duration = Duration::from_millis(2_100);

/// Missed heartbeats after which the store drops a row.
const LEASE_HEARTBEAT_COUNT: u32 = 3;

/// Time for which the notice of a server that the store does not list is kept: its row may come back
/// after an outage of the store.
const NOTICE_RETENTION: Duration = Duration::from_mins(10);

/// Seed of the digest's hash; the same at all gates, so that their digests can be compared.
const DIGEST_SEED: u64 = 1;

/// A server whose row the store has, or whose missing row is kept for the grace period.
#[derive(Clone, Debug)]
struct CatalogEntry {
    record: ServerRecord,
    /// Until when the server answers slowly after its start.
    cold_until: Moment,
    /// When the entry is dropped unless its row comes back; `None` while the store has the row.
    expires_at: Option<Moment>,
}

/// Differences between two statements on how long a server stays cold that do not matter: a row is as
/// old as the last heartbeat.
const COLD_PRECISION: Duration = Duration::from_millis(500);

impl CatalogEntry {
    /// Whether a row says that the server is cold, and this entry does not.
    fn is_cooled_by(&self, record: &ServerRecord, now: Moment) -> bool {
        !record.cold_left.is_zero() && now + record.cold_left > self.cold_until + COLD_PRECISION
    }
}

/// A server's statement that it is leaving.
#[derive(Clone, Copy, Debug)]
struct LeavingNotice {
    /// Start of the incarnation that made it; see [`ServerRecord::started_ms`].
    started_ms: Option<u64>,
    noted_at: Moment,
}

/// What a page changed in the catalog.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CatalogDiff {
    /// Servers that can get new requests from now on.
    pub listed: Vec<Arc<str>>,
    /// Servers that get no new requests any more.
    pub dropped: Vec<Arc<str>>,
    /// Usable servers that are cold again.
    pub cooled: Vec<Arc<str>>,
    /// Rows that cannot be used, with the cause.
    pub unreadable: Vec<(Arc<str>, String)>,
}

impl CatalogDiff {
    /// Whether the set of usable servers changed, or one of them is cold again.
    pub fn changes_servers(&self) -> bool {
        !self.listed.is_empty() || !self.dropped.is_empty() || !self.cooled.is_empty()
    }
}

/// The servers that the store lists, by the key of their row.
#[derive(Clone, Debug)]
pub struct ServerCatalog {
    entries: HashMap<Arc<str>, CatalogEntry>,
    /// Rows that cannot be used, with the cause that was reported.
    unreadable: HashMap<Arc<str>, String>,
    /// Servers that said that they are leaving, by the key of their row.
    leaving: HashMap<Arc<str>, LeavingNotice>,
    heartbeat: Duration,
    last_read_at: Option<Moment>,
    /// Era of the store at the last read.
    era: u64,
    /// Until when rows that go missing are kept, as the store may have dropped or lost them.
    grace_until: Moment,
}

impl ServerCatalog {
    /// Creates an empty catalog of servers that renew their rows once per `heartbeat`.
    pub fn new(heartbeat: Duration) -> Self {
        Self {
            entries: HashMap::new(),
            unreadable: HashMap::new(),
            leaving: HashMap::new(),
            heartbeat,
            last_read_at: None,
            era: 0,
            grace_until: Moment::ZERO,
        }
    }

    /// Applies a page that was read at `now`.
    pub fn apply(&mut self, page: FeedPage<ServerRecord>, now: Moment) -> CatalogDiff {
        // A live server loses its row only if it cannot renew it for a whole lease. Its last
        // heartbeat may have been one heartbeat period before the last read.
        let lease = self.heartbeat * LEASE_HEARTBEAT_COUNT;
        let outage = self
            .last_read_at
            .is_some_and(|at| now.since(at) + self.heartbeat > lease);
        let restored = self.last_read_at.is_some() && page.cursor.era > self.era;
        if outage || restored {
            self.grace_until = now + RETURN_GRACE;
        }
        self.last_read_at = Some(now);
        self.era = self.era.max(page.cursor.era);
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

    /// Whether a change is more than a heartbeat of a known server, so that other gates have to
    /// learn of it.
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

    /// Whether a change that arrives at `now` says that a known server is cold again.
    pub fn turns_cold(&self, change: &FeedChange<ServerRecord>, now: Moment) -> bool {
        let entry = self.entries.get(&change.key);
        match (&change.value, entry) {
            (FeedValue::Present(record), Some(entry)) => entry.is_cooled_by(record, now),
            _ => false,
        }
    }

    /// Records that a server said that it is cold until `until`.
    pub(crate) fn note_cold(&mut self, key: &str, until: Moment) {
        if let Some(entry) = self.entries.get_mut(key) {
            entry.cold_until = until;
        }
    }

    /// Digest of the servers whose rows the store has; equal lists have equal digests.
    pub fn digest(&self) -> u64 {
        let state = FixedState::with_seed(DIGEST_SEED);
        let present = self.entries.iter();
        let present = present.filter(|(_, entry)| entry.expires_at.is_none());
        present.fold(0, |digest, (key, entry)| {
            let record = &entry.record;
            digest ^ state.hash_one((key, record.started_ms, record.draining, record.address))
        })
    }

    /// Drops entries whose rows did not come back in time, and adds them to `diff`.
    pub fn expire(&mut self, now: Moment, diff: &mut CatalogDiff) {
        let expired = self.entries.iter();
        let expired = expired.filter(|(_, entry)| entry.expires_at.is_some_and(|at| at <= now));
        let expired: Vec<_> = expired.map(|(key, _)| Arc::clone(key)).collect();
        for key in expired {
            self.entries.remove(&key);
            diff.dropped.push(key);
        }
    }

    /// When the next entry with a missing row is dropped; `None` if no row is missing.
    pub fn next_expiry(&self) -> Option<Moment> {
        let entries = self.entries.values();
        entries.filter_map(|entry| entry.expires_at).min()
    }

    /// All servers whose rows the store has, as changes to an empty list.
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

    /// The servers that can get new requests, with the moment until which each answers slowly after
    /// its start.
    pub fn usable(&self) -> impl Iterator<Item = (&ServerRecord, Moment)> {
        let entries = self.entries.iter();
        let usable = entries.filter(|(key, entry)| self.is_usable(key, &entry.record));
        usable.map(|(_, entry)| (&entry.record, entry.cold_until))
    }

    /// Whether the server of a row can get new requests.
    fn is_usable(&self, key: &str, record: &ServerRecord) -> bool {
        let notice = self.leaving.get(key);
        let left = notice.is_some_and(|notice| notice.started_ms == record.started_ms);
        !record.draining && !left
    }

    /// Start of the listed incarnation of a server; `None` if it is not known.
    pub fn started_ms(&self, key: &str) -> Option<u64> {
        self.entries.get(key)?.record.started_ms
    }

    /// Records that the incarnation of a server that started at `started_ms` said at `now` that it is
    /// leaving. Returns whether this was not known.
    ///
    /// ```
    /// use std::time::Duration;
    /// use ggs_edge::ServerCatalog;
    /// use ggs_model::Moment;
    ///
    /// let mut catalog = ServerCatalog::new(Duration::from_secs(1));
    /// assert!(catalog.note_leaving("i-1", Some(7), Moment::ZERO));
    /// assert!(!catalog.note_leaving("i-1", Some(7), Moment::ZERO));
    /// assert!(catalog.note_leaving("i-1", Some(8), Moment::ZERO));
    /// ```
    pub fn note_leaving(&mut self, key: &str, started_ms: Option<u64>, now: Moment) -> bool {
        let known = self.leaving.get(key);
        if known.is_some_and(|notice| notice.started_ms == started_ms) {
            return false;
        }
        let entries = &self.entries;
        self.leaving.retain(|key, notice| {
            entries.contains_key(key) || now.since(notice.noted_at) < NOTICE_RETENTION
        });
        let notice = LeavingNotice {
            started_ms,
            noted_at: now,
        };
        self.leaving.insert(Arc::from(key), notice);
        true
    }

    /// Adds a row or replaces the known one.
    fn put(&mut self, key: Arc<str>, record: ServerRecord, now: Moment, diff: &mut CatalogDiff) {
        self.unreadable.remove(&key);
        let before = self.entries.get(&key).map(|entry| &entry.record);
        let was_usable = before.is_some_and(|record| self.is_usable(&key, record));
        let is_usable = self.is_usable(&key, &record);
        let same_incarnation = before.is_some_and(|before| before.started_ms == record.started_ms);
        // A delayed row of the same incarnation does not make a draining server usable again.
        if before.is_some_and(|before| before.draining) && same_incarnation && !record.draining {
            return;
        }
        if was_usable && !is_usable {
            diff.dropped.push(Arc::clone(&key));
        } else if is_usable && !(was_usable && same_incarnation) {
            diff.listed.push(Arc::clone(&key));
        } else if is_usable
            && self
                .entries
                .get(&key)
                .is_some_and(|entry| entry.is_cooled_by(&record, now))
        {
            diff.cooled.push(Arc::clone(&key));
        }
        let entry = CatalogEntry {
            cold_until: now + record.cold_left,
            record,
            expires_at: None,
        };
        self.entries.insert(key, entry);
    }

    /// Drops a removed row, or keeps it for the grace period after an outage.
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

    /// Drops the server of a row that cannot be used; each cause is reported once per row.
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

    /// Treats known rows that a page of all rows lacks as removed.
    fn drop_missing(&mut self, page: &FeedPage<ServerRecord>, now: Moment, diff: &mut CatalogDiff) {
        let listed: HashSet<&Arc<str>> = page.changes.iter().map(|change| &change.key).collect();
        let missing = self.entries.keys();
        let missing = missing.filter(|key| !listed.contains(key));
        let missing: Vec<_> = missing.cloned().collect();
        for key in missing {
            self.remove(&key, now, diff);
        }
    }
}
