//! The registry against a naive one that keeps everything that ever happened.

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

/// All that ever happened to one key.
#[derive(Debug)]
struct NaiveKey {
    expires: Moment,
    /// The outcome is `None` while the run goes on.
    runs: Vec<(RequestFingerprint, Option<KeyOutcome>)>,
}

/// What the naive registry answers; tickets cannot be compared.
#[derive(Debug, PartialEq, Eq)]
enum PlainAdmission {
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
struct NaiveRegistry {
    keys: Vec<NaiveKey>,
}

impl NaiveRegistry {
    /// Keys that are live and used, with the last use of each.
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
        print: RequestFingerprint,
        now: Moment,
    ) -> PlainAdmission {
        let used = self.used(now).count();
        let Some(known) = self.keys.get_mut(key.number as usize) else {
            return PlainAdmission::NotIssued;
        };
        if known.expires <= now {
            return PlainAdmission::Expired;
        }
        if known.expires != key.expires {
            return PlainAdmission::NotIssued;
        }
        match known.runs.last() {
            Some((first, outcome)) if *outcome != Some(KeyOutcome::NotRun) => match outcome {
                _ if *first != print => PlainAdmission::Conflict,
                None => PlainAdmission::Running,
                Some(KeyOutcome::Answered(answer)) => PlainAdmission::Replay(answer.clone()),
                Some(KeyOutcome::Unknown) => PlainAdmission::Finished(RunVerdict::Unknown),
                Some(_) => PlainAdmission::Finished(RunVerdict::Ran),
            },
            _ if used >= LIMITS.entries => PlainAdmission::Full,
            _ => {
                known.runs.push((print, None));
                PlainAdmission::Run
            }
        }
    }

    fn finish(&mut self, number: u64, mut outcome: KeyOutcome, now: Moment) {
        if let KeyOutcome::Answered(answer) = &outcome {
            let bytes = answer.body.len();
            // The registry forgets ended keys after it has weighed the answer.
            if bytes > LIMITS.answer_bytes || self.kept_bytes(now) + bytes > LIMITS.kept_bytes {
                outcome = KeyOutcome::AnswerNotKept;
            }
        }
        self.keys[number as usize]
            .runs
            .last_mut()
            .expect("the run began")
            .1 = Some(outcome);
    }
}

#[derive(Clone, Debug)]
enum Step {
    Issue,
    Admit {
        pick: usize,
        body: u8,
        prolong: bool,
    },
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
            .prop_map(|(pick, body, prolong)| Step::Admit { pick, body, prolong }),
        4 => (0_usize..4, outcomes()).prop_map(|(pick, outcome)| Step::Finish { pick, outcome }),
        2 => (1_u64..400).prop_map(|millis| Step::Wait { millis }),
    ];
    prop::collection::vec(step, 1..120)
}

fn plain(admission: KeyAdmission, number: u64, open: &mut Vec<(u64, RunPermit)>) -> PlainAdmission {
    match admission {
        KeyAdmission::Run(permit) => {
            open.push((number, permit));
            PlainAdmission::Run
        }
        KeyAdmission::Running => PlainAdmission::Running,
        KeyAdmission::Replay(answer) => PlainAdmission::Replay(answer),
        KeyAdmission::Finished(verdict) => PlainAdmission::Finished(verdict),
        KeyAdmission::Conflict => PlainAdmission::Conflict,
        KeyAdmission::Expired => PlainAdmission::Expired,
        KeyAdmission::NotIssued => PlainAdmission::NotIssued,
        KeyAdmission::Full => PlainAdmission::Full,
        KeyAdmission::OtherIssuer(gate) => panic!("own key sent to {gate}"),
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2_000))]

    #[test]
    fn registry_equals_the_full_history(steps in steps()) {
        let gate = GateId { host: HostName::new("entry-1"), incarnation: Incarnation(9) };
        let mut registry = KeyRegistry::new(gate, LIMITS);
        let mut naive = NaiveRegistry::default();
        let mut keys: Vec<IdempotencyKey> = Vec::new();
        let mut open: Vec<(u64, RunPermit)> = Vec::new();
        let mut now = Moment::from_millis(1);
        for step in steps {
            match step {
                Step::Wait { millis } => now = now + Duration::from_millis(millis),
                Step::Issue => {
                    let key = registry.issue(now);
                    prop_assert_eq!(key.number as usize, keys.len(), "a number is issued once");
                    prop_assert!(key.expires >= now + LIMITS.ttl);
                    prop_assert!(key.expires <= now + LIMITS.ttl * 65 / 64 + Duration::from_millis(1));
                    naive.keys.push(NaiveKey { expires: key.expires, runs: Vec::new() });
                    keys.push(key);
                }
                Step::Admit { pick, body, prolong } => {
                    let Some(key) = keys.len().checked_sub(1 + pick).map(|at| &keys[at]) else { continue };
                    let mut key = key.clone();
                    if prolong {
                        key.expires = key.expires + Duration::from_secs(5);
                    }
                    let print = RequestFingerprint(u128::from(body));
                    let expected = naive.admit(&key, print, now);
                    let found = plain(registry.admit(&key, print, now), key.number, &mut open);
                    prop_assert_eq!(found, expected);
                }
                Step::Finish { pick, outcome } => {
                    if open.is_empty() { continue }
                    let (number, permit) = open.swap_remove(pick % open.len());
                    registry.expire(now);
                    registry.finish(permit, outcome.clone(), now);
                    naive.finish(number, outcome, now);
                }
            }
            prop_assert!(registry.len() <= LIMITS.entries);
            prop_assert!(registry.kept_bytes() <= LIMITS.kept_bytes);
        }
    }
}

#[test]
fn a_registry_that_is_full_forgets_nothing_and_refuses_new_keys() {
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
    let print = RequestFingerprint(1);
    let keys: Vec<IdempotencyKey> = (0..501).map(|_| registry.issue(now)).collect();
    for key in &keys[..500] {
        let KeyAdmission::Run(permit) = registry.admit(key, print, now) else {
            panic!("key {key} was refused");
        };
        registry.finish(permit, KeyOutcome::Unknown, now);
    }
    assert_eq!(registry.admit(&keys[500], print, now), KeyAdmission::Full);
    let unknown = KeyAdmission::Finished(RunVerdict::Unknown);
    assert_eq!(registry.admit(&keys[0], print, now), unknown);
    // Expiry removes a bounded number in each call, and no ended key runs meanwhile.
    let later = keys[0].expires;
    for key in &keys[..20] {
        assert_eq!(registry.admit(key, print, later), KeyAdmission::Expired);
    }
    assert!(registry.is_empty());
}
