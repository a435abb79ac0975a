//! Checks that requests run at most once under faults.
//!
//! The check must pass for issued keys. It must fail for a naive policy, in which each gate
//! remembers only the requests that it forwarded itself; this shows that the check can fail.

use std::collections::HashSet;
use std::time::Duration;

use bytes::Bytes;
use ggs_model::{GateId, HostName, Incarnation, Moment, RunVerdict};
use ggs_once::{
    FingerprintHasher, IdempotencyKey, KeptAnswer, KeyAdmission, KeyLimits, KeyOutcome,
    KeyRegistry, RequestParts, RunPermit,
};

/// Lifetime of a key in milliseconds.
const TTL_MS: u64 = 1_000;

/// What happens to an attempt on its way to the server and back.
#[derive(Clone, Copy, Debug, PartialEq)]
enum AttemptOutcome {
    Answered,
    /// The server ran the request, but its answer did not arrive.
    AnswerLost,
    /// The connection could not be opened.
    NeverSent,
}

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A caller sends a body to a gate; the attempt ends at once with this outcome.
    Send(usize, &'static str, AttemptOutcome),
    /// A caller sends a body to a gate. The gate that decides to run the request, this one or the
    /// key's issuer, freezes before it sends the request to the server.
    Freeze(usize, &'static str),
    /// The frozen gate resumes and sends the request.
    Resume(AttemptOutcome),
    /// The gate process ends, and with it the attempt that it had not sent yet.
    Kill(usize),
    /// A new gate process starts on the same host.
    Restart(usize),
    /// This many milliseconds pass.
    Wait(u64),
}

/// What a gate decides about a request.
enum Decision<T> {
    Run(T),
    Reply(RunVerdict),
    Forward(GateId),
}

/// The policy by which a gate keeps requests from running twice.
trait RepeatPolicy {
    type Permit;
    fn start(id: GateId) -> Self;
    fn issue(&mut self, now: Moment) -> IdempotencyKey;
    fn decide(&mut self, key: &IdempotencyKey, body: &str, now: Moment) -> Decision<Self::Permit>;
    /// Ends an attempt. `None` asks for another one, else the verdict is told to the caller.
    fn end(
        &mut self,
        permit: Self::Permit,
        outcome: AttemptOutcome,
        now: Moment,
    ) -> Option<RunVerdict>;
}

/// The policy under test.
struct IssuedKeyPolicy {
    registry: KeyRegistry,
    hasher: FingerprintHasher,
}

impl RepeatPolicy for IssuedKeyPolicy {
    type Permit = RunPermit;

    fn start(id: GateId) -> Self {
        let limits = KeyLimits {
            entries: 10,
            kept_bytes: 1_000,
            answer_bytes: 1_000,
            ttl: Duration::from_millis(TTL_MS),
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
        let fingerprint = self.hasher.fingerprint(&parts);
        match self.registry.admit(key, fingerprint, now) {
            KeyAdmission::Run(permit) => Decision::Run(permit),
            KeyAdmission::Replay(_) => Decision::Reply(RunVerdict::Ran),
            KeyAdmission::Finished(verdict) => Decision::Reply(verdict),
            KeyAdmission::Running | KeyAdmission::Conflict | KeyAdmission::Expired => {
                Decision::Reply(RunVerdict::Unknown)
            }
            KeyAdmission::NotIssued | KeyAdmission::Full => Decision::Reply(RunVerdict::NotRun),
            KeyAdmission::OtherIssuer(gate) => Decision::Forward(gate),
        }
    }

    fn end(
        &mut self,
        permit: RunPermit,
        outcome: AttemptOutcome,
        now: Moment,
    ) -> Option<RunVerdict> {
        let answer = KeptAnswer {
            status: 200,
            headers: Vec::new(),
            body: Bytes::from_static(b"credited"),
        };
        let (key_outcome, verdict) = match outcome {
            AttemptOutcome::Answered => (KeyOutcome::Answered(answer), RunVerdict::Ran),
            AttemptOutcome::AnswerLost => (KeyOutcome::Unknown, RunVerdict::Unknown),
            AttemptOutcome::NeverSent => (KeyOutcome::NotRun, RunVerdict::NotRun),
        };
        self.registry.finish(permit, key_outcome, now);
        Some(verdict)
    }
}

/// The naive policy: remembers the keys of requests that were answered through this gate, and
/// retries once if an answer is lost.
struct LocalMemoryPolicy {
    id: GateId,
    issued: u64,
    answered: HashSet<IdempotencyKey>,
}

impl RepeatPolicy for LocalMemoryPolicy {
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
            return Decision::Reply(RunVerdict::Ran);
        }
        Decision::Run(key.clone())
    }

    fn end(
        &mut self,
        permit: IdempotencyKey,
        outcome: AttemptOutcome,
        _now: Moment,
    ) -> Option<RunVerdict> {
        match outcome {
            AttemptOutcome::Answered => self.answered.insert(permit),
            AttemptOutcome::AnswerLost => return None,
            AttemptOutcome::NeverSent => return Some(RunVerdict::NotRun),
        };
        Some(RunVerdict::Ran)
    }
}

/// Two gates and one server that counts how often it ran the request.
struct Simulation<G: RepeatPolicy> {
    gates: Vec<Option<(GateId, G)>>,
    /// The frozen gate, with the permit of the attempt that it has not sent.
    frozen_attempt: Option<(usize, G::Permit)>,
    incarnation: u64,
    now: Moment,
    runs: u32,
    /// Verdicts told to callers.
    verdicts: Vec<RunVerdict>,
}

impl<G: RepeatPolicy> Simulation<G> {
    fn new() -> Self {
        let mut simulation = Self {
            gates: Vec::new(),
            frozen_attempt: None,
            incarnation: 0,
            now: Moment::from_millis(1),
            runs: 0,
            verdicts: Vec::new(),
        };
        for index in 0..2 {
            simulation.gates.push(None);
            simulation.restart(index);
        }
        simulation
    }

    fn restart(&mut self, index: usize) {
        self.incarnation += 1;
        let id = GateId {
            host: HostName::new(&format!("entry-{index}")),
            incarnation: Incarnation(self.incarnation),
        };
        self.gates[index] = Some((id.clone(), G::start(id)));
    }

    /// The decision of gate `via`, or of the gate that it forwards the request to, with the index
    /// of the gate that decided. A frozen gate does not reply.
    fn decide(
        &mut self,
        via: usize,
        key: &IdempotencyKey,
        body: &str,
    ) -> (usize, Decision<G::Permit>) {
        let now = self.now;
        let frozen = self.frozen_attempt.as_ref().map(|(index, _)| *index);
        let unknown = Decision::Reply(RunVerdict::Unknown);
        let Some((_, policy)) = &mut self.gates[via] else {
            return (via, unknown);
        };
        if frozen == Some(via) {
            return (via, unknown);
        }
        let id = match policy.decide(key, body, now) {
            Decision::Forward(id) => id,
            decision => return (via, decision),
        };
        let issuer = self
            .gates
            .iter()
            .position(|gate| gate.as_ref().is_some_and(|gate| gate.0 == id));
        match issuer {
            Some(issuer) if frozen != Some(issuer) => {
                let (_, policy) = self.gates[issuer].as_mut().expect("the issuer is running");
                (issuer, policy.decide(key, body, now))
            }
            _ => (via, unknown),
        }
    }

    /// Sends the request to the server. If the policy asks for another attempt, that one is
    /// answered.
    fn attempt(&mut self, gate: usize, permit: G::Permit, outcome: AttemptOutcome) -> RunVerdict {
        self.runs += u32::from(outcome != AttemptOutcome::NeverSent);
        let Some((_, policy)) = &mut self.gates[gate] else {
            return RunVerdict::Unknown;
        };
        policy.end(permit, outcome, self.now).unwrap_or_else(|| {
            self.runs += 1;
            RunVerdict::Ran
        })
    }

    fn step(&mut self, key: &IdempotencyKey, step: Step) {
        match step {
            Step::Send(via, body, outcome) => {
                let verdict = match self.decide(via, key, body) {
                    (gate, Decision::Run(permit)) => self.attempt(gate, permit, outcome),
                    (_, Decision::Reply(verdict)) => verdict,
                    (_, Decision::Forward(_)) => RunVerdict::Unknown,
                };
                self.verdicts.push(verdict);
            }
            Step::Freeze(via, body) => match self.decide(via, key, body) {
                (gate, Decision::Run(permit)) => self.frozen_attempt = Some((gate, permit)),
                (_, Decision::Reply(verdict)) => self.verdicts.push(verdict),
                (_, Decision::Forward(_)) => self.verdicts.push(RunVerdict::Unknown),
            },
            Step::Resume(outcome) => {
                if let Some((gate, permit)) = self.frozen_attempt.take() {
                    let verdict = self.attempt(gate, permit, outcome);
                    self.verdicts.push(verdict);
                }
            }
            Step::Kill(gate) => {
                self.gates[gate] = None;
                self.frozen_attempt.take_if(|attempt| attempt.0 == gate);
            }
            Step::Restart(gate) => self.restart(gate),
            Step::Wait(millis) => self.now = self.now + Duration::from_millis(millis),
        }
    }
}

/// Runs a case. Returns the verdicts, or the rule that was broken.
fn check<G: RepeatPolicy>(case: &FaultCase) -> Result<Vec<RunVerdict>, String> {
    let mut simulation = Simulation::<G>::new();
    let now = simulation.now;
    let (_, policy) = simulation.gates[0].as_mut().expect("gate 0 is running");
    let key = policy.issue(now);
    for step in case.steps {
        let earlier = simulation.verdicts.len();
        let before = simulation.runs;
        simulation.step(&key, *step);
        if simulation.runs > 1 {
            return Err(format!("ran {} times", simulation.runs));
        }
        let false_verdict = simulation.verdicts[earlier..].contains(&RunVerdict::NotRun)
            && simulation.runs > before;
        if false_verdict {
            return Err("verdict \"not run\" for a request that ran".to_owned());
        }
    }
    Ok(simulation.verdicts)
}

struct FaultCase {
    name: &'static str,
    steps: &'static [Step],
    /// Verdicts that callers must be told.
    verdicts: &'static [RunVerdict],
    /// Whether the naive policy runs the request twice.
    naive_fails: bool,
}

use AttemptOutcome::{AnswerLost, Answered, NeverSent};
use RunVerdict::{NotRun, Ran, Unknown};
use Step::{Freeze, Kill, Restart, Resume, Send, Wait};

const CASES: &[FaultCase] = &[
    FaultCase {
        name: "the caller repeats the request at the same gate",
        steps: &[Send(0, "a", Answered), Send(0, "a", Answered)],
        verdicts: &[Ran, Ran],
        naive_fails: false,
    },
    FaultCase {
        name: "the caller repeats the request through another gate",
        steps: &[Send(0, "a", Answered), Send(1, "a", Answered)],
        verdicts: &[Ran, Ran],
        naive_fails: true,
    },
    FaultCase {
        name: "the answer is lost, and the caller repeats the request at the same gate",
        steps: &[Send(0, "a", AnswerLost), Send(0, "a", Answered)],
        verdicts: &[Unknown, Unknown],
        naive_fails: true,
    },
    FaultCase {
        name: "the answer is lost, and the caller repeats the request through another gate",
        steps: &[Send(0, "a", AnswerLost), Send(1, "a", Answered)],
        verdicts: &[Unknown, Unknown],
        naive_fails: true,
    },
    FaultCase {
        name: "the gate process ends after sending",
        steps: &[
            Freeze(0, "a"),
            Resume(AnswerLost),
            Kill(0),
            Send(1, "a", Answered),
        ],
        verdicts: &[Unknown, Unknown],
        naive_fails: true,
    },
    FaultCase {
        name: "the request is repeated at a new process of the gate that issued the key",
        steps: &[
            Send(0, "a", Answered),
            Kill(0),
            Restart(0),
            Send(0, "a", Answered),
        ],
        verdicts: &[Ran, Unknown],
        naive_fails: true,
    },
    FaultCase {
        name: "the gate freezes before sending and resumes after the caller tried another gate",
        steps: &[
            Freeze(0, "a"),
            Send(1, "a", Answered),
            Wait(10 * TTL_MS),
            Resume(Answered),
            Send(1, "a", Answered),
        ],
        verdicts: &[Unknown, Ran, Unknown],
        naive_fails: true,
    },
    FaultCase {
        name: "the request reaches two gates at the same time",
        steps: &[Freeze(1, "a"), Send(0, "a", Answered), Resume(Answered)],
        verdicts: &[Unknown, Ran],
        naive_fails: true,
    },
    FaultCase {
        name: "the key is sent again with another body",
        steps: &[Send(0, "a", Answered), Send(1, "b", Answered)],
        verdicts: &[Ran, Unknown],
        naive_fails: true,
    },
    FaultCase {
        name: "a request that did not run is sent again",
        steps: &[Send(0, "a", NeverSent), Send(1, "a", Answered)],
        verdicts: &[NotRun, Ran],
        naive_fails: false,
    },
    FaultCase {
        name: "the key is sent again after its expiry",
        steps: &[
            Send(0, "a", AnswerLost),
            Wait(2 * TTL_MS),
            Send(0, "a", Answered),
        ],
        verdicts: &[Unknown, Unknown],
        naive_fails: true,
    },
];

#[test]
fn requests_with_issued_keys_run_at_most_once_in_every_fault_case() {
    for case in CASES {
        let verdicts = check::<IssuedKeyPolicy>(case);
        assert_eq!(
            verdicts.as_deref(),
            Ok(case.verdicts),
            "case: {}",
            case.name
        );
    }
}

#[test]
fn gates_that_remember_only_their_own_requests_run_some_twice() {
    for case in CASES {
        let failed = check::<LocalMemoryPolicy>(case).is_err();
        assert_eq!(failed, case.naive_fails, "case: {}", case.name);
    }
}
