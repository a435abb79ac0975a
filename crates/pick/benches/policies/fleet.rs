//! Gates and fake servers of one service on a virtual clock.

use std::cell::RefCell;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use ggs_model::{Incarnation, LoadReport, Moment, RequestClass, ServerId};
use ggs_pick::{
    AttemptEnd, AttemptOutcome, ChoiceRefusal, ChoiceRequest, ServerChooser, ServerHandle,
    ServerSpec,
};
use hdrhistogram::Histogram;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, LogNormal};

use crate::agenda::{Agenda, Event};
use crate::baseline::FleetTruth;
use crate::case::{FleetCase, MILLIS, Reports};
use crate::fault::{self, DATA_CENTRES, ROUNDS};
use crate::server::{FakeServer, Job, ServerMode};

/// Spread of service times: standard deviation of their logarithm.
const WORK_SIGMA: f64 = 0.6;

/// Milliseconds until a lost path is noticed.
const PATH_TIMEOUT_MS: f64 = 100.0;

/// Milliseconds in which a server refuses or fails a request.
const REFUSAL_MS: f64 = 0.2;

/// Milliseconds until a request is given up.
const DEADLINE_MS: f64 = 10_000.0;

/// Answer time in milliseconds that a failed request counts as.
const FAILED_MS: f64 = 10_000.0;

/// Attempts for one request.
const ATTEMPTS: usize = 3;

/// Share of the run that is not measured.
const WARM_UP: f64 = 0.1;

/// One request.
#[derive(Debug)]
struct Request {
    arrived: f64,
    gate: usize,
    class: RequestClass,
    work: f64,
    tried: Vec<ServerHandle>,
}

/// One attempt or probe.
#[derive(Debug)]
struct Attempt {
    request: Option<usize>,
    gate: usize,
    handle: ServerHandle,
    server: usize,
    started: f64,
    outcome: AttemptOutcome,
    report: Option<LoadReport>,
}

/// What a run showed.
#[derive(Debug)]
pub(crate) struct FleetResult {
    /// Answer times of urgent reads in microseconds.
    pub(crate) urgent: Histogram<u64>,
    /// Answer times of exports in microseconds, with the wait for a slot.
    pub(crate) exports: Histogram<u64>,
    /// Requests that failed.
    pub(crate) failed: u64,
    /// Refusals for want of capacity.
    pub(crate) refused: u64,
    /// Attempts at each server after the fault began.
    pub(crate) calls: Vec<u64>,
    /// Paid probes.
    pub(crate) probes: u64,
}

impl FleetResult {
    /// A quantile of urgent answer times in milliseconds.
    pub(crate) fn urgent_ms(&self, quantile: f64) -> f64 {
        self.urgent.value_at_quantile(quantile) as f64 / MILLIS
    }

    /// A quantile of answer times of exports in milliseconds.
    pub(crate) fn export_ms(&self, quantile: f64) -> f64 {
        self.exports.value_at_quantile(quantile) as f64 / MILLIS
    }

    /// Adds another run's figures.
    pub(crate) fn add(&mut self, other: &Self) {
        let added = self.urgent.add(&other.urgent);
        added.expect("the histogram grows");
        let added = self.exports.add(&other.exports);
        added.expect("the histogram grows");
        self.failed += other.failed;
        self.refused += other.refused;
        self.probes += other.probes;
        for (calls, more) in self.calls.iter_mut().zip(&other.calls) {
            *calls += more;
        }
    }

    /// Calls of a server as a multiple of its fair share.
    pub(crate) fn share_of(&self, server: usize, servers: usize) -> f64 {
        let sum: u64 = self.calls.iter().sum();
        self.calls[server] as f64 * servers as f64 / sum as f64
    }
}

/// A run of one case.
#[derive(Debug)]
pub(crate) struct Fleet<C> {
    case: FleetCase,
    now: f64,
    agenda: Agenda,
    arrivals: SmallRng,
    gates: Vec<C>,
    live_gates: Vec<bool>,
    servers: Vec<FakeServer>,
    listed: Vec<bool>,
    requests: Vec<Request>,
    attempts: Vec<Attempt>,
    truth: Rc<RefCell<FleetTruth>>,
    result: FleetResult,
}

impl<C: ServerChooser> Fleet<C> {
    /// A fleet whose gates choose by what `make` yields for the truth and a gate's number.
    pub(crate) fn new(
        case: FleetCase,
        make: impl Fn(&Rc<RefCell<FleetTruth>>, usize) -> C,
    ) -> Self {
        let count = case.service.servers + ROUNDS;
        let lag = match case.reports {
            Reports::Aged(millis) => millis as f64,
            Reports::Lying => 0.0,
        };
        let truth = Rc::new(RefCell::new(FleetTruth {
            in_flight: vec![0; count],
            slowness: vec![1.0; count],
            live: vec![true; count],
        }));
        let histogram = || Histogram::new(3).expect("three digits are within the range");
        Self {
            case,
            now: 0.0,
            agenda: Agenda::default(),
            arrivals: SmallRng::seed_from_u64(case.seed),
            gates: (0..case.gates).map(|gate| make(&truth, gate)).collect(),
            live_gates: vec![true; case.gates],
            servers: (0..count)
                .map(|_| FakeServer::new(case.service.slots, lag))
                .collect(),
            listed: (0..count)
                .map(|server| server < case.service.servers)
                .collect(),
            requests: Vec::new(),
            attempts: Vec::new(),
            truth,
            result: FleetResult {
                urgent: histogram(),
                exports: histogram(),
                failed: 0,
                refused: 0,
                calls: vec![0; count],
                probes: 0,
            },
        }
    }

    /// Runs the case.
    pub(crate) fn run(mut self) -> FleetResult {
        self.publish_list();
        fault::plan(&self.case, &mut self.agenda);
        self.agenda.add(0.0, Event::Arrive);
        for gate in 0..self.case.gates {
            let offset = gate as f64 / self.case.gates as f64;
            if self.case.budget > 0.0 {
                let at = self.probe_gap_ms() * offset;
                self.agenda.add(at, Event::Probe { gate });
            }
            if self.case.peer_ms > 0 {
                let at = self.case.peer_ms as f64 * offset;
                self.agenda.add(at, Event::Share { gate });
            }
        }
        // Arrivals, probes and messages end with the run, so the agenda runs dry.
        while let Some((at, event)) = self.agenda.next() {
            self.now = at;
            self.handle(event);
        }
        self.result
    }

    /// Handles one event.
    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Choose { request } => self.choose(request),
            Event::Reach { attempt } => self.reach(attempt),
            Event::End { server, version } => self.end(server, version),
            Event::Back { attempt } => self.back(attempt),
            Event::Lost { attempt } => self.lose(attempt),
            Event::Slow { server, slowness } => self.slow(server, slowness),
            Event::Mode { server, mode } => self.set_mode(server, mode),
            Event::Unlist { server } => self.list(server, false),
            Event::List { server } => self.list(server, true),
            Event::LoseGate { gate } => self.live_gates[gate] = false,
            Event::Probe { gate } => self.probe(gate),
            Event::Share { gate } => self.share(gate),
            Event::Shared { from, to, counts } => {
                let now = self.moment();
                self.gates[to].record_peer_counts(from as u64, &counts, now);
            }
        }
    }

    /// The present moment for choosers.
    fn moment(&self) -> Moment {
        Moment::from_nanos((self.now * 1e6) as u64)
    }

    /// Whether the run still sends.
    fn sending(&self) -> bool {
        self.now < self.case.length_ms()
    }

    /// One-way delay between a gate and a server.
    fn delay_ms(&self, gate: usize, server: usize) -> f64 {
        if gate % DATA_CENTRES == server % DATA_CENTRES {
            self.case.service.near_ms
        } else {
            self.case.service.far_ms
        }
    }

    /// Milliseconds between a gate's paid probes.
    fn probe_gap_ms(&self) -> f64 {
        let service = &self.case.service;
        let server_time = service.servers as f64 * f64::from(service.slots) * self.case.budget;
        service.probe_ms * self.case.gates as f64 / server_time
    }

    /// Gives each gate the servers that are listed.
    fn publish_list(&mut self) {
        let now = self.moment();
        for gate in 0..self.gates.len() {
            let listed = (0..self.listed.len()).filter(|server| self.listed[*server]);
            let specs: Vec<ServerSpec> = listed
                .map(|server| ServerSpec {
                    server: server_id(server),
                    slots: self.case.service.slots,
                    near: gate % DATA_CENTRES == server % DATA_CENTRES,
                })
                .collect();
            self.gates[gate].replace_servers(&specs, now);
        }
    }

    /// Puts a server on the list or takes it off.
    fn list(&mut self, server: usize, listed: bool) {
        self.listed[server] = listed;
        self.publish_list();
    }

    /// Changes a server's speed.
    fn slow(&mut self, server: usize, slowness: f64) {
        self.servers[server].slow_down(slowness, self.now);
        self.truth.borrow_mut().slowness[server] = slowness;
        self.plan_end(server);
    }

    /// Changes a server's mode.
    fn set_mode(&mut self, server: usize, mode: ServerMode) {
        self.servers[server].mode = mode;
        self.servers[server].version += 1;
        self.truth.borrow_mut().live[server] = mode == ServerMode::Live;
        if mode == ServerMode::Dead {
            self.lose_all(server);
        } else {
            self.plan_end(server);
        }
    }

    /// Notes the next end of a request at a server.
    fn plan_end(&mut self, server: usize) {
        let version = self.servers[server].version;
        if let Some(at) = self.servers[server].next_end() {
            let at = at.max(self.now);
            self.agenda.add(at, Event::End { server, version });
        }
    }

    /// Takes in the next request and notes the one after it.
    fn arrive(&mut self) {
        let gap = -(1.0 - self.arrivals.random::<f64>()).ln() / self.case.rate();
        let export = self.arrivals.random::<f64>() < self.case.export_chance();
        let class = if export {
            RequestClass::Export
        } else {
            RequestClass::Urgent
        };
        let mean = self.case.mean_work(class);
        let mu = mean.ln() - WORK_SIGMA * WORK_SIGMA / 2.0;
        let works = LogNormal::new(mu, WORK_SIGMA).expect("the spread is finite");
        let work = works.sample(&mut self.arrivals);
        let gate = self.arrivals.random_range(0..self.case.gates);
        let request = self.requests.len();
        self.requests.push(Request {
            arrived: self.now,
            gate: self.live_gate(gate),
            class,
            work,
            tried: Vec::new(),
        });
        self.choose(request);
        if self.sending() {
            self.agenda.add(self.now + gap, Event::Arrive);
        }
    }

    /// The gate itself, or the next that is live.
    fn live_gate(&self, gate: usize) -> usize {
        let count = self.gates.len();
        (0..count)
            .map(|step| (gate + step) % count)
            .find(|&gate| self.live_gates[gate])
            .expect("a gate lives")
    }

    /// Looks for a server for a request.
    fn choose(&mut self, index: usize) {
        let now = self.moment();
        let request = &self.requests[index];
        let waited = self.now - request.arrived;
        if waited > DEADLINE_MS {
            self.fail(index);
            return;
        }
        let gate = request.gate;
        let asked = ChoiceRequest {
            class: request.class,
            tried: &request.tried,
            deadline: now + Duration::from_secs_f64((DEADLINE_MS - waited) / MILLIS),
        };
        let retry_after = match self.gates[gate].choose(&asked, now) {
            Ok(handle) => {
                self.send(Some(index), gate, handle);
                return;
            }
            Err(ChoiceRefusal::NoServer) => Duration::from_millis(10),
            Err(ChoiceRefusal::NoCapacity { retry_after }) => retry_after,
        };
        self.result.refused += 1;
        let at = self.now + retry_after.as_secs_f64() * MILLIS;
        self.agenda.add(at, Event::Choose { request: index });
    }

    /// Sends an attempt or a probe.
    fn send(&mut self, request: Option<usize>, gate: usize, handle: ServerHandle) {
        let id = self.gates[gate]
            .server(handle)
            .expect("the handle is known");
        let server = usize::from(id.address.port());
        if request.is_some() && self.now >= fault::onset_ms(&self.case) {
            self.result.calls[server] += 1;
        }
        self.truth.borrow_mut().in_flight[server] += 1;
        let attempt = self.attempts.len();
        self.attempts.push(Attempt {
            request,
            gate,
            handle,
            server,
            started: self.now,
            outcome: AttemptOutcome::Answered,
            report: None,
        });
        let at = self.now + self.delay_ms(gate, server);
        self.agenda.add(at, Event::Reach { attempt });
    }

    /// Takes an attempt to its server.
    fn reach(&mut self, index: usize) {
        let attempt = &mut self.attempts[index];
        let server = attempt.server;
        match self.servers[server].mode {
            ServerMode::Live => {
                let work = attempt
                    .request
                    .map_or(self.case.service.probe_ms, |request| {
                        self.requests[request].work
                    });
                let job = Job {
                    attempt: index,
                    work,
                };
                self.servers[server].push(job, self.now);
                self.plan_end(server);
            }
            ServerMode::Draining | ServerMode::FailFast => {
                attempt.outcome = AttemptOutcome::Failed;
                let lies = self.servers[server].mode == ServerMode::FailFast;
                let report = self.servers[server].report(self.now);
                attempt.report = Some(if lies { LoadReport::default() } else { report });
                let at = self.now + REFUSAL_MS + self.delay_ms(self.attempts[index].gate, server);
                self.agenda.add(at, Event::Back { attempt: index });
            }
            ServerMode::Dead => {
                let at = self.now + PATH_TIMEOUT_MS;
                self.agenda.add(at, Event::Lost { attempt: index });
            }
        }
    }

    /// Ends a request at a server.
    fn end(&mut self, server: usize, version: u64) {
        if self.servers[server].version != version {
            return;
        }
        let lies = self.case.reports == Reports::Lying && server.is_multiple_of(3);
        let report = self.servers[server].report(self.now);
        let job = self.servers[server].pop(self.now);
        let attempt = &mut self.attempts[job.attempt];
        attempt.report = Some(if lies { LoadReport::default() } else { report });
        let at = self.now + self.delay_ms(self.attempts[job.attempt].gate, server);
        self.agenda.add(
            at,
            Event::Back {
                attempt: job.attempt,
            },
        );
        self.plan_end(server);
    }

    /// Loses all requests at a server.
    fn lose_all(&mut self, server: usize) {
        while self.servers[server].next_end().is_some() {
            let job = self.servers[server].pop(self.now);
            let at = self.now + PATH_TIMEOUT_MS;
            self.agenda.add(
                at,
                Event::Lost {
                    attempt: job.attempt,
                },
            );
        }
    }

    /// Finds that an attempt is lost.
    fn lose(&mut self, index: usize) {
        self.attempts[index].outcome = AttemptOutcome::PathLost;
        self.back(index);
    }

    /// Takes an attempt back to its gate.
    fn back(&mut self, index: usize) {
        let now = self.moment();
        let attempt = &self.attempts[index];
        let (gate, handle, outcome) = (attempt.gate, attempt.handle, attempt.outcome);
        self.truth.borrow_mut().in_flight[attempt.server] -= 1;
        if let Some(report) = attempt.report {
            self.gates[gate].record_report(handle, report, now);
        }
        let Some(request) = attempt.request else {
            return;
        };
        let end = AttemptEnd {
            handle,
            class: self.requests[request].class,
            outcome,
            elapsed: Duration::from_secs_f64((self.now - attempt.started) / MILLIS),
        };
        self.gates[gate].finish(&end, now);
        if !self.live_gates[gate] {
            return;
        }
        if outcome == AttemptOutcome::Answered {
            self.record(request, self.now - self.requests[request].arrived);
            return;
        }
        self.requests[request].tried.push(handle);
        if self.requests[request].tried.len() < ATTEMPTS {
            self.choose(request);
        } else {
            self.fail(request);
        }
    }

    /// Gives a request up.
    fn fail(&mut self, request: usize) {
        self.result.failed += 1;
        self.record(request, FAILED_MS);
    }

    /// Records an answer time in milliseconds.
    fn record(&mut self, request: usize, millis: f64) {
        let request = &self.requests[request];
        if request.arrived < self.case.length_ms() * WARM_UP {
            return;
        }
        let histogram = match request.class {
            RequestClass::Export => &mut self.result.exports,
            RequestClass::Urgent | RequestClass::Standard => &mut self.result.urgent,
        };
        let recorded = histogram.record((millis * MILLIS) as u64);
        recorded.expect("the histogram grows");
    }

    /// Sends a paid probe and notes the next.
    fn probe(&mut self, gate: usize) {
        if !self.sending() || !self.live_gates[gate] {
            return;
        }
        let now = self.moment();
        if let Some(handle) = self.gates[gate].probe_candidate(now) {
            self.result.probes += 1;
            self.send(None, gate, handle);
        }
        let at = self.now + self.probe_gap_ms();
        self.agenda.add(at, Event::Probe { gate });
    }

    /// Sends a gate's in-flight counts to the others.
    fn share(&mut self, gate: usize) {
        if !self.sending() || !self.live_gates[gate] {
            return;
        }
        let mut counts = Vec::new();
        self.gates[gate].own_counts(&mut counts);
        for to in (0..self.gates.len()).filter(|&to| to != gate) {
            let at = self.now + self.case.service.far_ms;
            let counts = counts.clone();
            self.agenda.add(
                at,
                Event::Shared {
                    from: gate,
                    to,
                    counts,
                },
            );
        }
        let at = self.now + self.case.peer_ms as f64;
        self.agenda.add(at, Event::Share { gate });
    }
}

/// Identity of a server by its number.
fn server_id(number: usize) -> ServerId {
    ServerId {
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, number as u16)),
        incarnation: Incarnation(number as u64),
    }
}
