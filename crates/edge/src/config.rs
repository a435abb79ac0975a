//! Tasks that follow configurations and settings.

use std::rc::Rc;
use std::time::Duration;

use ggs_model::Clock;
use ggs_observe::LogEvent;
use ggs_route::{RouteConfig, RouteTable};
use tokio::time::sleep;

use crate::core::EdgeCore;
use crate::ports::{EdgeWire, FeedPage, FeedValue, FleetError, FleetStore, SettingsSource};
use crate::store_health::StoreHealth;

/// Longest wait of a read for the next configuration.
const CONFIG_WAIT: Duration = Duration::from_secs(25);

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
