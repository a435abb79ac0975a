//! The table of suspected and quarantined requests.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use foldhash::HashMap;
use ggs_model::Moment;
use strum::IntoStaticStr;

use crate::{RequestDigest, ServerRun};

/// Independent crashes under a request before it is quarantined.
pub const CRASH_LIMIT: usize = 3;

/// Time for which a suspected request is remembered after its last crash.
const SUSPICION_TIME: Duration = Duration::from_mins(2);

/// Time for which a quarantined request is remembered after its next trial is due, and one that a
/// server answered after a crash is remembered at all.
const QUARANTINE_TIME: Duration = Duration::from_hours(1);

/// Time from the beginning of a quarantine to its first trial, and from each failed trial to the next;
/// the last holds for all later ones. The first is short, as most quarantines after accidents are
/// wrong; the others keep the sends of a request that does end its servers within the users' bound.
const TRIAL_PAUSES: [Duration; 4] = [
    Duration::from_secs(1),
    Duration::from_secs(30),
    Duration::from_mins(10),
    Duration::from_hours(1),
];

/// Longest time between the ends of servers that are taken for one accident.
const ACCIDENT_TIME: Duration = Duration::from_millis(20);

/// Time until the next trial after one that did not reach a server, and longest time that is stated
/// while a trial is under way.
pub const TRIAL_RETRY_PAUSE: Duration = Duration::from_millis(250);

/// Most requests in the table. Beyond that, those whose time ends first are forgotten.
const MAX_ENTRY_COUNT: usize = 4_096;

/// The time for which a server had a request before it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CrashSpan {
    /// When the request was sent.
    pub sent_at: Moment,
    /// When its connection was lost.
    pub lost_at: Moment,
}

impl CrashSpan {
    /// Whether one accident may have ended both servers, so that they count as one crash: there is a
    /// moment at which both had the request, or they ended at nearly the same time.
    ///
    /// ```
    /// use ggs_model::Moment;
    /// use ggs_quarantine::CrashSpan;
    ///
    /// let span = |sent_ms, lost_ms| CrashSpan {
    ///     sent_at: Moment::from_millis(sent_ms),
    ///     lost_at: Moment::from_millis(lost_ms),
    /// };
    /// assert!(span(0, 100).may_share_cause(&span(60, 101)));
    /// // A retry that met the end of another server of a service that goes down.
    /// assert!(span(0, 100).may_share_cause(&span(102, 110)));
    /// // The second was sent after the first had ended its server, and ran for some time.
    /// assert!(!span(0, 100).may_share_cause(&span(100, 180)));
    /// ```
    pub fn may_share_cause(&self, other: &Self) -> bool {
        let overlap = self.sent_at.max(other.sent_at) < self.lost_at.min(other.lost_at);
        let (first, last) = (
            self.lost_at.min(other.lost_at),
            self.lost_at.max(other.lost_at),
        );
        overlap || last.since(first) <= ACCIDENT_TIME
    }
}

/// What is known of one request; gates send records to one another.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashRecord {
    /// The request.
    pub request: RequestDigest,
    /// Server runs that ended under it, each in an accident of its own, with the time for which the
    /// server had it if that is known; at most [`CRASH_LIMIT`].
    pub crashes: BTreeMap<ServerRun, Option<CrashSpan>>,
    /// Whether a server has answered it since the first crash, which shows that it is harmless.
    pub answered: bool,
    /// Trials that reached a server and brought no good answer.
    pub failed_trials: u32,
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
    ///     crashes: runs.map(|run| (ServerRun(run), None)).collect(),
    ///     answered: false,
    ///     failed_trials: 0,
    /// };
    /// assert!(!record(0..2).is_for_all_gates());
    /// assert!(record(0..3).is_for_all_gates());
    /// ```
    pub fn is_for_all_gates(&self) -> bool {
        self.crashes.len() >= CRASH_LIMIT
    }

    /// Time for which the record is remembered after its last change.
    pub fn memory_time(&self) -> Duration {
        if self.answered {
            QUARANTINE_TIME
        } else if self.is_quarantined() {
            trial_pause(self.failed_trials) + QUARANTINE_TIME
        } else {
            SUSPICION_TIME
        }
    }

    /// What is known of a request before anything is.
    const fn unknown(request: RequestDigest) -> Self {
        Self {
            request,
            crashes: BTreeMap::new(),
            answered: false,
            failed_trials: 0,
        }
    }

    /// Whether the request must not be sent, but for trials.
    fn is_quarantined(&self) -> bool {
        self.crashes.len() >= CRASH_LIMIT && !self.answered
    }

    /// Whether a crash may have the same cause as one that is counted already.
    fn is_counted(&self, span: Option<&CrashSpan>) -> bool {
        let mut spans = self.crashes.values().flatten();
        span.is_some_and(|span| spans.any(|counted| counted.may_share_cause(span)))
    }

    /// Adds what another gate knows; returns whether anything is new.
    fn merge(&mut self, other: &Self) -> bool {
        let mut is_new = other.answered && !self.answered;
        self.answered |= other.answered;
        // The crashes of a quarantine are known to be independent.
        let are_independent = other.is_for_all_gates();
        for (run, span) in &other.crashes {
            let is_known = self.crashes.len() >= CRASH_LIMIT || self.crashes.contains_key(run);
            if !is_known && (are_independent || !self.is_counted(span.as_ref())) {
                self.crashes.insert(*run, *span);
                is_new = true;
            }
        }
        if other.failed_trials > self.failed_trials {
            self.failed_trials = other.failed_trials;
            is_new = true;
        }
        is_new
    }
}

/// Time to the next trial of a request in quarantine after a number of failed ones.
///
/// ```
/// use std::time::Duration;
///
/// let pauses: Vec<_> = (0..5).map(ggs_quarantine::trial_pause).collect();
/// assert_eq!(pauses[0], Duration::from_secs(1));
/// assert!(pauses.is_sorted());
/// assert_eq!(pauses[4], pauses[3]);
/// ```
pub fn trial_pause(failed_trials: u32) -> Duration {
    let last = TRIAL_PAUSES.len() - 1;
    TRIAL_PAUSES[last.min(failed_trials as usize)]
}

/// How a trial of a request in quarantine ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum TrialEnd {
    /// A server ran the request to a good end; [`CrashTable::record_answer`] ends the quarantine.
    Answered,
    /// The request may have run, and there is no good answer.
    Failed,
    /// The request has not run.
    Unsent,
    /// Another gate, which makes the trials, has the next one after this time.
    NotDue(Duration),
}

/// How a report changed what is known of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashChange {
    /// Not at all.
    Unchanged,
    /// Another server has ended, a trial has failed, or a server has answered.
    Changed,
    /// It is quarantined from now on.
    Quarantined,
    /// A server has answered it, which ends its quarantine.
    Released,
}

/// An entry of the table.
#[derive(Clone, Debug)]
struct CrashEntry {
    record: CrashRecord,
    /// When a request in quarantine may be tried.
    trial_at: Moment,
    /// When a trial ends at the latest that is under way at this gate.
    trying_until: Option<Moment>,
    /// Failed trials when it began.
    failed_before: u32,
    /// When the entry is forgotten.
    expires_at: Moment,
}

impl CrashEntry {
    const fn new(request: RequestDigest, now: Moment) -> Self {
        Self {
            record: CrashRecord::unknown(request),
            trial_at: now,
            trying_until: None,
            failed_before: 0,
            expires_at: now,
        }
    }

    /// Whether the request must not be sent at `now`, but for trials.
    fn is_quarantined(&self, now: Moment) -> bool {
        self.record.is_quarantined() && self.expires_at > now
    }
}

/// The requests under which servers ended lately.
///
/// ```
/// use ggs_model::Moment;
/// use ggs_quarantine::{CrashChange, CrashSpan, CrashTable, RequestDigest, ServerRun};
///
/// let (mut table, request) = (CrashTable::default(), RequestDigest([1; 16]));
/// let mut changes = Vec::new();
/// for run in 1..=3 {
///     let span = CrashSpan {
///         sent_at: Moment::from_millis(run * 100),
///         lost_at: Moment::from_millis(run * 100 + 50),
///     };
///     changes.push(table.record_crash(request, ServerRun(run), span, span.lost_at));
/// }
/// assert_eq!(changes[..2], [CrashChange::Changed; 2]);
/// assert_eq!(changes[2], CrashChange::Quarantined);
/// assert!(table.quarantine_left(&request, Moment::from_millis(350)).is_some());
/// ```
#[derive(Clone, Debug, Default)]
pub struct CrashTable {
    entries: HashMap<RequestDigest, CrashEntry>,
    /// The requests of all entries, ordered by when they are forgotten.
    by_expiry: BTreeSet<(Moment, RequestDigest)>,
}

impl CrashTable {
    /// Records that a server ended while it had a request.
    pub fn record_crash(
        &mut self,
        request: RequestDigest,
        run: ServerRun,
        span: CrashSpan,
        now: Moment,
    ) -> CrashChange {
        self.merge(
            &CrashRecord {
                crashes: BTreeMap::from([(run, Some(span))]),
                ..CrashRecord::unknown(request)
            },
            now,
        )
    }

    /// Records that a server ran a request to a good end. Changes nothing if no server ended under it.
    pub fn record_answer(&mut self, request: RequestDigest, now: Moment) -> CrashChange {
        if !self.entries.contains_key(&request) {
            return CrashChange::Unchanged;
        }
        self.record_release(request, now)
    }

    /// Records the same for an identity that this gate may not know, as other gates may have it in
    /// quarantine.
    ///
    /// ```
    /// use ggs_model::Moment;
    /// use ggs_quarantine::{CrashTable, RequestDigest};
    ///
    /// let (mut table, request) = (CrashTable::default(), RequestDigest([1; 16]));
    /// table.record_answer(request, Moment::ZERO);
    /// assert_eq!(table.record_of(&request), None);
    /// table.record_release(request, Moment::ZERO);
    /// assert!(table.record_of(&request).unwrap().answered);
    /// ```
    pub fn record_release(&mut self, request: RequestDigest, now: Moment) -> CrashChange {
        self.merge(
            &CrashRecord {
                answered: true,
                ..CrashRecord::unknown(request)
            },
            now,
        )
    }

    /// Adds what another gate knows.
    pub fn merge(&mut self, record: &CrashRecord, now: Moment) -> CrashChange {
        self.drop_expired(now);
        let request = record.request;
        let entry = self.entries.entry(request);
        let entry = entry.or_insert_with(|| {
            // A record that says nothing leaves it like this.
            self.by_expiry.insert((now, request));
            CrashEntry::new(request, now)
        });
        let was_quarantined = entry.record.is_quarantined();
        if !entry.record.merge(record) {
            return CrashChange::Unchanged;
        }
        self.by_expiry.remove(&(entry.expires_at, request));
        entry.expires_at = now + entry.record.memory_time();
        self.by_expiry.insert((entry.expires_at, request));
        entry.trial_at = now + trial_pause(entry.record.failed_trials);
        let change = match (was_quarantined, entry.record.is_quarantined()) {
            (false, true) => CrashChange::Quarantined,
            (true, false) => CrashChange::Released,
            _ => CrashChange::Changed,
        };
        self.drop_excess();
        change
    }

    /// Records that this gate tries a request in quarantine, or asks the gate that does, until `until`
    /// at the latest. Nobody else at this gate tries it meanwhile.
    pub fn start_trial(&mut self, request: &RequestDigest, until: Moment) {
        if let Some(entry) = self.entries.get_mut(request) {
            entry.trying_until = Some(until);
            entry.failed_before = entry.record.failed_trials;
        }
    }

    /// Records how the trial that was started last ended. Changes nothing if the request is not in
    /// quarantine.
    pub fn end_trial(
        &mut self,
        request: &RequestDigest,
        end: TrialEnd,
        now: Moment,
    ) -> CrashChange {
        let entry = self.entries.get_mut(request);
        let entry = entry.filter(|entry| entry.is_quarantined(now));
        let Some(entry) = entry else {
            return CrashChange::Unchanged;
        };
        entry.trying_until = None;
        let pause = match end {
            TrialEnd::Answered => return CrashChange::Unchanged,
            TrialEnd::Unsent => TRIAL_RETRY_PAUSE,
            TrialEnd::NotDue(time) => time,
            TrialEnd::Failed => {
                let record = CrashRecord {
                    // The gate that was asked may have told of the same failure already.
                    failed_trials: entry.failed_before + 1,
                    ..CrashRecord::unknown(*request)
                };
                return self.merge(&record, now);
            }
        };
        entry.trial_at = now + pause;
        CrashChange::Unchanged
    }

    /// Trials of a request that have failed.
    pub fn failed_trials(&self, request: &RequestDigest) -> u32 {
        let entry = self.entries.get(request);
        entry.map_or(0, |entry| entry.record.failed_trials)
    }

    /// Whether no request is known.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Independent crashes under a request that no server has answered.
    pub fn crash_count(&self, request: &RequestDigest) -> usize {
        let entry = self.entries.get(request);
        let record = entry.map(|entry| &entry.record);
        let suspected = record.filter(|record| !record.answered);
        suspected.map_or(0, |record| record.crashes.len())
    }

    /// Time left until a request in quarantine may be tried, zero if a trial is due; `None` if it is
    /// not in quarantine.
    pub fn quarantine_left(&self, request: &RequestDigest, now: Moment) -> Option<Duration> {
        let entry = self.entries.get(request)?;
        if !entry.is_quarantined(now) {
            return None;
        }
        let trying_until = entry.trying_until.filter(|until| *until > now);
        Some(match trying_until {
            Some(until) => until.since(now).min(TRIAL_RETRY_PAUSE),
            None => entry.trial_at.since(now),
        })
    }

    /// What is known of a request; `None` if it is not known.
    pub fn record_of(&self, request: &RequestDigest) -> Option<CrashRecord> {
        let entry = self.entries.get(request)?;
        Some(entry.record.clone())
    }

    /// The requests in quarantine at `now`.
    pub fn quarantined(&self, now: Moment) -> impl Iterator<Item = &RequestDigest> {
        let entries = self.entries.iter();
        let quarantined = entries.filter(move |(_, entry)| entry.is_quarantined(now));
        quarantined.map(|(request, _)| request)
    }

    /// Forgets the entries whose time is over.
    fn drop_expired(&mut self, now: Moment) {
        while let Some((expires_at, _)) = self.by_expiry.first()
            && *expires_at <= now
        {
            self.drop_first();
        }
    }

    /// Forgets the entries whose time ends first if there are too many.
    fn drop_excess(&mut self) {
        while self.by_expiry.len() > MAX_ENTRY_COUNT {
            self.drop_first();
        }
    }

    /// Forgets the entry whose time ends first.
    fn drop_first(&mut self) {
        if let Some((_, request)) = self.by_expiry.pop_first() {
            self.entries.remove(&request);
        }
    }
}
