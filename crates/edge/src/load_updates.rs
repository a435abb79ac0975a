//! Loads and sends that the gates of a data centre tell one another.
//!
//! Questions to servers are bounded over the whole fleet, datagrams within a data centre are not. So
//! what one gate learned of a server is used by its neighbours, and they count its sends.

use std::rc::Rc;
use std::time::Duration;

use ggs_model::Clock;
use ggs_place::{LoadSample, ServerKey};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::core::EdgeCore;
use crate::datagrams::{Datagram, LoadUpdateBody};
use crate::gates::send_to;
use crate::ports::EdgeWire;
use crate::service::ServiceState;

/// Time for which news are gathered into one datagram.
const BATCH_DELAY: Duration = Duration::from_millis(1);

impl<W, S> EdgeCore<W, S> {
    /// Takes the load that a server told this gate, and tells the others.
    pub(crate) fn record_load_report(
        &self,
        service: &ServiceState,
        key: ServerKey,
        sample: LoadSample,
    ) {
        let mut table = service.board.borrow_mut();
        table.note_load(key, sample, self.clock.now());
        if let Some(server) = table.server(key) {
            self.load_updates.add_load(&server.instance, sample);
        }
    }

    /// Takes the news of another gate.
    pub(crate) fn apply_load_update(&self, update: &LoadUpdateBody) {
        let now = self.clock.now();
        for load in &update.loads {
            if let Some((service, key)) = self.find_server(&load.instance) {
                let sample = LoadSample::from(load);
                service.board.borrow_mut().note_load(key, sample, now);
            }
        }
        for instance in &update.sends {
            if let Some((service, key)) = self.find_server(instance) {
                service.board.borrow_mut().note_sent(key, now);
            }
        }
    }
}

/// Sends news as they come.
pub(crate) async fn send_load_updates<W, S>(core: Rc<EdgeCore<W, S>>, socket: Rc<UdpSocket>)
where
    W: EdgeWire,
    S: 'static,
{
    loop {
        core.load_updates.added.notified().await;
        sleep(BATCH_DELAY).await;
        let update = core.load_updates.body.take();
        if update.loads.is_empty() && update.sends.is_empty() {
            continue;
        }
        let datagram = Datagram {
            load_update: Some(update),
            reads_store: core.reads_store(),
            ..Datagram::default()
        };
        let peers = core.load_update_peers.borrow().clone();
        send_to(&socket, &peers, &datagram).await;
    }
}
