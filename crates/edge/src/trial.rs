//! Tries requests in quarantine, so that one which is there by mistake does not stay there.
//!
//! When a trial is due, a caller's own repeat is the trial. One gate of the fleet sends it to one
//! server: all gates find the same one by hashing, and pass the repeat on to it. A good answer ends the
//! quarantine at all gates. A failed trial is told to all gates, which then wait longer for the next.

use std::cell::Cell;
use std::net::SocketAddr;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;

use ggs_member::PeerLiveness;
use ggs_model::Clock;
use ggs_observe::LogEvent;
use ggs_quarantine::{
    IDENTITY_COUNT, RequestDigest, TRIAL_RETRY_PAUSE, TrialEnd, choose_trackers, trial_pause,
};
use ggs_reach::ReachState;

use crate::core::EdgeCore;
use crate::detour::{GateEnd, RequestEnd, send_to_trial_gate};
use crate::ports::EdgeWire;
use crate::request::{EdgeRequest, RequestOrigin};
use crate::service::ServiceState;

/// Most gates that are asked to try one request.
const MAX_GATE_COUNT: usize = 3;

/// Range of the random factor on the time to the next trial that callers are told, so that they do not
/// all return at the same moment.
const RETURN_SPREAD: Range<f64> = 1.0..1.2;

/// What becomes of a request, as far as its quarantine allows.
pub(crate) enum TrialStart<W, S> {
    /// It is not in quarantine.
    Unneeded,
    /// This gate tries it.
    Here(TrialGuard<W, S>),
    /// Another gate tried it.
    Ended(RequestEnd),
    /// It is not sent; the caller may retry after this time.
    Held(Duration),
}

/// A trial that is under way at this gate or at one that it asked; records the end on drop.
pub(crate) struct TrialGuard<W, S> {
    core: Rc<EdgeCore<W, S>>,
    /// The identities of the request, the broadest first.
    digests: [RequestDigest; IDENTITY_COUNT],
    end: Cell<TrialEnd>,
}

impl<W, S> TrialGuard<W, S> {
    /// Keeps others at this gate from trying the request.
    fn start(core: &Rc<EdgeCore<W, S>>, request: &EdgeRequest) -> Self {
        let mut crashes = core.crashes.borrow_mut();
        for digest in request.digests() {
            crashes.start_trial(digest, request.answer_by);
        }
        Self {
            core: Rc::clone(core),
            digests: *request.digests(),
            end: Cell::new(TrialEnd::Unsent),
        }
    }

    /// Sets the end to record.
    pub(crate) fn set_end(&self, end: TrialEnd) {
        self.end.set(end);
    }
}

impl<W, S> Drop for TrialGuard<W, S> {
    fn drop(&mut self) {
        let core = &self.core;
        let (end, now) = (self.end.get(), core.clock.now());
        core.metrics.count_trial(end.into());
        let changes = self.digests.map(|digest| {
            let mut crashes = core.crashes.borrow_mut();
            (digest, crashes.end_trial(&digest, end, now))
        });
        if end == TrialEnd::Failed {
            for digest in &self.digests {
                core.log_failed_trial(digest);
            }
        }
        core.publish_changes(self.digests[0], &changes);
    }
}

impl<W, S> EdgeCore<W, S> {
    /// The gates that may try a request. Gates of the data centre that are gone are left out before the
    /// list is cut, or none might be left to try it.
    fn trial_gates(&self, request: &EdgeRequest) -> Vec<SocketAddr> {
        let own = self.settings().listen_gates;
        let mut gates = self.contacts.borrow().all_peers();
        let gone = self.gone_gates();
        gates.retain(|gate| !gone.contains(gate));
        if !gates.contains(&own) {
            gates.push(own);
        }
        let mut gates = choose_trackers(&request.digests()[0], &gates);
        gates.truncate(MAX_GATE_COUNT);
        gates
    }

    /// Datagram addresses of the gates of the data centre whose leases have expired.
    fn gone_gates(&self) -> Vec<SocketAddr> {
        let gates = self.gates.borrow();
        let views = gates.views(self.clock.now());
        let gone = views
            .filter(|view| !matches!(view.liveness, PeerLiveness::Live | PeerLiveness::Draining));
        gone.map(|view| view.record.peers).collect()
    }

    /// Longest time to the next trial of a request, as far as this gate knows of failed ones.
    fn longest_trial_pause(&self, request: &EdgeRequest) -> Duration {
        let crashes = self.crashes.borrow();
        let digests = request.digests().iter();
        let failed = digests.map(|digest| crashes.failed_trials(digest)).max();
        trial_pause(failed.unwrap_or(0)).mul_f64(RETURN_SPREAD.end)
    }

    /// Logs a failed trial, if the identity is in quarantine.
    fn log_failed_trial(&self, digest: &RequestDigest) {
        let crashes = self.crashes.borrow();
        let Some(left) = crashes.quarantine_left(digest, self.clock.now()) else {
            return;
        };
        let pairs = slog::o!(
            "request_digest" => digest.to_string(),
            "failed_trials" => crashes.failed_trials(digest),
            "next_trial_ms" => left.as_millis() as u64,
        );
        let message = "request in quarantine was tried, and brought no good answer";
        self.log.emit(LogEvent::TrialFailed, message, pairs);
    }
}

/// The time that a caller is told whose request is not sent, `left` before its next trial.
pub(crate) fn spread_return(left: Duration) -> Duration {
    left.max(TRIAL_RETRY_PAUSE)
        .mul_f64(rand::random_range(RETURN_SPREAD))
}

/// Starts the trial of a request in quarantine if one is due: at this gate, or through the one that makes
/// it.
pub(crate) async fn start_trial<W, S>(
    core: &Rc<EdgeCore<W, S>>,
    service: &ServiceState,
    request: &EdgeRequest,
) -> TrialStart<W, S>
where
    W: EdgeWire,
{
    match core.quarantine_left(request) {
        None => return TrialStart::Unneeded,
        Some(left) if !left.is_zero() => return TrialStart::Held(left),
        Some(_) => {}
    }
    let guard = TrialGuard::start(core, request);
    // The gate that asks has found that this one tries it.
    if request.origin == RequestOrigin::Gate {
        return TrialStart::Here(guard);
    }
    let own = core.settings().listen_gates;
    for gate in core.trial_gates(request) {
        if gate == own {
            if core.reach_state(service) >= ReachState::Silent {
                continue;
            }
            return TrialStart::Here(guard);
        }
        match send_to_trial_gate(core, gate, service, request).await {
            GateEnd::Declined => {}
            GateEnd::Ended(Err(failure)) if !failure.answer.may_have_run() => {
                // A gate of a build without trials keeps a request for longer than any trial takes.
                if failure.retry_after <= core.longest_trial_pause(request) {
                    let left = failure.retry_after.max(TRIAL_RETRY_PAUSE);
                    guard.set_end(TrialEnd::NotDue(left));
                    return TrialStart::Held(left);
                }
            }
            GateEnd::Ended(end) => {
                let answered = end
                    .as_ref()
                    .is_ok_and(|response| !response.status().is_server_error());
                if answered {
                    core.note_answered(request);
                    guard.set_end(TrialEnd::Answered);
                } else {
                    guard.set_end(TrialEnd::Failed);
                }
                return TrialStart::Ended(end);
            }
        }
    }
    TrialStart::Held(TRIAL_RETRY_PAUSE)
}
