//! Server runs that take no new work.

use std::time::Duration;

use foldhash::HashMap;
use ggs_model::{Moment, ServerId};

/// Words kept at once; far above the number of servers, so that only garbage reaches it.
pub const MAX_WORDS: usize = 8_192;

/// Time for which a new word is repeated in heartbeats, in case the first message was lost.
pub const REPEAT_FOR: Duration = Duration::from_secs(5);

/// Time for which a word is kept after the host list stops to show its server.
const KEEP_UNLISTED: Duration = Duration::from_mins(10);

/// What is known of one leaving server.
#[derive(Clone, Copy, Debug)]
struct LeavingWord {
    /// When the first sign came.
    marked: Moment,
    /// When the host list last showed the server; the first sign counts as well.
    listed: Moment,
}

/// Servers that are leaving, per run: a restarted server is another [`ServerId`].
///
/// The first sign counts, wherever it comes from; the same word again changes nothing and is not
/// passed on. A word is kept while the host list shows the server, however long the list lags.
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
    words: HashMap<ServerId, LeavingWord>,
}

impl LeavingSet {
    /// Notes a sign that `server` is leaving; true if it is the first, to be passed on at once.
    pub fn mark(&mut self, server: ServerId, now: Moment) -> bool {
        if self.words.contains_key(&server) {
            return false;
        }
        if self.words.len() >= MAX_WORDS {
            self.drop_oldest();
        }
        let word = LeavingWord {
            marked: now,
            listed: now,
        };
        self.words.insert(server, word);
        true
    }

    /// Whether this run of the server is leaving.
    pub fn contains(&self, server: &ServerId) -> bool {
        self.words.contains_key(server)
    }

    /// All words, for a gate that has just connected.
    pub fn all(&self) -> impl Iterator<Item = ServerId> {
        self.words.keys().copied()
    }

    /// Words that are new enough to be repeated in a heartbeat.
    pub fn recent(&self, now: Moment) -> impl Iterator<Item = ServerId> {
        let recent = self
            .words
            .iter()
            .filter(move |(_, word)| now.since(word.marked) < REPEAT_FOR);
        recent.map(|(server, _)| *server)
    }

    /// Number of words.
    pub fn len(&self) -> usize {
        self.words.len()
    }

    /// Whether there is no word.
    pub fn is_empty(&self) -> bool {
        self.words.is_empty()
    }

    /// Drops words of servers that the host list has not shown for long; `is_listed` says whether the
    /// list shows a run now. Not to be called without a list, so that an outage drops no word.
    pub fn prune(&mut self, is_listed: impl Fn(&ServerId) -> bool, now: Moment) {
        for (server, word) in &mut self.words {
            if is_listed(server) {
                word.listed = now;
            }
        }
        self.words
            .retain(|_, word| now.since(word.listed) < KEEP_UNLISTED);
    }

    /// Drops the word whose server the list has not shown for longest.
    fn drop_oldest(&mut self) {
        let oldest = self
            .words
            .iter()
            .min_by_key(|(server, word)| (word.listed, **server));
        if let Some(server) = oldest.map(|(server, _)| *server) {
            self.words.remove(&server);
        }
    }
}
