//! Keeps the list of servers up to date, from the store or from another gate.
//!
//! Each call to the store costs money, and all gates would read the same rows. So one gate of a
//! data centre, its reader, reads the store and sends the changes to the others. A gate that gets
//! no changes for too long reads the store itself. A digest of the whole list goes with the
//! changes, so that a gate that has missed some notices it and reads the list anew.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ggs_member::{PeerLiveness, relay_children};
use ggs_model::{Clock, Moment};
use ggs_observe::LogEvent;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::time::{sleep, timeout};

use crate::catalog::CatalogDiff;
use crate::core::EdgeCore;
use crate::datagrams::{Datagram, ServerChangesBody, ServerListBody};
use crate::gates::{send_to, send_to_near_gates};
use crate::parts::{MAX_PART_COUNT, PartOutcome};
use crate::ports::{EdgeWire, FeedPage, FleetError, FleetStore, ServerRecord};
use crate::store_health::StoreHealth;

/// Time between two reads by the reader of a data centre, in percent of
/// [`EdgeBounds::server_drain`](crate::EdgeBounds::server_drain), the time in which a leaving
/// server may still get requests.
const READ_PERIOD_PERCENT: u32 = 55;

/// Age of the list at which it counts as stale and a gate reads the store itself, in percent of the
/// same time. A list gets that old only if the reader's next changes do not arrive.
const STALE_PERCENT: u32 = 78;

/// Path at which a gate serves its list of servers to other gates.
pub(crate) const SERVERS_PATH: &str = "/servers";

/// Shortest pause before another read.
const MIN_READ_PAUSE: Duration = Duration::from_millis(100);

/// Most bytes of changes in one datagram, so that the whole datagram fits into one packet.
const MAX_CHANGE_BYTES: usize = 1_100;

/// Most datagrams with changes that the reader sends to all gates of its data centre itself; more are
/// passed on by each gate to a few others.
const MAX_DIRECT_PART_COUNT: usize = 2;

/// Part of the bandwidth of its host's link that the reader uses to send many changes, in percent.
/// The rest is for its callers, and for the changes that it may have to pass on at the same time.
const CHANGE_LINK_PERCENT: f64 = 50.0;

/// Time between two checks of whether this gate is the reader of its data centre.
const READER_CHECK_PERIOD: Duration = Duration::from_millis(250);

/// Which gate of a data centre reads the store for the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReaderChoice {
    /// This gate.
    Own,
    /// Another gate.
    Other,
    /// None is known.
    Unknown,
}

impl<W, S> EdgeCore<W, S> {
    /// Whether this gate can read the store for others: it knows a list of servers, its last read
    /// succeeded, and it does not stop soon.
    pub(crate) fn reads_store(&self) -> bool {
        let reads =
            !self.server_feed.reads_failing.get() && self.server_feed.cursor.get().is_some();
        reads && !self.is_draining()
    }

    /// When the list of servers becomes stale, so that this gate has to read the store itself.
    fn stale_at(&self) -> Moment {
        let drain = self.settings().bounds.server_drain;
        self.server_feed.fresh_at.get() + drain * STALE_PERCENT / 100
    }

    /// Whether this gate is the reader of its data centre.
    pub(crate) fn is_reader(&self, now: Moment) -> bool {
        self.reader(now) == ReaderChoice::Own
    }

    /// The gate that reads the store for the data centre: the first by identifier of those whose
    /// leases are current and that can read it, whether or not they have a configuration yet. A gate
    /// that does not know the others yet is not the reader.
    pub(crate) fn reader(&self, now: Moment) -> ReaderChoice {
        let defers =
            !self.contacts.borrow().knows_gates() || now < self.server_feed.defer_until.get();
        let gates = self.gates.borrow();
        let contacts = self.contacts.borrow();
        let own = gates.own();
        let others = gates.views(now).filter(|view| {
            let is_heard = matches!(view.liveness, PeerLiveness::Live | PeerLiveness::Draining);
            is_heard
                && view.record.data_centre == own.data_centre
                && contacts.reads_store(view.record.peers)
        });
        let first_other = others.map(|view| &view.record.gate).min();
        let may_read = self.reads_store() && !defers;
        match first_other {
            Some(other) if !may_read || *other < own.gate => ReaderChoice::Other,
            _ if may_read => ReaderChoice::Own,
            _ => ReaderChoice::Unknown,
        }
    }

    /// Applies a part of the changes of the list of servers that another gate sent; returns the gates
    /// to which this one has to pass it on.
    pub(crate) fn receive_changes(&self, body: &ServerChangesBody) -> Vec<SocketAddr> {
        if body.part_count <= 1 {
            self.apply_server_changes(body);
            return Vec::new();
        }
        let outcome = self.server_feed.parts.borrow_mut().add(body.clone());
        match outcome {
            PartOutcome::Ignored => return Vec::new(),
            PartOutcome::Incomplete { last: false } => {}
            PartOutcome::Incomplete { last: true } => self.request_changes(),
            PartOutcome::Complete(changes) => self.apply_server_changes(&changes),
        }
        let Ok(root) = body.root.parse() else {
            return Vec::new();
        };
        self.relay_peers(root)
    }

    /// The gates to which this one passes on a message that started at `root`.
    fn relay_peers(&self, root: SocketAddr) -> Vec<SocketAddr> {
        let settings = self.settings();
        let peers = self.contacts.borrow().peers_of(&settings.data_centre);
        relay_children(&peers, root, settings.listen_gates)
    }

    /// Makes this gate read the changes after its cursor at once.
    fn request_changes(&self) {
        self.server_feed.lacks_changes.set(true);
        self.server_feed.wakeup.notify_one();
    }

    /// Applies changes of the list of servers that another gate sent. Changes that end before this
    /// gate's cursor are ignored. If changes before these are missing, the cursor stays, and this
    /// gate reads what follows it.
    fn apply_server_changes(&self, body: &ServerChangesBody) {
        let Some(own_cursor) = self.server_feed.cursor.get() else {
            return;
        };
        if own_cursor > body.cursor() {
            return;
        }
        let page = FeedPage {
            whole: false,
            changes: body.changes(),
            cursor: body.cursor(),
        };
        let Some(digest) = body.digest else {
            self.apply_partial(page);
            return;
        };
        if body.skips_changes_after(own_cursor) {
            self.apply_partial(page);
            self.request_changes();
            return;
        }
        self.apply_page(page);
        if self.catalog.borrow().digest() != digest {
            self.server_feed.diverged.set(true);
        }
        self.server_feed.wakeup.notify_one();
    }

    /// Encodes the list of servers for a gate that starts; `None` if the list may be out of date.
    pub(crate) fn encode_server_list(&self) -> Option<Bytes> {
        let now = self.clock.now();
        let cursor = self.server_feed.cursor.get()?;
        if now >= self.stale_at() || self.server_feed.diverged.get() {
            return None;
        }
        let catalog = self.catalog.borrow();
        let list = ServerListBody {
            servers: ServerChangesBody::unsplit(cursor, catalog.digest(), &catalog.snapshot(now)),
            age_ms: now.since(self.server_feed.fresh_at.get()).as_millis() as u64,
        };
        Some(list.encode_to_vec().into())
    }

    /// Replaces the list of servers by that of another gate; false if it cannot be decoded or its
    /// digest does not match.
    pub(crate) fn apply_server_list(&self, bytes: &[u8]) -> bool {
        let Ok(list) = ServerListBody::decode(bytes) else {
            return false;
        };
        let page = FeedPage {
            whole: true,
            changes: list.servers.changes(),
            cursor: list.servers.cursor(),
        };
        self.apply_page(page);
        let fresh_at = self.clock.now() - Duration::from_millis(list.age_ms);
        self.server_feed.fresh_at.set(fresh_at);
        let same = Some(self.catalog.borrow().digest()) == list.servers.digest;
        self.server_feed.diverged.set(!same);
        same
    }

    /// Applies changes without moving the cursor, as others are missing.
    fn apply_partial(&self, part: FeedPage<ServerRecord>) {
        let now = self.clock.now();
        let diff = self.catalog.borrow_mut().apply(part, now);
        self.apply_diff(diff);
    }

    /// Applies a page that brings the list up to date.
    fn apply_page(&self, page: FeedPage<ServerRecord>) {
        let now = self.clock.now();
        self.note_store_era(page.cursor.era);
        self.server_feed.cursor.set(Some(page.cursor));
        self.server_feed.fresh_at.set(now);
        let diff = self.catalog.borrow_mut().apply(page, now);
        self.set_servers_known();
        self.apply_diff(diff);
    }

    /// Drops servers whose missing rows did not come back in time.
    fn expire_servers(&self) {
        let mut diff = CatalogDiff::default();
        let now = self.clock.now();
        self.catalog.borrow_mut().expire(now, &mut diff);
        self.apply_diff(diff);
    }

    /// Puts changed servers into use, and logs them.
    fn apply_diff(&self, diff: CatalogDiff) {
        if diff.changes_servers() {
            self.refresh_services(self.clock.now());
        }
        let (listed, dropped) = (LogEvent::ServerListed, LogEvent::ServerDropped);
        let message = "servers are listed and can get requests";
        self.log.emit_names(listed, message, "server", &diff.listed);
        let message = "servers get no new requests";
        self.log
            .emit_names(dropped, message, "server", &diff.dropped);
        for (server, cause) in diff.unreadable {
            let pairs = slog::o!("server" => server.to_string(), "cause" => cause);
            let message = "server row cannot be used; the server gets no new requests";
            self.log.emit(LogEvent::ServerUnreadable, message, pairs);
        }
    }
}

/// Reads the list of servers from the store whenever this gate has to, until the process ends.
pub(crate) async fn follow_servers<W, S>(core: Rc<EdgeCore<W, S>>, socket: Rc<UdpSocket>)
where
    W: EdgeWire,
    S: FleetStore,
{
    let mut health = StoreHealth::new(&core.log, "servers");
    if core.server_feed.cursor.get().is_some() {
        // Another gate sent the list at the start.
        wait_until_read_due(&core).await;
    }
    loop {
        // Drop servers with missing rows in time, whether or not the store answers.
        core.expire_servers();
        let read_all = core.server_feed.diverged.replace(false);
        core.server_feed.lacks_changes.set(false);
        let cursor = core.server_feed.cursor.get().filter(|_| !read_all);
        let read = core.store.read_servers(cursor, Duration::ZERO).await;
        match read {
            Ok(page) => {
                health.record_success();
                if core.server_feed.reads_failing.replace(false) {
                    core.config_feed.wakeup.notify_one();
                }
                apply_and_share(&core, &socket, page).await;
                wait_until_read_due(&core).await;
            }
            Err(FleetError::HistoryLost) => {
                let pause = health.record_history_lost(core.near_gate_count());
                core.server_feed.diverged.set(true);
                sleep(pause).await;
            }
            Err(error) => {
                core.metrics.count_store_failure();
                core.server_feed.reads_failing.set(true);
                if read_all {
                    core.server_feed.diverged.set(true);
                }
                let pause = health.record_failure(&error, core.near_gate_count());
                let woken = timeout(pause, core.server_feed.wakeup.notified()).await;
                // A wakeup means that another gate sent changes, so the list may be fresh again.
                if woken.is_ok() {
                    wait_until_read_due(&core).await;
                }
            }
        }
    }
}

/// Applies a page of the store, and sends its changes to the gates of the data centre if this gate
/// is their reader.
async fn apply_and_share<W, S>(
    core: &Rc<EdgeCore<W, S>>,
    socket: &UdpSocket,
    page: FeedPage<ServerRecord>,
) where
    W: EdgeWire,
    S: FleetStore,
{
    let cursor_before = core.server_feed.cursor.get();
    let cursor = page.cursor;
    let mut changes = page.changes.clone();
    let (limits_cold, now) = (core.limits_cold_servers(), core.clock.now());
    changes.retain(|change| {
        let catalog = core.catalog.borrow();
        catalog.is_relevant(change) || limits_cold && catalog.turns_cold(change, now)
    });
    core.apply_page(page);
    let Some(before) = cursor_before else {
        return;
    };
    if !core.is_reader(core.clock.now()) {
        return;
    }
    let digest = core.catalog.borrow().digest();
    let parts = ServerChangesBody::split(cursor, digest, &changes, MAX_CHANGE_BYTES);
    let from_version = (before.era == cursor.era).then_some(before.version);
    share_parts(core, socket, parts, from_version).await;
}

/// Sends the parts of a set of changes to the gates of the data centre: to all of them if there are
/// few parts, else to a few gates that pass them on.
async fn share_parts<W, S>(
    core: &Rc<EdgeCore<W, S>>,
    socket: &UdpSocket,
    parts: Vec<ServerChangesBody>,
    from_version: Option<u64>,
) {
    if parts.len() > MAX_PART_COUNT {
        return;
    }
    let settings = core.settings();
    let is_relayed = parts.len() > MAX_DIRECT_PART_COUNT;
    let children = core.relay_peers(settings.listen_gates);
    let link_bytes_per_second = settings.link_mbps * 1e6 / 8.0 * CHANGE_LINK_PERCENT / 100.0;
    for mut part in parts {
        part.from_version = from_version;
        if is_relayed {
            part.root = settings.listen_gates.to_string();
        }
        let datagram = Datagram {
            servers: Some(part),
            ..core.config_datagram()
        };
        if !is_relayed {
            send_to_near_gates(core, socket, &datagram).await;
            continue;
        }
        send_to(socket, &children, &datagram).await;
        let sent_bytes = datagram.encoded_len() * children.len();
        sleep(Duration::from_secs_f64(
            sent_bytes as f64 / link_bytes_per_second,
        ))
        .await;
    }
}

/// Waits until this gate has to read the store.
async fn wait_until_read_due<W, S>(core: &EdgeCore<W, S>) {
    let drain = core.settings().bounds.server_drain;
    loop {
        let now = core.clock.now();
        let due = if core.is_reader(now) {
            core.server_feed.fresh_at.get() + drain * READ_PERIOD_PERCENT / 100
        } else {
            core.stale_at()
        };
        let pause = due.since(now);
        let incomplete = core.server_feed.diverged.get() || core.server_feed.lacks_changes.get();
        if pause.is_zero() || incomplete {
            // A list whose digest keeps differing must not cause reads without a pause.
            sleep(MIN_READ_PAUSE).await;
            return;
        }
        // Drop servers with missing rows in time, whether or not the store is read then.
        core.expire_servers();
        let expiry = core.catalog.borrow().next_expiry();
        let pause = expiry.map_or(pause, |expiry| pause.min(expiry.since(now)));
        // Whether woken or timed out, the loop checks again.
        let _woken = timeout(
            pause.min(READER_CHECK_PERIOD),
            core.server_feed.wakeup.notified(),
        )
        .await;
    }
}
