//! Finds a server for a request: known loads first, then questions, near ones before far ones.

use std::rc::Rc;
use std::time::Duration;

use actix_http::Uri;
use ggs_model::{Clock, Moment};
use ggs_place::{
    Placement, PlacementDecision, PlacementInput, PlacementQuery, ProbeStage, ServerKey,
    ServerScope, decide_placement,
};
use tokio::time::sleep;

use crate::core::EdgeCore;
use crate::ports::EdgeWire;
use crate::probe;
use crate::request::EdgeRequest;
use crate::service::ServiceState;

/// Servers of the gate's data centre that are asked at once.
const NEAR_PROBES_COUNT: usize = 8;

/// Servers of other data centres that are asked at once; bytes between data centres are dear.
const FAR_PROBES_COUNT: usize = 3;

/// Part of a request's work for which a load that was told stays of use, one in this many.
const LOAD_AGE_DIVISOR: u32 = 4;

/// Shortest time for which a load that was told stays of use.
const MIN_LOAD_AGE_LIMIT: Duration = Duration::from_millis(8);

/// Longest time for which a load that was told stays of use; the pace of servers changes within
/// hundreds of milliseconds.
const MAX_LOAD_AGE_LIMIT: Duration = Duration::from_millis(40);

/// Why no server takes a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlacementRefusal {
    /// The best server, if any has room in its queue.
    pub(crate) best: Option<Placement>,
    /// Time after which the caller may come back.
    pub(crate) retry_after: Duration,
}

/// Finds a server for a request.
pub(crate) async fn place_request<W, S>(
    core: &Rc<EdgeCore<W, S>>,
    service: &Rc<ServiceState>,
    request: &EdgeRequest,
    path: Option<&Uri>,
    tried: &[ServerKey],
) -> Result<Placement, PlacementRefusal>
where
    W: EdgeWire,
    S: 'static,
{
    let rule = request.route.rule();
    let estimate = service.work(rule);
    let (work, far_cost) = (estimate.mean(), estimate.far_cost());
    let age_limit = (work / LOAD_AGE_DIVISOR).clamp(MIN_LOAD_AGE_LIMIT, MAX_LOAD_AGE_LIMIT);
    let mut stage = ProbeStage::Known;
    loop {
        let now = core.clock.now();
        let query = PlacementQuery {
            work,
            far_cost,
            saturation_slowdown: estimate.saturation_slowdown(),
            since: now - age_limit,
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
            stage,
        };
        match decide_placement(&input) {
            PlacementDecision::Send(placement) => return Ok(placement),
            PlacementDecision::ProbeNear => {
                probe_stale(core, service, ServerScope::Near, path, now - age_limit).await;
                stage = ProbeStage::Near;
            }
            PlacementDecision::ProbeFar => {
                probe_stale(core, service, ServerScope::Far, path, now - age_limit).await;
                stage = ProbeStage::All;
            }
            PlacementDecision::Wait(pause) => {
                sleep(pause).await;
                stage = ProbeStage::Known;
            }
            PlacementDecision::Refuse(retry_after) => {
                let best = input.best;
                return Err(PlacementRefusal { best, retry_after });
            }
        }
    }
}

/// The best server at a stage of asking; far ones count once they were asked.
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

/// Asks servers of a scope whose load was not told since `since`.
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
        table.stale_servers(count, scope, since, now)
    };
    let granted = core.asks.borrow_mut().take(keys.len(), now);
    keys.truncate(granted);
    probe::probe_servers(core, service, &keys, path).await;
}
