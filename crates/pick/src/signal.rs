//! What a gate knows of one server, and the answer time that it expects from it.
//!
//! The estimate combines this gate's own in-flight attempts, which it knows exactly, the estimated
//! attempts of other gates, and the server's slowdown by recent and overdue answers.

use ggs_model::{LoadReport, Moment};

use crate::ServerSpec;
use crate::attempts::AttemptTracker;
use crate::health::ServerHealth;
use crate::samples::{AgedSample, MovingAverage, seconds};
use crate::trust::{ReportTrust, trust_weight};

/// Weight of the service's mean in-flight attempts of other gates; fresh signals have weight 1.
const MEAN_PEER_WEIGHT: f64 = 0.1;

/// Window of the moving average of the trust in one server.
const SERVER_TRUST_WINDOW_REPORTS: u32 = 64;

/// Weight of the service's share of contradicted reports in that of one server, as a number of
/// reports.
const SERVER_TRUST_PRIOR_REPORTS: f64 = 8.0;

/// Weight of a new sample in a server's slowdown.
const SLOWDOWN_SAMPLE_WEIGHT: f64 = 0.3;

/// Largest slowdown that is taken from one answer.
const MAX_SLOWDOWN_SAMPLE: f64 = 20.0;

/// Slowdown up to which answer times are within their usual spread and a score is not raised; larger
/// slowdowns are divided by it.
const SLOWDOWN_TOLERANCE: f64 = 3.0;

/// Exponent of the slowdown in the expected answer time. It is below 1 because a slowdown often
/// ends before a queue does, so that a slow server still takes part of a long backlog.
const SLOWDOWN_EXPONENT: f64 = 0.7;

/// Multiple of its expected answer time after which an attempt in flight counts as overdue and
/// makes its server look slow.
const OVERDUE_FACTOR: f64 = 2.5;

/// Multiple of the time that the reported load takes to drain, added to the half-life of a report.
const DRAIN_TIME_FACTOR: f64 = 2.0;

/// Share of its full load that a server gets at the beginning of slow start.
const SLOW_START_INITIAL_SHARE: f64 = 0.8;

/// Fraction of a mean service time that one attempt per slot adds to the expected answer time,
/// whether or not a slot is free.
const UTILIZATION_COST: f64 = 0.1;

/// Inputs of scoring that are the same for all servers of a service at one moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ScoreContext {
    /// The moment of the choice or the event.
    pub(crate) now: Moment,
    /// Mean in-flight attempts of other gates per server, by recent reports.
    pub(crate) mean_peer_in_flight: f64,
    /// Mean service time in seconds, for the class of the request.
    pub(crate) service_time: f64,
    /// Share of contradicted reports over all servers, from 0 to 1.
    pub(crate) contradicted_share: f64,
    /// Mean moment at which the counts of other gates were received.
    pub(crate) peer_counts_at: Moment,
    /// Age in seconds at which a load report has half its weight.
    pub(crate) report_half_life: f64,
    /// Age in seconds at which the counts of other gates have half their weight.
    pub(crate) peer_counts_half_life: f64,
    /// Age in seconds at which an observed slowdown has half its weight.
    pub(crate) slowdown_half_life: f64,
    /// Duration of slow start in seconds.
    pub(crate) slow_start_window: f64,
    /// Extra round-trip time to another data centre, in seconds.
    pub(crate) cross_data_centre_delay: f64,
}

/// What a gate knows of one server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerSignals {
    /// Requests that the server processes concurrently; at least 1.
    pub(crate) slots: f64,
    /// Whether the server is in the gate's own data centre.
    pub(crate) near: bool,
    /// In-flight exports of this gate.
    pub(crate) exports: u32,
    /// In-flight attempts of this gate except exports.
    pub(crate) tracker: AttemptTracker,
    /// In-flight attempts of other gates, by the latest load report.
    pub(crate) reported_peer_in_flight: Option<AgedSample>,
    /// In-flight attempts of other gates, by the counts that they sent.
    pub(crate) counted_peer_in_flight: Option<f64>,
    /// When slow start began; `None` for a server that was added to an empty list.
    pub(crate) slow_start_at: Option<Moment>,
    /// Recent failures and ejections.
    pub(crate) health: ServerHealth,
    observed_slowdown: AgedSample,
    trust: ReportTrust,
}

impl ServerSignals {
    /// Signals of a new server; one that begins slow start is taken to have no load from other
    /// gates.
    pub(crate) fn new(spec: &ServerSpec, slow_start_at: Option<Moment>) -> Self {
        Self {
            slots: f64::from(spec.slots.max(1)),
            near: spec.near,
            exports: 0,
            tracker: AttemptTracker::default(),
            reported_peer_in_flight: slow_start_at.map(|at| AgedSample { value: 0.0, at }),
            counted_peer_in_flight: None,
            slow_start_at,
            health: ServerHealth::default(),
            observed_slowdown: AgedSample {
                value: 1.0,
                at: Moment::ZERO,
            },
            trust: ReportTrust::default(),
        }
    }

    /// Applies changes of the server list and the service document.
    pub(crate) fn apply_spec(&mut self, spec: &ServerSpec) {
        self.slots = f64::from(spec.slots.max(1));
        self.near = spec.near;
    }

    /// Restarts slow start for an incarnation that returns to the list.
    pub(crate) const fn returned(mut self, slow_start_at: Option<Moment>) -> Self {
        self.slow_start_at = slow_start_at;
        self
    }

    /// Records a load report, received while this gate has `own` attempts in flight at the server.
    ///
    /// Returns the in-flight attempts of other gates by the report.
    pub(crate) fn record_report(&mut self, own: u32, report: LoadReport, now: Moment) -> f64 {
        let reported = report.in_flight.saturating_add(report.queued);
        let arrived = self.tracker.arrived(now);
        self.trust
            .add(arrived, reported, SERVER_TRUST_WINDOW_REPORTS);
        let peer_in_flight = f64::from(reported.saturating_sub(own));
        self.reported_peer_in_flight = Some(AgedSample {
            value: peer_in_flight,
            at: now,
        });
        peer_in_flight
    }

    /// Records the ratio of the actual to the expected time of an answer.
    pub(crate) fn record_slowdown(&mut self, ratio: f64, context: &ScoreContext) {
        let old = self.answer_slowdown(context);
        let sample = ratio.min(MAX_SLOWDOWN_SAMPLE);
        self.observed_slowdown = AgedSample {
            value: old + (sample - old) * SLOWDOWN_SAMPLE_WEIGHT,
            at: context.now,
        };
    }

    /// Slowdown by past answers; decays towards 1 with age.
    pub(crate) fn answer_slowdown(&self, context: &ScoreContext) -> f64 {
        let weight = self
            .observed_slowdown
            .weight(context.now, context.slowdown_half_life);
        1.0 + (self.observed_slowdown.value - 1.0) * weight
    }

    /// Estimated in-flight attempts of other gates: the mean of all signals by weight.
    pub(crate) fn peer_in_flight(&self, context: &ScoreContext) -> f64 {
        let mut sum = MEAN_PEER_WEIGHT * context.mean_peer_in_flight;
        let mut weights = MEAN_PEER_WEIGHT;
        if let Some(report) = &self.reported_peer_in_flight {
            let share = self
                .trust
                .contradicted_share(context.contradicted_share, SERVER_TRUST_PRIOR_REPORTS);
            let trust = trust_weight(share.max(context.contradicted_share));
            let drain_time = context.service_time * report.value / self.slots;
            let half_life = context.report_half_life + DRAIN_TIME_FACTOR * drain_time;
            let weight = trust * report.weight(context.now, half_life);
            sum += weight * report.value;
            weights += weight;
        }
        if let Some(count) = self.counted_peer_in_flight {
            let sample = AgedSample {
                value: count,
                at: context.peer_counts_at,
            };
            let weight = sample.weight(context.now, context.peer_counts_half_life);
            sum += weight * count;
            weights += weight;
        }
        sum / weights
    }

    /// Expected answer time in mean service times with `in_flight` attempts and without slowdown.
    pub(crate) fn expected_answer_time(&self, in_flight: f64) -> f64 {
        let waiting = (in_flight + 1.0 - self.slots).max(0.0);
        1.0 + waiting / self.slots + UTILIZATION_COST * in_flight / self.slots
    }

    /// Slowdown for scoring, at least 1, by past answers and by the oldest attempt in flight.
    pub(crate) fn slowdown(&self, context: &ScoreContext) -> f64 {
        let observed = (self.answer_slowdown(context) / SLOWDOWN_TOLERANCE).max(1.0);
        let Some(oldest) = self.tracker.oldest() else {
            return observed.powf(SLOWDOWN_EXPONENT);
        };
        let elapsed = seconds(context.now.since(oldest.started));
        let overdue = elapsed / (context.service_time * oldest.expected * OVERDUE_FACTOR);
        observed.max(overdue).powf(SLOWDOWN_EXPONENT)
    }

    /// Share of its full load that the server gets: below 1 during slow start, which also follows
    /// an ejection.
    pub(crate) fn slow_start_share(&self, context: &ScoreContext) -> f64 {
        let starts = [self.slow_start_at, self.health.ejection_end()];
        let Some(start) = starts.into_iter().flatten().max() else {
            return 1.0;
        };
        (seconds(context.now.since(start)) / context.slow_start_window)
            .clamp(SLOW_START_INITIAL_SHARE, 1.0)
    }

    /// Expected answer time in mean service times with `own` attempts of this gate in flight; lower
    /// is better.
    pub(crate) fn score(&self, own: f64, context: &ScoreContext) -> f64 {
        let in_flight = own + self.peer_in_flight(context);
        let delay = if self.near {
            0.0
        } else {
            context.cross_data_centre_delay / context.service_time
        };
        let answer = self.expected_answer_time(in_flight) * self.slowdown(context);
        (answer + delay) / self.slow_start_share(context)
    }

    /// Benefit of a load probe: the age of the last report, reduced for slow servers, which would
    /// not be chosen anyway.
    pub(crate) fn probe_value(&self, context: &ScoreContext) -> f64 {
        let report = self.reported_peer_in_flight.as_ref();
        let age = report.map_or(f64::MAX, |report| report.age(context.now));
        age / self.slowdown(context)
    }
}

/// Moving averages over all servers of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceAverages {
    /// In-flight attempts of other gates per server, by load reports.
    pub(crate) peer_in_flight: MovingAverage,
    /// Service time in seconds, by request class.
    pub(crate) service_times: [MovingAverage; 3],
    /// Trust in the load reports of all servers.
    pub(crate) trust: ReportTrust,
}
