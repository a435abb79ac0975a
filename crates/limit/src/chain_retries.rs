//! Retry budget of one gate for one service, which bounds retry amplification along a chain of
//! calls.
//!
//! Retries at several hops multiply: 24 hops with two attempts each make 2^24 attempts at the last
//! server. Three rules keep the attempts at the end of a chain of 24 gates within 1.2 times the
//! calls, whatever share of the attempts fails and however the failures are correlated:
//!
//! - A gate sends the `ggs-attempt` header with every attempt, and servers copy it to the calls
//!   that they make for the request. A call that arrives with a number above zero is never retried
//!   and adds nothing to the budget, so that the retries of several hops add up and do not
//!   multiply.
//! - The gate at the first hop, which receives no such header, may retry up to 10% of its
//!   successful calls.
//! - Each gate at a later hop may retry 0.4% of its successful calls: enough for broken
//!   connections, not for a server that fails.
//!
//! The sum is at most 1 + 0.1 + 23 * 0.004 = 1.192 attempts per call, plus one attempt per gate at
//! a first hop, whose budget starts with one retry. Only successful calls add to the budget, so a
//! server that fails all its requests soon gets no retries at all.

/// Units that one retry costs. Balances are kept in units to stay integers.
const UNITS_PER_RETRY: u32 = 1_000;

/// Units that a successful call earns for each percent of the budget.
const UNITS_PER_PERCENT: u32 = UNITS_PER_RETRY / 100;

/// Upper bound on the percentage that a document may set; larger values count as this one.
const MAX_PERCENT: u32 = 10;

/// Most units that a successful call earns at a later hop: 0.4% of a retry.
const LATER_HOP_UNITS: u32 = 4;

/// Most retries that the balance for the first hop holds.
const MAX_FIRST_HOP_RETRIES: u32 = 100;

/// Most retries that the balance for later hops holds.
const MAX_LATER_HOP_RETRIES: u32 = 4;

/// Position of this gate in a request's chain of calls, as told by the `ggs-attempt` header.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum ChainPosition {
    /// No gate handled the call before; the header is missing.
    FirstHop,
    /// Earlier gates handled the call, and none has retried it; the header is 0.
    LaterHop,
    /// An earlier gate is retrying the call; the header is above 0 or not a number.
    Retried,
}

impl ChainPosition {
    /// Reads the position from the value of the `ggs-attempt` header. A value that is not a number
    /// counts as [`Retried`](Self::Retried), so the call gets no retries.
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

/// The retries that one gate may still make for one service.
///
/// ```
/// use ggs_limit::{ChainPosition, ChainRetries};
///
/// let mut retries = ChainRetries::new(10);
/// assert!(retries.take(ChainPosition::FirstHop));
/// assert!(!retries.take(ChainPosition::FirstHop));
/// for _ in 0..10 {
///     retries.record_success(ChainPosition::FirstHop);
/// }
/// assert!(retries.take(ChainPosition::FirstHop));
/// ```
#[derive(Clone, Debug)]
pub struct ChainRetries {
    percent: u32,
    first_hop_units: u32,
    later_hop_units: u32,
}

impl ChainRetries {
    /// Creates a budget of `percent` of the successful calls; more than 10 counts as 10.
    ///
    /// The first hop starts with one retry, unless `percent` is 0.
    pub const fn new(percent: u32) -> Self {
        Self {
            percent,
            first_hop_units: if percent == 0 { 0 } else { UNITS_PER_RETRY },
            later_hop_units: 0,
        }
    }

    /// Replaces the percentage when a new document applies; the balances stay.
    pub const fn set_percent(&mut self, percent: u32) {
        self.percent = percent;
    }

    /// Records a call that succeeded, on its first attempt or on a retry by this gate.
    pub fn record_success(&mut self, position: ChainPosition) {
        let earned = self.percent.min(MAX_PERCENT) * UNITS_PER_PERCENT;
        match position {
            ChainPosition::FirstHop => {
                let cap = MAX_FIRST_HOP_RETRIES * UNITS_PER_RETRY;
                self.first_hop_units = (self.first_hop_units + earned).min(cap);
            }
            ChainPosition::LaterHop => {
                let cap = MAX_LATER_HOP_RETRIES * UNITS_PER_RETRY;
                self.later_hop_units =
                    (self.later_hop_units + earned.min(LATER_HOP_UNITS)).min(cap);
            }
            ChainPosition::Retried => {}
        }
    }

    /// Uses the budget for one retry; returns false if none is left for this position.
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
