//! Notes when servers turn requests away and say for how long they want no further ones.

use std::sync::Arc;

use actix_http::ResponseHead;
use ggs_observe::LogEvent;

use crate::core::EdgeCore;
use crate::ports::EdgeWire;

impl<W, S> EdgeCore<W, S>
where
    W: EdgeWire,
{
    /// Records for how long a server wants rest, if the head of its answer says so.
    pub(crate) fn observe_rest(&self, instance: &Arc<str>, head: &ResponseHead) {
        let Some(rest) = self.wire.read_rest(head) else {
            return;
        };
        let pairs = slog::o!(
            "server" => instance.to_string(),
            "rest_ms" => rest.as_millis() as u64,
        );
        let message = "server turned a request away and asks for rest";
        self.log.emit(LogEvent::ServerResting, message, pairs);
    }
}
