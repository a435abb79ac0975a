//! Keeps the configuration and the settings of a gate up to date.
//!
//! One gate of a data centre long-polls the store for configurations, and the others fetch them
//! from it, because each call to the store costs money. A configuration that cannot be read, or
//! that is not newer than the one in force, is ignored.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{HOST, HeaderValue};
use actix_http::{RequestHead, StatusCode, Uri};
use bytes::Bytes;
use ggs_model::Clock;
use ggs_observe::LogEvent;
use ggs_relay::{FailureKind, ServerConnection};
use ggs_route::{RouteConfig, RouteTable};
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

use crate::core::EdgeCore;
use crate::datagrams::Datagram;
use crate::feeds::ConfigText;
use crate::gates::send_to_near_gates;
use crate::ports::{EdgeWire, FeedPage, FeedValue, FleetError, FleetStore, SettingsSource};
use crate::store_health::StoreHealth;

/// Longest time that a long poll waits at the store for the next configuration.
const CONFIG_POLL_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause between reads while there is no configuration yet.
const FIRST_CONFIG_PAUSE: Duration = Duration::from_millis(100);

/// Time between two checks of whether this gate is the reader of its data centre.
const READER_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Time limit of a fetch from another gate of the data centre.
const PEER_FETCH_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest answer of another gate, in bytes.
const MAX_FETCHED_BYTES: usize = 1 << 20;

/// Path at which a gate serves its configuration to other gates.
pub(crate) const CONFIG_PATH: &str = "/config";

/// Time between two reads of the settings.
const SETTINGS_POLL_PERIOD: Duration = Duration::from_secs(3);

/// Follows configurations until the process ends. The reader of a data centre long-polls the store,
/// and the other gates fetch from a gate that announces a newer version. A gate that gets nothing
/// from its reader in time reads the store itself.
pub(crate) async fn follow_configs<W, S>(core: Rc<EdgeCore<W, S>>, socket: Rc<UdpSocket>)
where
    W: EdgeWire,
    S: FleetStore,
{
    let mut health = StoreHealth::new(&core.log, "configurations");
    loop {
        if let Some(address) = core.config_feed.newer_peer.take()
            && read_from_gate(&core, address).await
        {
            continue;
        }
        let now = core.clock.now();
        let known = core.routes().is_some();
        let awaits_first = !known && now >= core.server_feed.defer_until.get();
        let long_polls = awaits_first || core.is_reader(now);
        if !long_polls && !core.config_feed.read_requested.take() {
            // Whether woken or timed out, the loop checks again.
            let _woken = timeout(READER_CHECK_PERIOD, core.config_feed.wakeup.notified()).await;
            continue;
        }
        let cursor = core.config_feed.cursor.get();
        let wait = if long_polls {
            CONFIG_POLL_TIMEOUT
        } else {
            Duration::ZERO
        };
        let read = tokio::select! {
            read = core.store.read_configs(cursor, wait) => read,
            // The store may have lost track of a long poll, so a wakeup starts a new read.
            () = core.config_feed.wakeup.notified(), if long_polls => continue,
        };
        match read {
            Ok(page) => {
                health.record_success();
                core.note_store_era(page.cursor.era);
                core.config_feed.cursor.set(Some(page.cursor));
                let before = core.config_feed.version();
                apply_configs(&core, page);
                core.config_feed.confirmed_at.set(core.clock.now());
                if core.routes().is_none() {
                    sleep(FIRST_CONFIG_PAUSE).await;
                }
                if core.config_feed.version() > before {
                    announce_version(&core, &socket).await;
                }
            }
            Err(FleetError::HistoryLost) => {
                health.record_history_lost();
                core.config_feed.cursor.set(None);
            }
            Err(error) => {
                core.metrics.count_store_failure();
                let pause = health.record_failure(&error, core.near_gate_count());
                // Another gate may announce a newer configuration in the meantime.
                let _woken = timeout(pause, core.config_feed.wakeup.notified()).await;
            }
        }
    }
}

/// Announces the version in force here to the gates of the data centre.
async fn announce_version<W, S>(core: &EdgeCore<W, S>, socket: &UdpSocket) {
    let datagram = Datagram {
        config_version: core.config_feed.version(),
        reads_store: core.reads_store(),
        ..Datagram::default()
    };
    send_to_near_gates(core, socket, &datagram).await;
}

/// Fetches the configuration in force at another gate. Returns false if that failed, and requests a
/// read from the store.
async fn read_from_gate<W, S>(core: &EdgeCore<W, S>, address: SocketAddr) -> bool
where
    W: EdgeWire,
{
    let bytes = match fetch(core, address, CONFIG_PATH).await {
        Ok(bytes) => bytes,
        Err(cause) => {
            let pairs = slog::o!("gate" => address.to_string(), "cause" => cause.to_string());
            let message = "cannot fetch the configuration from a gate; reading the store instead";
            core.log.emit(LogEvent::PeerLinkEnded, message, pairs);
            core.config_feed.request_read();
            return false;
        }
    };
    apply_config(core, bytes);
    true
}

/// Fetches the configuration or the list of servers from another gate, within
/// [`PEER_FETCH_TIMEOUT`].
pub(crate) async fn fetch<W, S>(
    core: &EdgeCore<W, S>,
    address: SocketAddr,
    path: &'static str,
) -> Result<Bytes, FailureKind> {
    let fetched = timeout(PEER_FETCH_TIMEOUT, fetch_unbounded(core, address, path)).await;
    fetched.unwrap_or(Err(FailureKind::AnswerTimeout))
}

/// Fetches like [`fetch`], without a time limit.
async fn fetch_unbounded<W, S>(
    core: &EdgeCore<W, S>,
    address: SocketAddr,
    path: &'static str,
) -> Result<Bytes, FailureKind> {
    let options = core.pool.options();
    let connection = ServerConnection::open(address, options, &core.codec).await;
    let mut connection = connection.map_err(|_| FailureKind::ConnectFailed)?;
    let mut head = RequestHead::default();
    head.uri = Uri::from_static(path);
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        head.headers.insert(HOST, host);
    }
    let sent = connection.send(head, &Bytes::new()).await;
    sent.map_err(|_| FailureKind::ConnectionLost)?;
    let head = connection.read_head().await?;
    if head.status != StatusCode::OK {
        return Err(FailureKind::Refused);
    }
    connection.read_whole_body(MAX_FETCHED_BYTES).await
}

/// Applies the configurations of a page in order.
fn apply_configs<W, S>(core: &EdgeCore<W, S>, page: FeedPage<Bytes>)
where
    W: EdgeWire,
{
    for change in page.changes {
        match change.value {
            FeedValue::Present(bytes) => apply_config(core, bytes),
            FeedValue::Removed => report_unreadable(core, "the row was removed"),
            FeedValue::Unreadable(cause) => report_unreadable(core, &cause),
        }
    }
}

/// Puts a configuration in force if it can be read and is newer than the one in force.
pub(crate) fn apply_config<W, S>(core: &EdgeCore<W, S>, bytes: Bytes)
where
    W: EdgeWire,
{
    match core.wire.read_config(&bytes) {
        Ok(config) if config.version > core.config_feed.version() => {
            let version = config.version;
            put_in_force(core, config);
            *core.config_feed.text.borrow_mut() = Some(ConfigText { version, bytes });
        }
        // An older configuration never replaces a newer one.
        Ok(_) => {}
        Err(cause) => report_unreadable(core, &cause),
    }
}

/// Logs that a configuration could not be read and that the one in force is kept.
fn report_unreadable<W, S>(core: &EdgeCore<W, S>, cause: &str) {
    let pairs = slog::o!("cause" => cause.to_owned(), "in_force" => core.config_feed.version());
    let message = "configuration cannot be read; keeping the one in force";
    core.log.emit(LogEvent::ConfigUnreadable, message, pairs);
}

/// Replaces the routes by those of a configuration.
fn put_in_force<W, S>(core: &EdgeCore<W, S>, config: RouteConfig) {
    let now = core.clock.now();
    let confirmed_ago = now.since(core.config_feed.confirmed_at.get());
    let pairs = slog::o!(
        "version" => config.version,
        "before" => core.config_feed.version(),
        "confirmed_ms_ago" => confirmed_ago.as_millis() as u64,
        "routes" => config.routes.len(),
    );
    core.metrics.set_config_version(config.version);
    let table = RouteTable::new(config, rand::random());
    *core.routes.borrow_mut() = Some(Rc::new(table));
    core.refresh_services(now);
    let message = "new configuration is in force";
    core.log.emit(LogEvent::ConfigInForce, message, pairs);
}

/// Reads the settings again on each `signal` and at a fixed period, and puts changed ones in force.
/// The same fault is logged once.
pub(crate) async fn follow_settings<W, S, P>(
    core: Rc<EdgeCore<W, S>>,
    source: P,
    mut signal: tokio::signal::unix::Signal,
) where
    W: EdgeWire,
    S: FleetStore,
    P: SettingsSource,
{
    let mut logged_fault = String::new();
    loop {
        tokio::select! {
            _ = signal.recv() => {}
            () = sleep(SETTINGS_POLL_PERIOD) => {}
        }
        match source.read() {
            Ok(settings) if settings != *core.settings() => {
                core.store.set_address(settings.store);
                *core.settings.borrow_mut() = Rc::new(settings);
                core.refresh_services(core.clock.now());
                let message = "changed settings are in force";
                core.log
                    .emit(LogEvent::SettingsReloaded, message, slog::o!());
                logged_fault.clear();
            }
            Ok(_) => logged_fault.clear(),
            Err(fault) if fault != logged_fault => {
                let pairs = slog::o!("cause" => fault.clone());
                let message = "settings cannot be used; keeping the ones in force";
                core.log.emit(LogEvent::SettingsInvalid, message, pairs);
                logged_fault = fault;
            }
            Err(_) => {}
        }
    }
}
