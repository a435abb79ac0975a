//! Sends nothing to servers that turned a request away and want no further ones for some time.
//!
//! A server asks the gate that it answers, so other gates are not told. Load probes stop too: they are
//! requests, and their reports would say nothing that may be used.

use std::ops::Range;
use std::time::Duration;

use actix_http::ResponseHead;
use ggs_model::Clock;
use ggs_observe::LogEvent;
use ggs_place::{ListedServer, ServerKey};

use crate::core::EdgeCore;
use crate::ports::EdgeWire;
use crate::service::ServiceState;

/// Longest rest that is kept, as a wrong header would keep a server out of use until it starts again.
const MAX_REST: Duration = Duration::from_hours(1);

/// Range of the random factor on each rest, so that gates do not return to a server at the same time.
const REST_JITTER: Range<f64> = 1.0..1.1;

impl<W, S> EdgeCore<W, S> {
    /// Sends nothing to a server while it wants rest, if the head of its answer says so. The server is
    /// the run that was listed when the request was sent.
    pub(crate) fn observe_rest(
        &self,
        service: &ServiceState,
        key: ServerKey,
        server: &ListedServer,
        head: &ResponseHead,
    ) where
        W: EdgeWire,
    {
        let Some(rest) = self.wire.read_rest(head) else {
            return;
        };
        let now = self.clock.now();
        let until = now + rest.min(MAX_REST).mul_f64(rand::random_range(REST_JITTER));
        let mut rests = self.rests.borrow_mut();
        let begins = rests.record(&server.instance, server.started_ms, until, now);
        let until = rests.until(&server.instance, server.started_ms, now);
        drop(rests);
        service
            .table
            .borrow_mut()
            .set_rest(key, until.unwrap_or(now));
        self.metrics.count_rest();
        if begins {
            let pairs = slog::o!(
                "server" => server.instance.to_string(),
                "service" => service.name.to_string(),
                "rest_ms" => rest.as_millis() as u64,
            );
            let message = "server turned a request away and asks for rest; it gets no requests";
            self.log.emit(LogEvent::ServerResting, message, pairs);
        }
    }

    /// Forgets the rests that are over, and logs them.
    pub(crate) fn expire_rests(&self) {
        let over = self.rests.borrow_mut().expire(self.clock.now());
        let message = "servers have had the rest that they asked for and get requests";
        self.log
            .emit_names(LogEvent::ServerRested, message, "server", &over);
    }
}
