//! The results of a run.

use comfy_table::presets::UTF8_FULL_CONDENSED;
use comfy_table::{CellAlignment, Table};
use ggs_model::{RequestClass, ServiceName};
use serde::Serialize;
use strum::Display;

/// Way that calls went.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Display)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum CallPath {
    /// Through a gate.
    Gate,
    /// Straight to a server.
    Direct,
}

/// Latencies of answered calls from their intended start to the last byte, in microseconds.
#[derive(Clone, Debug, Default, PartialEq, Serialize)]
pub struct LatencySummary {
    /// Mean.
    pub mean_us: f64,
    /// Median.
    pub p50_us: u64,
    /// 90th percentile.
    pub p90_us: u64,
    /// 99th percentile.
    pub p99_us: u64,
    /// 99.9th percentile.
    pub p999_us: u64,
    /// Longest.
    pub max_us: u64,
}

/// Attempts that failed for a reason.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct ReasonCount {
    /// The reason.
    pub reason: String,
    /// Attempts.
    pub attempts: u64,
}

/// Results of one share on one path.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ShareSummary {
    /// Way that the calls went.
    pub path: CallPath,
    /// The service that was called.
    pub service: ServiceName,
    /// The class that was asked for.
    pub class: RequestClass,
    /// Whether the calls were non-idempotent.
    pub keyed: bool,
    /// Calls that ended.
    pub calls: u64,
    /// Calls with their own whole answer.
    pub answered: u64,
    /// Calls that ran and got an error.
    pub failed: u64,
    /// Calls that did not run.
    pub not_run: u64,
    /// Calls that may have run.
    pub unknown: u64,
    /// Calls whose answer broke off.
    pub cut: u64,
    /// Calls with another's answer, or a part that was given for the whole.
    pub wrong: u64,
    /// Retries of all calls.
    pub retries: u64,
    /// Reasons of all failed attempts.
    pub reasons: Vec<ReasonCount>,
    /// Latencies of the answered calls.
    pub latency: LatencySummary,
}

/// What gates add to a call, in microseconds; negative if calls through them were faster.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub struct AddedLatency {
    /// At the median.
    pub p50_us: i64,
    /// At the 99th percentile.
    pub p99_us: i64,
}

/// Results of a run.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LoadSummary {
    /// Time in which calls were started, in seconds.
    pub seconds: f64,
    /// Calls started.
    pub started: u64,
    /// Calls that arrived while too many were in flight, and were not sent.
    pub skipped: u64,
    /// Calls started a second.
    pub rate: f64,
    /// Longest time that a call was started after its intended start, in microseconds; part of the
    /// latencies.
    pub start_lag_us: u64,
    /// Results of each share on each path.
    pub shares: Vec<ShareSummary>,
    /// What the gates add, for a run that compares; over the first share.
    pub added: Option<AddedLatency>,
}

impl LoadSummary {
    /// Calls that got another's answer or a part that was given for the whole.
    pub fn wrong(&self) -> u64 {
        self.shares.iter().map(|share| share.wrong).sum()
    }

    /// The reasons of failed attempts, one share a line; empty if none failed.
    pub fn reasons(&self) -> String {
        let failed = self.shares.iter().filter(|share| !share.reasons.is_empty());
        let lines = failed.map(|share| {
            let reasons = share.reasons.iter();
            let reasons = reasons.map(|reason| format!("{} {}", reason.attempts, reason.reason));
            let reasons = reasons.collect::<Vec<_>>().join(", ");
            format!("failed attempts of {}: {reasons}\n", share.service)
        });
        lines.collect()
    }

    /// The results as a table for people.
    pub fn table(&self) -> String {
        let mut table = Table::new();
        table.load_style(UTF8_FULL_CONDENSED);
        table.set_header([
            "path", "service", "class", "calls", "answered", "failed", "not run", "unknown", "cut",
            "wrong", "retries", "p50 ms", "p99 ms", "p99.9 ms", "max ms",
        ]);
        for share in &self.shares {
            table.add_row(share.row());
        }
        for column in table.column_iter_mut().skip(3) {
            column.set_cell_alignment(CellAlignment::Right);
        }
        table.to_string()
    }
}

impl ShareSummary {
    /// The share's row in the table.
    fn row(&self) -> Vec<String> {
        let latency = &self.latency;
        let mut row = vec![
            self.path.to_string(),
            self.service.to_string(),
            self.class.to_string() + if self.keyed { ", keyed" } else { "" },
        ];
        let counts = [
            self.calls,
            self.answered,
            self.failed,
            self.not_run,
            self.unknown,
            self.cut,
            self.wrong,
            self.retries,
        ];
        row.extend(counts.map(|count| count.to_string()));
        let times = [
            latency.p50_us,
            latency.p99_us,
            latency.p999_us,
            latency.max_us,
        ];
        row.extend(times.map(millis));
        row
    }
}

/// Microseconds as milliseconds.
fn millis(micros: u64) -> String {
    format!("{:.2}", micros as f64 / 1_000.0)
}
