//! How much weight a server's load reports get.
//!
//! A gate knows its own share of a server's load exactly. A fresh and correct report cannot show
//! less than that share once the attempts have had time to reach the server; stale or false reports
//! do so repeatedly. The share of reports that are contradicted in this way therefore measures
//! their staleness, at no cost to the servers. The slope of the reported load over the own count is
//! no substitute: by it, reports 50 ms old passed for fresh ones.

use crate::samples::MovingAverage;

/// Share of contradicted reports at which reports get no weight.
const ZERO_TRUST_SHARE: f64 = 0.02;

/// Moving average of the share of contradicted reports.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReportTrust {
    contradicted: MovingAverage,
}

impl ReportTrust {
    /// Records a report of `reported` attempts, received while `arrived` attempts of this gate had
    /// had time to reach the server.
    pub(crate) fn add(&mut self, arrived: u32, reported: u32, window: u32) {
        let contradicted = if arrived > reported { 1.0 } else { 0.0 };
        self.contradicted.add(contradicted, window);
    }

    /// Share of contradicted reports, smoothed with `prior`, which weighs as much as
    /// `prior_reports` reports.
    pub(crate) fn contradicted_share(&self, prior: f64, prior_reports: f64) -> f64 {
        let reports = f64::from(self.contradicted.sample_count());
        (self.contradicted.value() * reports + prior * prior_reports) / (reports + prior_reports)
    }
}

/// Weight of reports for a share of contradicted ones; falls linearly from 1 to 0.
pub(crate) fn trust_weight(contradicted_share: f64) -> f64 {
    (1.0 - contradicted_share / ZERO_TRUST_SHARE).clamp(0.0, 1.0)
}
