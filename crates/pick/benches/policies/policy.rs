//! Policies that are compared.

use std::fmt;
use std::rc::Rc;

use ggs_pick::{LeastInFlight, SignalChooser};

use crate::baseline::{Rule, SimpleChooser};
use crate::case::FleetCase;
use crate::fleet::{Fleet, FleetResult};

/// A policy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PolicyKind {
    /// Any server.
    Random,
    /// Each server in turn.
    RoundRobin,
    /// Power of two choices on own in-flight.
    TwoChoices,
    /// Least own in-flight.
    Least,
    /// The policy of the gates.
    Signal,
    /// True in-flight and speed of every server at once.
    Oracle,
}

impl PolicyKind {
    /// All policies.
    pub(crate) const ALL: [Self; 6] = [
        Self::Random,
        Self::RoundRobin,
        Self::TwoChoices,
        Self::Least,
        Self::Signal,
        Self::Oracle,
    ];

    /// Runs a case under the policy.
    pub(crate) fn run(self, case: FleetCase) -> FleetResult {
        let simple = |rule: Rule| {
            Fleet::new(case, move |_, gate| {
                SimpleChooser::new(rule.clone(), gate as u64)
            })
            .run()
        };
        match self {
            Self::Random => simple(Rule::Random),
            Self::RoundRobin => simple(Rule::RoundRobin),
            Self::TwoChoices => simple(Rule::TwoChoices),
            Self::Least => Fleet::new(case, |_, _| LeastInFlight::new()).run(),
            Self::Signal => Fleet::new(case, |_, gate| signal_chooser(&case, gate)).run(),
            Self::Oracle => Fleet::new(case, |truth, gate| {
                let rule = Rule::Oracle {
                    truth: Rc::clone(truth),
                    service_ms: case.service.service_ms,
                    far_ms: case.service.far_ms,
                };
                SimpleChooser::new(rule, gate as u64)
            })
            .run(),
        }
    }
}

/// The policy of the gates as a gate builds it.
fn signal_chooser(case: &FleetCase, gate: usize) -> SignalChooser {
    let seed = case.seed * 100 + gate as u64;
    SignalChooser::builder().seed(seed).build()
}

impl fmt::Display for PolicyKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            Self::Random => "random",
            Self::RoundRobin => "round robin",
            Self::TwoChoices => "two choices",
            Self::Least => "least own",
            Self::Signal => "signals",
            Self::Oracle => "oracle",
        })
    }
}
