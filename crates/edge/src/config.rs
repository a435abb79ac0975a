//! Tasks that follow configurations, servers and settings.

use std::rc::Rc;
use std::time::Duration;

use ggs_model::Clock;
use ggs_observe::LogEvent;
use ggs_route::{RouteConfig, RouteTable};
use tokio::time::sleep;

use crate::catalog::CatalogNews;
use crate::core::EdgeCore;
use crate::ports::{EdgeWire, FeedPage, FeedValue, FleetError, FleetStore, SettingsSource};
use crate::store_health::StoreHealth;

/// Longest wait of a read for the next configuration.
const CONFIG_WAIT: Duration = Duration::from_secs(25);

/// Time between two reads of the servers, as a part of the time in which a leaving server may still
/// get requests, in percent.
const SERVER_PERIOD_PERCENT: u32 = 65;

/// Time between two looks at the settings.
const SETTINGS_PERIOD: Duration = Duration::from_secs(3);

/// Follows configurations.
pub(crate) async fn follow_configs<W, S>(core: Rc<EdgeCore<W, S>>)
where
    W: EdgeWire,
    S: FleetStore,
{
    let mut health = StoreHealth::new(&core.log, "configurations");
    let mut cursor = None;
    loop {
        match core.store.read_configs(cursor, CONFIG_WAIT).await {
            Ok(page) => {
                health.succeeded();
                cursor = Some(page.cursor);
                take_configs(&core, page);
                if core.routes().is_none() {
                    sleep(FIRST_CONFIG_PAUSE).await;
                }
            }
            Err(FleetError::HistoryLost) => cursor = None,
            Err(error) => sleep(health.failed(&error)).await,
        }
    }
}

/// Pause between reads while there is no configuration yet.
const FIRST_CONFIG_PAUSE: Duration = Duration::from_millis(100);

/// Puts the newest configuration of a page in force.
fn take_configs<W, S>(core: &EdgeCore<W, S>, page: FeedPage<RouteConfig>) {
    for change in page.changes {
        match change.value {
            FeedValue::Present(config) => put_in_force(core, config),
            FeedValue::Removed => {
                let cause = "the row was removed";
                let pairs = slog::o!("key" => change.key.to_string(), "cause" => cause);
                let message = "configuration in force stays";
                core.log.emit(LogEvent::ConfigUnreadable, message, pairs);
            }
            FeedValue::Unreadable(cause) => {
                let pairs = slog::o!("key" => change.key.to_string(), "cause" => cause);
                let message = "configuration in force stays";
                core.log.emit(LogEvent::ConfigUnreadable, message, pairs);
            }
        }
    }
}

/// Puts a configuration in force unless a newer one already is.
fn put_in_force<W, S>(core: &EdgeCore<W, S>, config: RouteConfig) {
    let before = core.routes().map(|routes| routes.version());
    if before.is_some_and(|before| before >= config.version) {
        return;
    }
    let pairs = slog::o!(
        "version" => config.version,
        "before" => before.unwrap_or_default(),
        "routes" => config.routes.len(),
    );
    let table = RouteTable::new(config, rand::random());
    *core.routes.borrow_mut() = Some(Rc::new(table));
    core.refresh_services(core.clock.now());
    let message = "configuration is in force";
    core.log.emit(LogEvent::ConfigInForce, message, pairs);
}

/// Follows servers.
pub(crate) async fn follow_servers<W, S>(core: Rc<EdgeCore<W, S>>)
where
    W: EdgeWire,
    S: FleetStore,
{
    let mut health = StoreHealth::new(&core.log, "servers");
    let mut cursor = None;
    loop {
        // Rows that lapsed are given up in time, whether or not the store answers.
        let mut news = CatalogNews::default();
        core.catalog
            .borrow_mut()
            .expire(core.clock.now(), &mut news);
        take_news(&core, news);
        let read = core.store.read_servers(cursor, Duration::ZERO).await;
        let now = core.clock.now();
        let mut pause = core.settings().bounds.server_drain * SERVER_PERIOD_PERCENT / 100;
        match read {
            Ok(page) => {
                health.succeeded();
                cursor = Some(page.cursor);
                let news = core.catalog.borrow_mut().apply(page, now);
                core.set_servers_known();
                take_news(&core, news);
            }
            Err(FleetError::HistoryLost) => {
                cursor = None;
                continue;
            }
            Err(error) => {
                pause = health.failed(&error);
            }
        }
        if let Some(expiry) = core.catalog.borrow().next_expiry() {
            pause = pause.min(expiry.since(now)).max(MIN_PAUSE);
        }
        sleep(pause).await;
    }
}

/// Shortest pause between two reads of the servers.
const MIN_PAUSE: Duration = Duration::from_millis(100);

/// Acts on a change of the servers.
fn take_news<W, S>(core: &EdgeCore<W, S>, news: CatalogNews) {
    if news.is_change() {
        core.refresh_services(core.clock.now());
    }
    for server in news.listed {
        let pairs = slog::o!("server" => server.to_string());
        let message = "server takes requests";
        core.log.emit(LogEvent::ServerListed, message, pairs);
    }
    for server in news.dropped {
        let pairs = slog::o!("server" => server.to_string());
        let message = "server takes no new requests";
        core.log.emit(LogEvent::ServerDropped, message, pairs);
    }
    for (server, cause) in news.unreadable {
        let pairs = slog::o!("server" => server.to_string(), "cause" => cause);
        let message = "row names no server";
        core.log.emit(LogEvent::ServerUnreadable, message, pairs);
    }
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
            () = sleep(SETTINGS_PERIOD) => {}
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
