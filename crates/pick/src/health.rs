//! Ejection of servers that fail, capped, and suspicion of the gate itself.

use std::time::Duration;

use ggs_model::Moment;

/// Failures in a row that eject a server.
const FAILURES_TO_EJECT: u32 = 3;

/// Lost paths in a row after which a server is left alone for a while.
const LOST_PATHS_TO_EJECT: u32 = 3;

/// First length of an ejection; doubled each time.
const FIRST_EJECTION: Duration = Duration::from_millis(500);

/// Longest ejection.
const LONGEST_EJECTION: Duration = Duration::from_secs(30);

/// Doublings after which an ejection grows no longer.
const MAX_DOUBLINGS: u32 = 6;

/// Time without trouble after which a server's next ejection is short again.
const FORGET_AFTER: Duration = Duration::from_mins(1);

/// Time in which trouble at many servers counts as trouble at once.
const SUSPECT_WINDOW: Duration = Duration::from_secs(1);

/// What a server has done wrong of late.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ServerHealth {
    failures: u32,
    lost_paths: u32,
    doublings: u32,
    ejected_until: Option<Moment>,
    last_trouble: Option<Moment>,
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
        self.trouble(self.failures >= FAILURES_TO_EJECT, now)
    }

    /// Takes in a lost path; true when the server is to be left alone.
    pub(crate) fn path_lost(&mut self, now: Moment) -> bool {
        self.lost_paths += 1;
        self.trouble(self.lost_paths >= LOST_PATHS_TO_EJECT, now)
    }

    /// Notes trouble when there was enough of it.
    fn trouble(&mut self, enough: bool, now: Moment) -> bool {
        if enough {
            let calm = self
                .last_trouble
                .is_some_and(|last| now.since(last) > FORGET_AFTER);
            if calm {
                self.doublings = 0;
            }
            self.last_trouble = Some(now);
        }
        enough && !self.is_ejected(now)
    }

    /// Ejects the server; each time for longer.
    pub(crate) fn eject(&mut self, now: Moment) {
        let length = FIRST_EJECTION * 2_u32.pow(self.doublings);
        self.ejected_until = Some(now + length.min(LONGEST_EJECTION));
        self.doublings = (self.doublings + 1).min(MAX_DOUBLINGS);
    }

    /// Takes the server back before its ejection ends.
    pub(crate) const fn take_back(&mut self, now: Moment) {
        self.ejected_until = Some(now);
    }

    /// Whether the server is ejected.
    pub(crate) fn is_ejected(&self, now: Moment) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// When the server came back from its last ejection.
    pub(crate) fn returned_at(&self) -> Option<Moment> {
        self.ejected_until
    }

    /// Whether the server gave trouble of late.
    pub(crate) fn is_troubled(&self, now: Moment) -> bool {
        self.last_trouble
            .is_some_and(|last| now.since(last) <= SUSPECT_WINDOW)
    }
}

/// Counts over the servers of a service.
#[derive(Clone, Copy, Debug)]
pub(crate) struct HealthCensus {
    /// Servers that may be chosen, ejected or not.
    pub(crate) open: usize,
    /// Servers that are ejected.
    pub(crate) ejected: usize,
    /// Servers with trouble of late.
    pub(crate) troubled: usize,
}

impl HealthCensus {
    /// Counts the servers.
    pub(crate) fn take<'a>(servers: impl Iterator<Item = &'a ServerHealth>, now: Moment) -> Self {
        let mut census = Self {
            open: 0,
            ejected: 0,
            troubled: 0,
        };
        for health in servers {
            census.open += 1;
            census.ejected += usize::from(health.is_ejected(now));
            census.troubled += usize::from(health.is_troubled(now));
        }
        census
    }

    /// Whether so many servers are in trouble at once that the gate itself is the likely cause.
    pub(crate) const fn lost_most_peers(&self) -> bool {
        self.open > 1 && self.troubled * 2 > self.open
    }

    /// Servers that may be ejected under a cap of `eject_percent`.
    const fn cap(&self, eject_percent: u32) -> usize {
        self.open * eject_percent as usize / 100
    }

    /// Whether one more server may be ejected under a cap of `eject_percent`.
    pub(crate) const fn may_eject(&self, eject_percent: u32) -> bool {
        self.ejected < self.cap(eject_percent) && !self.lost_most_peers()
    }

    /// Servers ejected beyond a cap of `eject_percent`.
    pub(crate) const fn excess(&self, eject_percent: u32) -> usize {
        self.ejected.saturating_sub(self.cap(eject_percent))
    }
}
