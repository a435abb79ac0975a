//! What a gate was granted of a quota.

use std::net::SocketAddr;
use std::time::Duration;

use ggs_model::Moment;

use super::{QuotaAsk, QuotaGrant, QuotaRule};

/// Time after which a granted request that was not sent expires. It bounds how many requests may be
/// sent later than the holder counted them.
const GRANT_TTL: Duration = Duration::from_millis(400);

/// Time for which a gate asks ahead.
const ASK_AHEAD: Duration = Duration::from_millis(250);

/// Time after a grant that was short of what was wanted for which the quota counts as short.
const SHORT_TIME: Duration = Duration::from_secs(1);

/// Time over which the rate of requests is averaged.
const DEMAND_TIME: f64 = 1.0;

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StockDecision {
    /// It may.
    Granted,
    /// It may not; the caller may retry after this time.
    Refused(Duration),
    /// The gate has to ask the holder.
    Ask,
    /// The gate waits for the answer of the holder.
    Wait,
}

/// What one gate was granted of one quota.
///
/// ```
/// use std::time::Duration;
/// use ggs_limit::{QuotaGrant, QuotaStock, StockDecision};
/// use ggs_model::Moment;
///
/// let (now, holder) = (Moment::ZERO, "10.0.0.1:80".parse().unwrap());
/// let mut stock = QuotaStock::new(0.0);
/// assert_eq!(stock.take(false, now), StockDecision::Ask);
/// stock.join();
/// assert_eq!(stock.start_ask(holder, now).waiting, 1);
/// let pause = Duration::from_millis(50);
/// stock.end_ask(&QuotaGrant { granted: 1, pause, retry_after: 2 * pause }, now);
/// assert_eq!(stock.retake(now), StockDecision::Granted);
/// stock.leave();
/// assert_eq!(stock.take(false, now), StockDecision::Refused(2 * pause));
/// ```
#[derive(Clone, Debug)]
pub struct QuotaStock {
    tokens: u32,
    expires_at: Moment,
    granted_by: Option<SocketAddr>,
    /// Tokens that expired and are to be returned to the gate that granted them.
    unused: u32,
    refused_until: Moment,
    /// Until when the quota counts as short.
    short_until: Moment,
    retry_after: Duration,
    /// Requests that were refused since the last question.
    refused: u32,
    waiting: u32,
    is_asking: bool,
    /// Requests per second, averaged.
    demand: f64,
    counted_at: Moment,
    /// What this gate may send while no holder answers: a token bucket for its equal share.
    spare: f64,
    spared_at: Option<Moment>,
}

impl QuotaStock {
    /// An empty stock. `phase`, from 0 to 1, is the part of a request that the gate has in its own share
    /// from the start, while no holder answers; gates draw it at random, so that they do not all have
    /// their first request at the same moment.
    pub const fn new(phase: f64) -> Self {
        Self {
            tokens: 0,
            expires_at: Moment::ZERO,
            granted_by: None,
            unused: 0,
            refused_until: Moment::ZERO,
            short_until: Moment::ZERO,
            retry_after: Duration::ZERO,
            refused: 0,
            waiting: 0,
            is_asking: false,
            demand: 0.0,
            counted_at: Moment::ZERO,
            spare: phase,
            spared_at: None,
        }
    }

    /// Decides on a request that has just arrived. One whose answer would come `late` is refused while the
    /// quota is short, as another can be answered in time instead.
    pub fn take(&mut self, late: bool, now: Moment) -> StockDecision {
        if late && now < self.short_until {
            self.refused += 1;
            return StockDecision::Refused(self.retry_after);
        }
        self.note_demand(now);
        self.retake(now)
    }

    /// Starts to count a request as waiting for the holder.
    pub const fn join(&mut self) {
        self.waiting += 1;
    }

    /// Stops counting a request that waits.
    pub const fn leave(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Decides on a request that arrived earlier.
    pub fn retake(&mut self, now: Moment) -> StockDecision {
        self.expire(now);
        if self.tokens > 0 {
            self.tokens -= 1;
            return StockDecision::Granted;
        }
        if now < self.refused_until {
            self.refused += 1;
            return StockDecision::Refused(self.retry_after);
        }
        if self.is_asking {
            return StockDecision::Wait;
        }
        self.is_asking = true;
        StockDecision::Ask
    }

    /// The question to a holder.
    pub fn start_ask(&mut self, holder: SocketAddr, now: Moment) -> QuotaAsk {
        self.expire(now);
        let returned = if self.granted_by == Some(holder) {
            self.unused
        } else {
            0
        };
        self.unused = 0;
        self.granted_by = Some(holder);
        let refused = std::mem::take(&mut self.refused);
        QuotaAsk {
            waiting: self.waiting,
            ahead: (self.demand * ASK_AHEAD.as_secs_f64()) as u32,
            returned,
            refused,
        }
    }

    /// Adds what a holder granted.
    pub fn end_ask(&mut self, grant: &QuotaGrant, now: Moment) {
        self.is_asking = false;
        self.tokens += grant.granted;
        self.expires_at = now + GRANT_TTL;
        self.refused_until = now + grant.pause;
        if !grant.pause.is_zero() {
            self.short_until = now + SHORT_TIME;
        }
        self.retry_after = grant.retry_after;
    }

    /// Notes that no holder answered.
    pub const fn fail_ask(&mut self) {
        self.is_asking = false;
    }

    /// Takes a request from the gate's own share while no holder answers: `per_second` of the quota in a
    /// fleet of `gates`.
    pub fn take_spare(&mut self, rule: &QuotaRule, gates: usize, now: Moment) -> bool {
        let share = rule.per_second / gates.max(1) as f64;
        let since = self.spared_at.replace(now).unwrap_or(now);
        let elapsed = now.since(since).as_secs_f64();
        self.spare = (self.spare + elapsed * share).min(share.max(1.0));
        if self.spare < 1.0 {
            return false;
        }
        self.spare -= 1.0;
        true
    }

    /// Gives back a request that was granted and reached no server.
    pub fn refund(&mut self, now: Moment) {
        self.expire(now);
        if self.tokens == 0 {
            self.expires_at = now + GRANT_TTL;
        }
        self.tokens += 1;
    }

    /// Requests that the gate may still send without asking.
    pub fn tokens(&self, now: Moment) -> u32 {
        if now < self.expires_at {
            self.tokens
        } else {
            0
        }
    }

    /// Whether nothing happened for `time`, so that the stock can be dropped.
    pub fn is_idle(&self, time: Duration, now: Moment) -> bool {
        self.waiting == 0 && !self.is_asking && now.since(self.counted_at) >= time
    }

    /// Takes back tokens that have expired.
    fn expire(&mut self, now: Moment) {
        if self.tokens > 0 && now >= self.expires_at {
            // After a suspension the holder may have restarted, or granted them again.
            let is_recent = now.since(self.expires_at) < GRANT_TTL;
            self.unused = if is_recent { self.tokens } else { 0 };
            self.tokens = 0;
        }
    }

    /// Updates the rate of requests with one that arrives.
    fn note_demand(&mut self, now: Moment) {
        let elapsed = now.since(self.counted_at).as_secs_f64();
        self.counted_at = now;
        self.demand = self.demand * (-elapsed / DEMAND_TIME).exp() + 1.0 / DEMAND_TIME;
    }
}
