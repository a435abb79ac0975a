//! What a gate knows of one server, and the answer time it expects from that.

use ggs_model::{LoadReport, Moment};

use crate::ServerSpec;
use crate::attempts::AttemptTracker;
use crate::health::ServerHealth;
use crate::samples::{AgedSample, MovingAverage, seconds};
use crate::trust::{ReportTrust, trust_weight};

/// Weight of what is usual for a server of the service, beside signals of weight 1 when fresh.
const MEAN_PEER_WEIGHT: f64 = 0.1;

/// Reports that the trust in one server remembers.
const SERVER_TRUST_WINDOW_REPORTS: u32 = 64;

/// Reports of the service by which the trust in one server is drawn towards that in all.
const SERVER_TRUST_PRIOR_REPORTS: f64 = 8.0;

/// Part of a new sample in a server's slowness.
const SLOWDOWN_SAMPLE_WEIGHT: f64 = 0.3;

/// Largest slowness that one answer shows.
const MAX_SLOWDOWN_SAMPLE: f64 = 20.0;

/// Slowness that is within the usual spread of answer times.
const SLOWDOWN_TOLERANCE: f64 = 3.0;

/// Power of the slowness in the expected answer time; below 1 because slowness often ends before a
/// queue does, so that a slow server still takes part of a long backlog.
const SLOWDOWN_EXPONENT: f64 = 0.7;

/// Times its expected answer time that an attempt may stay open before it makes a server look slow.
const OVERDUE_FACTOR: f64 = 2.5;

/// Times that a reported queue takes to drain which are added to the age at which the report has half
/// its weight.
const DRAIN_TIME_FACTOR: f64 = 2.0;

/// Share that a server gets at the start of its ramp.
const SLOW_START_INITIAL_SHARE: f64 = 0.8;

/// Part of a mean service time that each attempt at a server with free slots adds.
const UTILIZATION_COST: f64 = 0.1;

/// What holds for all servers of a service at one moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ScoreContext {
    /// The moment.
    pub(crate) now: Moment,
    /// Attempts of other gates that a server usually holds.
    pub(crate) mean_peer_in_flight: f64,
    /// Mean service time in seconds.
    pub(crate) service_time: f64,
    /// Share of contradicted reports over all servers.
    pub(crate) contradicted_share: f64,
    /// When the counts of other gates came.
    pub(crate) peer_counts_at: Moment,
    /// Age in seconds at which a report has half its weight.
    pub(crate) report_half_life: f64,
    /// Age in seconds at which other gates' counts have half their weight.
    pub(crate) peer_counts_half_life: f64,
    /// Age in seconds at which slowness has half its weight.
    pub(crate) slowdown_half_life: f64,
    /// Length of a ramp in seconds.
    pub(crate) slow_start_window: f64,
    /// Seconds lost on the way to another data centre.
    pub(crate) cross_data_centre_delay: f64,
}

/// What a gate knows of one server.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServerSignals {
    /// Requests that the server works on at once.
    pub(crate) slots: f64,
    /// Whether the server stands in the gate's data centre.
    pub(crate) near: bool,
    /// Open exports of this gate.
    pub(crate) exports: u32,
    /// Other open attempts of this gate.
    pub(crate) tracker: AttemptTracker,
    /// Attempts of other gates by the last report.
    pub(crate) reported_peer_in_flight: Option<AgedSample>,
    /// Attempts of other gates by their own word.
    pub(crate) counted_peer_in_flight: Option<f64>,
    /// Whether the server takes part in the ramp, and from when.
    pub(crate) slow_start_at: Option<Moment>,
    /// Failures and ejections.
    pub(crate) health: ServerHealth,
    observed_slowdown: AgedSample,
    trust: ReportTrust,
}

impl ServerSignals {
    /// Signals of a server of which nothing is known.
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

    /// Takes what the list and the document say of the server, which may have changed.
    pub(crate) fn apply_spec(&mut self, spec: &ServerSpec) {
        self.slots = f64::from(spec.slots.max(1));
        self.near = spec.near;
    }

    /// The same run after it was absent from the list.
    pub(crate) const fn returned(mut self, slow_start_at: Option<Moment>) -> Self {
        self.slow_start_at = slow_start_at;
        self
    }

    /// Takes in a load report while this gate has `own` attempts at the server; yields the attempts of
    /// other gates by the report.
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

    /// Takes in how much slower than expected an answer was.
    pub(crate) fn record_slowdown(&mut self, ratio: f64, context: &ScoreContext) {
        let old = self.answer_slowdown(context);
        let sample = ratio.min(MAX_SLOWDOWN_SAMPLE);
        self.observed_slowdown = AgedSample {
            value: old + (sample - old) * SLOWDOWN_SAMPLE_WEIGHT,
            at: context.now,
        };
    }

    /// Slowness, drawn back to 1 with its age.
    pub(crate) fn answer_slowdown(&self, context: &ScoreContext) -> f64 {
        let weight = self
            .observed_slowdown
            .weight(context.now, context.slowdown_half_life);
        1.0 + (self.observed_slowdown.value - 1.0) * weight
    }

    /// Attempts of other gates at the server, from all signals by their weights.
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
            let samples = AgedSample {
                value: count,
                at: context.peer_counts_at,
            };
            let weight = samples.weight(context.now, context.peer_counts_half_life);
            sum += weight * count;
            weights += weight;
        }
        sum / weights
    }

    /// Expected answer time of a healthy server with `in_flight` attempts, in mean service times.
    pub(crate) fn expected(&self, in_flight: f64) -> f64 {
        let waiting = (in_flight + 1.0 - self.slots).max(0.0);
        1.0 + waiting / self.slots + UTILIZATION_COST * in_flight / self.slots
    }

    /// How much slower than a healthy one the server is, by its answers and by those that it owes.
    pub(crate) fn slowdown(&self, context: &ScoreContext) -> f64 {
        let seen = (self.answer_slowdown(context) / SLOWDOWN_TOLERANCE).max(1.0);
        let Some(oldest) = self.tracker.oldest() else {
            return seen.powf(SLOWDOWN_EXPONENT);
        };
        let elapsed = seconds(context.now.since(oldest.started));
        let overdue = elapsed / (context.service_time * oldest.expected * OVERDUE_FACTOR);
        seen.max(overdue).powf(SLOWDOWN_EXPONENT)
    }

    /// Share of its full load that the server gets, from 0 to 1.
    pub(crate) fn slow_start_share(&self, context: &ScoreContext) -> f64 {
        let starts = [self.slow_start_at, self.health.ejection_end()];
        let Some(start) = starts.into_iter().flatten().max() else {
            return 1.0;
        };
        (seconds(context.now.since(start)) / context.slow_start_window)
            .clamp(SLOW_START_INITIAL_SHARE, 1.0)
    }

    /// Expected answer time with `own` attempts of this gate open, in mean service times.
    pub(crate) fn score(&self, own: f64, context: &ScoreContext) -> f64 {
        let in_flight = own + self.peer_in_flight(context);
        let path = if self.near {
            0.0
        } else {
            context.cross_data_centre_delay / context.service_time
        };
        let answer = self.expected(in_flight) * self.slowdown(context);
        (answer + path) / self.slow_start_share(context)
    }

    /// How much a probe of the server would tell: the age of its last report, less for a server that
    /// would not be chosen anyway.
    pub(crate) fn probe_value(&self, context: &ScoreContext) -> f64 {
        let report = self.reported_peer_in_flight.as_ref();
        let age = report.map_or(f64::MAX, |report| report.age(context.now));
        age / self.slowdown(context)
    }
}

/// Means over the servers of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceAverages {
    /// Attempts of other gates that a server holds.
    pub(crate) peer_in_flight: MovingAverage,
    /// Mean service time in seconds, by class.
    pub(crate) service_times: [MovingAverage; 3],
    /// Trust in reports, over all servers.
    pub(crate) trust: ReportTrust,
}
