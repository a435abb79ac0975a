//! Outlier ejection: servers whose attempts fail repeatedly get no new ones for a while.
//!
//! The share of ejected servers is capped. If most servers fail at the same time, the gate or its
//! network is the likely cause, and no further server is ejected.

use std::time::Duration;

use ggs_model::Moment;

/// Consecutive failures after which a server is ejected.
const FAILURES_TO_EJECT: u32 = 3;

/// Consecutive failures of the network path after which a server is ejected.
const LOST_PATHS_TO_EJECT: u32 = 3;

/// Duration of the first ejection; doubled with each further one.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(500);

/// Longest duration of an ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(30);

/// Limit of doublings, at which the duration exceeds `MAX_EJECTION_TIME`.
const MAX_DOUBLINGS: u32 = 6;

/// Time without reaching a failure threshold after which the duration starts over.
const EJECTION_RESET_TIME: Duration = Duration::from_mins(1);

/// Time within which unhealthy servers count as failing at the same time.
const SUSPICION_WINDOW: Duration = Duration::from_secs(1);

/// Recent failures and ejections of one server.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServerHealth {
    failures: u32,
    lost_paths: u32,
    doublings: u32,
    ejected_until: Option<Moment>,
    last_unhealthy: Option<Moment>,
}

impl ServerHealth {
    /// Records a complete answer, which ends any run of failures.
    pub(crate) const fn answered(&mut self) {
        self.failures = 0;
        self.lost_paths = 0;
    }

    /// Records a failed attempt; returns whether the server should be ejected.
    pub(crate) fn failed(&mut self, now: Moment) -> bool {
        self.failures += 1;
        self.lost_paths = 0;
        self.check_threshold(self.failures >= FAILURES_TO_EJECT, now)
    }

    /// Records a failure of the network path; returns whether the server should be ejected.
    pub(crate) fn path_lost(&mut self, now: Moment) -> bool {
        self.lost_paths += 1;
        self.check_threshold(self.lost_paths >= LOST_PATHS_TO_EJECT, now)
    }

    /// Marks the server unhealthy if a threshold was `reached`; returns whether to eject it.
    fn check_threshold(&mut self, reached: bool, now: Moment) -> bool {
        if reached {
            let reset = self
                .last_unhealthy
                .is_some_and(|last| now.since(last) > EJECTION_RESET_TIME);
            if reset {
                self.doublings = 0;
            }
            self.last_unhealthy = Some(now);
        }
        reached && !self.is_ejected(now)
    }

    /// Ejects the server, each time for longer.
    pub(crate) fn eject(&mut self, now: Moment) {
        let duration = BASE_EJECTION_TIME * 2_u32.pow(self.doublings);
        self.ejected_until = Some(now + duration.min(MAX_EJECTION_TIME));
        self.doublings = (self.doublings + 1).min(MAX_DOUBLINGS);
    }

    /// Ends an ejection early.
    pub(crate) const fn end_ejection(&mut self, now: Moment) {
        self.ejected_until = Some(now);
    }

    /// Whether the server is ejected at `now`.
    pub(crate) fn is_ejected(&self, now: Moment) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// When the latest ejection ended, or will end.
    pub(crate) fn ejection_end(&self) -> Option<Moment> {
        self.ejected_until
    }

    /// Whether the server reached a failure threshold within `SUSPICION_WINDOW`.
    pub(crate) fn is_recently_unhealthy(&self, now: Moment) -> bool {
        self.last_unhealthy
            .is_some_and(|last| now.since(last) <= SUSPICION_WINDOW)
    }
}

/// Numbers of servers of a service by health.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HealthCounts {
    /// Listed servers, ejected or not.
    pub(crate) listed: usize,
    /// Ejected servers.
    pub(crate) ejected: usize,
    /// Servers that recently reached a failure threshold.
    pub(crate) unhealthy: usize,
}

impl HealthCounts {
    /// Counts the listed servers by health.
    pub(crate) fn collect<'a>(
        servers: impl Iterator<Item = &'a ServerHealth>,
        now: Moment,
    ) -> Self {
        let mut counts = Self {
            listed: 0,
            ejected: 0,
            unhealthy: 0,
        };
        for health in servers {
            counts.listed += 1;
            counts.ejected += usize::from(health.is_ejected(now));
            counts.unhealthy += usize::from(health.is_recently_unhealthy(now));
        }
        counts
    }

    /// Whether more than half of the servers fail at once, so that the gate is the likely cause.
    pub(crate) const fn is_gate_suspect(&self) -> bool {
        self.listed > 1 && self.unhealthy * 2 > self.listed
    }

    /// Number of servers that may be ejected at once with a cap of `eject_percent`, rounded down.
    const fn cap(&self, eject_percent: u32) -> usize {
        self.listed * eject_percent as usize / 100
    }

    /// Whether one more server may be ejected with a cap of `eject_percent`.
    pub(crate) const fn may_eject(&self, eject_percent: u32) -> bool {
        self.ejected < self.cap(eject_percent) && !self.is_gate_suspect()
    }

    /// Number of servers ejected beyond a cap of `eject_percent`.
    pub(crate) const fn excess(&self, eject_percent: u32) -> usize {
        self.ejected.saturating_sub(self.cap(eject_percent))
    }
}
