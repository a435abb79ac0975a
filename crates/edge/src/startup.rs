//! Gets the first routes, servers and gates when a gate starts.
//!
//! When a whole fleet starts for the first time, each gate would read the same rows from the store,
//! and each call costs money. So a few gates of each data centre read the store, and the others
//! fetch from gates. A gate that starts in a running fleet fetches from gates too if one that its
//! settings name answers; if not, it reads the store at once, as callers may be waiting.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ggs_model::Clock;
use rand::seq::IndexedRandom;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

use crate::config::{CONFIG_PATH, apply_peer_config, fetch, follow_configs};
use crate::core::EdgeCore;
use crate::discovery::{SeedAnswer, ask_seeds, ask_seeds_of_new_fleet, exchange_lists};
use crate::gates::{follow_store, send_first_heartbeat};
use crate::ports::{EdgeWire, FleetStore};
use crate::servers::{SERVERS_PATH, follow_servers};

/// Number of start readers in each data centre: the first of the known gates by address, which read
/// the store when the whole fleet starts.
const START_READER_COUNT: usize = 2;

/// Longest time to register a gate of a new fleet before it goes on without registration. The store
/// runs such writes one after another.
const REGISTER_TIMEOUT: Duration = Duration::from_secs(1);

/// Longest time to get the list of servers from other gates before it is read from the store.
const FETCH_TIMEOUT: Duration = Duration::from_millis(600);

/// Longest time for which a gate that starts in a running fleet tries to get the list of servers from
/// other gates before it reads the store; callers may be waiting.
const RUNNING_FETCH_TIMEOUT: Duration = Duration::from_millis(200);

/// Time within which the gates of a new fleet start.
const START_SPREAD: Duration = Duration::from_millis(400);

/// Pause between two attempts to fetch from a gate.
const FETCH_RETRY_PAUSE: Duration = Duration::from_millis(60);

/// Time for which a gate that is not a start reader leaves it to the start readers to read the
/// store and to wait for the first configuration; a few heartbeat periods.
const DEFER_TIME: Duration = Duration::from_secs(2);

/// Gets the present state of the fleet and starts the tasks that keep it up to date.
pub(crate) async fn synchronize<W, S>(core: Rc<EdgeCore<W, S>>, socket: Rc<UdpSocket>)
where
    W: EdgeWire,
    S: FleetStore,
{
    if core.settings().new_fleet {
        if find_new_fleet(&core, &socket).await {
            send_first_heartbeat(&core, &socket).await;
            // After a timeout, the tasks below read the store.
            let _fetched = timeout(FETCH_TIMEOUT, fetch_from_gates(&core)).await;
        }
    } else if ask_seeds(&core, &socket).await == SeedAnswer::GatesOfRunningFleet {
        let _fetched = timeout(RUNNING_FETCH_TIMEOUT, fetch_from_gates(&core)).await;
    }
    actix_rt::spawn(exchange_lists(Rc::clone(&core), Rc::clone(&socket)));
    actix_rt::spawn(follow_configs(Rc::clone(&core), Rc::clone(&socket)));
    actix_rt::spawn(follow_servers(Rc::clone(&core), socket));
    follow_store(core).await;
}

/// Finds the other gates of a new fleet; false if neither they nor the store answer in time.
async fn find_new_fleet<W, S>(core: &EdgeCore<W, S>, socket: &UdpSocket) -> bool
where
    W: EdgeWire,
    S: FleetStore,
{
    if ask_seeds_of_new_fleet(core, socket).await == SeedAnswer::Nothing {
        return register_and_read_gates(core).await;
    }
    // The first answers lack the gates that start a little later.
    sleep(START_SPREAD).await;
    ask_seeds_of_new_fleet(core, socket).await;
    true
}

/// Registers this gate and reads the others; false if the store failed or the write took too long.
async fn register_and_read_gates<W, S>(core: &EdgeCore<W, S>) -> bool
where
    W: EdgeWire,
    S: FleetStore,
{
    let own = core.own_entry();
    let written = timeout(REGISTER_TIMEOUT, core.store.write_gate(&own)).await;
    let registered = matches!(written, Ok(Ok(())));
    core.registered.set(registered);
    registered && core.read_gates().await.is_ok()
}

/// Fetches the list of servers and the configuration from gates of the data centre, unless this
/// gate is a start reader.
async fn fetch_from_gates<W, S>(core: &EdgeCore<W, S>)
where
    W: EdgeWire,
{
    let settings = core.settings();
    if settings.new_fleet {
        if core.near_rank() < START_READER_COUNT {
            return;
        }
        let defer_until = core.clock.now() + DEFER_TIME;
        core.server_feed.defer_until.set(defer_until);
    }
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

/// Fetches from one gate; false if it had no complete list of servers.
async fn fetch_from_gate<W, S>(core: &EdgeCore<W, S>, peer: SocketAddr) -> bool
where
    W: EdgeWire,
{
    let Ok(list) = fetch(core, peer, SERVERS_PATH).await else {
        return false;
    };
    if !core.apply_server_list(&list.bytes) {
        return false;
    }
    // The list of servers is enough: the gate may not have a configuration yet.
    if let Ok(answer) = fetch(core, peer, CONFIG_PATH).await {
        apply_peer_config(core, answer);
    }
    true
}
