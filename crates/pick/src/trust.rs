//! How far a server's load reports are to be believed.
//!
//! A gate knows its own part of a server's load exactly. A true and fresh report rises and falls with
//! that part; a stale or false one does not. The slope of the reported load over the own count is
//! therefore a test of the reports that costs the servers nothing.

use crate::figure::MovingMean;

/// Slope at and below which reports are ignored.
const USELESS_SLOPE: f64 = 0.25;

/// Slope at and above which reports are believed in full.
const FULL_SLOPE: f64 = 0.75;

/// Slope of reported load over the own count.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ReportTrust {
    own: MovingMean,
    reported: MovingMean,
    own_variance: MovingMean,
    covariance: MovingMean,
}

impl ReportTrust {
    /// Takes in a report that came while the gate itself had `own` attempts at the server.
    pub(crate) fn add(&mut self, own: f64, reported: f64, memory: u32) {
        let own_offset = own - self.own.value();
        let reported_offset = reported - self.reported.value();
        self.own.add(own, memory);
        self.reported.add(reported, memory);
        if self.own.samples() > 1 {
            self.own_variance.add(own_offset * own_offset, memory);
            self.covariance.add(own_offset * reported_offset, memory);
        }
    }

    /// The slope, drawn towards `prior` as by `prior_variance` of own counts that had it.
    pub(crate) fn slope(&self, prior: f64, prior_variance: f64) -> f64 {
        let samples = f64::from(self.covariance.samples());
        let pull = prior_variance / samples.max(1.0);
        (self.covariance.value() + pull * prior) / (self.own_variance.value() + pull)
    }
}

/// Weight of reports from 0 to 1 at a slope.
pub(crate) fn trust_at(slope: f64) -> f64 {
    ((slope - USELESS_SLOPE) / (FULL_SLOPE - USELESS_SLOPE)).clamp(0.0, 1.0)
}
