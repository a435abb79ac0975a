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

use crate::attempts::OpenAttempt;
use crate::figure::seconds;
use crate::health::HealthCensus;
use crate::peers::PeerTable;
use crate::signal::{ServerSignals, ServiceMeans, ServiceView};
use crate::table::{ServerTable, TableEntry};
use crate::{
    AttemptEnd, AttemptOutcome, ChoiceRefusal, ChoiceRequest, ChooserBuilder, ServerChooser,
    ServerSeed, ServerSlot,
};

/// Mean service time in seconds before any answer.
const FIRST_SERVICE_TIME: f64 = 0.01;

/// Answers that the mean service time remembers.
const SERVICE_TIME_MEMORY: u32 = 512;

/// Answers after which the mean service time is good enough to refuse by.
const SERVICE_TIME_NEEDED: u32 = 64;

/// Largest ratio by which one answer moves the mean service time.
const SERVICE_TIME_CLIP: f64 = 2.0;

/// Expected answer time, in mean service times, up to which an answer tells the mean service time; a
/// longer one tells more of the queue.
const SHORT_QUEUE: f64 = 2.0;

/// Reports that the usual load of a server remembers.
const USUAL_MEMORY: u32 = 512;

/// Reports that the trust over all servers remembers.
const SERVICE_TRUST_MEMORY: u32 = 4_096;

/// Uncontradicted reports with which the trust over all servers starts.
const SERVICE_TRUST_PRIOR: f64 = 64.0;

/// Slowness that a failed attempt counts as.
const FAILURE_SLOWNESS: f64 = 10.0;

/// Least and greatest load of a server that takes an export.
const EXPORT_LOADS: (f64, f64) = (0.5, 1.5);

/// Load by which a refused export raises the load at which the next one is taken.
const EXPORT_RISE: f64 = 0.0015;

/// Load by which a taken export lowers the load at which the next one is taken.
const EXPORT_FALL: f64 = 0.05;

/// Spread of scores within which the generator decides.
const TIE_SPREAD: f64 = 0.05;

/// Longest time without a choice, so that a refusal cannot last on old figures.
const TRIAL_INTERVAL: Duration = Duration::from_millis(100);

/// Shortest and longest time after which to ask again.
const RETRY_AFTER_MIN: Duration = Duration::from_millis(2);
const RETRY_AFTER_MAX: Duration = Duration::from_secs(1);

/// Chooses the server with the least expected answer time.
#[derive(Clone, Debug)]
pub struct SignalChooser {
    options: ChooserBuilder,
    servers: ServerTable<ServerSignals>,
    means: ServiceMeans,
    peers: PeerTable,
    rng: SmallRng,
    last_choice: Option<Moment>,
    export_load: f64,
}

/// A server and its score.
#[derive(Clone, Copy, Debug)]
struct ScoredServer {
    index: usize,
    score: f64,
    rank: f64,
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
            means: ServiceMeans::default(),
            peers: PeerTable::default(),
            rng: SmallRng::seed_from_u64(options.seed),
            last_choice: None,
            export_load: EXPORT_LOADS.0,
        }
    }

    /// Changes the servers that may be ejected at once, as a percentage of those that may be chosen.
    /// A lower cap holds for servers ejected before from the next list of servers on.
    pub const fn set_eject_percent(&mut self, percent: u32) {
        self.options.eject_percent = percent;
    }

    /// Whether so many servers are in trouble at once that this gate is the likely cause; it then
    /// ejects none.
    pub fn lost_most_peers(&self, now: Moment) -> bool {
        self.census(now).lost_most_peers()
    }

    /// Number of servers that are ejected.
    pub fn ejected(&self, now: Moment) -> usize {
        self.census(now).ejected
    }

    /// Counts the servers by their health.
    fn census(&self, now: Moment) -> HealthCensus {
        let open = self.servers.entries().iter().filter(|entry| entry.open);
        HealthCensus::take(open.map(|entry| &entry.value.health), now)
    }

    /// Takes back ejected servers beyond the cap, which a shorter list makes smaller.
    fn take_back_excess(&mut self, now: Moment) {
        let excess = self.census(now).excess(self.options.eject_percent);
        let ejected = |entry: &&mut TableEntry<ServerSignals>| {
            entry.open && entry.value.health.is_ejected(now)
        };
        let entries = self.servers.entries_mut().iter_mut();
        for entry in entries.filter(ejected).take(excess) {
            entry.value.health.take_back(now);
        }
    }

    /// What holds for all servers at `now` for requests of `class`.
    fn view(&self, class: RequestClass, now: Moment) -> ServiceView {
        let mean = &self.means.service_times[class as usize];
        let service_time = if mean.samples() == 0 {
            FIRST_SERVICE_TIME
        } else {
            mean.value()
        };
        ServiceView {
            now,
            usual_others: self.means.others.value(),
            service_time,
            contradicted_share: self
                .means
                .trust
                .contradicted_share(0.0, SERVICE_TRUST_PRIOR),
            peers_at: self.peers.mean_moment(),
            report_half_age: seconds(self.options.report_half_age),
            peer_half_age: seconds(self.options.peer_half_age),
            latency_half_age: seconds(self.options.latency_half_age),
            ramp: seconds(self.options.ramp),
            far_cost: seconds(self.options.far_cost),
        }
    }

    /// The server with the least expected answer time among those that `admits` lets through.
    fn best(
        &mut self,
        view: &ServiceView,
        admits: impl Fn(usize, &TableEntry<ServerSignals>) -> bool,
    ) -> Option<ScoredServer> {
        let mut best: Option<ScoredServer> = None;
        for (index, entry) in self.servers.entries().iter().enumerate() {
            if !entry.open || !admits(index, entry) {
                continue;
            }
            let score = entry.value.score(f64::from(entry.in_flight), view);
            let rank = score * (1.0 + TIE_SPREAD * self.rng.random::<f64>());
            if best.is_none_or(|best| rank < best.rank) {
                best = Some(ScoredServer { index, score, rank });
            }
        }
        best
    }

    /// The best server that is neither ejected nor tried; else one that was tried; else an ejected one.
    fn best_for(
        &mut self,
        request: &ChoiceRequest<'_>,
        view: &ServiceView,
    ) -> Result<ScoredServer, ChoiceRefusal> {
        let export = request.class == RequestClass::Export;
        let export_load = self.export_load;
        let fits =
            |entry: &TableEntry<ServerSignals>| !export || takes_export(entry, view, export_load);
        let healthy = |entry: &TableEntry<ServerSignals>| !entry.value.health.is_ejected(view.now);
        self.best(view, |index, entry| {
            healthy(entry) && !request.has_tried(index) && fits(entry)
        })
        .or_else(|| self.best(view, |_, entry| healthy(entry) && fits(entry)))
        .or_else(|| self.best(view, |_, entry| fits(entry)))
        .ok_or_else(|| self.refusal(view))
    }

    /// Moves the load at which a server takes an export.
    ///
    /// An export that finds an idle server leaves two of three slots to urgent reads; one that never
    /// finds it stalls. Both fixed limits were tried: the strict one stalled exports at 95% load, the
    /// loose one cost urgent reads up to two fifths of their p99 at 85%.
    fn adapt_export_load(&mut self, taken: bool) {
        let (least, greatest) = EXPORT_LOADS;
        let step = if taken { -EXPORT_FALL } else { EXPORT_RISE };
        self.export_load = (self.export_load + step).clamp(least, greatest);
    }

    /// Why no server takes a request.
    fn refusal(&self, view: &ServiceView) -> ChoiceRefusal {
        if self.servers.open_count() == 0 {
            return ChoiceRefusal::NoServer;
        }
        ChoiceRefusal::NoCapacity {
            retry_after: retry_after(view.service_time),
        }
    }

    /// Whether `best` is expected to answer after the deadline, by figures that can be relied on.
    fn misses_deadline(
        &self,
        best: &ScoredServer,
        request: &ChoiceRequest<'_>,
        view: &ServiceView,
    ) -> Option<Duration> {
        let now = view.now;
        if request.deadline <= now {
            return Some(retry_after(view.service_time));
        }
        let recent = self
            .last_choice
            .is_some_and(|last| now.since(last) < TRIAL_INTERVAL);
        let samples = self.means.service_times[request.class as usize].samples();
        let left = seconds(request.deadline.since(now)) * patience_share(request.class);
        let expected = best.score * view.service_time;
        let late = expected > left && recent && samples >= SERVICE_TIME_NEEDED;
        late.then(|| retry_after(expected - left))
    }

    /// Counts an attempt as started at a position.
    fn start_at(&mut self, index: usize, class: RequestClass, view: &ServiceView) -> ServerSlot {
        let entry = &mut self.servers.entries_mut()[index];
        let signals = &mut entry.value;
        if class == RequestClass::Export {
            signals.exports += 1;
        } else {
            let in_flight = f64::from(entry.in_flight) + signals.others(view);
            signals.attempts.start(OpenAttempt {
                started: view.now,
                expected: signals.expected(in_flight),
            });
        }
        self.servers.start(index)
    }

    /// Takes the elapsed time of a whole answer into the means and the server's slowness.
    fn observe(&mut self, end: &AttemptEnd, now: Moment) {
        let view = self.view(end.class, now);
        let mean = self.means.service_times[end.class as usize];
        let Some(entry) = self.servers.get_mut(end.slot) else {
            return;
        };
        let others = entry.in_flight.saturating_sub(entry.value.exports) as usize;
        let attempt = entry.value.attempts.end(end.elapsed, now, others);
        let elapsed = seconds(end.elapsed);
        let expected = attempt.map(|attempt| attempt.expected);
        match (end.outcome, expected) {
            (AttemptOutcome::Answered, Some(expected)) => {
                let slowness = entry.value.slowness_now(&view);
                let ratio = elapsed / (view.service_time * expected);
                entry.value.observe(ratio, &view);
                if expected <= SHORT_QUEUE || mean.samples() < SERVICE_TIME_NEEDED {
                    self.learn_service_time(end.class, elapsed / (expected * slowness));
                }
            }
            (AttemptOutcome::Failed, _) => entry.value.observe(FAILURE_SLOWNESS, &view),
            _ => {}
        }
    }

    /// Takes a service time in seconds into the mean of its class.
    fn learn_service_time(&mut self, class: RequestClass, sample: f64) {
        let mean = &mut self.means.service_times[class as usize];
        let clip = if mean.samples() < SERVICE_TIME_NEEDED {
            f64::MAX
        } else {
            mean.value() * SERVICE_TIME_CLIP
        };
        mean.add(sample.min(clip), SERVICE_TIME_MEMORY);
    }

    /// Takes the outcome of an attempt into the server's health.
    fn judge(&mut self, end: &AttemptEnd, now: Moment) {
        let Some(entry) = self.servers.get_mut(end.slot) else {
            return;
        };
        let health = &mut entry.value.health;
        let earned = match end.outcome {
            AttemptOutcome::Answered => {
                health.answered();
                false
            }
            AttemptOutcome::Failed => health.failed(now),
            AttemptOutcome::PathLost => health.path_lost(now),
            AttemptOutcome::Abandoned => false,
        };
        if !earned || !self.census(now).may_eject(self.options.eject_percent) {
            return;
        }
        if let Some(entry) = self.servers.get_mut(end.slot) {
            entry.value.health.eject(now);
        }
    }
}

/// Whether a server with at most `load` attempts may take an export and keep a slot for urgent reads.
fn takes_export(entry: &TableEntry<ServerSignals>, view: &ServiceView, load: f64) -> bool {
    let signals = &entry.value;
    let reserved = if signals.slots > 1.0 { 1.0 } else { 0.0 };
    let in_flight = f64::from(entry.in_flight) + signals.others(view);
    f64::from(signals.exports) + 1.0 <= signals.slots - reserved && in_flight <= load
}

/// Share of the time left that a class may count on; the rest is left to more urgent ones.
const fn patience_share(class: RequestClass) -> f64 {
    match class {
        RequestClass::Urgent => 1.0,
        RequestClass::Standard => 0.8,
        RequestClass::Export => 0.5,
    }
}

/// A time after which to ask again.
fn retry_after(length: f64) -> Duration {
    Duration::from_secs_f64(length.clamp(0.0, 1.0)).clamp(RETRY_AFTER_MIN, RETRY_AFTER_MAX)
}

impl ServerChooser for SignalChooser {
    fn replace_servers(&mut self, seeds: &[ServerSeed], now: Moment) {
        // Servers of the first list are all as new to this gate, so none of them ramps up.
        let ramp_from = (self.servers.open_count() > 0).then_some(now);
        self.servers.replace(seeds, |seed, old| match old {
            Some(signals) => signals.returned(ramp_from),
            None => ServerSignals::new(seed, ramp_from),
        });
        for seed in seeds {
            if let Some(index) = self.servers.index_of(seed.server) {
                self.servers.entries_mut()[index].value.take_seed(seed);
            }
        }
        self.take_back_excess(now);
    }

    fn choose(
        &mut self,
        request: &ChoiceRequest<'_>,
        now: Moment,
    ) -> Result<ServerSlot, ChoiceRefusal> {
        let view = self.view(request.class, now);
        let found = self.best_for(request, &view);
        if request.class == RequestClass::Export {
            self.adapt_export_load(found.is_ok());
        }
        let best = found?;
        if let Some(retry_after) = self.misses_deadline(&best, request, &view) {
            return Err(ChoiceRefusal::NoCapacity { retry_after });
        }
        self.last_choice = Some(now);
        Ok(self.start_at(best.index, request.class, &view))
    }

    fn start_on(&mut self, slot: ServerSlot, class: RequestClass, now: Moment) -> bool {
        let open = self.servers.get(slot).is_some_and(|entry| entry.open);
        if open {
            let view = self.view(class, now);
            self.start_at(slot.index as usize, class, &view);
        }
        open
    }

    fn finish(&mut self, end: &AttemptEnd, now: Moment) {
        let Some(entry) = self.servers.end(end.slot) else {
            return;
        };
        if end.class == RequestClass::Export {
            entry.value.exports = entry.value.exports.saturating_sub(1);
        } else {
            self.observe(end, now);
        }
        self.judge(end, now);
    }

    fn report(&mut self, slot: ServerSlot, report: LoadReport, now: Moment) {
        let Some(entry) = self.servers.get_mut(slot) else {
            return;
        };
        let settled = entry.value.attempts.settled(now);
        let others = entry.value.report(entry.in_flight, report, now);
        let reported = report.in_flight.saturating_add(report.queued);
        self.means
            .trust
            .add(settled, reported, SERVICE_TRUST_MEMORY);
        self.means.others.add(others, USUAL_MEMORY);
    }

    fn peer_counts(&mut self, gate: u64, counts: &[(ServerId, u32)], now: Moment) {
        self.peers.update(gate, counts, now);
        for entry in self.servers.entries_mut() {
            entry.value.peer_others = None;
        }
        for (server, count) in self.peers.counts() {
            if let Some(index) = self.servers.index_of(server) {
                let others = &mut self.servers.entries_mut()[index].value.peer_others;
                *others = Some(others.unwrap_or(0.0) + f64::from(count));
            }
        }
    }

    fn own_counts(&self, counts: &mut Vec<(ServerId, u32)>) {
        self.servers.counts(counts);
    }

    fn server(&self, slot: ServerSlot) -> Option<ServerId> {
        self.servers.get(slot).map(|entry| entry.server)
    }

    fn slot_of(&self, server: ServerId) -> Option<ServerSlot> {
        self.servers.open_slot(server)
    }

    fn probe_candidate(&self, now: Moment) -> Option<ServerSlot> {
        let view = self.view(RequestClass::Urgent, now);
        let open = self.servers.entries().iter().enumerate();
        let (index, _) = open
            .filter(|(_, entry)| entry.open)
            .max_by(|(_, left), (_, right)| {
                let doubt = |entry: &TableEntry<ServerSignals>| entry.value.doubt(&view);
                doubt(left).total_cmp(&doubt(right))
            })?;
        Some(self.servers.slot_at(index))
    }
}
