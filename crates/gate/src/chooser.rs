//! Chooses servers by the policy that the gate's settings name.
//!
//! The policies are variants of an enum rather than trait objects, so that the compiler can inline
//! each call. Both policies share one request path.

use ggs_model::{LoadReport, Moment, RequestClass, ServerId};
use ggs_pick::{
    AttemptEnd, ChoiceRefusal, ChoiceRequest, LeastInFlight, ServerChooser, ServerHandle,
    ServerSpec, SignalChooser,
};
use ggs_settings::ChoicePolicy;

/// The server chooser of one service.
#[derive(Debug)]
pub(crate) enum GateChooser {
    /// Least expected answer time, from all load signals.
    Signals(Box<SignalChooser>),
    /// Fewest in-flight attempts of this gate.
    LeastInFlight(LeastInFlight),
}

impl GateChooser {
    /// Creates a chooser without servers.
    pub(crate) fn new(policy: ChoicePolicy, eject_percent: u32) -> Self {
        match policy {
            ChoicePolicy::LeastInFlight => Self::LeastInFlight(LeastInFlight::new()),
            ChoicePolicy::Signals => {
                let builder = SignalChooser::builder().seed(rand::random());
                let chooser = builder.eject_percent(eject_percent).build();
                Self::Signals(Box::new(chooser))
            }
        }
    }
}

impl GateChooser {
    /// Sets the percentage of servers that may be ejected at the same time. The least-in-flight
    /// policy ejects none and ignores it.
    pub(crate) fn set_eject_percent(&mut self, percent: u32) {
        match self {
            Self::Signals(chooser) => chooser.set_eject_percent(percent),
            Self::LeastInFlight(_) => {}
        }
    }
}

impl ServerChooser for GateChooser {
    fn replace_servers(&mut self, specs: &[ServerSpec], now: Moment) {
        match self {
            Self::Signals(chooser) => chooser.replace_servers(specs, now),
            Self::LeastInFlight(chooser) => chooser.replace_servers(specs, now),
        }
    }

    fn choose(
        &mut self,
        request: &ChoiceRequest<'_>,
        now: Moment,
    ) -> Result<ServerHandle, ChoiceRefusal> {
        match self {
            Self::Signals(chooser) => chooser.choose(request, now),
            Self::LeastInFlight(chooser) => chooser.choose(request, now),
        }
    }

    fn start_on(&mut self, handle: ServerHandle, class: RequestClass, now: Moment) -> bool {
        match self {
            Self::Signals(chooser) => chooser.start_on(handle, class, now),
            Self::LeastInFlight(chooser) => chooser.start_on(handle, class, now),
        }
    }

    fn finish(&mut self, end: &AttemptEnd, now: Moment) {
        match self {
            Self::Signals(chooser) => chooser.finish(end, now),
            Self::LeastInFlight(chooser) => chooser.finish(end, now),
        }
    }

    fn record_report(&mut self, handle: ServerHandle, report: LoadReport, now: Moment) {
        match self {
            Self::Signals(chooser) => chooser.record_report(handle, report, now),
            Self::LeastInFlight(chooser) => chooser.record_report(handle, report, now),
        }
    }

    fn record_peer_counts(&mut self, gate: u64, counts: &[(ServerId, u32)], now: Moment) {
        match self {
            Self::Signals(chooser) => chooser.record_peer_counts(gate, counts, now),
            Self::LeastInFlight(chooser) => chooser.record_peer_counts(gate, counts, now),
        }
    }

    fn own_counts(&self, counts: &mut Vec<(ServerId, u32)>) {
        match self {
            Self::Signals(chooser) => chooser.own_counts(counts),
            Self::LeastInFlight(chooser) => chooser.own_counts(counts),
        }
    }

    fn server(&self, handle: ServerHandle) -> Option<ServerId> {
        match self {
            Self::Signals(chooser) => chooser.server(handle),
            Self::LeastInFlight(chooser) => chooser.server(handle),
        }
    }

    fn handle_of(&self, server: ServerId) -> Option<ServerHandle> {
        match self {
            Self::Signals(chooser) => chooser.handle_of(server),
            Self::LeastInFlight(chooser) => chooser.handle_of(server),
        }
    }

    fn probe_candidate(&self, now: Moment) -> Option<ServerHandle> {
        match self {
            Self::Signals(chooser) => chooser.probe_candidate(now),
            Self::LeastInFlight(chooser) => chooser.probe_candidate(now),
        }
    }
}
