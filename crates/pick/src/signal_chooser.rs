//! The default policy: least expected answer time, from all load signals weighted by age.
//!
//! The expected answer time of a server grows with its in-flight attempts (those of this gate,
//! known exactly, and those of other gates, from load reports and peer counts) and with its
//! slowdown (from past answers, and from overdue ones). A choice scores every server of the
//! service: that costs some nanoseconds for each, while power of two choices would ignore most of
//! what the gate knows.

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

/// Service time that is assumed before the first answer.
const INITIAL_SERVICE_TIME_SECONDS: f64 = 0.01;

/// Window of the moving average of the service time.
const SERVICE_TIME_WINDOW_SAMPLES: u32 = 512;

/// Answers after which the mean service time is reliable enough to refuse requests.
const SERVICE_TIME_MIN_SAMPLES: u32 = 64;

/// Largest sample of the service time as a multiple of the mean; limits the effect of outliers.
const SERVICE_TIME_CLIP_RATIO: f64 = 2.0;

/// An answer counts as a sample of the service time only if its expected answer time was at most
/// this many mean service times; a longer one says more about the queue.
const SHORT_QUEUE_SERVICE_TIMES: f64 = 2.0;

/// Window of the moving average of the in-flight attempts of other gates.
const PEER_IN_FLIGHT_WINDOW_REPORTS: u32 = 512;

/// Window of the moving average of the trust over all servers.
const SERVICE_TRUST_WINDOW_REPORTS: u32 = 4_096;

/// Number of uncontradicted reports that the trust over all servers starts with.
const SERVICE_TRUST_PRIOR_REPORTS: f64 = 64.0;

/// Slowdown sample for a failed attempt.
const FAILURE_SLOWDOWN: f64 = 10.0;

/// Range of the export limit, the most in-flight attempts at a server that still admits an export.
const EXPORT_LIMIT_RANGE_ATTEMPTS: (f64, f64) = (0.5, 1.5);

/// Increase of the export limit after a refused export.
const EXPORT_LIMIT_INCREASE_ATTEMPTS: f64 = 0.0015;

/// Decrease of the export limit after an admitted export.
const EXPORT_LIMIT_DECREASE_ATTEMPTS: f64 = 0.05;

/// Largest fraction by which random jitter raises a score, to spread load over similar servers.
const MAX_SCORE_JITTER: f64 = 0.05;

/// Time since the last choice after which a request is not refused for a late expected answer, so
/// that outdated estimates cannot cause refusals for longer.
const MAX_REFUSAL_TIME: Duration = Duration::from_millis(100);

/// Shortest time after which a caller may retry.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(2);

/// Longest time after which a caller may retry.
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

/// A server by its index, with its score.
#[derive(Clone, Copy, Debug)]
struct ScoredServer {
    index: usize,
    score: f64,
    jittered_score: f64,
}

impl SignalChooser {
    /// A builder with the default options.
    pub fn builder() -> ChooserBuilder {
        ChooserBuilder::default()
    }

    /// A chooser without servers.
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

    /// Changes the largest percentage of the listed servers that may be ejected at once.
    ///
    /// Servers already ejected beyond a lower cap stay ejected until the next `replace_servers`.
    pub const fn set_eject_percent(&mut self, percent: u32) {
        self.options.eject_percent = percent;
    }

    /// Whether more than half of the servers fail at once, so that this gate is the likely cause;
    /// it then ejects no more servers.
    pub fn is_gate_suspect(&self, now: Moment) -> bool {
        self.health_counts(now).is_gate_suspect()
    }

    /// Number of listed servers that are ejected.
    pub fn ejected(&self, now: Moment) -> usize {
        self.health_counts(now).ejected
    }

    /// Counts the listed servers by health.
    fn health_counts(&self, now: Moment) -> HealthCounts {
        let listed = self.servers.entries().iter().filter(|entry| entry.listed);
        HealthCounts::collect(listed.map(|entry| &entry.value.health), now)
    }

    /// Ends ejections beyond the cap, which falls when the list becomes shorter.
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

    /// Inputs for scoring all servers at `now` for a request of `class`.
    fn context(&self, class: RequestClass, now: Moment) -> ScoreContext {
        let average = &self.averages.service_times[class as usize];
        let service_time = if average.sample_count() == 0 {
            INITIAL_SERVICE_TIME_SECONDS
        } else {
            average.value()
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

    /// The listed server with the lowest jittered score among those that are eligible.
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

    /// The best server that is neither ejected nor tried; else one that was tried; else any,
    /// ejected or not.
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

    /// Adjusts the limit of in-flight attempts up to which a server admits an export.
    ///
    /// An export on an idle server with three slots leaves two of them to urgent reads, but an
    /// export that waits for an idle server may stall. No fixed limit serves both: the strictest
    /// stalled exports at 95% load, and the loosest raised the p99 of urgent reads by up to two
    /// fifths at 85%.
    fn adjust_export_limit(&mut self, admitted: bool) {
        let (least, greatest) = EXPORT_LIMIT_RANGE_ATTEMPTS;
        let step = if admitted {
            -EXPORT_LIMIT_DECREASE_ATTEMPTS
        } else {
            EXPORT_LIMIT_INCREASE_ATTEMPTS
        };
        self.export_limit = (self.export_limit + step).clamp(least, greatest);
    }

    /// The refusal when no server can take a request.
    fn refusal(&self, context: &ScoreContext) -> ChoiceRefusal {
        if self.servers.listed_count() == 0 {
            return ChoiceRefusal::NoServer;
        }
        ChoiceRefusal::NoCapacity {
            retry_after: retry_after(context.service_time),
        }
    }

    /// Time after which to retry if `best` is expected to answer after the deadline.
    ///
    /// Returns `None` also while there are too few samples or the last choice is too long ago; a
    /// deadline in the past is always refused.
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
        let left_seconds = seconds(request.deadline.since(now)) * deadline_share(request.class);
        let expected_seconds = best.score * context.service_time;
        let late =
            expected_seconds > left_seconds && recent && sample_count >= SERVICE_TIME_MIN_SAMPLES;
        late.then(|| retry_after(expected_seconds - left_seconds))
    }

    /// Counts an attempt as in flight on the server at `index`.
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
                expected: signals.expected_answer_time(in_flight),
            });
        }
        self.servers.start(index)
    }

    /// Records the time of a complete answer, or a failure, in the server's slowdown and the
    /// averages.
    fn record_outcome(&mut self, end: &AttemptEnd, now: Moment) {
        let context = self.context(end.class, now);
        let average = self.averages.service_times[end.class as usize];
        let Some(entry) = self.servers.get_mut(end.handle) else {
            return;
        };
        let remaining = entry.in_flight.saturating_sub(entry.value.exports) as usize;
        let attempt = entry.value.tracker.end(end.elapsed, now, remaining);
        let elapsed = seconds(end.elapsed);
        let expected = attempt.map(|attempt| attempt.expected);
        match (end.outcome, expected) {
            (AttemptOutcome::Answered, Some(expected)) => {
                let slowdown = entry.value.answer_slowdown(&context);
                let ratio = elapsed / (context.service_time * expected);
                entry.value.record_slowdown(ratio, &context);
                if expected <= SHORT_QUEUE_SERVICE_TIMES
                    || average.sample_count() < SERVICE_TIME_MIN_SAMPLES
                {
                    self.record_service_time(end.class, elapsed / (expected * slowdown));
                }
            }
            (AttemptOutcome::Failed, _) => entry.value.record_slowdown(FAILURE_SLOWDOWN, &context),
            _ => {}
        }
    }

    /// Adds a service time in seconds to the average of its class.
    fn record_service_time(&mut self, class: RequestClass, sample: f64) {
        let average = &mut self.averages.service_times[class as usize];
        let clip = if average.sample_count() < SERVICE_TIME_MIN_SAMPLES {
            f64::MAX
        } else {
            average.value() * SERVICE_TIME_CLIP_RATIO
        };
        average.add(sample.min(clip), SERVICE_TIME_WINDOW_SAMPLES);
    }

    /// Records the outcome of an attempt in the server's health, and ejects the server if due.
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

/// Whether a server with at most `limit` attempts can take an export and keep a slot for urgent
/// reads.
fn admits_export(entry: &TableEntry<ServerSignals>, context: &ScoreContext, limit: f64) -> bool {
    let signals = &entry.value;
    let reserved = if signals.slots > 1.0 { 1.0 } else { 0.0 };
    let in_flight = f64::from(entry.in_flight) + signals.peer_in_flight(context);
    f64::from(signals.exports) + 1.0 <= signals.slots - reserved && in_flight <= limit
}

/// Share of the time left until the deadline that an expected answer may take, by class; less
/// urgent classes are refused earlier, which leaves capacity to more urgent ones.
const fn deadline_share(class: RequestClass) -> f64 {
    match class {
        RequestClass::Urgent => 1.0,
        RequestClass::Standard => 0.8,
        RequestClass::Export => 0.5,
    }
}

/// Time after which to retry, from the expected wait in seconds.
fn retry_after(expected_wait: f64) -> Duration {
    Duration::from_secs_f64(expected_wait.clamp(0.0, 1.0)).clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
}

impl ServerChooser for SignalChooser {
    fn replace_servers(&mut self, specs: &[ServerSpec], now: Moment) {
        // Without slow start if the list was empty: the servers are then equally new to this gate,
        // and a service that had lost all its servers serves at full capacity at once.
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
        let peer_in_flight = entry.value.record_report(entry.in_flight, report, now);
        let reported = report.in_flight.saturating_add(report.queued);
        self.averages
            .trust
            .add(arrived, reported, SERVICE_TRUST_WINDOW_REPORTS);
        self.averages
            .peer_in_flight
            .add(peer_in_flight, PEER_IN_FLIGHT_WINDOW_REPORTS);
    }

    fn record_peer_counts(&mut self, gate: u64, counts: &[(ServerId, u32)], now: Moment) {
        self.peers.update(gate, counts, now);
        for entry in self.servers.entries_mut() {
            entry.value.counted_peer_in_flight = None;
        }
        for (server, count) in self.peers.counts() {
            if let Some(index) = self.servers.index_of(server) {
                let peer_in_flight = &mut self.servers.entries_mut()[index]
                    .value
                    .counted_peer_in_flight;
                *peer_in_flight = Some(peer_in_flight.unwrap_or(0.0) + f64::from(count));
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
        let entries = self.servers.entries().iter().enumerate();
        let (index, _) =
            entries
                .filter(|(_, entry)| entry.listed)
                .max_by(|(_, left), (_, right)| {
                    let probe_value =
                        |entry: &TableEntry<ServerSignals>| entry.value.probe_value(&context);
                    probe_value(left).total_cmp(&probe_value(right))
                })?;
        Some(self.servers.handle_at(index))
    }
}
