//! How far a server's load reports are to be believed.
//!
//! A gate knows its own part of a server's load exactly. A fresh and true report cannot show less than
//! that part, once the attempts have had time to reach the server; a stale or false one does so again
//! and again. This test costs the servers nothing. The slope of the reported load over the own count was
//! tried first: it still took reports 50 ms old for fresh ones.

use crate::samples::MovingAverage;

/// Share of contradicted reports at which reports are no longer believed.
const ZERO_TRUST_SHARE: f64 = 0.02;

/// Contradicted reports as a share of all.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReportTrust {
    contradicted: MovingAverage,
}

impl ReportTrust {
    /// Takes in a report of `reported` attempts that came while the gate itself had `settled` attempts
    /// that surely had reached the server.
    pub(crate) fn add(&mut self, arrived: u32, reported: u32, window: u32) {
        let contradicted = if arrived > reported { 1.0 } else { 0.0 };
        self.contradicted.add(contradicted, window);
    }

    /// Share of contradicted reports, drawn towards `prior` as by `prior_reports` reports.
    pub(crate) fn contradicted_share(&self, prior: f64, prior_reports: f64) -> f64 {
        let reports = f64::from(self.contradicted.sample_count());
        (self.contradicted.value() * reports + prior * prior_reports) / (reports + prior_reports)
    }
}

/// Weight of reports from 0 to 1 at a share of contradicted reports.
pub(crate) fn trust_weight(contradicted_share: f64) -> f64 {
    (1.0 - contradicted_share / ZERO_TRUST_SHARE).clamp(0.0, 1.0)
}
