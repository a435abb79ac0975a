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
pub enum AskStage {
    /// Only loads that happen to be known are used.
    Known,
    /// Servers of the gate's data centre were asked.
    Near,
    /// Servers of all data centres were asked, or there are no others.
    All,
}

/// What is known when a request is to be placed.
#[derive(Clone, Copy, Debug)]
pub struct MoveFacts {
    /// The best server of those whose load is known.
    pub best: Option<Placement>,
    /// Work of the request on a free server of the usual pace.
    pub work: Duration,
    /// Time that bringing the answer from another data centre is ranked at.
    pub crossing: Duration,
    /// Time within which the caller wants the answer.
    pub objective: Duration,
    /// Time since the request was read.
    pub held: Duration,
    /// Time until the caller is no longer served.
    pub time_left: Duration,
    /// How far servers were asked.
    pub stage: AskStage,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum NextMove {
    /// Send to the best server.
    Send(Placement),
    /// Ask servers of the gate's data centre.
    AskNear,
    /// Ask servers of other data centres too.
    AskFar,
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
/// use ggs_place::{AskStage, MoveFacts, NextMove, next_move};
///
/// let second = Duration::from_secs(1);
/// let facts = MoveFacts {
///     best: None,
///     work: second / 10,
///     crossing: second / 100,
///     objective: second,
///     held: second,
///     time_left: second,
///     stage: AskStage::All,
/// };
/// assert!(matches!(next_move(&facts), NextMove::Refuse(_)));
/// ```
pub fn next_move(facts: &MoveFacts) -> NextMove {
    let promptly = fit(facts.objective.saturating_sub(facts.held));
    let best = facts.best;
    let within = |percent: u32| {
        let limit = promptly.min(facts.work * percent / 100 + facts.crossing);
        best.filter(|best| best.has_slot && best.expected <= limit)
    };
    match facts.stage {
        AskStage::Known => within(UNASKED_PERCENT).map_or(NextMove::AskNear, NextMove::Send),
        AskStage::Near => within(ASKED_PERCENT).map_or(NextMove::AskFar, NextMove::Send),
        AskStage::All => last_move(facts, promptly),
    }
}

/// Decides when all servers were asked.
fn last_move(facts: &MoveFacts, promptly: Duration) -> NextMove {
    if let Some(best) = facts.best.filter(|best| best.expected <= promptly) {
        return NextMove::Send(best);
    }
    if facts.held + ASK_AGAIN_AFTER <= facts.objective / HOLD_PARTS {
        return NextMove::Wait(ASK_AGAIN_AFTER);
    }
    match facts.best {
        Some(best) if best.expected <= fit(facts.time_left) => NextMove::Send(best),
        Some(best) => {
            let excess = best.expected.saturating_sub(facts.work);
            NextMove::Refuse(excess.max(MIN_RETRY_AFTER))
        }
        None => NextMove::Refuse(facts.work.max(MIN_RETRY_AFTER)),
    }
}

/// The part of `time` that an expected answer may take.
fn fit(time: Duration) -> Duration {
    time * FIT_PERCENT / 100
}
