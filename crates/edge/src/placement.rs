//! Finds a server for a request, with load probes where the known loads are not good enough.
//!
//! Loads that are already known are tried first, without probes. If no server suits, servers of the
//! gate's data centre are probed, then servers of other data centres. [`decide_placement`] decides
//! at each step; this module carries the decision out.

use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Uri;
use ggs_model::{Clock, Moment};
use ggs_place::{
    DRAWN_PER_PROBE, Placement, PlacementDecision, PlacementInput, PlacementQuery, ProbeStage,
    ServerKey, ServerScope, decide_placement, prefer_connected,
};
use ggs_relay::ConnectionReuse;
use tokio::time::sleep;

use crate::core::EdgeCore;
use crate::ports::EdgeWire;
use crate::probe;
use crate::request::EdgeRequest;
use crate::service::ServiceState;

/// Most servers of the gate's data centre that are probed in one round.
const NEAR_PROBES_COUNT: usize = 8;

/// Most servers of other data centres that are probed in one round. It is lower, as traffic between
/// data centres is expensive.
const FAR_PROBES_COUNT: usize = 3;

/// The time for which a load report is used is the processing time of the request divided by this,
/// but at least [`MIN_LOAD_TTL`] and at most [`MAX_LOAD_TTL`].
const LOAD_TTL_DIVISOR: u32 = 4;

/// Shortest time for which a load report is used.
const MIN_LOAD_TTL: Duration = Duration::from_millis(8);

/// Longest time for which a load report is used. The speed of servers changes within hundreds of
/// milliseconds.
const MAX_LOAD_TTL: Duration = Duration::from_millis(40);

/// Range of the random factor on the time after which callers may retry while all servers rest.
const RETURN_SPREAD: Range<f64> = 1.0..1.2;

/// Refusal of a request for which no server is expected to answer in time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlacementRefusal {
    /// The best server; `None` if no server can be chosen, for example if all queues are full.
    pub(crate) best: Option<Placement>,
    /// Time after which the caller may retry.
    pub(crate) retry_after: Duration,
}

/// Finds a server for a request; servers in `tried` are left out.
///
/// `gives_way` says that more urgent requests need the room that is left. `path` is the health path of the service; without one no server is probed.
pub(crate) async fn place_request<W, S>(
    core: &Rc<EdgeCore<W, S>>,
    service: &Rc<ServiceState>,
    request: &EdgeRequest,
    path: Option<&Uri>,
    tried: &[ServerKey],
    gives_way: bool,
) -> Result<Placement, PlacementRefusal>
where
    W: EdgeWire,
    S: 'static,
{
    let rule = request.route.rule();
    let estimate = service.work(rule);
    let (work, far_cost) = (estimate.mean(), estimate.far_cost());
    let load_ttl = (work / LOAD_TTL_DIVISOR).clamp(MIN_LOAD_TTL, MAX_LOAD_TTL);
    let mut stage = ProbeStage::Known;
    loop {
        let now = core.clock.now();
        let query = PlacementQuery {
            work,
            far_cost,
            saturation_slowdown: estimate.saturation_slowdown(),
            since: now - load_ttl,
            tried,
            now,
        };
        let input = PlacementInput {
            best: best_known(service, stage, &query),
            work,
            far_cost,
            objective: rule.objective,
            held: now.since(request.read_at),
            time_left: request.answer_by.since(now),
            rest_left: service.table.borrow().rest_left(now),
            gives_way,
            stage,
        };
        match decide_placement(&input) {
            PlacementDecision::Send(placement) => return Ok(placement),
            PlacementDecision::ProbeNear => {
                probe_stale(core, service, ServerScope::Near, path, now - load_ttl).await;
                stage = ProbeStage::Near;
            }
            PlacementDecision::ProbeFar => {
                probe_stale(core, service, ServerScope::Far, path, now - load_ttl).await;
                stage = ProbeStage::All;
            }
            PlacementDecision::Wait(pause) => {
                sleep(pause).await;
                stage = ProbeStage::Known;
            }
            PlacementDecision::Refuse(retry_after) => {
                let best = input.best;
                // Callers that were refused for the same rest should not all return at its end.
                let spread = if input.rest_left.is_some() {
                    rand::random_range(RETURN_SPREAD)
                } else {
                    1.0
                };
                let retry_after = retry_after.mul_f64(spread);
                return Err(PlacementRefusal { best, retry_after });
            }
        }
    }
}

/// The best server at a stage of probing.
///
/// Servers of other data centres are considered only at [`ProbeStage::All`]. If no server can be
/// chosen by its load at that stage, one is chosen by this gate's in-flight requests, from the
/// gate's data centre first.
fn best_known(
    service: &ServiceState,
    stage: ProbeStage,
    query: &PlacementQuery<'_>,
) -> Option<Placement> {
    let mut table = service.table.borrow_mut();
    let near = table.best(ServerScope::Near, query);
    if stage < ProbeStage::All {
        return near;
    }
    let far = table.best(ServerScope::Far, query);
    let best = near.into_iter().chain(far);
    let best = best.min_by(|one, other| one.rank.total_cmp(&other.rank));
    if best.is_some() {
        return best;
    }
    let fallback = table.best_by_in_flight(ServerScope::Near, query);
    fallback.or_else(|| table.best_by_in_flight(ServerScope::Far, query))
}

/// Probes servers of a scope that have not reported their load since `since`, as far as the token
/// bucket for probes allows.
async fn probe_stale<W, S>(
    core: &Rc<EdgeCore<W, S>>,
    service: &Rc<ServiceState>,
    scope: ServerScope,
    path: Option<&Uri>,
    since: Moment,
) where
    W: EdgeWire,
    S: 'static,
{
    let Some(path) = path.filter(|_| service.reports_load()) else {
        return;
    };
    let now = core.clock.now();
    let count = match scope {
        ServerScope::Near => NEAR_PROBES_COUNT,
        ServerScope::Far => FAR_PROBES_COUNT,
    };
    let mut keys = {
        let mut table = service.table.borrow_mut();
        let drawn = table.stale_servers(count * DRAWN_PER_PROBE, scope, since, now);
        prefer_connected(drawn, count, |key| {
            let server = table.server(*key);
            server.is_some_and(|server| core.pool.has_idle(server.address, now))
        })
    };
    let granted = core.probes.borrow_mut().take(keys.len(), now);
    keys.truncate(granted);
    probe::probe_servers(core, service, &keys, path, ConnectionReuse::Any).await;
}
