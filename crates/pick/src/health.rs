//! Ejection of servers that fail, capped, and suspicion of the gate itself.

use std::time::Duration;

use ggs_model::Moment;

/// Failures in a row that eject a server.
const FAILURES_TO_EJECT: u32 = 3;

/// Lost paths in a row after which a server is left alone for a while.
const LOST_PATHS_TO_EJECT: u32 = 3;

/// First length of an ejection; doubled each time.
const BASE_EJECTION_TIME: Duration = Duration::from_millis(500);

/// Longest ejection.
const MAX_EJECTION_TIME: Duration = Duration::from_secs(30);

/// Doublings after which an ejection grows no longer.
const MAX_DOUBLINGS: u32 = 6;

/// Time without trouble after which a server's next ejection is short again.
const EJECTION_RESET_TIME: Duration = Duration::from_mins(1);

/// Time in which trouble at many servers counts as trouble at once.
const SUSPICION_WINDOW: Duration = Duration::from_secs(1);

/// What a server has done wrong of late.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServerHealth {
    failures: u32,
    lost_paths: u32,
    doublings: u32,
    ejected_until: Option<Moment>,
    last_unhealthy: Option<Moment>,
}

impl ServerHealth {
    /// Takes in a whole answer.
    pub(crate) const fn answered(&mut self) {
        self.failures = 0;
        self.lost_paths = 0;
    }

    /// Takes in a failed attempt; true when the server has earned an ejection.
    pub(crate) fn failed(&mut self, now: Moment) -> bool {
        self.failures += 1;
        self.lost_paths = 0;
        self.check_threshold(self.failures >= FAILURES_TO_EJECT, now)
    }

    /// Takes in a lost path; true when the server is to be left alone.
    pub(crate) fn path_lost(&mut self, now: Moment) -> bool {
        self.lost_paths += 1;
        self.check_threshold(self.lost_paths >= LOST_PATHS_TO_EJECT, now)
    }

    /// Notes trouble when there was enough of it.
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

    /// Ejects the server; each time for longer.
    pub(crate) fn eject(&mut self, now: Moment) {
        let length = BASE_EJECTION_TIME * 2_u32.pow(self.doublings);
        self.ejected_until = Some(now + length.min(MAX_EJECTION_TIME));
        self.doublings = (self.doublings + 1).min(MAX_DOUBLINGS);
    }

    /// Takes the server back before its ejection ends.
    pub(crate) const fn end_ejection(&mut self, now: Moment) {
        self.ejected_until = Some(now);
    }

    /// Whether the server is ejected.
    pub(crate) fn is_ejected(&self, now: Moment) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// When the server came back from its last ejection.
    pub(crate) fn ejection_end(&self) -> Option<Moment> {
        self.ejected_until
    }

    /// Whether the server gave trouble of late.
    pub(crate) fn is_recently_unhealthy(&self, now: Moment) -> bool {
        self.last_unhealthy
            .is_some_and(|last| now.since(last) <= SUSPICION_WINDOW)
    }
}

/// Counts over the servers of a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HealthCounts {
    /// Servers that may be chosen, ejected or not.
    pub(crate) listed: usize,
    /// Servers that are ejected.
    pub(crate) ejected: usize,
    /// Servers with trouble of late.
    pub(crate) unhealthy: usize,
}

impl HealthCounts {
    /// Counts the servers.
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

    /// Whether so many servers are in trouble at once that the gate itself is the likely cause.
    pub(crate) const fn is_gate_suspect(&self) -> bool {
        self.listed > 1 && self.unhealthy * 2 > self.listed
    }

    /// Servers that may be ejected under a cap of `eject_percent`.
    const fn cap(&self, eject_percent: u32) -> usize {
        self.listed * eject_percent as usize / 100
    }

    /// Whether one more server may be ejected under a cap of `eject_percent`.
    pub(crate) const fn may_eject(&self, eject_percent: u32) -> bool {
        self.ejected < self.cap(eject_percent) && !self.is_gate_suspect()
    }

    /// Servers ejected beyond a cap of `eject_percent`.
    pub(crate) const fn excess(&self, eject_percent: u32) -> usize {
        self.ejected.saturating_sub(self.cap(eject_percent))
    }
}
