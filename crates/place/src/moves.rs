//! What to do with a request after servers were asked.

use std::time::Duration;

use crate::Placement;

/// Share of the time left within which an answer must be expected, in percent; the rest covers the
/// spread of the work.
const FIT_PERCENT: u32 = 85;

/// Share of the objective for which a request that no server fits may be held, one in this many.
/// Callers count a refusal as prompt up to then.
const HOLD_PARTS: u32 = 8;

/// Pause before servers are asked again.
const ASK_AGAIN_AFTER: Duration = Duration::from_millis(12);

/// Shortest time after which a caller is told to come back.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(20);

/// What is known when servers have been asked.
#[derive(Clone, Copy, Debug)]
pub struct MoveFacts {
    /// The best server of those asked.
    pub best: Option<Placement>,
    /// Work of the request on a free server of the usual pace.
    pub work: Duration,
    /// Time within which the caller wants the answer.
    pub objective: Duration,
    /// Time since the request was read.
    pub held: Duration,
    /// Time until the caller is no longer served.
    pub time_left: Duration,
    /// Whether servers of other data centres were asked too, or there are none.
    pub asked_far: bool,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextMove {
    /// Send to the best server.
    Send(Placement),
    /// Ask servers of other data centres too.
    AskFar,
    /// Ask again after this time.
    Wait(Duration),
    /// Refuse; the caller may come back after this time.
    Refuse(Duration),
}

/// Decides what follows the answers of the servers that were asked.
///
/// It answers the load at which some servers have a free slot and most are slow or full: a server that
/// is expected to answer within the objective is taken, the nearer one first; else the rest of the
/// fleet is asked; else the request waits as long as a refusal still counts as prompt; else it goes to
/// a server that answers late but before the caller leaves; else it is refused.
///
/// ```
/// use std::time::Duration;
/// use ggs_place::{MoveFacts, NextMove, next_move};
///
/// let second = Duration::from_secs(1);
/// let facts = MoveFacts {
///     best: None,
///     work: second / 10,
///     objective: second,
///     held: second,
///     time_left: second,
///     asked_far: true,
/// };
/// assert!(matches!(next_move(&facts), NextMove::Refuse(_)));
/// ```
pub fn next_move(facts: &MoveFacts) -> NextMove {
    let hold = facts.objective / HOLD_PARTS;
    let promptly = facts.objective.saturating_sub(facts.held);
    let Some(best) = facts.best else {
        return if !facts.asked_far {
            NextMove::AskFar
        } else if facts.held + ASK_AGAIN_AFTER <= hold {
            NextMove::Wait(ASK_AGAIN_AFTER)
        } else {
            NextMove::Refuse(MIN_RETRY_AFTER)
        };
    };
    let good = best.has_slot && best.expected <= facts.work * 2;
    if good && best.expected <= fit(promptly) {
        return NextMove::Send(best);
    }
    if !facts.asked_far {
        return NextMove::AskFar;
    }
    if best.expected <= fit(promptly) {
        return NextMove::Send(best);
    }
    if facts.held + ASK_AGAIN_AFTER <= hold {
        return NextMove::Wait(ASK_AGAIN_AFTER);
    }
    if best.expected <= fit(facts.time_left) {
        return NextMove::Send(best);
    }
    let excess = best.expected.saturating_sub(facts.work);
    NextMove::Refuse(excess.max(MIN_RETRY_AFTER))
}

/// The part of `time` that an expected answer may take.
fn fit(time: Duration) -> Duration {
    time * FIT_PERCENT / 100
}
