//! Follows the list of servers, by the store or by another gate.
//!
//! Calls to the store are paid for, and each gate that reads it reads the same. So one gate of a data
//! centre reads and tells the others what changed; a gate that is not told in time reads itself.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ggs_member::{GateRecord, GateState};
use ggs_model::{Clock, DataCentre, Moment};
use ggs_observe::LogEvent;
use prost::Message;
use tokio::net::UdpSocket;
use tokio::time::timeout;

use crate::catalog::CatalogNews;
use crate::core::EdgeCore;
use crate::frames::{Datagram, ServerListBody, ServersBody};
use crate::gates::send_to_near;
use crate::ports::{EdgeWire, FeedCursor, FeedPage, FleetError, FleetStore, ServerRecord};
use crate::store_health::StoreHealth;

/// Time between two reads of the gate that reads for its data centre, in percent of the time in which
/// a leaving server may still get requests.
const READ_PERCENT: u32 = 55;

/// Time without a word after which a gate reads itself, in percent of the same.
const SILENCE_PERCENT: u32 = 78;

/// Where a gate tells others its list of servers.
pub(crate) const SERVERS_PATH: &str = "/servers";

/// Shortest pause between two reads.
const MIN_PAUSE: Duration = Duration::from_millis(100);

/// Bytes of changes in one datagram at most, so that it fits into one packet with what else it tells.
const MAX_CHANGE_BYTES: usize = 1_100;

/// Datagrams that tell the changes of one read at most; a gate that is told of more reads them itself.
const MAX_PARTS: usize = 16;

/// Time between two looks at whether this gate reads for its data centre.
const ROLE_CHECK: Duration = Duration::from_millis(250);

/// The gate that reads the store for its data centre: the first by name of those that live there and
/// can read it.
pub(crate) fn choose_reader<'a>(
    gates: impl Iterator<Item = (&'a GateRecord, bool)>,
    data_centre: &DataCentre,
) -> Option<&'a GateRecord> {
    let able = gates.filter(|(gate, reads)| *reads && gate.data_centre == *data_centre);
    able.map(|(gate, _)| gate).min_by_key(|gate| &gate.gate)
}

impl<W, S> EdgeCore<W, S> {
    /// Whether this gate's reads of the store succeed.
    pub(crate) fn reads_store(&self) -> bool {
        !self.follow.failing.get() && self.follow.cursor.get().is_some()
    }

    /// When this gate was told too little of the list of servers and has to read itself.
    fn silent_at(&self) -> Moment {
        let drain = self.settings().bounds.server_drain;
        self.follow.known_at.get() + drain * SILENCE_PERCENT / 100
    }

    /// Whether this gate reads for its data centre. A gate that does not know the others yet does not.
    pub(crate) fn is_reader(&self, now: Moment) -> bool {
        let meets_others =
            !self.contacts.borrow().is_store_read() || now < self.follow.left_until.get();
        if !self.is_ready() || meets_others {
            return false;
        }
        let gates = self.gates.borrow();
        let contacts = self.contacts.borrow();
        let own = gates.own();
        let handed = gates.handed_out(now);
        let live = handed.live.iter();
        let live = live.filter(|gate| gate.state == GateState::Live);
        let able = live.map(|gate| {
            let reads = if gate.gate == own.gate {
                self.reads_store()
            } else {
                contacts.reads_store(gate.peers)
            };
            (*gate, reads)
        });
        let reader = choose_reader(able, &own.data_centre);
        reader.is_some_and(|reader| reader.gate == own.gate)
    }

    /// Takes what another gate told of the list of servers.
    pub(crate) fn hear_servers(&self, body: &ServersBody) {
        let Some(FeedCursor(own)) = self.follow.cursor.get() else {
            return;
        };
        if own > body.cursor {
            return;
        }
        let page = FeedPage {
            whole: false,
            changes: body.changes(),
            cursor: FeedCursor(body.cursor),
        };
        let Some(digest) = body.digest else {
            self.take_part(page);
            return;
        };
        // What this gate missed before the changes shows in the digest.
        self.take_page(page);
        if self.catalog.borrow().digest() != digest {
            self.follow.differs.set(true);
        }
        self.follow.told.notify_one();
    }

    /// The list of servers for a gate that starts; `None` if this gate may not know the newest.
    pub(crate) fn tell_servers(&self) -> Option<Bytes> {
        let now = self.clock.now();
        let cursor = self.follow.cursor.get()?;
        if now >= self.silent_at() || self.follow.differs.get() {
            return None;
        }
        let catalog = self.catalog.borrow();
        let list = ServerListBody {
            servers: ServersBody::whole(cursor, catalog.digest(), &catalog.all(now)),
            age_ms: now.since(self.follow.known_at.get()).as_millis() as u64,
        };
        Some(list.encode_to_vec().into())
    }

    /// Takes the list of servers of another gate; false if it cannot be read or is not whole.
    pub(crate) fn take_list(&self, bytes: &[u8]) -> bool {
        let Ok(list) = ServerListBody::decode(bytes) else {
            return false;
        };
        let page = FeedPage {
            whole: true,
            changes: list.servers.changes(),
            cursor: FeedCursor(list.servers.cursor),
        };
        self.take_page(page);
        let known_at = self.clock.now() - Duration::from_millis(list.age_ms);
        self.follow.known_at.set(known_at);
        let same = Some(self.catalog.borrow().digest()) == list.servers.digest;
        self.follow.differs.set(!same);
        same
    }

    /// Takes some of the changes of a page; the last part tells how far it reaches.
    fn take_part(&self, part: FeedPage<ServerRecord>) {
        let now = self.clock.now();
        let news = self.catalog.borrow_mut().apply(part, now);
        self.take_news(news);
    }

    /// Takes a page that is the newest there is.
    fn take_page(&self, page: FeedPage<ServerRecord>) {
        let now = self.clock.now();
        self.follow.cursor.set(Some(page.cursor));
        self.follow.known_at.set(now);
        let news = self.catalog.borrow_mut().apply(page, now);
        self.set_servers_known();
        self.take_news(news);
    }

    /// Gives up servers whose rows lapsed.
    fn expire_servers(&self) {
        let mut news = CatalogNews::default();
        let now = self.clock.now();
        self.catalog.borrow_mut().expire(now, &mut news);
        self.take_news(news);
    }

    /// Acts on a change of the servers.
    fn take_news(&self, news: CatalogNews) {
        if news.is_change() {
            self.refresh_services(self.clock.now());
        }
        for server in news.listed {
            let pairs = slog::o!("server" => server.to_string());
            let message = "server takes requests";
            self.log.emit(LogEvent::ServerListed, message, pairs);
        }
        for server in news.dropped {
            let pairs = slog::o!("server" => server.to_string());
            let message = "server takes no new requests";
            self.log.emit(LogEvent::ServerDropped, message, pairs);
        }
        for (server, cause) in news.unreadable {
            let pairs = slog::o!("server" => server.to_string(), "cause" => cause);
            let message = "row names no server";
            self.log.emit(LogEvent::ServerUnreadable, message, pairs);
        }
    }
}

/// Follows servers.
pub(crate) async fn follow_servers<W, S>(core: Rc<EdgeCore<W, S>>, socket: Rc<UdpSocket>)
where
    W: EdgeWire,
    S: FleetStore,
{
    let mut health = StoreHealth::new(&core.log, "servers");
    if core.follow.cursor.get().is_some() {
        // Another gate told the list at the start.
        wait_for_next(&core).await;
    }
    loop {
        // Rows that lapsed are given up in time, whether or not the store answers.
        core.expire_servers();
        let whole = core.follow.differs.replace(false);
        let cursor = core.follow.cursor.get().filter(|_| !whole);
        let read = core.store.read_servers(cursor, Duration::ZERO).await;
        match read {
            Ok(page) => {
                health.succeeded();
                if core.follow.failing.replace(false) {
                    core.configs.set_due();
                }
                take_read(&core, &socket, page).await;
                wait_for_next(&core).await;
            }
            Err(FleetError::HistoryLost) => core.follow.differs.set(true),
            Err(error) => {
                core.metrics.count_store_failure();
                if core.follow.failing.replace(true) {
                    // Configurations may stand in a part of the store that answers.
                    core.configs.set_due();
                }
                let pause = health.failed(&error, core.near_gates());
                let told = timeout(pause, core.follow.told.notified()).await;
                if told.is_ok() {
                    wait_for_next(&core).await;
                }
            }
        }
    }
}

/// Takes a page of the store, and tells the gates of the data centre if this one reads for them.
async fn take_read<W, S>(
    core: &Rc<EdgeCore<W, S>>,
    socket: &UdpSocket,
    page: FeedPage<ServerRecord>,
) where
    W: EdgeWire,
    S: FleetStore,
{
    let told_before = core.follow.cursor.get().is_some();
    let cursor = page.cursor;
    let mut changes = page.changes.clone();
    changes.retain(|change| core.catalog.borrow().is_news(change));
    core.take_page(page);
    if !told_before || !core.is_reader(core.clock.now()) {
        return;
    }
    let digest = core.catalog.borrow().digest();
    let parts = ServersBody::split(cursor, digest, &changes, MAX_CHANGE_BYTES);
    if parts.len() > MAX_PARTS {
        return;
    }
    for part in parts {
        let datagram = Datagram {
            servers: Some(part),
            config_version: core.configs.version(),
            reads_store: true,
            ..Datagram::default()
        };
        send_to_near(core, socket, &datagram).await;
    }
}

/// Waits until this gate has to read the store.
async fn wait_for_next<W, S>(core: &EdgeCore<W, S>) {
    let drain = core.settings().bounds.server_drain;
    loop {
        let now = core.clock.now();
        let due = if core.is_reader(now) {
            core.follow.known_at.get() + drain * READ_PERCENT / 100
        } else {
            core.silent_at()
        };
        let pause = due.since(now);
        if pause.is_zero() || core.follow.differs.get() {
            if !core.is_reader(now) {
                core.configs.set_due();
            }
            // A list that goes on to differ must not make reads follow one another at once.
            tokio::time::sleep(MIN_PAUSE).await;
            return;
        }
        // Rows that lapsed are given up in time, whether or not the store is read then.
        core.expire_servers();
        let expiry = core.catalog.borrow().next_expiry();
        let pause = expiry.map_or(pause, |expiry| pause.min(expiry.since(now)));
        // Woken or not, the loop decides anew.
        let _woken = timeout(pause.min(ROLE_CHECK), core.follow.told.notified()).await;
    }
}
