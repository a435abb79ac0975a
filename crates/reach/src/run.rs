//! Failures of servers without a success in between.

use std::net::SocketAddr;
use std::time::Duration;

use foldhash::HashSet;
use ggs_model::Moment;

/// Servers that must fail before the path to all of them is taken to be cut; all of them if there are
/// fewer.
const MIN_FAILED_COUNT: usize = 4;

/// Shortest time over which the failures must be spread. When a paused process wakes, all that it
/// waited for fails in the same moment.
const MIN_RUN_TIME: Duration = Duration::from_millis(250);

/// Longest time between two failures of one run.
const MAX_GAP: Duration = Duration::from_secs(3);

/// Servers that must succeed before a cut is taken to be over, but at most half of them: the others may
/// have ended. A single success may be due to a server that is reached another way than the rest.
const MIN_RESTORED_COUNT: usize = 2;

/// A run of failures, and whether it shows that the path to the servers is cut.
#[derive(Clone, Debug, Default)]
pub(crate) struct FailureRun {
    failed: HashSet<SocketAddr>,
    started_at: Moment,
    latest_at: Moment,
    is_cut: bool,
    /// Whether enough servers have failed, in whatever time.
    is_doubtful: bool,
    /// Servers that succeeded since the path was taken to be cut.
    restored: HashSet<SocketAddr>,
}

impl FailureRun {
    /// Whether the path to the servers is taken to be cut.
    pub(crate) const fn is_cut(&self) -> bool {
        self.is_cut
    }

    /// Whether enough servers have failed without a success in between, but not over enough time.
    pub(crate) const fn is_doubtful(&self) -> bool {
        self.is_doubtful && !self.is_cut
    }

    /// Records a failure of one of `listed` servers.
    pub(crate) fn record_failure(&mut self, server: SocketAddr, listed: usize, now: Moment) {
        if self.failed.is_empty() || now.since(self.latest_at) > MAX_GAP {
            self.failed.clear();
            self.started_at = now;
        }
        self.failed.insert(server);
        self.latest_at = now;
        self.is_doubtful = self.failed.len() >= MIN_FAILED_COUNT.min(listed);
        if self.is_doubtful && now.since(self.started_at) >= MIN_RUN_TIME && !self.is_cut {
            self.is_cut = true;
            self.restored.clear();
        }
    }

    /// Records a success of one of `listed` servers.
    pub(crate) fn record_success(&mut self, server: SocketAddr, listed: usize) {
        self.failed.clear();
        self.is_doubtful = false;
        if self.is_cut {
            self.restored.insert(server);
            self.is_cut = self.restored.len() < MIN_RESTORED_COUNT.min(listed.div_ceil(2));
        }
    }
}
