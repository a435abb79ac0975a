//! The keys of one gate's run: which were issued, which were used, and what became of them.
//!
//! Keys are numbered in the order of issue and their lives end in the same order, so the registry needs
//! memory only for keys in use. A short list of marks gives the end of life of every number: a key
//! whose text names another end was altered, and is treated as never issued. Without that check a
//! caller could prolong a key beyond the time for which its use is remembered.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use ggs_model::{GateId, Moment, RunVerdict};

use crate::{IdempotencyKey, KeptAnswer, KeyAdmission, KeyOutcome, RequestFingerprint, RunPermit};

/// Marks that cover one key life; a key lives up to one part in this many longer than asked.
const MARKS_PER_LIFE: u32 = 64;

/// Entries that one call removes at most.
const REMOVALS_PER_CALL: usize = 64;

/// Bytes counted for each kept header on top of its name and value.
const HEADER_OVERHEAD: usize = 64;

/// Bounds of a registry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyLimits {
    /// Used keys remembered at once.
    pub entries: usize,
    /// Bytes of all kept answers together.
    pub kept_bytes: usize,
    /// Bytes of one kept answer.
    pub answer_bytes: usize,
    /// Shortest time for which an issued key can be used.
    pub ttl: Duration,
}

/// The first of the numbers that share an end of life.
#[derive(Clone, Copy, Debug)]
struct LifeMark {
    first: u64,
    expires: Moment,
}

/// What is known of a used key.
#[derive(Debug)]
enum EntryState {
    Running,
    Kept(KeptAnswer),
    Finished(RunVerdict),
}

/// One used key.
#[derive(Debug)]
struct KeyEntry {
    fingerprint: RequestFingerprint,
    state: EntryState,
}

/// Admits each key of one gate's run at most once.
///
/// ```
/// use std::time::Duration;
/// use ggs_model::{GateId, HostName, Incarnation, Moment};
/// use ggs_once::{KeyAdmission, KeyRegistry, KeyLimits, KeyOutcome, RequestFingerprint};
///
/// let gate = GateId { host: HostName::new("entry-1"), incarnation: Incarnation(7) };
/// let limits = KeyLimits {
///     entries: 10,
///     kept_bytes: 1_000,
///     answer_bytes: 100,
///     ttl: Duration::from_secs(60),
/// };
/// let mut registry = KeyRegistry::new(gate, limits);
/// let now = Moment::from_millis(5);
/// let key = registry.issue(now);
/// let fingerprint = RequestFingerprint(1);
/// let KeyAdmission::Run(permit) = registry.admit(&key, fingerprint, now) else { panic!() };
/// assert_eq!(registry.admit(&key, fingerprint, now), KeyAdmission::Running);
/// registry.finish(permit, KeyOutcome::NotRun, now);
/// assert!(matches!(registry.admit(&key, fingerprint, now), KeyAdmission::Run(_)));
/// ```
#[derive(Debug)]
pub struct KeyRegistry {
    gate: GateId,
    limits: KeyLimits,
    /// The next number to issue.
    next: u64,
    /// The lowest number whose life may not have ended.
    live_from: u64,
    /// Ends of life, in order of number and of time.
    marks: VecDeque<LifeMark>,
    entries: BTreeMap<u64, KeyEntry>,
    kept_bytes: usize,
    /// The latest moment seen; a call with an earlier one does not bring a key back.
    latest: Moment,
}

impl KeyRegistry {
    /// An empty registry for `gate`, whose incarnation no other run of a gate has.
    pub fn new(gate: GateId, limits: KeyLimits) -> Self {
        Self {
            gate,
            limits,
            next: 0,
            live_from: 0,
            marks: VecDeque::new(),
            entries: BTreeMap::new(),
            kept_bytes: 0,
            latest: Moment::ZERO,
        }
    }

    /// The run of the gate that the registry belongs to.
    pub const fn gate(&self) -> &GateId {
        &self.gate
    }

    /// Used keys that are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no used key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Bytes of all kept answers.
    pub const fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// Issues a key that was never issued before. Takes no memory until the key is used.
    pub fn issue(&mut self, now: Moment) -> IdempotencyKey {
        self.expire(now);
        let number = self.next;
        self.next += 1;
        let expires = self.end_of_life(number);
        IdempotencyKey {
            issuer: self.gate.clone(),
            number,
            expires,
        }
    }

    /// Says what a request with `key` may do.
    pub fn admit(
        &mut self,
        key: &IdempotencyKey,
        fingerprint: RequestFingerprint,
        now: Moment,
    ) -> KeyAdmission {
        if key.issuer != self.gate {
            return KeyAdmission::OtherIssuer(key.issuer.clone());
        }
        self.expire(now);
        if key.number >= self.next {
            return KeyAdmission::NotIssued;
        }
        if key.number < self.live_from {
            return KeyAdmission::Expired;
        }
        if self.issued_end(key.number) != Some(key.expires) {
            return KeyAdmission::NotIssued;
        }
        let full = self.entries.len() >= self.limits.entries;
        match self.entries.entry(key.number) {
            Entry::Occupied(entry) => entry.get().admission(fingerprint),
            Entry::Vacant(_) if full => KeyAdmission::Full,
            Entry::Vacant(entry) => {
                entry.insert(KeyEntry {
                    fingerprint,
                    state: EntryState::Running,
                });
                KeyAdmission::Run(RunPermit { number: key.number })
            }
        }
    }

    /// Whether the key is live and no request ran, runs or may have run under it.
    pub fn is_unused(&mut self, key: &IdempotencyKey, now: Moment) -> bool {
        self.expire(now);
        let live =
            key.issuer == self.gate && self.live_from <= key.number && key.number < self.next;
        live && self.issued_end(key.number) == Some(key.expires)
            && !self.entries.contains_key(&key.number)
    }

    /// Ends a run. A permit that is dropped instead leaves its key refused until its life ends.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "a permit is used up by its end"
    )]
    pub fn finish(&mut self, permit: RunPermit, outcome: KeyOutcome, now: Moment) {
        let Entry::Occupied(mut entry) = self.entries.entry(permit.number) else {
            // The key's life ended during the run; it stays refused as expired.
            self.expire(now);
            return;
        };
        let state = match outcome {
            KeyOutcome::NotRun => {
                entry.remove();
                self.expire(now);
                return;
            }
            KeyOutcome::Answered(answer) => {
                let bytes = answer_bytes(&answer);
                let fits = bytes <= self.limits.answer_bytes
                    && self.kept_bytes + bytes <= self.limits.kept_bytes;
                if fits {
                    self.kept_bytes += bytes;
                    EntryState::Kept(answer)
                } else {
                    EntryState::Finished(RunVerdict::Ran)
                }
            }
            KeyOutcome::AnswerNotKept => EntryState::Finished(RunVerdict::Ran),
            KeyOutcome::Unknown => EntryState::Finished(RunVerdict::Unknown),
        };
        entry.get_mut().state = state;
        self.expire(now);
    }

    /// Forgets keys whose lives have ended, a bounded number in each call.
    pub fn expire(&mut self, now: Moment) {
        self.latest = self.latest.max(now);
        while let Some(mark) = self.marks.front() {
            if mark.expires > self.latest {
                break;
            }
            self.marks.pop_front();
            self.live_from = self.marks.front().map_or(self.next, |mark| mark.first);
        }
        for _ in 0..REMOVALS_PER_CALL {
            let Some(entry) = self.entries.first_entry() else {
                return;
            };
            if *entry.key() >= self.live_from {
                return;
            }
            if let EntryState::Kept(answer) = entry.remove().state {
                self.kept_bytes -= answer_bytes(&answer);
            }
        }
    }

    /// The end of life of `number`, which is issued now. Numbers issued close together share one.
    fn end_of_life(&mut self, number: u64) -> Moment {
        let asked = self.latest + self.limits.ttl;
        if let Some(mark) = self.marks.back()
            && mark.expires >= asked
        {
            return mark.expires;
        }
        let end = asked + self.limits.ttl / MARKS_PER_LIFE;
        let expires = Moment::from_millis(end.as_millis() + 1);
        let first = number;
        self.marks.push_back(LifeMark { first, expires });
        expires
    }

    /// The end of life with which a live number was issued.
    fn issued_end(&self, number: u64) -> Option<Moment> {
        let after = self.marks.partition_point(|mark| mark.first <= number);
        let mark = self.marks.get(after.checked_sub(1)?)?;
        Some(mark.expires)
    }
}

impl KeyEntry {
    /// What another request with the entry's key may do.
    fn admission(&self, fingerprint: RequestFingerprint) -> KeyAdmission {
        if fingerprint != self.fingerprint {
            return KeyAdmission::Conflict;
        }
        match &self.state {
            EntryState::Running => KeyAdmission::Running,
            EntryState::Kept(answer) => KeyAdmission::Replay(answer.clone()),
            EntryState::Finished(verdict) => KeyAdmission::Finished(*verdict),
        }
    }
}

/// Bytes that a kept answer is counted with.
fn answer_bytes(answer: &KeptAnswer) -> usize {
    let headers = answer.headers.iter();
    let headers = headers.map(|(name, value)| name.len() + value.len() + HEADER_OVERHEAD);
    answer.body.len() + headers.sum::<usize>()
}
