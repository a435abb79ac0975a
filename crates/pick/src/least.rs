//! Least in-flight: the baseline that other policies are compared with.
//!
//! It counts only the attempts of its own gate, and so does not see the load that other gates
//! cause.

use ggs_model::{LoadReport, Moment, RequestClass, ServerId};

use crate::table::ServerTable;
use crate::{AttemptEnd, ChoiceRefusal, ChoiceRequest, ServerChooser, ServerHandle, ServerSpec};

/// Chooses the server with the fewest in-flight attempts of this gate; round robin among equals.
#[derive(Clone, Debug, Default)]
pub struct LeastInFlight {
    servers: ServerTable<()>,
    rotation: usize,
}

impl LeastInFlight {
    /// A chooser without servers.
    pub fn new() -> Self {
        Self::default()
    }
}

impl ServerChooser for LeastInFlight {
    fn replace_servers(&mut self, specs: &[ServerSpec], _now: Moment) {
        self.servers.replace(specs, |_, _| ());
    }

    fn choose(
        &mut self,
        request: &ChoiceRequest<'_>,
        _now: Moment,
    ) -> Result<ServerHandle, ChoiceRefusal> {
        self.rotation = self.rotation.wrapping_add(1);
        let rotation = self.rotation;
        let entries = self.servers.entries();
        let count = entries.len();
        let chosen = (0..count)
            .map(|step| (rotation + step) % count)
            .filter(|&index| entries[index].listed)
            .min_by_key(|&index| (request.has_tried(index), entries[index].in_flight))
            .ok_or(ChoiceRefusal::NoServer)?;
        Ok(self.servers.start(chosen))
    }

    fn start_on(&mut self, handle: ServerHandle, _class: RequestClass, _now: Moment) -> bool {
        let listed = self.servers.get(handle).is_some_and(|entry| entry.listed);
        if listed {
            self.servers.start(handle.index as usize);
        }
        listed
    }

    fn finish(&mut self, end: &AttemptEnd, _now: Moment) {
        self.servers.end(end.handle);
    }

    fn record_report(&mut self, _handle: ServerHandle, _report: LoadReport, _now: Moment) {}

    fn record_peer_counts(&mut self, _gate: u64, _counts: &[(ServerId, u32)], _now: Moment) {}

    fn own_counts(&self, counts: &mut Vec<(ServerId, u32)>) {
        self.servers.counts(counts);
    }

    fn server(&self, handle: ServerHandle) -> Option<ServerId> {
        self.servers.get(handle).map(|entry| entry.server)
    }

    fn handle_of(&self, server: ServerId) -> Option<ServerHandle> {
        self.servers.listed_handle(server)
    }

    fn probe_candidate(&self, _now: Moment) -> Option<ServerHandle> {
        None
    }
}
