//! A gate's share of the connections that one server takes from all gates.
//!
//! A smaller share holds at once; a larger one only after it has been due for as long as a view of the
//! live gates may lag. A new gate therefore takes only its floor until all others have given up its
//! part. The floor is reserved for each gate, so that a new or cut-off gate still reaches each server.

use std::collections::VecDeque;
use std::time::Duration;

use ggs_model::Moment;

/// Part of the limit that is reserved for floors, as a divisor of the limit.
const RESERVE_DIVISOR: u32 = 4;

/// A gate's share of a server's connections.
///
/// As long as each view shows the live gates as they were at most `lag` ago, and no more than `max_gates`
/// gates live at once, the shares of all live gates never add up to more than the limit.
///
/// ```
/// use std::time::Duration;
/// use ggs_model::Moment;
/// use ggs_pick::ConnectionShare;
///
/// let lag = Duration::from_secs(5);
/// let mut share = ConnectionShare::new(250, 31, lag, Moment::ZERO);
/// share.observe(4, Moment::ZERO);
/// assert_eq!(share.share(Moment::ZERO), 2);
/// share.observe(4, Moment::ZERO + lag);
/// assert_eq!(share.share(Moment::ZERO + lag), 49);
/// ```
#[derive(Clone, Debug)]
pub struct ConnectionShare {
    limit: u32,
    floor: u32,
    max_gates: u32,
    lag: Duration,
    started: Moment,
    views: VecDeque<GateView>,
}

/// A number of live gates and the moment it was seen.
#[derive(Clone, Copy, Debug)]
struct GateView {
    at: Moment,
    gates: u32,
}

impl ConnectionShare {
    /// A share of `limit` connections for one of at most `max_gates` gates, whose views of one another
    /// lag by at most `lag`.
    pub fn new(limit: u32, max_gates: u32, lag: Duration, now: Moment) -> Self {
        let max_gates = max_gates.max(1);
        Self {
            limit,
            floor: limit / RESERVE_DIVISOR / max_gates,
            max_gates,
            lag,
            started: now,
            views: VecDeque::new(),
        }
    }

    /// Takes in the number of gates that serve the service, this one with them.
    pub fn observe(&mut self, gates: u32, now: Moment) {
        let gates = gates.max(1);
        // A view that a later one at least equals can no longer be the largest of the window.
        while self.views.back().is_some_and(|view| view.gates <= gates) {
            self.views.pop_back();
        }
        self.views.push_back(GateView { at: now, gates });
        while self.views.len() > 1 && now.since(self.views[0].at) > self.lag * 2 {
            self.views.pop_front();
        }
    }

    /// Connections to one server that this gate may hold.
    pub fn share(&self, now: Moment) -> u32 {
        let recent = self
            .views
            .back()
            .is_some_and(|view| now.since(view.at) <= self.lag);
        if !recent || now.since(self.started) < self.lag {
            return self.floor;
        }
        let in_window = |view: &&GateView| now.since(view.at) <= self.lag;
        let most = self
            .views
            .iter()
            .filter(in_window)
            .map(|view| view.gates)
            .max();
        let reserve = self.floor * self.max_gates;
        self.floor + (self.limit - reserve) / most.unwrap_or(self.max_gates)
    }
}
