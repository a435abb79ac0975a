//! Keeps to what cold servers bear.
//!
//! A server that has just started, or says that it is cold again, crashes under more than a few requests
//! per second. All requests to it leave from one gate of its data centre, as for servers that name a
//! limit: gates that pick the same server at the same moment would exceed it together. Two gates may
//! choose differently until a lease has expired; gates of other data centres, and those that do not know
//! the others yet, send nothing.

use std::sync::Arc;
use std::time::Duration;

use ggs_model::{Clock, Moment, ServiceName};
use ggs_place::ServerKey;

use crate::core::EdgeCore;
use crate::service::ServiceState;

/// Time after its start, or after a suspension, in which a gate sends nothing to cold servers. Within it the
/// gates of a data centre have heard several heartbeats of one another, and agree on which of them sends.
const SETTLE_TIME: Duration = Duration::from_millis(1_200);

impl<W, S> EdgeCore<W, S> {
    /// Requests per second that a cold server of a service bears; `None` if it is only slow.
    fn cold_rate(&self, service: &ServiceName) -> Option<f64> {
        let routes = self.routes.borrow();
        let rule = routes.as_ref()?.service(service.as_str())?;
        rule.cold_per_second
    }

    /// Whether the configuration limits what cold servers get.
    pub(crate) fn limits_cold_servers(&self) -> bool {
        let routes = self.routes.borrow();
        let routes = routes.as_ref();
        routes.is_some_and(|routes| {
            let mut services = routes.services();
            services.any(|rule| rule.cold_per_second.is_some())
        })
    }

    /// Records that a server stays cold for `left`, if that matters for its service.
    pub(crate) fn note_cold(&self, service: &ServiceState, key: ServerKey, left: Duration) {
        if self.cold_rate(&service.name).is_none() {
            return;
        }
        let now = self.clock.now();
        let Some(instance) = service.table.borrow_mut().set_cold(key, now + left) else {
            return;
        };
        self.catalog.borrow_mut().note_cold(&instance, now + left);
        self.apply_cold_limit(service, key, &instance, now);
    }

    /// Sets again what this gate may send to cold servers, as gates or servers may have changed.
    pub(crate) fn refresh_cold_limits(&self, now: Moment) {
        for service in self.services() {
            let cold: Vec<_> = {
                let table = service.table.borrow();
                let cold = table.servers().filter(|(_, server)| server.is_cold(now));
                cold.map(|(key, server)| (key, Arc::clone(&server.instance)))
                    .collect()
            };
            for (key, instance) in cold {
                self.apply_cold_limit(&service, key, &instance, now);
            }
        }
    }

    /// Sets what this gate may send to a server while it is cold.
    fn apply_cold_limit(
        &self,
        service: &ServiceState,
        key: ServerKey,
        instance: &str,
        now: Moment,
    ) {
        let rate = self.cold_rate(&service.name);
        let mut table = service.table.borrow_mut();
        let near = table.server(key).is_some_and(|server| server.near);
        let sends = near && self.is_settled(SETTLE_TIME, now) && self.sends_limited(instance);
        let rate = rate.map(|rate| if sends { rate } else { 0.0 });
        table.set_cold_quota(key, rate, now);
    }
}
