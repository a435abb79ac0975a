//! Retries that one gate may spend on the requests of one service.
//!
//! Retries at each of many hops multiply: 24 hops with two tries each make 2^24 attempts at the last
//! server. Three rules keep the sum over a chain of 24 gates within 1.2 times the calls, whatever
//! share of the attempts fails and however the failures are correlated:
//!
//! - A gate sends `ggs-attempt` with every attempt, and servers copy it to the calls that they make
//!   for the request. A call with a number above zero is never retried and earns no retry, so that
//!   retries add and do not multiply.
//! - The gate at the start of a chain, which receives no such header, may retry up to 10% of its
//!   answered calls.
//! - Every gate further in may retry 0.4% of its answered calls: enough for a connection that broke,
//!   not for a server that fails.
//!
//! The sum is at most 1 + 0.1 + 23 * 0.004 = 1.192 attempts for each call, and one attempt more
//! per gate at the start of a chain for its first retry. Only successes earn, so a server that fails
//! all its requests soon gets no retries at all.

/// Units in which a balance is counted, for one retry.
const UNITS_PER_RETRY: u32 = 1_000;

/// Units in one percent of a retry.
const UNITS_PER_PERCENT: u32 = UNITS_PER_RETRY / 100;

/// Largest share of a document that is used, in percent.
const MAX_PERCENT: u32 = 10;

/// Units that an answered call earns at a gate further in than the first.
const INNER_UNITS: u32 = 4;

/// Retries saved up at the start of a chain.
const OUTER_SAVINGS: u32 = 100;

/// Retries saved up further in.
const INNER_SAVINGS: u32 = 4;

/// Where in a chain of calls a request reached this gate, as its `ggs-attempt` header says.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ChainPosition {
    /// No gate handled the call before.
    FirstHop,
    /// A gate handled the call before, and has not retried it.
    LaterHop,
    /// A gate handled the call before, and is retrying it.
    Retried,
}

impl ChainPosition {
    /// The place that the value of the `ggs-attempt` header stands for. A value that is not a number
    /// gets no retries.
    ///
    /// ```
    /// use ggs_limit::ChainPosition;
    ///
    /// assert_eq!(ChainPosition::from_header(None), ChainPosition::FirstHop);
    /// assert_eq!(ChainPosition::from_header(Some("0")), ChainPosition::LaterHop);
    /// assert_eq!(ChainPosition::from_header(Some("1")), ChainPosition::Retried);
    /// ```
    pub fn from_header(value: Option<&str>) -> Self {
        match value.map(|text| text.trim().parse::<u32>()) {
            None => Self::FirstHop,
            Some(Ok(0)) => Self::LaterHop,
            Some(_) => Self::Retried,
        }
    }
}

/// Retries that a gate may still spend on one service.
///
/// ```
/// use ggs_limit::{ChainPosition, ChainBudget};
///
/// let mut allowance = ChainBudget::new(10);
/// assert!(allowance.take(ChainPosition::FirstHop));
/// assert!(!allowance.take(ChainPosition::FirstHop));
/// for _ in 0..10 {
///     allowance.record_success(ChainPosition::FirstHop);
/// }
/// assert!(allowance.take(ChainPosition::FirstHop));
/// ```
#[derive(Clone, Debug)]
pub struct ChainBudget {
    percent: u32,
    first_hop_units: u32,
    later_hop_units: u32,
}

impl ChainBudget {
    /// An allowance of `percent` of the answered calls; more than 10 counts as 10.
    pub const fn new(percent: u32) -> Self {
        Self {
            percent,
            first_hop_units: if percent == 0 { 0 } else { UNITS_PER_RETRY },
            later_hop_units: 0,
        }
    }

    /// Takes the percentage of a new document; what was earned stays.
    pub const fn set_percent(&mut self, percent: u32) {
        self.percent = percent;
    }

    /// Counts a call that was answered, on its first attempt or on a retry of this gate.
    pub fn record_success(&mut self, position: ChainPosition) {
        let outer = self.percent.min(MAX_PERCENT) * UNITS_PER_PERCENT;
        match position {
            ChainPosition::FirstHop => {
                let cap = OUTER_SAVINGS * UNITS_PER_RETRY;
                self.first_hop_units = (self.first_hop_units + outer).min(cap);
            }
            ChainPosition::LaterHop => {
                let cap = INNER_SAVINGS * UNITS_PER_RETRY;
                self.later_hop_units = (self.later_hop_units + outer.min(INNER_UNITS)).min(cap);
            }
            ChainPosition::Retried => {}
        }
    }

    /// Takes one retry; false when none is left.
    pub const fn take(&mut self, position: ChainPosition) -> bool {
        let units = match position {
            ChainPosition::FirstHop => &mut self.first_hop_units,
            ChainPosition::LaterHop => &mut self.later_hop_units,
            ChainPosition::Retried => return false,
        };
        if self.percent == 0 || *units < UNITS_PER_RETRY {
            return false;
        }
        *units -= UNITS_PER_RETRY;
        true
    }
}
