//! What to do with a request after servers were asked.

use std::time::Duration;

use strum::{Display, IntoStaticStr};

use crate::Placement;

/// Share of the time left within which an answer must be expected, in percent; the rest covers the
/// spread of the work.
const FIT_PERCENT: u32 = 85;

/// Share of the objective for which a request that no server fits may be held, one in this many.
/// Callers count a refusal as prompt up to then.
const HOLD_PARTS: u32 = 8;

/// Time in which a server that is taken unasked must be expected to answer, in percent of the work.
const UNASKED_PERCENT: u32 = 150;

/// Time in which a near server must be expected to answer for those of other data centres not to be
/// asked, in percent of the work.
const ASKED_PERCENT: u32 = 200;

/// Pause before servers are asked again.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(12);

/// Shortest time after which a caller is told to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);

/// How far servers were asked for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum ProbeStage {
    /// Only loads that happen to be known are used.
    Known,
    /// Servers of the gate's data centre were asked.
    Near,
    /// Servers of all data centres were asked, or there are no others.
    All,
}

/// What is known when a request is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct PlacementInput {
    /// The best server of those whose load is known.
    pub best: Option<Placement>,
    /// Work of the request on a free server of the usual pace.
    pub work: Duration,
    /// Time that bringing the answer from another data centre is ranked at.
    pub far_cost: Duration,
    /// Time within which the caller wants the answer.
    pub objective: Duration,
    /// Time since the request was read.
    pub held: Duration,
    /// Time until the caller is no longer served.
    pub time_left: Duration,
    /// How far servers were asked.
    pub stage: ProbeStage,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PlacementDecision {
    /// Send to the best server.
    Send(Placement),
    /// Ask servers of the gate's data centre.
    ProbeNear,
    /// Ask servers of other data centres too.
    ProbeFar,
    /// Ask again after this time.
    Wait(Duration),
    /// Refuse; the caller may come back after this time.
    Refuse(Duration),
}

/// Decides what follows from the loads that are known.
///
/// It answers the load at which some servers have a free slot and most are slow or full. A near server
/// with a free slot and about its usual pace is taken unasked. Else near servers are asked, then those
/// of other data centres, each time for one that is expected to answer within the objective. Else the
/// request waits as long as a refusal still counts as prompt, then goes to a server that answers late
/// but before the caller leaves, and is refused if there is none.
///
/// ```
/// use std::time::Duration;
/// use ggs_place::{ProbeStage, PlacementInput, PlacementDecision, decide_placement};
///
/// let second = Duration::from_secs(1);
/// let input = PlacementInput {
///     best: None,
///     work: second / 10,
///     far_cost: second / 100,
///     objective: second,
///     held: second,
///     time_left: second,
///     stage: ProbeStage::All,
/// };
/// assert!(matches!(decide_placement(&input), PlacementDecision::Refuse(_)));
/// ```
pub fn decide_placement(input: &PlacementInput) -> PlacementDecision {
    let objective_limit = with_margin(input.objective.saturating_sub(input.held));
    let best = input.best;
    let within = |percent: u32| {
        let limit = objective_limit.min(input.work * percent / 100 + input.far_cost);
        best.filter(|best| best.has_slot && best.expected <= limit)
    };
    match input.stage {
        ProbeStage::Known => {
            within(UNASKED_PERCENT).map_or(PlacementDecision::ProbeNear, PlacementDecision::Send)
        }
        ProbeStage::Near => {
            within(ASKED_PERCENT).map_or(PlacementDecision::ProbeFar, PlacementDecision::Send)
        }
        ProbeStage::All => decide_after_probes(input, objective_limit),
    }
}

/// Decides when all servers were asked.
fn decide_after_probes(input: &PlacementInput, objective_limit: Duration) -> PlacementDecision {
    if let Some(best) = input.best.filter(|best| best.expected <= objective_limit) {
        return PlacementDecision::Send(best);
    }
    if input.held + ASK_AGAIN_AFTER <= input.objective / HOLD_PARTS {
        return PlacementDecision::Wait(ASK_AGAIN_AFTER);
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

/// The part of `time` that an expected answer may take.
fn with_margin(time: Duration) -> Duration {
    time * FIT_PERCENT / 100
}
