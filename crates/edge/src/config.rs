//! Keeps the configuration and the settings of a gate up to date.
//!
//! One gate of a data centre long-polls the store for configurations, and the others fetch them
//! from it, because each call to the store costs money. A configuration that cannot be read, or
//! that is not newer than the one in force, is ignored.
//!
//! Each gate knows when its configuration was last confirmed as the newest, and the gates pass that
//! on with every datagram. A gate that is not told in time reads the store itself, whatever the
//! cause: a reader that has stopped, a long poll that the store has lost, datagrams that are
//! dropped.

use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{HOST, HeaderMap, HeaderName, HeaderValue};
use actix_http::{RequestHead, StatusCode, Uri};
use bytes::Bytes;
use ggs_access::AccessError;
use ggs_model::{Clock, Moment};
use ggs_observe::LogEvent;
use ggs_relay::{FailureKind, ServerConnection};
use ggs_route::{RouteConfig, RouteTable};
use rand::seq::IndexedRandom;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

use crate::core::EdgeCore;
use crate::datagrams::Datagram;
use crate::feeds::{ConfigText, PeerConfig};
use crate::gates::{send_to, send_to_near_gates};
use crate::ports::{
    EdgeWire, FeedPage, FeedValue, FleetError, FleetStore, OperatorPage, SettingsSource,
};
use crate::servers::ReaderChoice;
use crate::store_health::StoreHealth;

/// Time that a long poll waits at the store for the next configuration, in percent of
/// [`EdgeBounds::config_apply`](crate::EdgeBounds::config_apply). Each answer confirms the
/// configuration in force.
const POLL_PERCENT: u32 = 60;

/// Age of the last confirmation at which a gate reads the store itself, and time limit of a long
/// poll, in percent of the same time. The rest is for that read and its retry.
const OVERDUE_PERCENT: u32 = 80;

/// Time between the reads of two gates whose confirmations get too old at the same time. The first
/// one to succeed confirms the configuration to the others.
const OVERDUE_STAGGER: Duration = Duration::from_millis(10);

/// Longest delay of an overdue read by [`OVERDUE_STAGGER`], in percent of the same time.
const MAX_STAGGER_PERCENT: u32 = 10;

/// Number of gates in a data centre whose overdue reads go on while reads of the servers fail.
const FAILING_READER_COUNT: usize = 4;

/// Time that a long poll waits at the store while there is no configuration yet.
const FIRST_CONFIG_POLL: Duration = Duration::from_secs(5);

/// Pause between reads while there is no configuration yet.
const FIRST_CONFIG_PAUSE: Duration = Duration::from_millis(100);

/// Time between two checks of whether this gate is the reader of its data centre.
const READER_CHECK_PERIOD: Duration = Duration::from_millis(500);

/// Time limit of a fetch from another gate of the data centre.
const PEER_FETCH_TIMEOUT: Duration = Duration::from_millis(300);

/// Longest configuration that all gates of a data centre fetch from its reader at the same time, in bytes.
/// On the smallest links in use, of 10 Mbit/s, 47 fetches of this length fill [`PEER_FETCH_TIMEOUT`]. A
/// longer one spreads from gate to gate.
const MAX_DIRECT_CONFIG_BYTES: u64 = 8 << 10;

/// Gates that a gate tells at once of a long configuration that is new to it.
const SPREAD_COUNT: usize = 4;

/// Longest configuration that is fetched from another gate, in bytes; a longer one is read from the
/// store. [`SPREAD_COUNT`] fetches of this length fill [`PEER_FETCH_TIMEOUT`] on the smallest links.
const MAX_FETCHED_CONFIG_BYTES: u64 = 90 << 10;

/// Longest answer of another gate, in bytes.
const MAX_FETCHED_BYTES: usize = 1 << 20;

/// Path at which a gate serves its configuration to other gates.
pub(crate) const CONFIG_PATH: &str = "/config";

/// Header in answers to other gates: milliseconds since the sender last knew its configuration to be
/// the newest.
pub(crate) const CONFIG_AGE_HEADER: HeaderName = HeaderName::from_static("ggs-config-age-ms");

/// Time between two reads of the settings.
const SETTINGS_POLL_PERIOD: Duration = Duration::from_secs(3);

/// How a gate reads configurations from the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConfigRead {
    /// As the reader of the data centre, or as no configuration is known yet: the store answers
    /// after this time at the latest.
    LongPoll(Duration),
    /// Because it was requested or is overdue: the store answers at once.
    Immediate,
}

impl ConfigRead {
    /// Time for which the store may hold the call.
    fn wait(self) -> Duration {
        match self {
            Self::LongPoll(wait) => wait,
            Self::Immediate => Duration::ZERO,
        }
    }
}

impl<W, S> EdgeCore<W, S> {
    /// Milliseconds since the configuration in force was last known to be the newest.
    pub(crate) fn config_age_ms(&self) -> u64 {
        let age = self.clock.now().since(self.config_feed.confirmed_at.get());
        age.as_millis() as u64
    }

    /// A datagram that says what is in force here, and nothing else.
    pub(crate) fn config_datagram(&self) -> Datagram {
        Datagram {
            reads_store: self.reads_store(),
            config_version: self.config_feed.version(),
            config_age_ms: Some(self.config_age_ms()),
            config_bytes: self.config_feed.byte_count(),
            evacuations: self.encode_evacuations(),
            ..Datagram::default()
        }
    }

    /// Whether the configuration in force is too long for all gates to fetch it at the same time.
    fn has_long_config(&self) -> bool {
        self.config_feed.byte_count() > MAX_DIRECT_CONFIG_BYTES
    }

    /// When the configuration in force has not been confirmed for too long.
    fn config_overdue_at(&self) -> Moment {
        let limit = self.settings().bounds.config_apply;
        self.config_feed.confirmed_at.get() + limit * OVERDUE_PERCENT / 100
    }

    /// When this gate has to read configurations itself, unless another gate has done it by then.
    fn config_due(&self) -> Moment {
        let limit = self.settings().bounds.config_apply;
        let stagger = OVERDUE_STAGGER * self.near_rank() as u32;
        self.config_overdue_at() + stagger.min(limit * MAX_STAGGER_PERCENT / 100)
    }

    /// How this gate has to read configurations now; `None` if another gate does it.
    fn config_read(&self, now: Moment) -> Option<ConfigRead> {
        if now < self.config_feed.retry_at.get() {
            return None;
        }
        if self.config_feed.read_requested.get() {
            return Some(ConfigRead::Immediate);
        }
        if self.routes().is_none() {
            let defers = now < self.server_feed.defer_until.get();
            let waits = defers || self.reader(now) == ReaderChoice::Other;
            return (!waits).then_some(ConfigRead::LongPoll(FIRST_CONFIG_POLL));
        }
        if self.is_reader(now) {
            let wait = self.settings().bounds.config_apply * POLL_PERCENT / 100;
            return Some(ConfigRead::LongPoll(wait));
        }
        let may_read =
            !self.server_feed.reads_failing.get() || self.near_rank() < FAILING_READER_COUNT;
        (may_read && now >= self.config_due()).then_some(ConfigRead::Immediate)
    }
}

/// Follows configurations until the process ends. The reader of a data centre long-polls the store,
/// and the other gates fetch from a gate that announces a newer version. A gate whose configuration
/// is not confirmed in time reads the store itself.
pub(crate) async fn follow_configs<W, S>(core: Rc<EdgeCore<W, S>>, socket: Rc<UdpSocket>)
where
    W: EdgeWire,
    S: FleetStore,
{
    let mut health = StoreHealth::new(&core.log, "configurations");
    loop {
        if let Some(peer) = core.config_feed.take_newer_peer()
            && read_from_gate(&core, peer).await
        {
            spread_long_config(&core, &socket).await;
            continue;
        }
        let started = core.clock.now();
        let Some(kind) = core.config_read(started) else {
            let due = core.config_due().max(core.config_feed.retry_at.get());
            let pause = if due > started {
                due.since(started).min(READER_CHECK_PERIOD)
            } else {
                READER_CHECK_PERIOD
            };
            // Whether woken or timed out, the loop checks again.
            let _woken = timeout(pause, core.config_feed.wakeup.notified()).await;
            continue;
        };
        let read = match kind {
            ConfigRead::Immediate => {
                let Some(read) = read_unless_newer(&core).await else {
                    continue;
                };
                read
            }
            ConfigRead::LongPoll(wait) => {
                let Some(read) = long_poll(&core, wait).await else {
                    continue;
                };
                read
            }
        };
        match read {
            Ok(page) => {
                health.record_success();
                let confirms_for_others = kind != ConfigRead::Immediate
                    || core.is_reader(started)
                    || started >= core.config_overdue_at();
                let version = core.config_feed.version();
                apply_read(&core, kind, started, page);
                let is_new = core.config_feed.version() > version;
                if core.routes().is_none() {
                    sleep(FIRST_CONFIG_PAUSE).await;
                } else if is_new && core.has_long_config() {
                    spread_long_config(&core, &socket).await;
                } else if confirms_for_others {
                    send_to_near_gates(&core, &socket, &core.config_datagram()).await;
                }
            }
            Err(FleetError::HistoryLost) => {
                let pause = health.record_history_lost(core.near_gate_count());
                core.config_feed.cursor.set(None);
                core.config_feed.read_requested.set(true);
                core.config_feed.retry_at.set(core.clock.now() + pause);
            }
            Err(error) => {
                core.metrics.count_store_failure();
                let pause = health.record_failure(&error, core.near_gate_count());
                // Another gate may announce a newer configuration in the meantime.
                core.config_feed.retry_at.set(core.clock.now() + pause);
            }
        }
    }
}

/// Applies what a read that began at `started` returned, and confirms the configuration that is then
/// in force.
fn apply_read<W, S>(core: &EdgeCore<W, S>, kind: ConfigRead, started: Moment, page: OperatorPage)
where
    W: EdgeWire,
{
    let now = core.clock.now();
    core.apply_evacuations(&page.evacuations);
    let page = page.configs;
    let confirmed_at = if page.changes.is_empty() {
        // The store has held the call for the whole wait.
        (started + kind.wait()).min(now)
    } else {
        now
    };
    core.note_store_era(page.cursor.era);
    core.config_feed.cursor.set(Some(page.cursor));
    apply_configs(core, page);
    core.config_feed.confirm(confirmed_at);
}

/// Reads the configurations that are new in the store. Returns `None` if another gate announces a newer
/// one first, as the store may leave the call unanswered; but not if the read was requested because the
/// one of another gate cannot be fetched.
async fn read_unless_newer<W, S>(core: &EdgeCore<W, S>) -> Option<Result<OperatorPage, FleetError>>
where
    S: FleetStore,
{
    let is_requested = core.config_feed.read_requested.get();
    let mut read = pin!(read_at_once(core));
    loop {
        tokio::select! {
            read = &mut read => return Some(read),
            () = core.config_feed.wakeup.notified(), if !is_requested => {
                if core.config_feed.has_newer_peer() {
                    return None;
                }
            }
        }
    }
}

/// Reads the configurations that are new in the store.
async fn read_at_once<W, S>(core: &EdgeCore<W, S>) -> Result<OperatorPage, FleetError>
where
    S: FleetStore,
{
    core.config_feed.read_requested.set(false);
    if core.config_feed.version() > 0 && core.clock.now() >= core.config_overdue_at() {
        let pairs = slog::o!("unconfirmed_ms" => core.config_age_ms());
        let message = "configuration was not confirmed in time; reading the store";
        core.log.emit(LogEvent::ConfigUnconfirmed, message, pairs);
    }
    let cursor = core.config_feed.cursor.get();
    core.store.read_configs(cursor, Duration::ZERO).await
}

/// Waits at the store for configurations. Returns `None` if the gate has to look for something else
/// first: another gate may have a newer one, or the store has not answered in time, as it may have
/// lost the call; then the next read is immediate.
async fn long_poll<W, S>(
    core: &EdgeCore<W, S>,
    wait: Duration,
) -> Option<Result<OperatorPage, FleetError>>
where
    S: FleetStore,
{
    let margin = core.settings().bounds.config_apply * (OVERDUE_PERCENT - POLL_PERCENT) / 100;
    let cursor = core.config_feed.cursor.get();
    tokio::select! {
        read = core.store.read_configs(cursor, wait) => Some(read),
        () = core.config_feed.wakeup.notified() => None,
        () = sleep(wait + margin) => {
            core.config_feed.read_requested.set(true);
            None
        }
    }
}

/// Tells a few gates of the data centre of a long configuration that is new here; each of them fetches it
/// and tells a few others. Heartbeats tell those that are left out.
async fn spread_long_config<W, S>(core: &EdgeCore<W, S>, socket: &UdpSocket) {
    if !core.has_long_config() {
        return;
    }
    let peers = core.near_peers();
    let peers: Vec<_> = peers
        .sample(&mut rand::rng(), SPREAD_COUNT)
        .copied()
        .collect();
    send_to(socket, &peers, &core.config_datagram()).await;
}

/// Fetches the configuration in force at another gate. Returns false if that failed or if the
/// configuration is too long, and requests a read from the store.
async fn read_from_gate<W, S>(core: &EdgeCore<W, S>, peer: PeerConfig) -> bool
where
    W: EdgeWire,
{
    if peer.bytes > MAX_FETCHED_CONFIG_BYTES {
        core.config_feed.request_read();
        return false;
    }
    let answer = match fetch(core, peer.address, CONFIG_PATH).await {
        Ok(answer) => answer,
        Err(cause) => {
            let gate = peer.address.to_string();
            let pairs = slog::o!("gate" => gate, "cause" => cause.to_string());
            let message = "cannot fetch the configuration from a gate; reading the store instead";
            core.log.emit(LogEvent::PeerLinkEnded, message, pairs);
            core.config_feed.request_read();
            return false;
        }
    };
    apply_peer_config(core, answer);
    true
}

/// Puts the configuration of another gate in force if it is newer, and takes over when it was
/// confirmed.
pub(crate) fn apply_peer_config<W, S>(core: &EdgeCore<W, S>, answer: PeerAnswer)
where
    W: EdgeWire,
{
    let version = apply_config(core, answer.bytes);
    if version.is_some_and(|version| version == core.config_feed.version()) {
        core.config_feed.confirm(answer.config_confirmed_at);
    }
}

/// An answer of another gate.
#[derive(Debug)]
pub(crate) struct PeerAnswer {
    pub(crate) bytes: Bytes,
    /// When the other gate last knew its configuration to be the newest.
    config_confirmed_at: Moment,
}

/// Fetches the configuration or the list of servers from another gate, within
/// [`PEER_FETCH_TIMEOUT`].
pub(crate) async fn fetch<W, S>(
    core: &EdgeCore<W, S>,
    address: SocketAddr,
    path: &'static str,
) -> Result<PeerAnswer, FailureKind> {
    let fetched = timeout(PEER_FETCH_TIMEOUT, fetch_unbounded(core, address, path)).await;
    fetched.unwrap_or(Err(FailureKind::AnswerTimeout))
}

/// Fetches like [`fetch`], without a time limit.
async fn fetch_unbounded<W, S>(
    core: &EdgeCore<W, S>,
    address: SocketAddr,
    path: &'static str,
) -> Result<PeerAnswer, FailureKind> {
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
    let age = parse_config_age(&head.headers);
    let config_confirmed_at = age.map_or(Moment::ZERO, |age| core.clock.now() - age);
    let bytes = connection.read_whole_body(MAX_FETCHED_BYTES).await?;
    Ok(PeerAnswer {
        bytes,
        config_confirmed_at,
    })
}

/// Reads the age of the configuration of another gate; `None` if the gate does not state it.
fn parse_config_age(headers: &HeaderMap) -> Option<Duration> {
    let age = headers.get(CONFIG_AGE_HEADER)?;
    let age_ms = age.to_str().ok()?.parse().ok()?;
    Some(Duration::from_millis(age_ms))
}

/// Applies the configurations of a page in order.
fn apply_configs<W, S>(core: &EdgeCore<W, S>, page: FeedPage<Bytes>)
where
    W: EdgeWire,
{
    for change in page.changes {
        match change.value {
            FeedValue::Present(bytes) => {
                // An unreadable one has been logged; the one in force is kept.
                let _version = apply_config(core, bytes);
            }
            FeedValue::Removed => report_unreadable(core, "the row was removed"),
            FeedValue::Unreadable(cause) => report_unreadable(core, &cause),
        }
    }
}

/// Puts a configuration in force if it can be read and is newer than the one in force. Returns its
/// version; `None` if it cannot be read.
fn apply_config<W, S>(core: &EdgeCore<W, S>, bytes: Bytes) -> Option<u64>
where
    W: EdgeWire,
{
    match core.wire.read_config(&bytes) {
        Ok(config) => {
            let version = config.version;
            // An older configuration never replaces a newer one.
            if version > core.config_feed.version() {
                if let Err(error) = put_in_force(core, config, bytes.len()) {
                    report_unreadable(core, &error.to_string());
                    return None;
                }
                *core.config_feed.text.borrow_mut() = Some(ConfigText { version, bytes });
            }
            Some(version)
        }
        Err(cause) => {
            report_unreadable(core, &cause);
            None
        }
    }
}

/// Logs that a configuration could not be read and that the one in force is kept.
fn report_unreadable<W, S>(core: &EdgeCore<W, S>, cause: &str) {
    let pairs = slog::o!("cause" => cause.to_owned(), "in_force" => core.config_feed.version());
    let message = "configuration cannot be read; keeping the one in force";
    core.log.emit(LogEvent::ConfigUnreadable, message, pairs);
}

/// Replaces the routes by those of a configuration whose text has a length in bytes.
fn put_in_force<W, S>(
    core: &EdgeCore<W, S>,
    config: RouteConfig,
    bytes: usize,
) -> Result<(), AccessError> {
    let now = core.clock.now();
    let confirmed_ago = now.since(core.config_feed.confirmed_at.get());
    let pairs = slog::o!(
        "version" => config.version,
        "before" => core.config_feed.version(),
        "confirmed_ms_ago" => confirmed_ago.as_millis() as u64,
        "routes" => config.routes.len(),
        "workspaces" => config.workspaces.as_ref().map(Vec::len),
        "bytes" => bytes,
    );
    let version = config.version;
    let table = RouteTable::new(config, rand::random())?;
    core.metrics.set_config_version(version);
    *core.routes.borrow_mut() = Some(Rc::new(table));
    core.refresh_services(now);
    let message = "new configuration is in force";
    core.log.emit(LogEvent::ConfigInForce, message, pairs);
    Ok(())
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
                core.body_budget.set_limit(settings.body_bytes());
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
