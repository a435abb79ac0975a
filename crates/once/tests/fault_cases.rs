//! At most once under faults, for issued keys and for the naive forwarder that each gate remembers
//! alone. The same check must pass for the one and fail for the other.

use std::collections::HashSet;
use std::time::Duration;

use bytes::Bytes;
use ggs_model::{GateId, HostName, Incarnation, Moment, RunVerdict};
use ggs_once::{
    FingerprintHasher, IdempotencyKey, KeptAnswer, KeyAdmission, KeyLimits, KeyOutcome,
    KeyRegistry, RequestParts, RunPermit,
};

/// Key life in milliseconds.
const LIFE_MS: u64 = 1_000;

/// What befalls an attempt on its way to the server and back.
#[derive(Clone, Copy, Debug, PartialEq)]
enum AttemptFate {
    Answered,
    AnswerLost,
    /// The connection could not be opened.
    NeverSent,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A caller sends the request to a gate; the attempt ends at once with this fate.
    Send(usize, &'static str, AttemptFate),
    /// A caller sends the request to a gate, which freezes before it sends.
    Hold(usize, &'static str),
    /// The frozen gate wakes and sends.
    Wake(AttemptFate),
    /// The gate's process ends; a held attempt ends with it.
    Kill(usize),
    /// A new run of the gate starts on the same host.
    Restart(usize),
    Wait(u64),
}

/// What a gate decides about a request.
enum Decision<T> {
    Run(T),
    Say(RunVerdict),
    PassTo(GateId),
}

/// A gate's way to keep requests from running twice.
trait OnceGuard {
    type Permit;
    fn start(id: GateId) -> Self;
    fn issue(&mut self, now: Moment) -> IdempotencyKey;
    fn decide(&mut self, key: &IdempotencyKey, body: &str, now: Moment) -> Decision<Self::Permit>;
    /// Ends an attempt; true asks for another one.
    fn end(&mut self, permit: Self::Permit, fate: AttemptFate, now: Moment) -> Option<RunVerdict>;
}

struct IssuedGuard {
    registry: KeyRegistry,
    hasher: FingerprintHasher,
}

impl OnceGuard for IssuedGuard {
    type Permit = RunPermit;

    fn start(id: GateId) -> Self {
        let limits = KeyLimits {
            entries: 10,
            kept_bytes: 1_000,
            answer_bytes: 1_000,
            ttl: Duration::from_millis(LIFE_MS),
        };
        Self {
            registry: KeyRegistry::new(id, limits),
            hasher: FingerprintHasher::default(),
        }
    }

    fn issue(&mut self, now: Moment) -> IdempotencyKey {
        self.registry.issue(now)
    }

    fn decide(&mut self, key: &IdempotencyKey, body: &str, now: Moment) -> Decision<RunPermit> {
        let parts = RequestParts {
            service: "ledger",
            method: "POST",
            path: "/credit",
            body: body.as_bytes(),
        };
        let print = self.hasher.fingerprint(&parts);
        match self.registry.admit(key, print, now) {
            KeyAdmission::Run(permit) => Decision::Run(permit),
            KeyAdmission::Replay(_) => Decision::Say(RunVerdict::Ran),
            KeyAdmission::Finished(verdict) => Decision::Say(verdict),
            KeyAdmission::Running | KeyAdmission::Conflict | KeyAdmission::Expired => {
                Decision::Say(RunVerdict::Unknown)
            }
            KeyAdmission::NotIssued | KeyAdmission::Full => Decision::Say(RunVerdict::NotRun),
            KeyAdmission::OtherIssuer(gate) => Decision::PassTo(gate),
        }
    }

    fn end(&mut self, permit: RunPermit, fate: AttemptFate, now: Moment) -> Option<RunVerdict> {
        let answer = KeptAnswer {
            status: 200,
            headers: Vec::new(),
            body: Bytes::from_static(b"credited"),
        };
        let (outcome, verdict) = match fate {
            AttemptFate::Answered => (KeyOutcome::Answered(answer), RunVerdict::Ran),
            AttemptFate::AnswerLost => (KeyOutcome::Unknown, RunVerdict::Unknown),
            AttemptFate::NeverSent => (KeyOutcome::NotRun, RunVerdict::NotRun),
        };
        self.registry.finish(permit, outcome, now);
        Some(verdict)
    }
}

/// Remembers the keys that this gate saw answered, and retries once when an answer is lost.
struct RetryingGuard {
    id: GateId,
    issued: u64,
    answered: HashSet<IdempotencyKey>,
}

impl OnceGuard for RetryingGuard {
    type Permit = IdempotencyKey;

    fn start(id: GateId) -> Self {
        Self {
            id,
            issued: 0,
            answered: HashSet::new(),
        }
    }

    fn issue(&mut self, now: Moment) -> IdempotencyKey {
        self.issued += 1;
        IdempotencyKey {
            issuer: self.id.clone(),
            number: self.issued,
            expires: now,
        }
    }

    fn decide(
        &mut self,
        key: &IdempotencyKey,
        _body: &str,
        _now: Moment,
    ) -> Decision<IdempotencyKey> {
        if self.answered.contains(key) {
            return Decision::Say(RunVerdict::Ran);
        }
        Decision::Run(key.clone())
    }

    fn end(
        &mut self,
        permit: IdempotencyKey,
        fate: AttemptFate,
        _now: Moment,
    ) -> Option<RunVerdict> {
        match fate {
            AttemptFate::Answered => self.answered.insert(permit),
            AttemptFate::AnswerLost => return None,
            AttemptFate::NeverSent => return Some(RunVerdict::NotRun),
        };
        Some(RunVerdict::Ran)
    }
}

/// Gates and one server that counts how often it ran the request.
struct World<G: OnceGuard> {
    gates: Vec<Option<(GateId, G)>>,
    held: Option<(usize, G::Permit)>,
    incarnation: u64,
    now: Moment,
    runs: u32,
    said: Vec<RunVerdict>,
}

impl<G: OnceGuard> World<G> {
    fn new() -> Self {
        let mut world = Self {
            gates: Vec::new(),
            held: None,
            incarnation: 0,
            now: Moment::from_millis(1),
            runs: 0,
            said: Vec::new(),
        };
        for index in 0..2 {
            world.gates.push(None);
            world.restart(index);
        }
        world
    }

    fn restart(&mut self, index: usize) {
        self.incarnation += 1;
        let id = GateId {
            host: HostName::new(&format!("entry-{index}")),
            incarnation: Incarnation(self.incarnation),
        };
        self.gates[index] = Some((id.clone(), G::start(id)));
    }

    /// Asks a gate, and the one that it passes the request to; a frozen gate answers nobody.
    fn decide(
        &mut self,
        via: usize,
        key: &IdempotencyKey,
        body: &str,
    ) -> (usize, Decision<G::Permit>) {
        let now = self.now;
        let frozen = self.held.as_ref().map(|(index, _)| *index);
        let unknown = Decision::Say(RunVerdict::Unknown);
        let Some((_, guard)) = &mut self.gates[via] else {
            return (via, unknown);
        };
        if frozen == Some(via) {
            return (via, unknown);
        }
        let id = match guard.decide(key, body, now) {
            Decision::PassTo(id) => id,
            decision => return (via, decision),
        };
        let owner = self
            .gates
            .iter()
            .position(|gate| gate.as_ref().is_some_and(|gate| gate.0 == id));
        match owner {
            Some(owner) if frozen != Some(owner) => {
                let (_, guard) = self.gates[owner].as_mut().expect("the owner lives");
                (owner, guard.decide(key, body, now))
            }
            _ => (via, unknown),
        }
    }

    /// Sends to the server; the guard may ask for another attempt, which is answered.
    fn attempt(&mut self, gate: usize, permit: G::Permit, fate: AttemptFate) -> RunVerdict {
        self.runs += u32::from(fate != AttemptFate::NeverSent);
        let Some((_, guard)) = &mut self.gates[gate] else {
            return RunVerdict::Unknown;
        };
        guard.end(permit, fate, self.now).unwrap_or_else(|| {
            self.runs += 1;
            RunVerdict::Ran
        })
    }

    fn step(&mut self, key: &IdempotencyKey, step: Step) {
        match step {
            Step::Send(via, body, fate) => {
                let verdict = match self.decide(via, key, body) {
                    (gate, Decision::Run(permit)) => self.attempt(gate, permit, fate),
                    (_, Decision::Say(verdict)) => verdict,
                    (_, Decision::PassTo(_)) => RunVerdict::Unknown,
                };
                self.said.push(verdict);
            }
            Step::Hold(via, body) => match self.decide(via, key, body) {
                (gate, Decision::Run(permit)) => self.held = Some((gate, permit)),
                (_, Decision::Say(verdict)) => self.said.push(verdict),
                (_, Decision::PassTo(_)) => self.said.push(RunVerdict::Unknown),
            },
            Step::Wake(fate) => {
                if let Some((gate, permit)) = self.held.take() {
                    let verdict = self.attempt(gate, permit, fate);
                    self.said.push(verdict);
                }
            }
            Step::Kill(gate) => {
                self.gates[gate] = None;
                self.held.take_if(|held| held.0 == gate);
            }
            Step::Restart(gate) => self.restart(gate),
            Step::Wait(millis) => self.now = self.now + Duration::from_millis(millis),
        }
    }
}

/// Runs a case; says what was broken.
fn check<G: OnceGuard>(case: &FaultCase) -> Result<Vec<RunVerdict>, String> {
    let mut world = World::<G>::new();
    let now = world.now;
    let (_, guard) = world.gates[0].as_mut().expect("gate 0 lives");
    let key = guard.issue(now);
    for step in case.steps {
        let said = world.said.len();
        let before = world.runs;
        world.step(&key, *step);
        if world.runs > 1 {
            return Err(format!("ran {} times", world.runs));
        }
        let lied = world.said[said..].contains(&RunVerdict::NotRun) && world.runs > before;
        if lied {
            return Err("said \"not run\" of a request that ran".to_owned());
        }
    }
    Ok(world.said)
}

struct FaultCase {
    name: &'static str,
    steps: &'static [Step],
    said: &'static [RunVerdict],
    /// Whether the naive forwarder runs the request twice.
    naive_fails: bool,
}

use AttemptFate::{AnswerLost, Answered, NeverSent};
use RunVerdict::{NotRun, Ran, Unknown};
use Step::{Hold, Kill, Restart, Send, Wait, Wake};

const CASES: &[FaultCase] = &[
    FaultCase {
        name: "the caller repeats at the same gate",
        steps: &[Send(0, "a", Answered), Send(0, "a", Answered)],
        said: &[Ran, Ran],
        naive_fails: false,
    },
    FaultCase {
        name: "the caller repeats through another gate",
        steps: &[Send(0, "a", Answered), Send(1, "a", Answered)],
        said: &[Ran, Ran],
        naive_fails: true,
    },
    FaultCase {
        name: "the answer is lost, and the caller repeats",
        steps: &[Send(0, "a", AnswerLost), Send(0, "a", Answered)],
        said: &[Unknown, Unknown],
        naive_fails: true,
    },
    FaultCase {
        name: "the answer is lost, and the caller repeats through another gate",
        steps: &[Send(0, "a", AnswerLost), Send(1, "a", Answered)],
        said: &[Unknown, Unknown],
        naive_fails: true,
    },
    FaultCase {
        name: "the gate dies after sending",
        steps: &[
            Hold(0, "a"),
            Wake(AnswerLost),
            Kill(0),
            Send(1, "a", Answered),
        ],
        said: &[Unknown, Unknown],
        naive_fails: true,
    },
    FaultCase {
        name: "another run of the gate that knew the key is asked",
        steps: &[
            Send(0, "a", Answered),
            Kill(0),
            Restart(0),
            Send(0, "a", Answered),
        ],
        said: &[Ran, Unknown],
        naive_fails: true,
    },
    FaultCase {
        name: "the gate freezes before sending, and wakes after another was asked",
        steps: &[
            Hold(0, "a"),
            Send(1, "a", Answered),
            Wait(10 * LIFE_MS),
            Wake(Answered),
            Send(1, "a", Answered),
        ],
        said: &[Unknown, Ran, Unknown],
        naive_fails: true,
    },
    FaultCase {
        name: "two gates are asked at the same moment",
        steps: &[Hold(1, "a"), Send(0, "a", Answered), Wake(Answered)],
        said: &[Unknown, Ran],
        naive_fails: true,
    },
    FaultCase {
        name: "the key comes back with another body",
        steps: &[Send(0, "a", Answered), Send(1, "b", Answered)],
        said: &[Ran, Unknown],
        naive_fails: true,
    },
    FaultCase {
        name: "a request that was not run is sent again",
        steps: &[Send(0, "a", NeverSent), Send(1, "a", Answered)],
        said: &[NotRun, Ran],
        naive_fails: false,
    },
    FaultCase {
        name: "the key comes back after its life",
        steps: &[
            Send(0, "a", AnswerLost),
            Wait(2 * LIFE_MS),
            Send(0, "a", Answered),
        ],
        said: &[Unknown, Unknown],
        naive_fails: true,
    },
];

#[test]
fn issued_keys_run_at_most_once_in_every_fault_case() {
    for case in CASES {
        let said = check::<IssuedGuard>(case);
        assert_eq!(said.as_deref(), Ok(case.said), "case: {}", case.name);
    }
}

#[test]
fn a_forwarder_with_memory_of_its_own_fails_the_same_check() {
    for case in CASES {
        let failed = check::<RetryingGuard>(case).is_err();
        assert_eq!(failed, case.naive_fails, "case: {}", case.name);
    }
}
