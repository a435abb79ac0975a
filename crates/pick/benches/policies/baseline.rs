//! Naive policies and the oracle.

use std::cell::RefCell;
use std::rc::Rc;

use ggs_model::{LoadReport, Moment, RequestClass, ServerId};
use ggs_pick::{AttemptEnd, ChoiceRefusal, ChoiceRequest, ServerChooser, ServerHandle, ServerSpec};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// What is true of each server at this moment, by the server's number.
#[derive(Clone, Debug, Default)]
pub(crate) struct FleetTruth {
    /// Attempts that are at the server or on their way to it.
    pub(crate) in_flight: Vec<u32>,
    /// Times that its work takes longer than at full speed.
    pub(crate) slowness: Vec<f64>,
    /// Whether it takes requests.
    pub(crate) live: Vec<bool>,
}

/// How a simple policy chooses.
#[derive(Clone, Debug)]
pub(crate) enum Rule {
    /// Any server.
    Random,
    /// Each server in turn.
    RoundRobin,
    /// The better of two random servers by own in-flight.
    TwoChoices,
    /// The least expected answer time by the truth.
    Oracle {
        /// The truth.
        truth: Rc<RefCell<FleetTruth>>,
        /// Mean service time in milliseconds.
        service_ms: f64,
        /// Milliseconds that another data centre costs.
        far_ms: f64,
    },
}

/// A simple policy; positions are never reused, which is enough for these runs.
#[derive(Clone, Debug)]
pub(crate) struct SimpleChooser {
    rule: Rule,
    servers: Vec<(ServerSpec, bool, u32)>,
    rng: SmallRng,
    turn: usize,
}

impl SimpleChooser {
    /// A policy that knows no server.
    pub(crate) fn new(rule: Rule, seed: u64) -> Self {
        Self {
            rule,
            servers: Vec::new(),
            rng: SmallRng::seed_from_u64(seed),
            turn: seed as usize,
        }
    }

    /// A random server that may be chosen.
    fn random(&mut self, tried: &[ServerHandle]) -> Option<usize> {
        let usable = |index: &usize| {
            self.servers[*index].1 && !tried.iter().any(|handle| handle.index as usize == *index)
        };
        let count = (0..self.servers.len()).filter(usable).count();
        if count == 0 {
            return None;
        }
        let pick = self.rng.random_range(0..count);
        (0..self.servers.len()).filter(usable).nth(pick)
    }

    /// The next server in turn.
    fn next(&mut self) -> Option<usize> {
        let count = self.servers.len();
        let index = (1..=count)
            .map(|step| (self.turn + step) % count)
            .find(|&index| self.servers[index].1)?;
        self.turn = index;
        Some(index)
    }

    /// The best server by the truth.
    fn oracle(&mut self, class: RequestClass) -> Option<usize> {
        let Rule::Oracle {
            truth,
            service_ms,
            far_ms,
        } = &self.rule
        else {
            return None;
        };
        let truth = truth.borrow();
        let count = self.servers.len();
        self.turn += 1;
        let score = |index: usize| {
            let (spec, _, _) = &self.servers[index];
            let number = usize::from(spec.server.address.port());
            let (in_flight, slots) = (f64::from(truth.in_flight[number]), f64::from(spec.slots));
            let full = class == RequestClass::Export && in_flight + 1.0 > slots - 1.0;
            if !truth.live[number] || full {
                return f64::MAX;
            }
            let waiting = (in_flight + 1.0 - slots).max(0.0) / slots;
            let path = if spec.near { 0.0 } else { far_ms * 2.0 };
            (1.0 + waiting) * truth.slowness[number] * service_ms + path
        };
        let best = (0..count)
            .map(|step| (self.turn + step) % count)
            .filter(|&index| self.servers[index].1)
            .min_by(|left, right| score(*left).total_cmp(&score(*right)))?;
        (class != RequestClass::Export || score(best) < f64::MAX).then_some(best)
    }
}

impl ServerChooser for SimpleChooser {
    fn replace_servers(&mut self, specs: &[ServerSpec], _now: Moment) {
        for server in &mut self.servers {
            server.1 = specs.iter().any(|spec| spec.server == server.0.server);
        }
        for spec in specs {
            if !self
                .servers
                .iter()
                .any(|server| server.0.server == spec.server)
            {
                self.servers.push((*spec, true, 0));
            }
        }
    }

    fn choose(
        &mut self,
        request: &ChoiceRequest<'_>,
        _now: Moment,
    ) -> Result<ServerHandle, ChoiceRefusal> {
        let index = match &self.rule {
            Rule::Random => self.random(request.tried),
            Rule::RoundRobin => self.next(),
            Rule::TwoChoices => {
                let (left, right) = (self.random(request.tried), self.random(request.tried));
                left.into_iter()
                    .chain(right)
                    .min_by_key(|&index| self.servers[index].2)
            }
            Rule::Oracle { .. } => self.oracle(request.class),
        };
        let index = index.ok_or(ChoiceRefusal::NoCapacity {
            retry_after: Duration::from_millis(5),
        })?;
        self.servers[index].2 += 1;
        Ok(ServerHandle {
            index: index as u32,
            generation: 0,
        })
    }

    fn start_on(&mut self, handle: ServerHandle, _class: RequestClass, _now: Moment) -> bool {
        let server = &mut self.servers[handle.index as usize];
        server.2 += u32::from(server.1);
        server.1
    }

    fn finish(&mut self, end: &AttemptEnd, _now: Moment) {
        self.servers[end.handle.index as usize].2 -= 1;
    }

    fn record_report(&mut self, _handle: ServerHandle, _report: LoadReport, _now: Moment) {}

    fn record_peer_counts(&mut self, _gate: u64, _counts: &[(ServerId, u32)], _now: Moment) {}

    fn own_counts(&self, _counts: &mut Vec<(ServerId, u32)>) {}

    fn server(&self, handle: ServerHandle) -> Option<ServerId> {
        Some(self.servers.get(handle.index as usize)?.0.server)
    }

    fn handle_of(&self, _server: ServerId) -> Option<ServerHandle> {
        None
    }

    fn probe_candidate(&self, _now: Moment) -> Option<ServerHandle> {
        None
    }
}
