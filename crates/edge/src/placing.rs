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

use crate::ask;
use crate::core::EdgeCore;
use crate::ports::EdgeWire;
use crate::request::EdgeRequest;
use crate::service::ServiceState;

/// Servers of the gate's data centre that are asked at once.
const NEAR_ASKS: usize = 8;

/// Servers of other data centres that are asked at once; bytes between data centres are dear.
const FAR_ASKS: usize = 3;

/// Part of a request's work for which a load that was told stays of use, one in this many.
const FRESH_PARTS: u32 = 4;

/// Shortest time for which a load that was told stays of use.
const MIN_FRESH: Duration = Duration::from_millis(8);

/// Longest time for which a load that was told stays of use; the pace of servers changes within
/// hundreds of milliseconds.
const MAX_FRESH: Duration = Duration::from_millis(40);

/// Why no server takes a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PlaceRefusal {
    /// The best server, if any has room in its queue.
    pub(crate) best: Option<Placement>,
    /// Time after which the caller may come back.
    pub(crate) retry_after: Duration,
}

/// Finds a server for a request.
pub(crate) async fn place<W, S>(
    core: &Rc<EdgeCore<W, S>>,
    service: &Rc<ServiceState>,
    request: &EdgeRequest,
    path: Option<&Uri>,
    tried: &[ServerKey],
) -> Result<Placement, PlaceRefusal>
where
    W: EdgeWire,
    S: 'static,
{
    let rule = request.route.rule();
    let estimate = service.work(rule);
    let (work, far_cost) = (estimate.mean(), estimate.far_cost());
    let fresh = (work / FRESH_PARTS).clamp(MIN_FRESH, MAX_FRESH);
    let mut stage = ProbeStage::Known;
    loop {
        let now = core.clock.now();
        let query = PlacementQuery {
            work,
            far_cost,
            saturation_slowdown: estimate.saturation_slowdown(),
            since: now - fresh,
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
                ask_stale(core, service, ServerScope::Near, path, now - fresh).await;
                stage = ProbeStage::Near;
            }
            PlacementDecision::ProbeFar => {
                ask_stale(core, service, ServerScope::Far, path, now - fresh).await;
                stage = ProbeStage::All;
            }
            PlacementDecision::Wait(pause) => {
                sleep(pause).await;
                stage = ProbeStage::Known;
            }
            PlacementDecision::Refuse(retry_after) => {
                let best = input.best;
                return Err(PlaceRefusal { best, retry_after });
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
    let told = near.into_iter().chain(far);
    let told = told.min_by(|one, other| one.rank.total_cmp(&other.rank));
    if told.is_some() {
        return told;
    }
    let blind = table.best_by_in_flight(ServerScope::Near, query);
    blind.or_else(|| table.best_by_in_flight(ServerScope::Far, query))
}

/// Asks servers of a scope whose load was not told since `since`.
async fn ask_stale<W, S>(
    core: &Rc<EdgeCore<W, S>>,
    service: &Rc<ServiceState>,
    scope: ServerScope,
    path: Option<&Uri>,
    since: Moment,
) where
    W: EdgeWire,
    S: 'static,
{
    let Some(path) = path.filter(|_| service.tells_load()) else {
        return;
    };
    let now = core.clock.now();
    let count = match scope {
        ServerScope::Near => NEAR_ASKS,
        ServerScope::Far => FAR_ASKS,
    };
    let mut plan = {
        let mut table = service.table.borrow_mut();
        table.stale_servers(count, scope, since, now)
    };
    let granted = core.asks.borrow_mut().take(plan.len(), now);
    plan.truncate(granted);
    ask::ask(core, service, &plan, path).await;
}
