//! Load updates: the loads and sends that the gates of a data centre tell one another.
//!
//! The rate of load probes to servers is limited over the whole fleet; datagrams within a data
//! centre are not. So a gate passes each load report on to other gates, and tells them of each
//! request that it sends, because the latest load report of that server does not count it yet. Notices
//! of leaving servers go out with the same task.

use std::rc::Rc;
use std::time::Duration;

use ggs_model::Clock;
use ggs_place::{LoadSample, ServerKey};
use tokio::net::UdpSocket;
use tokio::time::sleep;

use crate::core::EdgeCore;
use crate::datagrams::{Datagram, LoadUpdateBody};
use crate::gates::send_to;
use crate::leaving::share_leaving_servers;
use crate::ports::EdgeWire;
use crate::service::ServiceState;

/// Time for which loads and sends are collected before they go out in one datagram.
const BATCH_DELAY: Duration = Duration::from_millis(1);

impl<W, S> EdgeCore<W, S> {
    /// Records a load that a server reported to this gate, and queues it for the other gates.
    pub(crate) fn record_load_report(
        &self,
        service: &ServiceState,
        key: ServerKey,
        sample: LoadSample,
    ) {
        let now = self.clock.now();
        let mut table = service.table.borrow_mut();
        table.note_load(key, sample, now);
        if let Some(server) = table.server(key) {
            let cold_until = server.cold_until.filter(|_| self.limits_cold_servers());
            let cold_left = cold_until.map_or(Duration::ZERO, |until| until.since(now));
            self.load_updates
                .add_load(&server.instance, sample, cold_left);
        }
    }

    /// Records the loads and sends that another gate reported; unknown servers are skipped.
    pub(crate) fn apply_load_update(&self, update: &LoadUpdateBody) {
        let now = self.clock.now();
        for load in &update.loads {
            if let Some((service, key)) = self.find_server(&load.instance) {
                let sample = LoadSample::from(load);
                service.table.borrow_mut().note_load(key, sample, now);
                if let Some(left) = load.cold_left() {
                    self.note_cold(&service, key, left);
                }
            }
        }
        for instance in &update.sends {
            if let Some((service, key)) = self.find_server(instance) {
                service.table.borrow_mut().note_sent(key, now);
            }
        }
    }
}

/// Sends load updates to other gates as soon as there are any.
pub(crate) async fn send_load_updates<W, S>(core: Rc<EdgeCore<W, S>>, socket: Rc<UdpSocket>)
where
    W: EdgeWire,
    S: 'static,
{
    loop {
        core.load_updates.added.notified().await;
        sleep(BATCH_DELAY).await;
        share_leaving_servers(&core, &socket).await;
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
