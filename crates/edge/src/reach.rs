//! Whether this gate reaches the servers of each service, and trials of those that it does not reach.
//!
//! A gate that reaches no server of a service sends nothing to them by itself, so trials on new
//! connections find out when the path is restored. A trial is a load probe that takes no token: the
//! bucket of a gate may be empty for good, as in a data centre without servers. Trials have a part of
//! the fleet's probes of their own instead.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Uri;
use ggs_model::{Clock, Moment};
use ggs_observe::LogEvent;
use ggs_place::ServerKey;
use ggs_reach::{ReachEvent, ReachState, ServerReach};
use ggs_relay::ConnectionReuse;
use rand::seq::IteratorRandom;
use tokio::time::sleep;

use crate::core::EdgeCore;
use crate::ports::EdgeWire;
use crate::probe;
use crate::service::ServiceState;

/// Shortest mean time between two trials of the servers of a service.
const MIN_TRIAL_PERIOD: Duration = Duration::from_millis(300);

/// Longest mean time between two trials of the servers of a service.
const MAX_TRIAL_PERIOD: Duration = Duration::from_secs(30);

/// Range of the random factor on it, so that gates do not return to the servers at the same time.
const TRIAL_JITTER: Range<f64> = 0.7..1.3;

/// Time between two checks whether servers have to be tried.
const CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Servers of a service in one trial.
const TRIAL_COUNT: usize = 2;

/// Fraction of the allowed load probes for the trials of all gates together, even if none of them
/// reaches the servers. Load probes before requests leave it.
const TRIAL_FRACTION: f64 = 0.2;

impl<W, S> EdgeCore<W, S> {
    /// How far this gate reaches the servers of a service: not if it reaches none of any service.
    pub(crate) fn reach_state(&self, service: &ServiceState) -> ReachState {
        let of_service = service.reach.borrow().state();
        of_service.max(self.reach.borrow().state())
    }

    /// Mean time between two trials of the servers of a service.
    pub(crate) fn trial_period(&self, service: &ServiceState) -> Duration {
        let servers = service.table.borrow().len();
        let allowed = self.settings().bounds.probes_per_second * TRIAL_FRACTION;
        let per_second = allowed * servers as f64 / self.fleet_size() as f64;
        let seconds = TRIAL_COUNT.min(servers) as f64 / per_second;
        let period = Duration::try_from_secs_f64(seconds).unwrap_or(MAX_TRIAL_PERIOD);
        period.clamp(MIN_TRIAL_PERIOD, MAX_TRIAL_PERIOD)
    }

    /// Whether servers of a service have to be tried.
    fn needs_trial(&self, service: &ServiceState) -> bool {
        service.reach.borrow().needs_trial() || self.reach.borrow().needs_trial()
    }

    /// Records what was seen at a server, and logs if that changes whether the servers are reached.
    pub(crate) fn note_reach(&self, service: &ServiceState, server: SocketAddr, event: ReachEvent) {
        let listed = service.table.borrow().len();
        self.record_reach(
            &service.reach,
            service.name.as_str(),
            (server, event),
            listed,
        );
        self.record_reach(&self.reach, "all", (server, event), self.server_count());
    }

    /// Records what was seen at one of the `listed` servers of a group.
    fn record_reach(
        &self,
        reach: &RefCell<ServerReach>,
        group: &str,
        (server, event): (SocketAddr, ReachEvent),
        listed: usize,
    ) {
        let mut reach = reach.borrow_mut();
        let before = reach.state();
        reach.record(server, event, listed, self.clock.now());
        let after = reach.state();
        if before == after {
            return;
        }
        let pairs = slog::o!(
            "service" => group.to_owned(),
            "state" => after.to_string(),
            "server" => server.to_string(),
            "seen" => event.to_string(),
            "servers" => listed,
        );
        let (event, message) = match after {
            ReachState::Reached => (
                LogEvent::ServersReached,
                "servers are reached again; requests go to them",
            ),
            _ => (
                LogEvent::ServersUnreachable,
                "servers are not reached; requests go through other gates",
            ),
        };
        self.log.emit(event, message, pairs);
    }
}

/// Tries the servers that this gate does not reach, or may not, until the process ends.
pub(crate) async fn try_servers<W, S>(core: Rc<EdgeCore<W, S>>)
where
    W: EdgeWire,
    S: 'static,
{
    loop {
        sleep(CHECK_PERIOD).await;
        let now = core.clock.now();
        core.gate_pool.sweep(now);
        for service in core.services() {
            if service.tried_again_at.get() > now || !core.needs_trial(&service) {
                continue;
            }
            let period = core.trial_period(&service);
            let pause = period.mul_f64(rand::random_range(TRIAL_JITTER));
            service.tried_again_at.set(now + pause);
            try_service(&core, &service).await;
        }
    }
}

/// Tries a few servers of a service, on new connections.
async fn try_service<W, S>(core: &Rc<EdgeCore<W, S>>, service: &Rc<ServiceState>)
where
    W: EdgeWire,
    S: 'static,
{
    let keys = draw_servers(service, core.clock.now());
    let routes = core.routes();
    let rule = routes
        .as_ref()
        .and_then(|routes| routes.service(service.name.as_str()));
    match rule.and_then(|rule| rule.health_path.parse::<Uri>().ok()) {
        Some(path) => {
            probe::probe_servers(core, service, &keys, &path, ConnectionReuse::Never).await;
        }
        None => {
            for key in keys {
                open_only(core, service, key).await;
            }
        }
    }
}

/// Some servers of a service, drawn at random.
fn draw_servers(service: &ServiceState, now: Moment) -> Vec<ServerKey> {
    let table = service.table.borrow();
    let keys = table.willing_servers(now);
    keys.sample(&mut rand::rng(), TRIAL_COUNT)
}

/// Opens a connection to a server that has no health path. There is nothing to ask it, so the
/// connection counts as an answer.
async fn open_only<W, S>(core: &EdgeCore<W, S>, service: &ServiceState, key: ServerKey) {
    let server = service.table.borrow().server(key).cloned();
    let Some(server) = server else { return };
    if core.open_connection(service, server.address).await.is_ok() {
        core.note_reach(service, server.address, ReachEvent::Answered);
    }
}
