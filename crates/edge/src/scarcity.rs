//! Lets less urgent requests give way while a service lacks room.

use std::cell::RefCell;

use ggs_access::AccessTable;
use ggs_model::{Clock, ServiceName};
use ggs_observe::LogEvent;
use ggs_place::{RoomChange, RoomGauge, RoomOutcome};
use ggs_route::RouteTable;

use crate::core::EdgeCore;
use crate::request::EdgeRequest;
use crate::service::ServiceState;

impl<W, S> EdgeCore<W, S> {
    /// Whether a request leaves retries to more urgent ones of its service.
    pub(crate) fn leaves_retries(&self, service: &ServiceState, request: &EdgeRequest) -> bool {
        self.gives_way(&service.room, service, request)
    }

    /// Whether a request leaves the last free slots to more urgent ones of its service.
    pub(crate) fn leaves_slots(&self, service: &ServiceState, request: &EdgeRequest) -> bool {
        self.gives_way(&service.slots, service, request)
    }

    /// Whether a request gives way, as a gauge says that the service lacks room.
    fn gives_way(
        &self,
        gauge: &RefCell<RoomGauge>,
        service: &ServiceState,
        request: &EdgeRequest,
    ) -> bool {
        let (priority, now) = (request.priority(), self.clock.now());
        let gives_way = {
            let mut gauge = gauge.borrow_mut();
            gauge.gives_way(priority, service.most_urgent.get(), now)
        };
        if gives_way {
            self.metrics.count_yield(service.name.as_str());
        }
        gives_way
    }

    /// Records that a server took a request.
    pub(crate) fn note_taken(&self, service: &ServiceState) {
        let now = self.clock.now();
        self.note_room(service, RoomOutcome::Taken);
        service.slots.borrow_mut().note(RoomOutcome::Taken, now);
    }

    /// Records that a server turned a request away unread.
    pub(crate) fn note_turned_away(&self, service: &ServiceState) {
        self.note_room(service, RoomOutcome::Lacking);
    }

    /// Records that no server was expected to answer a request in time.
    pub(crate) fn note_no_slot(&self, service: &ServiceState) {
        let now = self.clock.now();
        self.note_room(service, RoomOutcome::Lacking);
        service.slots.borrow_mut().note(RoomOutcome::Lacking, now);
    }

    /// Records how a request found room at a service, and logs when that begins or ceases to be short.
    fn note_room(&self, service: &ServiceState, outcome: RoomOutcome) {
        let now = self.clock.now();
        let mut room = service.room.borrow_mut();
        let change = room.note(outcome, now);
        let message = match change {
            RoomChange::Unchanged => return,
            RoomChange::Begun => "service lacks room; less urgent requests give way",
            RoomChange::Ended => "service has room again",
        };
        let pairs = slog::o!(
            "service" => service.name.to_string(),
            "lacks_room" => change == RoomChange::Begun,
            "lacking_percent" => (room.shortage_at(now) * 100.0).round() as u64,
        );
        self.log.emit(LogEvent::RoomChanged, message, pairs);
    }

    /// Sets the priority of the most urgent requests of each service.
    pub(crate) fn refresh_urgency(&self, routes: &RouteTable) {
        for service in self.services() {
            service.most_urgent.set(most_urgent(routes, &service.name));
        }
    }
}

/// Priority of the most urgent requests of a service: that of its routes or, where workspaces have
/// priorities of their own, the highest of those.
fn most_urgent(routes: &RouteTable, service: &ServiceName) -> u32 {
    let to_service = routes.routes().filter(|route| {
        let mut targets = route.rule().targets.iter();
        targets.any(|target| target.service == *service)
    });
    let by_route = to_service.map(|route| route.rule().priority).min();
    let workspaces = routes.access().into_iter();
    let workspaces = workspaces.flat_map(AccessTable::workspaces);
    let by_workspace = workspaces.filter_map(|workspace| workspace.priority).min();
    by_route
        .into_iter()
        .chain(by_workspace)
        .min()
        .unwrap_or(u32::MAX)
}
