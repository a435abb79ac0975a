//! Keeps to the limits that servers name for all gates together.
//!
//! All requests to such a server leave from one gate of its data centre, which spaces them by the
//! limit. The gates agree on it by hashing the server's name over the gates that serve callers, so
//! the limit holds without messages for each request, however many gates there are, and one gate
//! gets enough requests to use it. Two gates may choose differently until a lease has expired. Gates
//! of other data centres send nothing.
//!
//! Heartbeats carry the limits, as a gate that sends nothing to a server sees none of its answers.

use std::time::Duration;

use actix_http::header::HeaderMap;
use ggs_limit::{LimitChange, LimitState, NamedLimit};
use ggs_member::choose_group;
use ggs_model::{Clock, Moment};
use ggs_observe::LogEvent;

use crate::core::EdgeCore;
use crate::datagrams::LimitBody;
use crate::ports::EdgeWire;

/// Mean time for which a limit is taken to hold without news, for each gate of the fleet. When it has
/// expired, a gate sends one request; all gates together send about one per second.
const LIMIT_TTL_PER_GATE: Duration = Duration::from_secs(1);

/// Shortest mean time for which a limit is taken to hold without news; some heartbeats may be lost.
const MIN_LIMIT_TTL: Duration = Duration::from_secs(10);

/// Requests per second to a server whose limit has expired, until it answers.
const TRIAL_RATE: f64 = 0.01;

/// Most limits in a heartbeat; each takes about 30 bytes.
const MAX_LIMITS_COUNT: usize = 30;

impl<W, S> EdgeCore<W, S> {
    /// Records the limit in an answer to a request of a caller, which names none if the server does
    /// not limit requests.
    pub(crate) fn observe_answer_limit(&self, instance: &str, headers: &HeaderMap)
    where
        W: EdgeWire,
    {
        self.observe_limit(instance, self.wire.read_limit(headers));
    }

    /// Records the limit in the answer to a load probe, if it names one.
    pub(crate) fn observe_probe_limit(&self, instance: &str, headers: &HeaderMap)
    where
        W: EdgeWire,
    {
        if let limit @ Some(_) = self.wire.read_limit(headers) {
            self.observe_limit(instance, limit);
        }
    }

    /// Records what a server has just said.
    fn observe_limit(&self, instance: &str, per_second: Option<f64>) {
        let limit = NamedLimit {
            per_second,
            named_at: self.clock.now(),
        };
        self.record_limit(instance, limit, "answer");
    }

    /// Records what another gate knows.
    pub(crate) fn apply_peer_limits(&self, limits: &[LimitBody]) {
        let now = self.clock.now();
        for body in limits {
            let limit = NamedLimit {
                per_second: body.per_second,
                named_at: now - Duration::from_millis(body.age_ms),
            };
            self.record_limit(&body.instance, limit, "gate");
        }
    }

    /// Records a limit, and applies it if it differs from the known one. A server may change its rate
    /// each second, so only its beginning and its end are logged.
    fn record_limit(&self, instance: &str, limit: NamedLimit, source: &'static str) {
        let ttl = (LIMIT_TTL_PER_GATE * self.fleet_size() as u32).max(MIN_LIMIT_TTL);
        // Random jitter, so that gates do not try a server again at the same time.
        let ttl = ttl.mul_f64(rand::random_range(0.5..1.5));
        let change = {
            let mut limits = self.server_limits.borrow_mut();
            limits.observe(instance, limit, ttl)
        };
        match change {
            LimitChange::Unchanged => return,
            LimitChange::Rate => {}
            LimitChange::State => {
                let pairs = slog::o!(
                    "server" => instance.to_owned(),
                    "per_second" => limit.per_second,
                    "source" => source,
                );
                let message = "server began or ceased to name a limit";
                self.log.emit(LogEvent::ServerLimited, message, pairs);
            }
        }
        let state = limit
            .per_second
            .map_or(LimitState::Unlimited, LimitState::Limited);
        self.apply_limit(instance, state);
    }

    /// The known limits as other gates get them, newest first.
    pub(crate) fn encode_limits(&self) -> Vec<LimitBody> {
        let now = self.clock.now();
        let limits = self.server_limits.borrow();
        let bodies = limits.newest().map(|(instance, limit)| LimitBody {
            instance: instance.to_owned(),
            per_second: limit.per_second,
            age_ms: now.since(limit.named_at).as_millis() as u64,
        });
        bodies.take(MAX_LIMITS_COUNT).collect()
    }

    /// Applies all known limits again, as gates or servers may have changed, and forgets those that
    /// ended long ago.
    pub(crate) fn refresh_limits(&self, now: Moment) {
        let mut limits = self.server_limits.borrow_mut();
        for instance in limits.expire(now) {
            self.apply_limit(&instance, LimitState::Unlimited);
        }
        for (instance, state) in limits.states(now) {
            self.apply_limit(instance, state);
        }
        self.refresh_cold_limits(now);
    }

    /// Sets what this gate may send to a server.
    fn apply_limit(&self, instance: &str, state: LimitState) {
        let Some((service, key)) = self.find_server(instance) else {
            return;
        };
        let mut table = service.table.borrow_mut();
        let near = table.server(key).is_some_and(|server| server.near);
        let quota = match state {
            LimitState::Unlimited => None,
            LimitState::Trial => Some(TRIAL_RATE),
            LimitState::Limited(limit) if near && self.sends_limited(instance) => Some(limit),
            LimitState::Limited(_) => Some(0.0),
        };
        table.set_quota(key, quota, self.clock.now());
    }

    /// Whether this gate is the one of its data centre that sends to a limited server.
    pub(crate) fn sends_limited(&self, instance: &str) -> bool {
        let serving = self.serving.borrow();
        let chosen = choose_group(instance, &serving);
        chosen.first() == Some(&self.settings().listen_callers)
    }
}
