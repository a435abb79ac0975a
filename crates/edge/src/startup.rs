//! What a gate learns when it starts.
//!
//! A fleet that starts for the first time would read the same from the store once a gate, and each call
//! is paid for. So a few gates of a data centre read it, and the others ask gates. Any other gate that
//! starts may have callers that wait: it reads at once.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ggs_model::Clock;
use rand::seq::IndexedRandom;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

use crate::config::{CONFIG_PATH, apply_config, fetch, follow_configs};
use crate::core::EdgeCore;
use crate::gates::{follow_store, send_heartbeat};
use crate::ports::{EdgeWire, FleetStore};
use crate::servers::{SERVERS_PATH, follow_servers};

/// Gates of a data centre, the first by address of those that are known, which read the store when
/// they start for the first time.
const START_READER_COUNT: usize = 2;

/// Time for the store to register a gate of a new fleet before it goes on without; the store takes
/// such writes one after another.
const REGISTER_TIMEOUT: Duration = Duration::from_secs(1);

/// Time in which other gates are asked for the list of servers before the store is read for it.
const FETCH_TIMEOUT: Duration = Duration::from_millis(600);

/// Pause between two questions.
const FETCH_RETRY_PAUSE: Duration = Duration::from_millis(60);

/// Time for which the other gates leave it to these to read and to wait for the first configuration:
/// that of some rounds of datagrams.
const DEFER_TIME: Duration = Duration::from_secs(2);

/// Learns what the fleet knows, then follows it.
pub(crate) async fn synchronize<W, S>(core: Rc<EdgeCore<W, S>>, socket: Rc<UdpSocket>)
where
    W: EdgeWire,
    S: FleetStore,
{
    if core.settings().new_fleet && register_and_read_gates(&core).await {
        send_heartbeat(&core, &socket).await;
        // Without an answer in time the store is read.
        let _fetched = timeout(FETCH_TIMEOUT, fetch_from_gates(&core)).await;
    }
    actix_rt::spawn(follow_configs(Rc::clone(&core), Rc::clone(&socket)));
    actix_rt::spawn(follow_servers(Rc::clone(&core), socket));
    follow_store(core).await;
}

/// Registers this gate and reads the others; false if the store did not let it in time.
async fn register_and_read_gates<W, S>(core: &EdgeCore<W, S>) -> bool
where
    W: EdgeWire,
    S: FleetStore,
{
    let own = core.own_entry();
    let written = timeout(REGISTER_TIMEOUT, core.store.write_gate(&own)).await;
    matches!(written, Ok(Ok(()))) && core.read_gates().await.is_ok()
}

/// Asks gates of the data centre for the list of servers and the configuration, unless this one is to
/// read the store.
async fn fetch_from_gates<W, S>(core: &EdgeCore<W, S>)
where
    W: EdgeWire,
{
    let settings = core.settings();
    let rank = {
        let contacts = core.contacts.borrow();
        contacts.rank_of(settings.listen_gates, &settings.data_centre)
    };
    if rank < START_READER_COUNT {
        return;
    }
    let defer_until = core.clock.now() + DEFER_TIME;
    core.server_feed.defer_until.set(defer_until);
    loop {
        let mut peers = core.contacts.borrow().peers_of(&settings.data_centre);
        peers.retain(|peer| *peer != settings.listen_gates);
        let Some(peer) = peers.choose(&mut rand::rng()) else {
            return;
        };
        if fetch_from_gate(core, *peer).await {
            return;
        }
        sleep(FETCH_RETRY_PAUSE).await;
    }
}

/// Asks one gate; false if it did not tell its servers.
async fn fetch_from_gate<W, S>(core: &EdgeCore<W, S>, peer: SocketAddr) -> bool
where
    W: EdgeWire,
{
    let Ok(list) = fetch(core, peer, SERVERS_PATH).await else {
        return false;
    };
    if !core.apply_server_list(&list) {
        return false;
    }
    // A gate without a configuration, too, knows the servers.
    if let Ok(bytes) = fetch(core, peer, CONFIG_PATH).await {
        apply_config(core, bytes);
    }
    true
}
