//! What a gate knows of one server, and the answer time it expects from that.

use ggs_model::{LoadReport, Moment};

use crate::ServerSpec;
use crate::attempts::OpenAttempts;
use crate::figure::{AgedFigure, MovingMean, seconds};
use crate::health::ServerHealth;
use crate::trust::{ReportTrust, trust_at};

/// Weight of what is usual for a server of the service, beside signals of weight 1 when fresh.
const USUAL_WEIGHT: f64 = 0.1;

/// Reports that the trust in one server remembers.
const SERVER_TRUST_MEMORY: u32 = 64;

/// Reports of the service by which the trust in one server is drawn towards that in all.
const SERVER_TRUST_PRIOR: f64 = 8.0;

/// Part of a new sample in a server's slowness.
const SLOWNESS_STEP: f64 = 0.3;

/// Largest slowness that one answer shows.
const SLOWNESS_LIMIT: f64 = 20.0;

/// Slowness that is within the usual spread of answer times.
const SLOWNESS_SPREAD: f64 = 3.0;

/// Power of the slowness in the expected answer time; below 1 because slowness often ends before a
/// queue does, so that a slow server still takes part of a long backlog.
const SLOWNESS_POWER: f64 = 0.7;

/// Times its expected answer time that an attempt may stay open before it makes a server look slow.
const PATIENCE: f64 = 2.5;

/// Times that a reported queue takes to drain which are added to the age at which the report has half
/// its weight.
const DRAIN_TIMES: f64 = 2.0;

/// Share that a server gets at the start of its ramp.
const RAMP_START: f64 = 0.8;

/// Part of a mean service time that each attempt at a server with free slots adds.
const CROWDING: f64 = 0.1;

/// What holds for all servers of a service at one moment.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ServiceView {
    /// The moment.
    pub(crate) now: Moment,
    /// Attempts of other gates that a server usually holds.
    pub(crate) usual_others: f64,
    /// Mean service time in seconds.
    pub(crate) service_time: f64,
    /// Share of contradicted reports over all servers.
    pub(crate) contradicted_share: f64,
    /// When the counts of other gates came.
    pub(crate) peers_at: Moment,
    /// Age in seconds at which a report has half its weight.
    pub(crate) report_half_age: f64,
    /// Age in seconds at which other gates' counts have half their weight.
    pub(crate) peer_half_age: f64,
    /// Age in seconds at which slowness has half its weight.
    pub(crate) latency_half_age: f64,
    /// Length of a ramp in seconds.
    pub(crate) ramp: f64,
    /// Seconds lost on the way to another data centre.
    pub(crate) far_cost: f64,
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
    pub(crate) attempts: OpenAttempts,
    /// Attempts of other gates by the last report.
    pub(crate) reported_others: Option<AgedFigure>,
    /// Attempts of other gates by their own word.
    pub(crate) peer_others: Option<f64>,
    /// Whether the server takes part in the ramp, and from when.
    pub(crate) ramp_from: Option<Moment>,
    /// Failures and ejections.
    pub(crate) health: ServerHealth,
    slowness: AgedFigure,
    trust: ReportTrust,
}

impl ServerSignals {
    /// Signals of a server of which nothing is known.
    pub(crate) fn new(spec: &ServerSpec, ramp_from: Option<Moment>) -> Self {
        Self {
            slots: f64::from(spec.slots.max(1)),
            near: spec.near,
            exports: 0,
            attempts: OpenAttempts::default(),
            reported_others: ramp_from.map(|at| AgedFigure { value: 0.0, at }),
            peer_others: None,
            ramp_from,
            health: ServerHealth::default(),
            slowness: AgedFigure {
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
    pub(crate) const fn returned(mut self, ramp_from: Option<Moment>) -> Self {
        self.ramp_from = ramp_from;
        self
    }

    /// Takes in a load report while this gate has `own` attempts at the server; yields the attempts of
    /// other gates by the report.
    pub(crate) fn record_report(&mut self, own: u32, report: LoadReport, now: Moment) -> f64 {
        let reported = report.in_flight.saturating_add(report.queued);
        let settled = self.attempts.settled(now);
        self.trust.add(settled, reported, SERVER_TRUST_MEMORY);
        let others = f64::from(reported.saturating_sub(own));
        self.reported_others = Some(AgedFigure {
            value: others,
            at: now,
        });
        others
    }

    /// Takes in how much slower than expected an answer was.
    pub(crate) fn observe(&mut self, ratio: f64, view: &ServiceView) {
        let old = self.slowness_now(view);
        let sample = ratio.min(SLOWNESS_LIMIT);
        self.slowness = AgedFigure {
            value: old + (sample - old) * SLOWNESS_STEP,
            at: view.now,
        };
    }

    /// Slowness, drawn back to 1 with its age.
    pub(crate) fn slowness_now(&self, view: &ServiceView) -> f64 {
        let weight = self.slowness.weight(view.now, view.latency_half_age);
        1.0 + (self.slowness.value - 1.0) * weight
    }

    /// Attempts of other gates at the server, from all signals by their weights.
    pub(crate) fn others(&self, view: &ServiceView) -> f64 {
        let mut sum = USUAL_WEIGHT * view.usual_others;
        let mut weights = USUAL_WEIGHT;
        if let Some(report) = &self.reported_others {
            let share = self
                .trust
                .contradicted_share(view.contradicted_share, SERVER_TRUST_PRIOR);
            let trust = trust_at(share.max(view.contradicted_share));
            let drain_time = view.service_time * report.value / self.slots;
            let half_age = view.report_half_age + DRAIN_TIMES * drain_time;
            let weight = trust * report.weight(view.now, half_age);
            sum += weight * report.value;
            weights += weight;
        }
        if let Some(count) = self.peer_others {
            let figure = AgedFigure {
                value: count,
                at: view.peers_at,
            };
            let weight = figure.weight(view.now, view.peer_half_age);
            sum += weight * count;
            weights += weight;
        }
        sum / weights
    }

    /// Expected answer time of a healthy server with `in_flight` attempts, in mean service times.
    pub(crate) fn expected(&self, in_flight: f64) -> f64 {
        let waiting = (in_flight + 1.0 - self.slots).max(0.0);
        1.0 + waiting / self.slots + CROWDING * in_flight / self.slots
    }

    /// How much slower than a healthy one the server is, by its answers and by those that it owes.
    pub(crate) fn slowness(&self, view: &ServiceView) -> f64 {
        let seen = (self.slowness_now(view) / SLOWNESS_SPREAD).max(1.0);
        let Some(oldest) = self.attempts.oldest() else {
            return seen.powf(SLOWNESS_POWER);
        };
        let open = seconds(view.now.since(oldest.started));
        let owed = open / (view.service_time * oldest.expected * PATIENCE);
        seen.max(owed).powf(SLOWNESS_POWER)
    }

    /// Share of its full load that the server gets, from 0 to 1.
    pub(crate) fn ramp_share(&self, view: &ServiceView) -> f64 {
        let starts = [self.ramp_from, self.health.returned_at()];
        let Some(start) = starts.into_iter().flatten().max() else {
            return 1.0;
        };
        (seconds(view.now.since(start)) / view.ramp).clamp(RAMP_START, 1.0)
    }

    /// Expected answer time with `own` attempts of this gate open, in mean service times.
    pub(crate) fn score(&self, own: f64, view: &ServiceView) -> f64 {
        let in_flight = own + self.others(view);
        let path = if self.near {
            0.0
        } else {
            view.far_cost / view.service_time
        };
        let answer = self.expected(in_flight) * self.slowness(view);
        (answer + path) / self.ramp_share(view)
    }

    /// How much a probe of the server would tell: the age of its last report, less for a server that
    /// would not be chosen anyway.
    pub(crate) fn doubt(&self, view: &ServiceView) -> f64 {
        let report = self.reported_others.as_ref();
        let age = report.map_or(f64::MAX, |report| report.age(view.now));
        age / self.slowness(view)
    }
}

/// Means over the servers of a service.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServiceMeans {
    /// Attempts of other gates that a server holds.
    pub(crate) others: MovingMean,
    /// Mean service time in seconds, by class.
    pub(crate) service_times: [MovingMean; 3],
    /// Trust in reports, over all servers.
    pub(crate) trust: ReportTrust,
}
