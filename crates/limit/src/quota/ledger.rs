//! The accounts of the quotas that a gate holds.

use std::mem;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use foldhash::{HashMap, HashMapExt, HashSet};
use ggs_model::Moment;

use super::{HolderStanding, QuotaBounds, QuotaRule};

/// Time in which the gates that ask for a quota, and the requests that were refused, are counted.
const COUNT_PERIOD: Duration = Duration::from_millis(500);

/// Time without a refusal after which a quota is no longer exceeded.
const EXCEEDED_TIME: Duration = Duration::from_secs(2);

/// Time without a question after which a standby no longer trusts its account, as another gate may have
/// been the holder in the meantime: that of some requests of the quota, within a range.
const STANDBY_GAP_REQUESTS: f64 = 8.0;
const STANDBY_GAP_RANGE: (Duration, Duration) =
    (Duration::from_millis(300), Duration::from_secs(1));

/// Time in which both parts of a fleet that has parted notice it. A standby in the smaller part grants
/// little until then, as the holder in the other part still grants all.
const PARTED_TIME: Duration = Duration::from_millis(2_500);

/// Fraction of a quota that such a standby grants.
const BLIND_FRACTION: f64 = 0.1;

/// Time without a question after which an account is closed. It has been full for long then.
const ACCOUNT_TTL: Duration = Duration::from_mins(1);

/// Longest time between two ticks. After a longer one the process was suspended, and other gates have
/// granted what it does not know of. A standby grants little for longer than this.
const MAX_TICK_GAP: Duration = Duration::from_secs(2);

/// Questions that the holder wants for each request that it can grant while a quota is exceeded.
const PAUSE_PER_ASKER: f64 = 2.0;

/// Shortest and longest pause before a gate asks again while a quota is exceeded.
const PAUSE_RANGE: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(400));

/// Longest time after which a refused caller is told to retry.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// What a gate wants of a quota.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuotaAsk {
    /// Requests that wait for the answer.
    pub waiting: u32,
    /// Requests that the gate expects until its grant expires.
    pub ahead: u32,
    /// Requests that were granted by this holder and not sent.
    pub returned: u32,
    /// Requests that the gate has refused since its last question.
    pub refused: u32,
}

/// What a holder grants to a gate.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct QuotaGrant {
    /// Requests that the gate may send.
    pub granted: u32,
    /// Time for which the gate refuses further requests without asking.
    pub pause: Duration,
    /// Time after which refused callers may retry.
    pub retry_after: Duration,
}

/// What a holder knows of itself and of the fleet when it grants.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LedgerView {
    /// Fraction of the fleet that it reaches, from 0 to 1.
    pub reach: f64,
    /// What it is to the quota.
    pub standing: HolderStanding,
}

/// The account of one quota: a token bucket with a token for each request.
#[derive(Clone, Debug)]
struct QuotaAccount {
    tokens: f64,
    counted_at: Moment,
    /// Since when this gate has granted without a long pause.
    opened_at: Moment,
    /// When it last granted in place of a silent gate, and the least part of the fleet that it reached
    /// since it began to.
    blind_at: Option<Moment>,
    blind_reach: f64,
    asked_at: Moment,
    /// Gates that have asked in this counting period.
    askers: HashSet<SocketAddr>,
    /// The number of them in the last one.
    last_askers: usize,
    /// Requests that were refused in this period and in the last one.
    refused: u32,
    last_refused: u32,
    period_ends_at: Moment,
    refused_at: Option<Moment>,
}

impl QuotaAccount {
    /// An account with `tokens`.
    fn new(tokens: f64, now: Moment) -> Self {
        Self {
            tokens,
            counted_at: now,
            opened_at: now,
            blind_at: None,
            blind_reach: 1.0,
            asked_at: now,
            askers: HashSet::default(),
            last_askers: 0,
            refused: 0,
            last_refused: 0,
            period_ends_at: now + COUNT_PERIOD,
            refused_at: None,
        }
    }

    /// Adds the tokens of the time until `now`.
    fn refill(&mut self, rule: &QuotaRule, reach: f64, now: Moment) {
        let elapsed = now.since(self.counted_at).as_secs_f64();
        self.counted_at = now;
        let tokens = self.tokens + elapsed * rule.per_second * reach;
        self.tokens = tokens.min(rule.capacity());
    }

    /// Fraction of the quota that this gate grants.
    fn fraction(&mut self, view: &LedgerView, now: Moment) -> f64 {
        if view.standing != HolderStanding::BlindStandby {
            self.blind_reach = 1.0;
            return view.reach;
        }
        self.blind_at = Some(now);
        // When a parted fleet joins again, the holder is reached again too, and is asked soon.
        self.blind_reach = self.blind_reach.min(view.reach);
        if now.since(self.opened_at) < PARTED_TIME {
            return self.blind_reach.min(BLIND_FRACTION);
        }
        self.blind_reach
    }

    /// Starts a new counting period if the present one is over.
    fn count_periods(&mut self, now: Moment) {
        if now < self.period_ends_at {
            return;
        }
        let is_next = now < self.period_ends_at + COUNT_PERIOD;
        let askers = mem::take(&mut self.askers).len();
        let refused = mem::take(&mut self.refused);
        self.last_askers = if is_next { askers } else { 0 };
        self.last_refused = if is_next { refused } else { 0 };
        self.period_ends_at = now + COUNT_PERIOD;
    }

    /// How long a gate that did not get all it wanted refuses requests, so that the gates ask about as
    /// often as there is something to grant.
    fn pause(&self, rule: &QuotaRule) -> Duration {
        let askers = self.askers.len().max(self.last_askers) as f64;
        let seconds = PAUSE_PER_ASKER * askers / rule.per_second.max(f64::MIN_POSITIVE);
        bounded_time(seconds, PAUSE_RANGE.0, PAUSE_RANGE.1)
    }

    /// Time until the requests that were refused lately could have been sent.
    fn retry_after(&self, rule: &QuotaRule) -> Duration {
        let refused = f64::from(self.refused.max(self.last_refused)).max(1.0);
        let seconds = refused / rule.per_second.max(f64::MIN_POSITIVE);
        bounded_time(seconds, PAUSE_RANGE.0, MAX_RETRY_AFTER)
    }

    /// Whether requests were refused lately.
    fn is_exceeded(&self, now: Moment) -> bool {
        let refused_at = self.refused_at;
        refused_at.is_some_and(|at| now.since(at) < EXCEEDED_TIME)
    }
}

/// Time without a question after which a standby no longer trusts its account.
fn standby_gap(rule: &QuotaRule) -> Duration {
    let seconds = STANDBY_GAP_REQUESTS / rule.per_second.max(f64::MIN_POSITIVE);
    bounded_time(seconds, STANDBY_GAP_RANGE.0, STANDBY_GAP_RANGE.1)
}

/// A time in seconds, bounded.
fn bounded_time(seconds: f64, min: Duration, max: Duration) -> Duration {
    let time = Duration::try_from_secs_f64(seconds).unwrap_or(max);
    time.clamp(min, max)
}

/// The accounts of the quotas that a gate holds, by the name of the quota.
///
/// ```
/// use std::time::Duration;
/// use ggs_limit::{HolderStanding, LedgerView, QuotaAsk, QuotaBounds, QuotaLedger, QuotaRule};
/// use ggs_model::Moment;
///
/// let bounds = QuotaBounds { window: Duration::from_secs(5), over: 0.1, slack: 10.0 };
/// let mut ledger = QuotaLedger::new(Moment::ZERO);
/// let rule = QuotaRule { per_second: 2.0, burst: 2.0 };
/// let view = LedgerView { reach: 1.0, standing: HolderStanding::Preferred };
/// let gate = "10.0.0.1:80".parse().unwrap();
/// let ask = QuotaAsk { waiting: 3, ..QuotaAsk::default() };
/// let mut grant = |now| ledger.grant("a", &rule, &bounds, gate, &ask, &view, now).granted;
/// assert_eq!(grant(Moment::ZERO), 2);
/// assert_eq!(grant(Moment::from_millis(100)), 0);
/// assert_eq!(grant(Moment::from_millis(600)), 1);
/// ```
#[derive(Clone, Debug)]
pub struct QuotaLedger {
    accounts: HashMap<Arc<str>, QuotaAccount>,
    /// Since when this gate has been running without a suspension.
    runs_since: Moment,
    ticked_at: Moment,
    /// Names of the quotas that are exceeded, which were reported.
    exceeded: HashSet<Arc<str>>,
}

/// Quotas that began or ceased to be exceeded.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct LedgerChanges {
    /// Quotas that are exceeded from now on.
    pub exceeded: Vec<Arc<str>>,
    /// Quotas that are no longer exceeded.
    pub restored: Vec<Arc<str>>,
}

impl QuotaLedger {
    /// A ledger without accounts, of a gate that starts at `now`.
    pub fn new(now: Moment) -> Self {
        Self {
            accounts: HashMap::new(),
            runs_since: now,
            ticked_at: now,
            exceeded: HashSet::default(),
        }
    }

    /// Grants a gate a part of a quota.
    #[expect(
        clippy::too_many_arguments,
        reason = "the terms, the question and the circumstances"
    )]
    pub fn grant(
        &mut self,
        name: &str,
        rule: &QuotaRule,
        bounds: &QuotaBounds,
        gate: SocketAddr,
        ask: &QuotaAsk,
        view: &LedgerView,
        now: Moment,
    ) -> QuotaGrant {
        self.note_tick(now);
        let fresh_level = bounds.fresh_level(rule);
        let is_standby = view.standing != HolderStanding::Preferred;
        let knows_window = now.since(self.runs_since) >= bounds.window && !is_standby;
        if !self.accounts.contains_key(name) {
            // Whoever has been the holder for a whole window knows that nothing was granted in it.
            let tokens = if knows_window {
                rule.capacity()
            } else {
                fresh_level
            };
            let account = QuotaAccount::new(tokens, now);
            self.accounts.insert(name.into(), account);
        }
        let Some(account) = self.accounts.get_mut(name) else {
            return QuotaGrant::default();
        };
        if is_standby && now.since(account.asked_at) >= standby_gap(rule) {
            account.tokens = account.tokens.min(fresh_level);
            account.counted_at = now;
            account.opened_at = now;
        }
        account.asked_at = now;
        let fraction = account.fraction(view, now);
        account.refill(rule, fraction, now);
        account.count_periods(now);
        account.askers.insert(gate);
        let returned = f64::from(ask.returned);
        account.tokens = (account.tokens + returned).min(rule.capacity());
        let granted = share_of(account.tokens, ask);
        account.tokens -= f64::from(granted);
        let refused = ask.waiting.saturating_sub(granted) + ask.refused;
        account.refused += refused;
        if refused > 0 {
            account.refused_at = Some(now);
        }
        // Past refusals do not count: a pause causes refusals, and must not keep itself up.
        let is_short = granted < ask.waiting || account.tokens < 1.0;
        QuotaGrant {
            granted,
            pause: if is_short {
                account.pause(rule)
            } else {
                Duration::ZERO
            },
            retry_after: account.retry_after(rule),
        }
    }

    /// Whether the process is known to have run without a suspension since `since`.
    pub fn runs_since(&mut self, now: Moment) -> Moment {
        self.note_tick(now);
        self.runs_since
    }

    /// Closes all accounts after a suspension.
    fn note_tick(&mut self, now: Moment) {
        if now.since(self.ticked_at) >= MAX_TICK_GAP {
            self.accounts.clear();
            self.runs_since = now;
        }
        self.ticked_at = now;
    }

    /// Closes accounts that are no longer used; returns which quotas began or ceased to be exceeded.
    pub fn tick(&mut self, now: Moment) -> LedgerChanges {
        self.note_tick(now);
        self.accounts
            .retain(|_, account| now.since(account.asked_at) < ACCOUNT_TTL);
        let mut changes = LedgerChanges::default();
        for (name, account) in &self.accounts {
            if account.is_exceeded(now) && self.exceeded.insert(Arc::clone(name)) {
                changes.exceeded.push(Arc::clone(name));
            }
        }
        let accounts = &self.accounts;
        let restored = self.exceeded.extract_if(|name| {
            let account = accounts.get(name);
            !account.is_some_and(|account| account.is_exceeded(now))
        });
        changes.restored = restored.collect();
        changes
    }

    /// Quotas of which this gate has become the holder within `time`.
    pub fn opened_within(&self, time: Duration, now: Moment) -> Vec<Arc<str>> {
        let accounts = self.accounts.iter();
        let opened = accounts.filter(|(_, account)| now.since(account.opened_at) < time);
        opened.map(|(name, _)| Arc::clone(name)).collect()
    }

    /// Whether this gate has an account of a quota.
    pub fn has_account(&self, name: &str) -> bool {
        self.accounts.contains_key(name)
    }

    /// Whether this gate has stood in for a silent gate within `time`.
    pub fn is_blind(&self, time: Duration, now: Moment) -> bool {
        let mut accounts = self.accounts.values();
        accounts.any(|account| account.blind_at.is_some_and(|at| now.since(at) < time))
    }

    /// Whether this gate has granted a part of any quota within `time`.
    pub fn is_used(&self, time: Duration, now: Moment) -> bool {
        let mut accounts = self.accounts.values();
        accounts.any(|account| now.since(account.asked_at) < time)
    }
}

/// Requests that are granted of these `tokens`. Requests to come get at most half of what is left, so
/// that one gate does not take what others need now.
fn share_of(tokens: f64, ask: &QuotaAsk) -> u32 {
    let tokens = tokens.max(0.0) as u32;
    let waiting = ask.waiting.min(tokens);
    let ahead = ask.ahead.min((tokens - waiting) / 2);
    waiting + ahead
}
