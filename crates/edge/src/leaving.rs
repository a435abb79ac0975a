//! Stops sending to servers that say in their answers that they are leaving.
//!
//! Such a server may still be listed as ready: its row may lag, or a gate may be cut off from the store
//! and from the other gates. The gate that gets the answer tells the others of its data centre.

use actix_http::header::HeaderMap;
use ggs_model::Clock;
use ggs_observe::LogEvent;
use tokio::net::UdpSocket;

use crate::core::EdgeCore;
use crate::datagrams::{Datagram, LeavingBody};
use crate::gates::send_to_near_gates;
use crate::ports::EdgeWire;

/// Most servers in one datagram; each takes about 35 bytes.
const MAX_LEAVING_COUNT: usize = 30;

impl<W, S> EdgeCore<W, S> {
    /// Records that a server is leaving if the headers of its answer say so, and queues that for the
    /// other gates. The server's incarnation is the one that was listed when the request was sent.
    pub(crate) fn observe_leaving(
        &self,
        instance: &str,
        started_ms: Option<u64>,
        headers: &HeaderMap,
    ) where
        W: EdgeWire,
    {
        if !self.wire.says_leaving(headers) {
            return;
        }
        let server = LeavingBody {
            instance: instance.to_owned(),
            started_ms,
        };
        if self.record_leaving(&server, "answer") {
            self.load_updates.add_leaving(server);
        }
    }

    /// Records what other gates were told.
    pub(crate) fn apply_peer_notices(&self, servers: &[LeavingBody]) {
        for server in servers {
            self.record_leaving(server, "gate");
        }
    }

    /// Records that a server is leaving; returns whether this was not known.
    fn record_leaving(&self, server: &LeavingBody, source: &'static str) -> bool {
        let (instance, now) = (server.instance.as_str(), self.clock.now());
        let mut catalog = self.catalog.borrow_mut();
        if !catalog.note_leaving(instance, server.started_ms, now) {
            return false;
        }
        let is_listed = catalog.started_ms(instance) == server.started_ms;
        drop(catalog);
        if is_listed && let Some((service, key)) = self.find_server(instance) {
            service.table.borrow_mut().remove(key);
        }
        let pairs = slog::o!("server" => instance.to_owned(), "source" => source);
        let message = "server says that it is leaving; it gets no new requests";
        self.log.emit(LogEvent::ServerLeaving, message, pairs);
        true
    }
}

/// Sends the queued notices to all gates of the data centre.
pub(crate) async fn share_leaving_servers<W, S>(core: &EdgeCore<W, S>, socket: &UdpSocket) {
    let servers = core.load_updates.leaving.take();
    for part in servers.chunks(MAX_LEAVING_COUNT) {
        let datagram = Datagram {
            leaving: part.to_vec(),
            ..core.config_datagram()
        };
        send_to_near_gates(core, socket, &datagram).await;
    }
}
