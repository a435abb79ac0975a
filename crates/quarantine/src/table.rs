//! The table of suspected and quarantined requests.

use std::collections::BTreeSet;
use std::time::Duration;

use foldhash::HashMap;
use ggs_model::Moment;

use crate::{RequestDigest, ServerRun};

/// Server runs that must have ended under a request before it is quarantined.
pub const CRASH_LIMIT: usize = 3;

/// Time for which a suspected request is remembered after its last crash.
const SUSPICION_TIME: Duration = Duration::from_mins(2);

/// Time for which a quarantined request, or one that a server answered after a crash, is remembered.
pub const QUARANTINE_TIME: Duration = Duration::from_hours(1);

/// Most requests in the table. Beyond that, those whose time ends first are forgotten.
const MAX_ENTRY_COUNT: usize = 4_096;

/// What is known of one request; gates send records to one another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashRecord {
    /// The request.
    pub request: RequestDigest,
    /// Server runs that ended under it; at most [`CRASH_LIMIT`].
    pub runs: BTreeSet<ServerRun>,
    /// Whether a server has answered it since the first crash, which shows that it is harmless.
    pub answered: bool,
}

impl CrashRecord {
    /// Whether all gates need the record: the quarantine of its request begins, or an answer ends it.
    /// Others are for the trackers of the request only.
    ///
    /// ```
    /// use ggs_quarantine::{CrashRecord, RequestDigest, ServerRun};
    ///
    /// let record = |runs: std::ops::Range<u64>| CrashRecord {
    ///     request: RequestDigest([1; 16]),
    ///     runs: runs.map(ServerRun).collect(),
    ///     answered: false,
    /// };
    /// assert!(!record(0..2).is_for_all_gates());
    /// assert!(record(0..3).is_for_all_gates());
    /// ```
    pub fn is_for_all_gates(&self) -> bool {
        self.runs.len() >= CRASH_LIMIT
    }
}

/// How a report changed what is known of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashChange {
    /// Not at all.
    Unchanged,
    /// Another server has ended, or a server has answered.
    Changed,
    /// It is quarantined from now on.
    Quarantined,
}

/// An entry of the table.
#[derive(Clone, Debug)]
struct CrashEntry {
    runs: BTreeSet<ServerRun>,
    answered: bool,
    /// When the entry is forgotten.
    expires_at: Moment,
}

impl CrashEntry {
    /// Whether the request must not be sent.
    fn is_quarantined(&self) -> bool {
        self.runs.len() >= CRASH_LIMIT && !self.answered
    }
}

/// The requests under which servers ended lately.
///
/// ```
/// use ggs_model::Moment;
/// use ggs_quarantine::{CrashChange, CrashTable, RequestDigest, ServerRun};
///
/// let (mut table, request) = (CrashTable::default(), RequestDigest([1; 16]));
/// for run in 1..3 {
///     let change = table.record_crash(request, ServerRun(run), Moment::ZERO);
///     assert_eq!(change, CrashChange::Changed);
/// }
/// let change = table.record_crash(request, ServerRun(3), Moment::ZERO);
/// assert_eq!(change, CrashChange::Quarantined);
/// assert!(table.quarantine_left(&request, Moment::ZERO).is_some());
/// ```
#[derive(Clone, Debug, Default)]
pub struct CrashTable {
    entries: HashMap<RequestDigest, CrashEntry>,
}

impl CrashTable {
    /// Records that a server ended while it had a request.
    pub fn record_crash(
        &mut self,
        request: RequestDigest,
        run: ServerRun,
        now: Moment,
    ) -> CrashChange {
        self.merge(
            &CrashRecord {
                request,
                runs: BTreeSet::from([run]),
                answered: false,
            },
            now,
        )
    }

    /// Records that a server ran a request to a good end. Changes nothing if no server ended under it.
    pub fn record_answer(&mut self, request: RequestDigest, now: Moment) -> CrashChange {
        if !self.entries.contains_key(&request) {
            return CrashChange::Unchanged;
        }
        self.merge(
            &CrashRecord {
                request,
                runs: BTreeSet::new(),
                answered: true,
            },
            now,
        )
    }

    /// Adds what another gate knows.
    pub fn merge(&mut self, record: &CrashRecord, now: Moment) -> CrashChange {
        self.entries.retain(|_, entry| entry.expires_at > now);
        let entry = self.entries.entry(record.request);
        let entry = entry.or_insert_with(|| CrashEntry {
            runs: BTreeSet::new(),
            answered: false,
            expires_at: now,
        });
        let (was_quarantined, run_count) = (entry.is_quarantined(), entry.runs.len());
        let news = record.answered && !entry.answered;
        entry.answered |= record.answered;
        for run in &record.runs {
            if entry.runs.len() < CRASH_LIMIT {
                entry.runs.insert(*run);
            }
        }
        if !news && entry.runs.len() == run_count {
            return CrashChange::Unchanged;
        }
        let time = if entry.is_quarantined() || entry.answered {
            QUARANTINE_TIME
        } else {
            SUSPICION_TIME
        };
        entry.expires_at = now + time;
        let change = if entry.is_quarantined() && !was_quarantined {
            CrashChange::Quarantined
        } else {
            CrashChange::Changed
        };
        self.drop_excess();
        change
    }

    /// Whether no request is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Server runs that are known to have ended under a request that no server has answered.
    pub fn crash_count(&self, request: &RequestDigest) -> usize {
        let entry = self.entries.get(request);
        entry.map_or(0, |entry| if entry.answered { 0 } else { entry.runs.len() })
    }

    /// Time left until a quarantined request may be sent again; `None` if it may be sent now.
    pub fn quarantine_left(&self, request: &RequestDigest, now: Moment) -> Option<Duration> {
        let entry = self.entries.get(request)?;
        let left = entry.expires_at.since(now);
        (entry.is_quarantined() && !left.is_zero()).then_some(left)
    }

    /// What is known of a request; `None` if it is not known.
    pub fn record_of(&self, request: &RequestDigest) -> Option<CrashRecord> {
        let entry = self.entries.get(request)?;
        Some(CrashRecord {
            request: *request,
            runs: entry.runs.clone(),
            answered: entry.answered,
        })
    }

    /// The requests that must not be sent at `now`.
    pub fn quarantined(&self, now: Moment) -> impl Iterator<Item = &RequestDigest> {
        let entries = self.entries.iter();
        let quarantined =
            entries.filter(move |(_, entry)| entry.is_quarantined() && entry.expires_at > now);
        quarantined.map(|(request, _)| request)
    }

    /// Forgets the entries whose time ends first if there are too many.
    fn drop_excess(&mut self) {
        while self.entries.len() > MAX_ENTRY_COUNT {
            let entries = self.entries.iter();
            let first = entries.min_by_key(|(request, entry)| (entry.expires_at, **request));
            let Some(first) = first.map(|(request, _)| *request) else {
                return;
            };
            self.entries.remove(&first);
        }
    }
}
