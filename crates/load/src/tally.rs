//! Counts and latencies of a run while it goes on.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use strum::{EnumCount, IntoEnumIterator};

use crate::outcome::{CallOutcome, CallResult};
use crate::summary::{LatencySummary, ReasonCount, ShareSummary};

/// Longest latency that is told apart from longer ones, in microseconds.
const LATENCY_LIMIT_US: u64 = 600_000_000;

/// Digits to which latencies are kept.
const LATENCY_DIGITS: u8 = 3;

/// Counts and latencies of one share on one path.
#[derive(Debug)]
pub(crate) struct ShareTally {
    latency: Histogram<u64>,
    outcomes: [u64; CallOutcome::COUNT],
    reasons: BTreeMap<String, u64>,
    retries: u64,
}

impl ShareTally {
    /// A tally of nothing.
    pub(crate) fn new() -> Self {
        let latency = Histogram::new_with_max(LATENCY_LIMIT_US, LATENCY_DIGITS);
        let latency = latency.expect("limit and number of digits are valid");
        Self {
            latency,
            outcomes: [0; CallOutcome::COUNT],
            reasons: BTreeMap::new(),
            retries: 0,
        }
    }

    /// Takes in a call that ended `latency` after its intended start.
    pub(crate) fn record(&mut self, result: CallResult, latency: Duration) {
        self.outcomes[result.outcome as usize] += 1;
        self.retries += u64::from(result.retries);
        if result.outcome == CallOutcome::Answered {
            let micros = latency.as_micros() as u64;
            self.latency.saturating_record(micros);
        }
        for reason in result.reasons {
            *self.reasons.entry(reason).or_default() += 1;
        }
    }

    /// Calls with an outcome.
    pub(crate) fn count(&self, outcome: CallOutcome) -> u64 {
        self.outcomes[outcome as usize]
    }

    /// Puts the tally in the share's summary.
    pub(crate) fn summarise(&self, summary: &mut ShareSummary) {
        for outcome in CallOutcome::iter() {
            summary.calls += self.count(outcome);
        }
        summary.answered = self.count(CallOutcome::Answered);
        summary.failed = self.count(CallOutcome::Failed);
        summary.not_run = self.count(CallOutcome::NotRun);
        summary.unknown = self.count(CallOutcome::Unknown);
        summary.cut = self.count(CallOutcome::Cut);
        summary.wrong = self.count(CallOutcome::Wrong);
        summary.retries = self.retries;
        let reasons = self.reasons.iter().map(|(reason, count)| ReasonCount {
            reason: reason.clone(),
            attempts: *count,
        });
        summary.reasons = reasons.collect();
        summary.latency = LatencySummary {
            mean_us: self.latency.mean(),
            p50_us: self.latency.value_at_quantile(0.5),
            p90_us: self.latency.value_at_quantile(0.9),
            p99_us: self.latency.value_at_quantile(0.99),
            p999_us: self.latency.value_at_quantile(0.999),
            max_us: self.latency.max(),
        };
    }
}
