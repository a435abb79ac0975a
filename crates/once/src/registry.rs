//! Registry of the idempotency keys of one gate process: which keys were issued and used, and with
//! what outcome.
//!
//! Keys are numbered in the order of issue and expire in the same order, so the registry needs
//! memory only for keys that were used and have not expired. A short list of expiry buckets gives
//! the expiry of each number. A key whose text gives another expiry was altered and is treated as
//! never issued: otherwise a caller could extend the lifetime of a key beyond the time for which
//! its use is remembered.

use std::collections::btree_map::Entry;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use ggs_model::{GateId, Moment, RunVerdict};

use crate::{IdempotencyKey, KeptAnswer, KeyAdmission, KeyOutcome, RequestFingerprint, RunPermit};

/// Number of expiry buckets in one TTL. A key may outlive its TTL by up to one bucket.
const EXPIRY_BUCKETS_PER_TTL: u32 = 64;

/// Limit on the entries that one call removes, which bounds its duration.
const MAX_REMOVALS_PER_CALL: usize = 64;

/// Bytes counted for each kept header in addition to its name and value.
const HEADER_OVERHEAD_BYTES: usize = 64;

/// Limits of a [`KeyRegistry`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyLimits {
    /// Largest number of used keys that are remembered at once.
    pub entries: usize,
    /// Largest size in bytes of all kept answers together.
    pub kept_bytes: usize,
    /// Largest size in bytes of one kept answer.
    pub answer_bytes: usize,
    /// Shortest time for which an issued key is valid.
    pub ttl: Duration,
}

/// A range of consecutive key numbers with the same expiry.
#[derive(Clone, Copy, Debug)]
struct ExpiryBucket {
    /// The first number; the range ends where the next bucket starts.
    first: u64,
    expires: Moment,
}

/// Outcome so far of the request with a used key.
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

/// Issues the keys of one gate process and admits each of them at most once.
///
/// ```
/// use std::time::Duration;
/// use ggs_model::{GateId, HostName, Incarnation, Moment};
/// use ggs_once::{KeyAdmission, KeyLimits, KeyOutcome, KeyRegistry, RequestFingerprint};
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
    /// The lowest number that may still be valid.
    first_live: u64,
    /// Expiry buckets, ordered by number and by expiry.
    buckets: VecDeque<ExpiryBucket>,
    /// Used keys by number.
    entries: BTreeMap<u64, KeyEntry>,
    kept_bytes: usize,
    /// The latest time passed to a call. An earlier time in a later call revives no expired key.
    latest: Moment,
}

impl KeyRegistry {
    /// Creates an empty registry for `gate`. No other gate process may have the same incarnation.
    pub fn new(gate: GateId, limits: KeyLimits) -> Self {
        Self {
            gate,
            limits,
            next: 0,
            first_live: 0,
            buckets: VecDeque::new(),
            entries: BTreeMap::new(),
            kept_bytes: 0,
            latest: Moment::ZERO,
        }
    }

    /// The gate that the registry belongs to, with its incarnation.
    pub const fn gate(&self) -> &GateId {
        &self.gate
    }

    /// Number of used keys that are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether no used key is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Size in bytes of all kept answers.
    pub const fn kept_bytes(&self) -> usize {
        self.kept_bytes
    }

    /// Issues a new key. It takes no memory until it is used.
    pub fn issue(&mut self, now: Moment) -> IdempotencyKey {
        self.expire(now);
        let number = self.next;
        self.next += 1;
        let expires = self.assign_expiry(number);
        IdempotencyKey {
            issuer: self.gate.clone(),
            number,
            expires,
        }
    }

    /// Decides what to do with a request that carries `key`.
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
        if key.number < self.first_live {
            return KeyAdmission::Expired;
        }
        if self.issued_expiry(key.number) != Some(key.expires) {
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

    /// Whether the key is valid and no request with it is running, ran or may have run.
    pub fn is_unused(&mut self, key: &IdempotencyKey, now: Moment) -> bool {
        self.expire(now);
        let live =
            key.issuer == self.gate && self.first_live <= key.number && key.number < self.next;
        live && self.issued_expiry(key.number) == Some(key.expires)
            && !self.entries.contains_key(&key.number)
    }

    /// Records the outcome of a run. If a permit is dropped instead, its key counts as running
    /// until it expires.
    #[expect(
        clippy::needless_pass_by_value,
        reason = "a permit is used up by reporting its outcome"
    )]
    pub fn finish(&mut self, permit: RunPermit, outcome: KeyOutcome, now: Moment) {
        let Entry::Occupied(mut entry) = self.entries.entry(permit.number) else {
            // The key expired during the run; requests with it are refused as expired.
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

    /// Removes expired keys, at most a fixed number in each call.
    pub fn expire(&mut self, now: Moment) {
        self.latest = self.latest.max(now);
        while let Some(bucket) = self.buckets.front() {
            if bucket.expires > self.latest {
                break;
            }
            self.buckets.pop_front();
            self.first_live = self
                .buckets
                .front()
                .map_or(self.next, |bucket| bucket.first);
        }
        for _ in 0..MAX_REMOVALS_PER_CALL {
            let Some(entry) = self.entries.first_entry() else {
                return;
            };
            if *entry.key() >= self.first_live {
                return;
            }
            if let EntryState::Kept(answer) = entry.remove().state {
                self.kept_bytes -= answer_bytes(&answer);
            }
        }
    }

    /// Assigns an expiry to `number`, which is issued now. Numbers issued close together share one.
    fn assign_expiry(&mut self, number: u64) -> Moment {
        let earliest = self.latest + self.limits.ttl;
        if let Some(bucket) = self.buckets.back()
            && bucket.expires >= earliest
        {
            return bucket.expires;
        }
        let bucket_end = earliest + self.limits.ttl / EXPIRY_BUCKETS_PER_TTL;
        // The text of a key has whole milliseconds, so the expiry is rounded up.
        let expires = Moment::from_millis(bucket_end.as_millis() + 1);
        let first = number;
        self.buckets.push_back(ExpiryBucket { first, expires });
        expires
    }

    /// The expiry with which a number was issued, if it has not expired.
    fn issued_expiry(&self, number: u64) -> Option<Moment> {
        let after = self
            .buckets
            .partition_point(|bucket| bucket.first <= number);
        let bucket = self.buckets.get(after.checked_sub(1)?)?;
        Some(bucket.expires)
    }
}

impl KeyEntry {
    /// Decides what to do with another request that carries the key of this entry.
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

/// Size in bytes of a kept answer, as it counts towards the limits.
fn answer_bytes(answer: &KeptAnswer) -> usize {
    let headers = answer.headers.iter();
    let headers = headers.map(|(name, value)| name.len() + value.len() + HEADER_OVERHEAD_BYTES);
    answer.body.len() + headers.sum::<usize>()
}
