//! What a stand-in server counts.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use ggs_model::{LoadReport, Moment};
use serde::{Deserialize, Serialize};

/// Measuring that a server was put to, and the calls that it took.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ProbeRecord {
    /// Times of `GET /load`, in wall milliseconds.
    pub load: Vec<u64>,
    /// Times of `GET /health`, in wall milliseconds.
    pub health: Vec<u64>,
    /// Times at which connections were opened that carried no request, in wall milliseconds; open
    /// connections that carried none so far are among them.
    pub unused_connections: Vec<u64>,
    /// Connections accepted.
    pub connections: u64,
    /// Requests taken, probes apart.
    pub calls: u64,
    /// Requests given up by their caller before they were answered.
    pub cancelled: u64,
}

/// Requests that ran, by what names them.
#[derive(Clone, Debug, Default)]
pub(crate) struct RunRecord {
    /// Runs by token.
    pub(crate) tokens: BTreeMap<String, u64>,
    /// Runs by key.
    pub(crate) keys: BTreeMap<String, u64>,
}

impl RunRecord {
    /// Counts a run.
    pub(crate) fn count(&mut self, token: &str, key: Option<&str>) {
        *self.tokens.entry(token.to_owned()).or_default() += 1;
        if let Some(key) = key {
            *self.keys.entry(key.to_owned()).or_default() += 1;
        }
    }
}

/// Load reports of the past, for reports that lag.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReportHistory {
    entries: VecDeque<(Moment, LoadReport)>,
}

impl ReportHistory {
    /// The report as of `lag` ago, given the present one.
    pub(crate) fn report(&mut self, now: Moment, present: LoadReport, lag: Duration) -> LoadReport {
        if lag.is_zero() {
            self.entries.clear();
            return present;
        }
        self.entries.push_back((now, present));
        let due = now - lag;
        while self.entries.get(1).is_some_and(|(time, _)| *time <= due) {
            self.entries.pop_front();
        }
        let slots = present.slots;
        let idle = LoadReport {
            slots,
            ..LoadReport::default()
        };
        let oldest = self.entries.front().filter(|(time, _)| *time <= due);
        oldest.map_or(idle, |(_, report)| *report)
    }
}
