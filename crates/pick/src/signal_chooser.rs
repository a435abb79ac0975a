//! The policy: least expected answer time from all signals, each by its age.
//!
//! The expected answer time of a server grows with the attempts at it (this gate's, exactly; those of
//! other gates from reports and counts) and with its slowness (from answers, and from those that are
//! overdue). A choice looks at every server of the service: that costs some nanoseconds for each, and
//! sampling two would give away most of what the gate knows.

use std::time::Duration;

use ggs_model::{LoadReport, Moment, RequestClass, ServerId};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::attempts::InFlightAttempt;
use crate::health::HealthCounts;
use crate::peers::PeerTable;
use crate::samples::seconds;
use crate::signal::{ScoreContext, ServerSignals, ServiceAverages};
use crate::table::{ServerTable, TableEntry};
use crate::{
    AttemptEnd, AttemptOutcome, ChoiceRefusal, ChoiceRequest, ChooserBuilder, ServerChooser,
    ServerHandle, ServerSpec,
};

/// Mean service time in seconds before any answer.
const INITIAL_SERVICE_TIME_SECONDS: f64 = 0.01;

/// Answers that the mean service time remembers.
const SERVICE_TIME_WINDOW_SAMPLES: u32 = 512;

/// Answers after which the mean service time is good enough to refuse by.
const SERVICE_TIME_MIN_SAMPLES: u32 = 64;

/// Largest ratio by which one answer moves the mean service time.
const SERVICE_TIME_CLIP_RATIO: f64 = 2.0;

/// Expected answer time, in mean service times, up to which an answer tells the mean service time; a
/// longer one tells more of the queue.
const SHORT_QUEUE_SERVICE_TIMES: f64 = 2.0;

/// Reports that the usual load of a server remembers.
const PEER_IN_FLIGHT_WINDOW_REPORTS: u32 = 512;

/// Reports that the trust over all servers remembers.
const SERVICE_TRUST_WINDOW_REPORTS: u32 = 4_096;

/// Uncontradicted reports with which the trust over all servers starts.
const SERVICE_TRUST_PRIOR_REPORTS: f64 = 64.0;

/// Slowness that a failed attempt counts as.
const FAILURE_SLOWDOWN: f64 = 10.0;

/// Least and greatest load of a server that takes an export.
const EXPORT_LIMIT_RANGE_ATTEMPTS: (f64, f64) = (0.5, 1.5);

/// Load by which a refused export raises the load at which the next one is taken.
const EXPORT_LIMIT_INCREASE_ATTEMPTS: f64 = 0.0015;

/// Load by which a taken export lowers the load at which the next one is taken.
const EXPORT_LIMIT_DECREASE_ATTEMPTS: f64 = 0.05;

/// Spread of scores within which the generator decides.
const MAX_SCORE_JITTER: f64 = 0.05;

/// Longest time without a choice, so that a refusal cannot last on old figures.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(100);

/// Shortest and longest time after which to ask again.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(2);
const RETRY_AFTER_MAX: Duration = Duration::from_secs(1);

/// Chooses the server with the least expected answer time.
#[derive(Clone, Debug)]
pub struct SignalChooser {
    options: ChooserBuilder,
    servers: ServerTable<ServerSignals>,
    averages: ServiceAverages,
    peers: PeerTable,
    rng: SmallRng,
    last_choice: Option<Moment>,
    export_limit: f64,
}

/// A server and its score.
#[derive(Clone, Copy, Debug)]
struct ScoredServer {
    index: usize,
    score: f64,
    jittered_score: f64,
}

impl SignalChooser {
    /// Options with their defaults.
    pub fn builder() -> ChooserBuilder {
        ChooserBuilder::default()
    }

    /// A chooser with options that knows no server.
    pub(crate) fn new(options: ChooserBuilder) -> Self {
        Self {
            options,
            servers: ServerTable::default(),
            averages: ServiceAverages::default(),
            peers: PeerTable::default(),
            rng: SmallRng::seed_from_u64(options.seed),
            last_choice: None,
            export_limit: EXPORT_LIMIT_RANGE_ATTEMPTS.0,
        }
    }

    /// Changes the servers that may be ejected at once, as a percentage of those that may be chosen.
    /// A lower cap holds for servers ejected before from the next list of servers on.
    pub const fn set_eject_percent(&mut self, percent: u32) {
        self.options.eject_percent = percent;
    }

    /// Whether so many servers are in trouble at once that this gate is the likely cause; it then
    /// ejects none.
    pub fn is_gate_suspect(&self, now: Moment) -> bool {
        self.health_counts(now).is_gate_suspect()
    }

    /// Number of servers that are ejected.
    pub fn ejected(&self, now: Moment) -> usize {
        self.health_counts(now).ejected
    }

    /// Counts the servers by their health.
    fn health_counts(&self, now: Moment) -> HealthCounts {
        let listed = self.servers.entries().iter().filter(|entry| entry.listed);
        HealthCounts::collect(listed.map(|entry| &entry.value.health), now)
    }

    /// Takes back ejected servers beyond the cap, which a shorter list makes smaller.
    fn end_excess_ejections(&mut self, now: Moment) {
        let excess = self.health_counts(now).excess(self.options.eject_percent);
        let ejected = |entry: &&mut TableEntry<ServerSignals>| {
            entry.listed && entry.value.health.is_ejected(now)
        };
        let entries = self.servers.entries_mut().iter_mut();
        for entry in entries.filter(ejected).take(excess) {
            entry.value.health.end_ejection(now);
        }
    }

    /// What holds for all servers at `now` for requests of `class`.
    fn context(&self, class: RequestClass, now: Moment) -> ScoreContext {
        let mean = &self.averages.service_times[class as usize];
        let service_time = if mean.sample_count() == 0 {
            INITIAL_SERVICE_TIME_SECONDS
        } else {
            mean.value()
        };
        ScoreContext {
            now,
            mean_peer_in_flight: self.averages.peer_in_flight.value(),
            service_time,
            contradicted_share: self
                .averages
                .trust
                .contradicted_share(0.0, SERVICE_TRUST_PRIOR_REPORTS),
            peer_counts_at: self.peers.mean_received_at(),
            report_half_life: seconds(self.options.report_half_life),
            peer_counts_half_life: seconds(self.options.peer_counts_half_life),
            slowdown_half_life: seconds(self.options.slowdown_half_life),
            slow_start_window: seconds(self.options.slow_start_window),
            cross_data_centre_delay: seconds(self.options.cross_data_centre_delay),
        }
    }

    /// The server with the least expected answer time among those that `admits` lets through.
    fn best(
        &mut self,
        context: &ScoreContext,
        is_eligible: impl Fn(usize, &TableEntry<ServerSignals>) -> bool,
    ) -> Option<ScoredServer> {
        let mut best: Option<ScoredServer> = None;
        for (index, entry) in self.servers.entries().iter().enumerate() {
            if !entry.listed || !is_eligible(index, entry) {
                continue;
            }
            let score = entry.value.score(f64::from(entry.in_flight), context);
            let jittered_score = score * (1.0 + MAX_SCORE_JITTER * self.rng.random::<f64>());
            if best.is_none_or(|best| jittered_score < best.jittered_score) {
                best = Some(ScoredServer {
                    index,
                    score,
                    jittered_score,
                });
            }
        }
        best
    }

    /// The best server that is neither ejected nor tried; else one that was tried; else an ejected one.
    fn best_for(
        &mut self,
        request: &ChoiceRequest<'_>,
        context: &ScoreContext,
    ) -> Result<ScoredServer, ChoiceRefusal> {
        let export = request.class == RequestClass::Export;
        let export_limit = self.export_limit;
        let admits = |entry: &TableEntry<ServerSignals>| {
            !export || admits_export(entry, context, export_limit)
        };
        let healthy =
            |entry: &TableEntry<ServerSignals>| !entry.value.health.is_ejected(context.now);
        self.best(context, |index, entry| {
            healthy(entry) && !request.has_tried(index) && admits(entry)
        })
        .or_else(|| self.best(context, |_, entry| healthy(entry) && admits(entry)))
        .or_else(|| self.best(context, |_, entry| admits(entry)))
        .ok_or_else(|| self.refusal(context))
    }

    /// Moves the load at which a server takes an export.
    ///
    /// An export that finds an idle server leaves two of three slots to urgent reads; one that never
    /// finds it stalls. Both fixed limits were tried: the strict one stalled exports at 95% load, the
    /// loose one cost urgent reads up to two fifths of their p99 at 85%.
    fn adjust_export_limit(&mut self, taken: bool) {
        let (least, greatest) = EXPORT_LIMIT_RANGE_ATTEMPTS;
        let step = if taken {
            -EXPORT_LIMIT_DECREASE_ATTEMPTS
        } else {
            EXPORT_LIMIT_INCREASE_ATTEMPTS
        };
        self.export_limit = (self.export_limit + step).clamp(least, greatest);
    }

    /// Why no server takes a request.
    fn refusal(&self, context: &ScoreContext) -> ChoiceRefusal {
        if self.servers.listed_count() == 0 {
            return ChoiceRefusal::NoServer;
        }
        ChoiceRefusal::NoCapacity {
            retry_after: retry_after(context.service_time),
        }
    }

    /// Whether `best` is expected to answer after the deadline, by figures that can be relied on.
    fn retry_after_if_late(
        &self,
        best: &ScoredServer,
        request: &ChoiceRequest<'_>,
        context: &ScoreContext,
    ) -> Option<Duration> {
        let now = context.now;
        if request.deadline <= now {
            return Some(retry_after(context.service_time));
        }
        let recent = self
            .last_choice
            .is_some_and(|last| now.since(last) < MAX_REFUSAL_TIME);
        let sample_count = self.averages.service_times[request.class as usize].sample_count();
        let left = seconds(request.deadline.since(now)) * deadline_share(request.class);
        let expected = best.score * context.service_time;
        let late = expected > left && recent && sample_count >= SERVICE_TIME_MIN_SAMPLES;
        late.then(|| retry_after(expected - left))
    }

    /// Counts an attempt as started at a position.
    fn start_at(
        &mut self,
        index: usize,
        class: RequestClass,
        context: &ScoreContext,
    ) -> ServerHandle {
        let entry = &mut self.servers.entries_mut()[index];
        let signals = &mut entry.value;
        if class == RequestClass::Export {
            signals.exports += 1;
        } else {
            let in_flight = f64::from(entry.in_flight) + signals.peer_in_flight(context);
            signals.tracker.start(InFlightAttempt {
                started: context.now,
                expected: signals.expected(in_flight),
            });
        }
        self.servers.start(index)
    }

    /// Takes the elapsed time of a whole answer into the means and the server's slowness.
    fn record_outcome(&mut self, end: &AttemptEnd, now: Moment) {
        let context = self.context(end.class, now);
        let mean = self.averages.service_times[end.class as usize];
        let Some(entry) = self.servers.get_mut(end.handle) else {
            return;
        };
        let others = entry.in_flight.saturating_sub(entry.value.exports) as usize;
        let attempt = entry.value.tracker.end(end.elapsed, now, others);
        let elapsed = seconds(end.elapsed);
        let expected = attempt.map(|attempt| attempt.expected);
        match (end.outcome, expected) {
            (AttemptOutcome::Answered, Some(expected)) => {
                let slowdown = entry.value.answer_slowdown(&context);
                let ratio = elapsed / (context.service_time * expected);
                entry.value.record_slowdown(ratio, &context);
                if expected <= SHORT_QUEUE_SERVICE_TIMES
                    || mean.sample_count() < SERVICE_TIME_MIN_SAMPLES
                {
                    self.record_service_time(end.class, elapsed / (expected * slowdown));
                }
            }
            (AttemptOutcome::Failed, _) => entry.value.record_slowdown(FAILURE_SLOWDOWN, &context),
            _ => {}
        }
    }

    /// Takes a service time in seconds into the mean of its class.
    fn record_service_time(&mut self, class: RequestClass, sample: f64) {
        let mean = &mut self.averages.service_times[class as usize];
        let clip = if mean.sample_count() < SERVICE_TIME_MIN_SAMPLES {
            f64::MAX
        } else {
            mean.value() * SERVICE_TIME_CLIP_RATIO
        };
        mean.add(sample.min(clip), SERVICE_TIME_WINDOW_SAMPLES);
    }

    /// Takes the outcome of an attempt into the server's health.
    fn update_health(&mut self, end: &AttemptEnd, now: Moment) {
        let Some(entry) = self.servers.get_mut(end.handle) else {
            return;
        };
        let health = &mut entry.value.health;
        let should_eject = match end.outcome {
            AttemptOutcome::Answered => {
                health.answered();
                false
            }
            AttemptOutcome::Failed => health.failed(now),
            AttemptOutcome::PathLost => health.path_lost(now),
            AttemptOutcome::Abandoned => false,
        };
        if !should_eject
            || !self
                .health_counts(now)
                .may_eject(self.options.eject_percent)
        {
            return;
        }
        if let Some(entry) = self.servers.get_mut(end.handle) {
            entry.value.health.eject(now);
        }
    }
}

/// Whether a server with at most `load` attempts may take an export and keep a slot for urgent reads.
fn admits_export(entry: &TableEntry<ServerSignals>, context: &ScoreContext, load: f64) -> bool {
    let signals = &entry.value;
    let reserved = if signals.slots > 1.0 { 1.0 } else { 0.0 };
    let in_flight = f64::from(entry.in_flight) + signals.peer_in_flight(context);
    f64::from(signals.exports) + 1.0 <= signals.slots - reserved && in_flight <= load
}

/// Share of the time left that a class may count on; the rest is left to more urgent ones.
const fn deadline_share(class: RequestClass) -> f64 {
    match class {
        RequestClass::Urgent => 1.0,
        RequestClass::Standard => 0.8,
        RequestClass::Export => 0.5,
    }
}

/// A time after which to ask again.
fn retry_after(expected_wait: f64) -> Duration {
    Duration::from_secs_f64(expected_wait.clamp(0.0, 1.0)).clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
}

impl ServerChooser for SignalChooser {
    fn replace_servers(&mut self, specs: &[ServerSpec], now: Moment) {
        // Servers of the first list are all as new to this gate, so none of them ramps up.
        let slow_start_at = (self.servers.listed_count() > 0).then_some(now);
        self.servers.replace(specs, |spec, old| match old {
            Some(signals) => signals.returned(slow_start_at),
            None => ServerSignals::new(spec, slow_start_at),
        });
        for spec in specs {
            if let Some(index) = self.servers.index_of(spec.server) {
                self.servers.entries_mut()[index].value.apply_spec(spec);
            }
        }
        self.end_excess_ejections(now);
    }

    fn choose(
        &mut self,
        request: &ChoiceRequest<'_>,
        now: Moment,
    ) -> Result<ServerHandle, ChoiceRefusal> {
        let context = self.context(request.class, now);
        let found = self.best_for(request, &context);
        if request.class == RequestClass::Export {
            self.adjust_export_limit(found.is_ok());
        }
        let best = found?;
        if let Some(retry_after) = self.retry_after_if_late(&best, request, &context) {
            return Err(ChoiceRefusal::NoCapacity { retry_after });
        }
        self.last_choice = Some(now);
        Ok(self.start_at(best.index, request.class, &context))
    }

    fn start_on(&mut self, handle: ServerHandle, class: RequestClass, now: Moment) -> bool {
        let listed = self.servers.get(handle).is_some_and(|entry| entry.listed);
        if listed {
            let context = self.context(class, now);
            self.start_at(handle.index as usize, class, &context);
        }
        listed
    }

    fn finish(&mut self, end: &AttemptEnd, now: Moment) {
        let Some(entry) = self.servers.end(end.handle) else {
            return;
        };
        if end.class == RequestClass::Export {
            entry.value.exports = entry.value.exports.saturating_sub(1);
        } else {
            self.record_outcome(end, now);
        }
        self.update_health(end, now);
    }

    fn record_report(&mut self, handle: ServerHandle, report: LoadReport, now: Moment) {
        let Some(entry) = self.servers.get_mut(handle) else {
            return;
        };
        let arrived = entry.value.tracker.arrived(now);
        let others = entry.value.record_report(entry.in_flight, report, now);
        let reported = report.in_flight.saturating_add(report.queued);
        self.averages
            .trust
            .add(arrived, reported, SERVICE_TRUST_WINDOW_REPORTS);
        self.averages
            .peer_in_flight
            .add(others, PEER_IN_FLIGHT_WINDOW_REPORTS);
    }

    fn record_peer_counts(&mut self, gate: u64, counts: &[(ServerId, u32)], now: Moment) {
        self.peers.update(gate, counts, now);
        for entry in self.servers.entries_mut() {
            entry.value.counted_peer_in_flight = None;
        }
        for (server, count) in self.peers.counts() {
            if let Some(index) = self.servers.index_of(server) {
                let others = &mut self.servers.entries_mut()[index]
                    .value
                    .counted_peer_in_flight;
                *others = Some(others.unwrap_or(0.0) + f64::from(count));
            }
        }
    }

    fn own_counts(&self, counts: &mut Vec<(ServerId, u32)>) {
        self.servers.counts(counts);
    }

    fn server(&self, handle: ServerHandle) -> Option<ServerId> {
        self.servers.get(handle).map(|entry| entry.server)
    }

    fn handle_of(&self, server: ServerId) -> Option<ServerHandle> {
        self.servers.listed_handle(server)
    }

    fn probe_candidate(&self, now: Moment) -> Option<ServerHandle> {
        let context = self.context(RequestClass::Urgent, now);
        let listed = self.servers.entries().iter().enumerate();
        let (index, _) =
            listed
                .filter(|(_, entry)| entry.listed)
                .max_by(|(_, left), (_, right)| {
                    let probe_value =
                        |entry: &TableEntry<ServerSignals>| entry.value.probe_value(&context);
                    probe_value(left).total_cmp(&probe_value(right))
                })?;
        Some(self.servers.handle_at(index))
    }
}
