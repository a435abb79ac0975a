//! Decides whether a request is sent, waits or is refused, and when more servers are probed.
//!
//! Each decision depends only on the best server known so far and on the time that the request has
//! left. The caller of [`decide_placement`] carries the decision out and calls it again.

use std::time::Duration;

use strum::{Display, IntoStaticStr};

use crate::Placement;

/// Share of the time left that an expected answer may take. The rest is a margin, since processing
/// times vary.
const USABLE_TIME_PERCENT: u32 = 85;

/// A request without a suitable server waits for at most the objective divided by this. Callers
/// count a refusal as prompt up to that time.
const MAX_WAIT_DIVISOR: u32 = 8;

/// Longest expected time, in percent of the usual processing time, at which a request is sent
/// without probes. The cost of another data centre is added to it, as a near server may be slower
/// by as much as an answer from another data centre would cost.
const UNPROBED_PERCENT: u32 = 150;

/// Longest expected time, in percent of the usual processing time, at which a request is sent to a
/// probed server of the same data centre without probes to other data centres. The cost of another
/// data centre is added to it, as for [`UNPROBED_PERCENT`].
const PROBED_NEAR_PERCENT: u32 = 200;

/// Time that a request waits before servers are probed again.
const PROBE_AGAIN_AFTER: Duration = Duration::from_millis(12);

/// Shortest time after which a refused caller is told to retry.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);

/// Which servers have been probed for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ProbeStage {
    /// None: only loads that are already known count.
    Known,
    /// Servers of the gate's data centre.
    Near,
    /// Servers of all data centres. Also reached if the gate's own is the only one.
    All,
}

/// What is known about a request when its placement is decided.
#[derive(Clone, Copy, Debug)]
pub struct PlacementInput {
    /// The best server that the gate knows of; one of its own data centre before
    /// [`ProbeStage::All`].
    pub best: Option<Placement>,
    /// Usual processing time of the request on a server with a free slot.
    pub work: Duration,
    /// Time added to the rank of servers in other data centres.
    pub far_cost: Duration,
    /// Time within which the caller wants the answer.
    pub objective: Duration,
    /// Time since the gate read the request.
    pub held: Duration,
    /// Time until the request's deadline.
    pub time_left: Duration,
    /// Time until the first server wants requests again; `None` if one does now.
    pub rest_left: Option<Duration>,
    /// Whether it gives way to more urgent requests, as the service lacks room.
    pub gives_way: bool,
    /// Which servers have been probed.
    pub stage: ProbeStage,
}

/// What happens next to a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlacementDecision {
    /// Send to the best server.
    Send(Placement),
    /// Probe servers of the gate's data centre.
    ProbeNear,
    /// Probe servers of other data centres too.
    ProbeFar,
    /// Wait for this time, then start over with the loads known by then.
    Wait(Duration),
    /// Refuse the request; the caller may retry after this time.
    Refuse(Duration),
}

/// Decides what happens next to a request, given the loads that are known.
///
/// The rules are made for a fleet in which some servers have a free slot and most are slow or full:
///
/// 1. A request goes to a near server without probes if that server is known to have a free slot
///    and to run at about its usual speed.
/// 2. Otherwise near servers are probed, then those of other data centres, each time to find a
///    server that is expected to answer within the objective.
/// 3. If there is none, the request waits for as long as a refusal still counts as prompt.
/// 4. If all servers want rest, it waits only if that ends within the same time.
/// 5. A request that gives way takes no server's last free slot and queues nowhere.
/// 6. After that it goes to a server that is expected to answer late but before the deadline, and
///    is refused if there is no such server.
///
/// ```
/// use std::time::Duration;
/// use ggs_place::{PlacementDecision, PlacementInput, ProbeStage, decide_placement};
///
/// let second = Duration::from_secs(1);
/// let input = PlacementInput {
///     best: None,
///     work: second / 10,
///     far_cost: second / 100,
///     objective: second,
///     held: second,
///     time_left: second,
///     rest_left: None,
///     gives_way: false,
///     stage: ProbeStage::All,
/// };
/// assert!(matches!(decide_placement(&input), PlacementDecision::Refuse(_)));
/// ```
pub fn decide_placement(input: &PlacementInput) -> PlacementDecision {
    if let Some(rest) = input.rest_left {
        return decide_while_resting(input, rest);
    }
    let objective_limit = with_margin(input.objective.saturating_sub(input.held));
    // The last free slot of a server, and its queue, are left to more urgent requests.
    let best = input
        .best
        .filter(|best| !(input.gives_way && best.saturates));
    let input = &PlacementInput { best, ..*input };
    let within = |percent: u32| {
        let limit = objective_limit.min(input.work * percent / 100 + input.far_cost);
        best.filter(|best| best.has_slot && best.expected <= limit)
    };
    match input.stage {
        ProbeStage::Known => {
            within(UNPROBED_PERCENT).map_or(PlacementDecision::ProbeNear, PlacementDecision::Send)
        }
        ProbeStage::Near => {
            within(PROBED_NEAR_PERCENT).map_or(PlacementDecision::ProbeFar, PlacementDecision::Send)
        }
        ProbeStage::All => decide_after_probes(input, objective_limit),
    }
}

/// Decides while no server wants requests for the time of `rest`.
fn decide_while_resting(input: &PlacementInput, rest: Duration) -> PlacementDecision {
    if input.held + rest <= input.objective / MAX_WAIT_DIVISOR {
        PlacementDecision::Wait(rest)
    } else {
        PlacementDecision::Refuse(rest.max(MIN_RETRY_AFTER))
    }
}

/// Decides once servers of all data centres have been probed.
fn decide_after_probes(input: &PlacementInput, objective_limit: Duration) -> PlacementDecision {
    if let Some(best) = input.best.filter(|best| best.expected <= objective_limit) {
        return PlacementDecision::Send(best);
    }
    if input.held + PROBE_AGAIN_AFTER <= input.objective / MAX_WAIT_DIVISOR {
        return PlacementDecision::Wait(PROBE_AGAIN_AFTER);
    }
    match input.best {
        Some(best) if best.expected <= with_margin(input.time_left) => {
            PlacementDecision::Send(best)
        }
        Some(best) => {
            let excess = best.expected.saturating_sub(input.work);
            PlacementDecision::Refuse(excess.max(MIN_RETRY_AFTER))
        }
        None => PlacementDecision::Refuse(input.work.max(MIN_RETRY_AFTER)),
    }
}

/// The share of `time` that an expected answer may take.
fn with_margin(time: Duration) -> Duration {
    time * USABLE_TIME_PERCENT / 100
}
