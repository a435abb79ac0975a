//! Tasks that follow configurations and settings.

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

/// Longest wait of a read for the next configuration.
const CONFIG_POLL_TIMEOUT: Duration = Duration::from_secs(30);

/// Pause between reads while there is no configuration yet.
const FIRST_CONFIG_PAUSE: Duration = Duration::from_millis(100);

/// Time between two looks at whether this gate reads for its data centre.
const READER_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Time for a read from another gate of the data centre.
const PEER_FETCH_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest answer of another gate, in bytes.
const MAX_FETCHED_BYTES: usize = 1 << 20;

/// Where a gate tells others its configuration.
pub(crate) const CONFIG_PATH: &str = "/config";

/// Time between two looks at the settings.
const SETTINGS_POLL_PERIOD: Duration = Duration::from_secs(3);

/// Follows configurations: the gate that reads for its data centre long_polls for them at the store, the
/// others read them from it. A gate that is not told anything in time reads the store itself.
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
            // Woken or not, the loop decides anew.
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
            // The store may have forgotten a call that long_polls.
            () = core.config_feed.wakeup.notified(), if long_polls => continue,
        };
        match read {
            Ok(page) => {
                health.record_success();
                core.config_feed.cursor.set(Some(page.cursor));
                let before = core.config_feed.version();
                apply_configs(&core, page);
                if core.routes().is_none() {
                    sleep(FIRST_CONFIG_PAUSE).await;
                }
                if core.config_feed.version() > before {
                    announce_version(&core, &socket).await;
                }
            }
            Err(FleetError::HistoryLost) => core.config_feed.cursor.set(None),
            Err(error) => {
                core.metrics.count_store_failure();
                let pause = health.record_failure(&error, core.near_gate_count());
                // Another gate may have a newer configuration meanwhile.
                let _woken = timeout(pause, core.config_feed.wakeup.notified()).await;
            }
        }
    }
}

/// Tells the gates of the data centre which version is in force here.
async fn announce_version<W, S>(core: &EdgeCore<W, S>, socket: &UdpSocket) {
    let datagram = Datagram {
        config_version: core.config_feed.version(),
        reads_store: core.reads_store(),
        ..Datagram::default()
    };
    send_to_near_gates(core, socket, &datagram).await;
}

/// Reads the configuration in force at another gate; false if that failed.
async fn read_from_gate<W, S>(core: &EdgeCore<W, S>, address: SocketAddr) -> bool
where
    W: EdgeWire,
{
    let bytes = match fetch(core, address, CONFIG_PATH).await {
        Ok(bytes) => bytes,
        Err(cause) => {
            let pairs = slog::o!("gate" => address.to_string(), "cause" => cause.to_string());
            let message = "configuration is read from the store instead";
            core.log.emit(LogEvent::PeerLinkEnded, message, pairs);
            core.config_feed.request_read();
            return false;
        }
    };
    apply_config(core, bytes);
    true
}

/// Asks another gate for what it knows.
pub(crate) async fn fetch<W, S>(
    core: &EdgeCore<W, S>,
    address: SocketAddr,
    path: &'static str,
) -> Result<Bytes, FailureKind> {
    let fetched = timeout(PEER_FETCH_TIMEOUT, fetch_unbounded(core, address, path)).await;
    fetched.unwrap_or(Err(FailureKind::AnswerTimeout))
}

/// Asks another gate for what it knows, without a limit on time.
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

/// Takes the configurations of a page.
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

/// Puts a configuration in force if it can be read and is newer.
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
        // An older one never comes back into force.
        Ok(_) => {}
        Err(cause) => report_unreadable(core, &cause),
    }
}

/// Logs that a configuration could not be read.
fn report_unreadable<W, S>(core: &EdgeCore<W, S>, cause: &str) {
    let pairs = slog::o!("cause" => cause.to_owned(), "in_force" => core.config_feed.version());
    let message = "configuration in force stays";
    core.log.emit(LogEvent::ConfigUnreadable, message, pairs);
}

/// Puts a configuration in force.
fn put_in_force<W, S>(core: &EdgeCore<W, S>, config: RouteConfig) {
    let pairs = slog::o!(
        "version" => config.version,
        "before" => core.config_feed.version(),
        "routes" => config.routes.len(),
    );
    core.metrics.set_config_version(config.version);
    let table = RouteTable::new(config, rand::random());
    *core.routes.borrow_mut() = Some(Rc::new(table));
    core.refresh_services(core.clock.now());
    let message = "configuration is in force";
    core.log.emit(LogEvent::ConfigInForce, message, pairs);
}

/// Looks at the settings again whenever `signal` yields, and from time to time.
pub(crate) async fn follow_settings<W, S, P>(
    core: Rc<EdgeCore<W, S>>,
    source: P,
    mut signal: tokio::signal::unix::Signal,
) where
    W: EdgeWire,
    S: FleetStore,
    P: SettingsSource,
{
    let mut refused = String::new();
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
                refused.clear();
            }
            Ok(_) => refused.clear(),
            Err(fault) if fault != refused => {
                let pairs = slog::o!("cause" => fault.clone());
                let message = "settings in force stay";
                core.log.emit(LogEvent::SettingsInvalid, message, pairs);
                refused = fault;
            }
            Err(_) => {}
        }
    }
}
