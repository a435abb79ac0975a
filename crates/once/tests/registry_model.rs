//! Compares the registry with a model that keeps the full history of every key.

use std::time::Duration;

use bytes::Bytes;
use ggs_model::{GateId, HostName, Incarnation, Moment, RunVerdict};
use ggs_once::{
    IdempotencyKey, KeptAnswer, KeyAdmission, KeyLimits, KeyOutcome, KeyRegistry,
    RequestFingerprint, RunPermit,
};
use proptest::prelude::*;

const LIMITS: KeyLimits = KeyLimits {
    entries: 4,
    kept_bytes: 100,
    answer_bytes: 60,
    ttl: Duration::from_millis(640),
};

/// The full history of one key.
#[derive(Debug)]
struct ModelKey {
    expires: Moment,
    /// Each run; the outcome is `None` until the run ends.
    runs: Vec<(RequestFingerprint, Option<KeyOutcome>)>,
}

/// A [`KeyAdmission`] without its permit, which the model cannot create.
#[derive(Debug, PartialEq, Eq)]
enum ModelAdmission {
    Run,
    Running,
    Replay(KeptAnswer),
    Finished(RunVerdict),
    Conflict,
    Expired,
    NotIssued,
    Full,
}

#[derive(Debug, Default)]
struct ModelRegistry {
    keys: Vec<ModelKey>,
}

impl ModelRegistry {
    /// The latest run of each key that has not expired and was used.
    fn used(&self, now: Moment) -> impl Iterator<Item = &(RequestFingerprint, Option<KeyOutcome>)> {
        let live = self.keys.iter().filter(move |key| key.expires > now);
        live.filter_map(|key| key.runs.last())
            .filter(|run| run.1 != Some(KeyOutcome::NotRun))
    }

    fn kept_bytes(&self, now: Moment) -> usize {
        let kept = self.used(now).filter_map(|(_, outcome)| match outcome {
            Some(KeyOutcome::Answered(answer)) => Some(answer.body.len()),
            _ => None,
        });
        kept.sum()
    }

    fn admit(
        &mut self,
        key: &IdempotencyKey,
        fingerprint: RequestFingerprint,
        now: Moment,
    ) -> ModelAdmission {
        let used = self.used(now).count();
        let Some(known) = self.keys.get_mut(key.number as usize) else {
            return ModelAdmission::NotIssued;
        };
        if known.expires <= now {
            return ModelAdmission::Expired;
        }
        if known.expires != key.expires {
            return ModelAdmission::NotIssued;
        }
        match known.runs.last() {
            Some((recorded, outcome)) if *outcome != Some(KeyOutcome::NotRun) => match outcome {
                _ if *recorded != fingerprint => ModelAdmission::Conflict,
                None => ModelAdmission::Running,
                Some(KeyOutcome::Answered(answer)) => ModelAdmission::Replay(answer.clone()),
                Some(KeyOutcome::Unknown) => ModelAdmission::Finished(RunVerdict::Unknown),
                Some(_) => ModelAdmission::Finished(RunVerdict::Ran),
            },
            _ if used >= LIMITS.entries => ModelAdmission::Full,
            _ => {
                known.runs.push((fingerprint, None));
                ModelAdmission::Run
            }
        }
    }

    fn finish(&mut self, number: u64, mut outcome: KeyOutcome, now: Moment) {
        if let KeyOutcome::Answered(answer) = &outcome {
            let bytes = answer.body.len();
            // The registry makes this check before it removes expired keys, so the test calls
            // `expire` first.
            if bytes > LIMITS.answer_bytes || self.kept_bytes(now) + bytes > LIMITS.kept_bytes {
                outcome = KeyOutcome::AnswerNotKept;
            }
        }
        self.keys[number as usize]
            .runs
            .last_mut()
            .expect("the run was recorded")
            .1 = Some(outcome);
    }
}

#[derive(Clone, Debug)]
enum Step {
    Issue,
    /// Sends the key that was issued `pick` keys before the latest one; `extend` adds 5 s to the
    /// expiry in its text.
    Admit {
        pick: usize,
        body: u8,
        extend: bool,
    },
    /// Ends one of the runs in progress, chosen by `pick`.
    Finish {
        pick: usize,
        outcome: KeyOutcome,
    },
    Wait {
        millis: u64,
    },
}

fn outcomes() -> impl Strategy<Value = KeyOutcome> {
    prop_oneof![
        Just(KeyOutcome::NotRun),
        Just(KeyOutcome::Unknown),
        Just(KeyOutcome::AnswerNotKept),
        (1_usize..80).prop_map(|length| KeyOutcome::Answered(KeptAnswer {
            status: 200,
            headers: Vec::new(),
            body: Bytes::from(vec![7; length]),
        })),
    ]
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => Just(Step::Issue),
        6 => (0_usize..12, 0_u8..2, prop::bool::weighted(0.1))
            .prop_map(|(pick, body, extend)| Step::Admit { pick, body, extend }),
        4 => (0_usize..4, outcomes()).prop_map(|(pick, outcome)| Step::Finish { pick, outcome }),
        2 => (1_u64..400).prop_map(|millis| Step::Wait { millis }),
    ];
    prop::collection::vec(step, 1..120)
}

/// Converts an admission, and keeps the permit of a run in `permits`.
fn without_permit(
    admission: KeyAdmission,
    number: u64,
    permits: &mut Vec<(u64, RunPermit)>,
) -> ModelAdmission {
    match admission {
        KeyAdmission::Run(permit) => {
            permits.push((number, permit));
            ModelAdmission::Run
        }
        KeyAdmission::Running => ModelAdmission::Running,
        KeyAdmission::Replay(answer) => ModelAdmission::Replay(answer),
        KeyAdmission::Finished(verdict) => ModelAdmission::Finished(verdict),
        KeyAdmission::Conflict => ModelAdmission::Conflict,
        KeyAdmission::Expired => ModelAdmission::Expired,
        KeyAdmission::NotIssued => ModelAdmission::NotIssued,
        KeyAdmission::Full => ModelAdmission::Full,
        KeyAdmission::OtherIssuer(gate) => {
            panic!("the registry's own key was attributed to gate {gate}")
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn registry_decides_like_a_model_with_the_full_history(steps in steps()) {
        let gate = GateId { host: HostName::new("entry-1"), incarnation: Incarnation(9) };
        let mut registry = KeyRegistry::new(gate, LIMITS);
        let mut model = ModelRegistry::default();
        let mut keys: Vec<IdempotencyKey> = Vec::new();
        let mut permits: Vec<(u64, RunPermit)> = Vec::new();
        let mut now = Moment::from_millis(1);
        for step in steps {
            match step {
                Step::Wait { millis } => now = now + Duration::from_millis(millis),
                Step::Issue => {
                    let key = registry.issue(now);
                    prop_assert_eq!(key.number as usize, keys.len(), "each number is issued once");
                    prop_assert!(key.expires >= now + LIMITS.ttl);
                    // The TTL may be exceeded by one expiry bucket (1/64 of it) and 1 ms of rounding.
                    prop_assert!(key.expires <= now + LIMITS.ttl * 65 / 64 + Duration::from_millis(1));
                    model.keys.push(ModelKey { expires: key.expires, runs: Vec::new() });
                    keys.push(key);
                }
                Step::Admit { pick, body, extend } => {
                    let Some(key) = keys.len().checked_sub(1 + pick).map(|at| &keys[at]) else { continue };
                    let mut key = key.clone();
                    if extend {
                        key.expires = key.expires + Duration::from_secs(5);
                    }
                    let fingerprint = RequestFingerprint(u128::from(body));
                    let expected = model.admit(&key, fingerprint, now);
                    let found =
                        without_permit(registry.admit(&key, fingerprint, now), key.number, &mut permits);
                    prop_assert_eq!(found, expected);
                }
                Step::Finish { pick, outcome } => {
                    if permits.is_empty() { continue }
                    let (number, permit) = permits.swap_remove(pick % permits.len());
                    registry.expire(now);
                    registry.finish(permit, outcome.clone(), now);
                    model.finish(number, outcome, now);
                }
            }
            prop_assert!(registry.len() <= LIMITS.entries);
            prop_assert!(registry.kept_bytes() <= LIMITS.kept_bytes);
        }
    }
}

/// A full registry that made room by removing used keys would let their requests run again. The
/// same would happen if expired keys were admitted while some of them are still to be removed.
#[test]
fn a_full_registry_forgets_no_key_and_refuses_new_ones() {
    let gate = GateId {
        host: HostName::new("entry-1"),
        incarnation: Incarnation(9),
    };
    let limits = KeyLimits {
        entries: 500,
        ..LIMITS
    };
    let mut registry = KeyRegistry::new(gate, limits);
    let now = Moment::from_millis(1);
    let fingerprint = RequestFingerprint(1);
    let keys: Vec<IdempotencyKey> = (0..501).map(|_| registry.issue(now)).collect();
    for key in &keys[..500] {
        let KeyAdmission::Run(permit) = registry.admit(key, fingerprint, now) else {
            panic!("key {key} was refused");
        };
        registry.finish(permit, KeyOutcome::Unknown, now);
    }
    assert_eq!(
        registry.admit(&keys[500], fingerprint, now),
        KeyAdmission::Full
    );
    let unknown = KeyAdmission::Finished(RunVerdict::Unknown);
    assert_eq!(registry.admit(&keys[0], fingerprint, now), unknown);
    // Each call removes a limited number of expired keys. Those not yet removed must not run.
    let later = keys[0].expires;
    for key in &keys[..20] {
        assert_eq!(
            registry.admit(key, fingerprint, later),
            KeyAdmission::Expired
        );
    }
    assert!(registry.is_empty());
}
