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
use crate::frames::{Datagram, NewsBody};
use crate::gates::send_to;
use crate::ports::EdgeWire;
use crate::service::ServiceState;

/// Time for which news are gathered into one datagram.
const GATHER_TIME: Duration = Duration::from_millis(1);

impl<W, S> EdgeCore<W, S> {
    /// Takes the load that a server told this gate, and tells the others.
    pub(crate) fn learn_load(&self, service: &ServiceState, key: ServerKey, sample: LoadSample) {
        let mut board = service.table.borrow_mut();
        board.note_load(key, sample, self.clock.now());
        if let Some(server) = board.server(key) {
            self.news.add_load(&server.instance, sample);
        }
    }

    /// Takes the news of another gate.
    pub(crate) fn hear_news(&self, news: &NewsBody) {
        let now = self.clock.now();
        for load in &news.loads {
            if let Some((service, key)) = self.find_server(&load.instance) {
                let sample = LoadSample::from(load);
                service.table.borrow_mut().note_load(key, sample, now);
            }
        }
        for instance in &news.sends {
            if let Some((service, key)) = self.find_server(instance) {
                service.table.borrow_mut().note_sent(key, now);
            }
        }
    }
}

/// Sends news as they come.
pub(crate) async fn spread<W, S>(core: Rc<EdgeCore<W, S>>, socket: Rc<UdpSocket>)
where
    W: EdgeWire,
    S: 'static,
{
    loop {
        core.news.added.notified().await;
        sleep(GATHER_TIME).await;
        let news = core.news.body.take();
        if news.loads.is_empty() && news.sends.is_empty() {
            continue;
        }
        let datagram = Datagram {
            news: Some(news),
            reads_store: core.reads_store(),
            ..Datagram::default()
        };
        let peers = core.group_peers.borrow().clone();
        send_to(&socket, &peers, &datagram).await;
    }
}
