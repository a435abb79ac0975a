//! Keeps requests that end the servers that run them away from servers.
//!
//! When a connection is lost under a request and its server no longer listens, the server has ended.
//! The gates tell one another of each such crash, so that the repeats of a request count together
//! whichever gates they come through. A request in quarantine is refused at once.
//!
//! News goes to all gates of the fleet; that of a quarantine is repeated, and heartbeats carry it to
//! gates that start later.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ggs_model::Clock;
use ggs_observe::LogEvent;
use ggs_place::ListedServer;
use ggs_quarantine::{CRASH_LIMIT, CrashChange, CrashRecord, CrashTable, RequestDigest, ServerRun};
use rand::seq::IteratorRandom;
use tokio::net::{TcpStream, UdpSocket};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::core::EdgeCore;
use crate::datagrams::{CrashBody, Datagram};
use crate::gates::send_to;
use crate::ports::EdgeWire;
use crate::request::EdgeRequest;

/// Longest time to see whether a server still listens. One that has ended refuses connections at
/// once.
const CHECK_TIMEOUT: Duration = Duration::from_millis(50);

/// Time for which news is collected before it goes out.
const BATCH_DELAY: Duration = Duration::from_millis(1);

/// Most requests in one datagram; each takes about 60 bytes.
const MAX_RECORD_COUNT: usize = 16;

/// Requests in quarantine that a heartbeat carries, drawn at random if there are more.
const HEARTBEAT_RECORD_COUNT: usize = 2;

/// How often the news that a request is quarantined or harmless is sent, as datagrams may be lost.
const NEWS_SEND_COUNT: u32 = 3;

/// Time between two sends of the same news.
const NEWS_REPEAT_PERIOD: Duration = Duration::from_millis(300);

/// News for all gates.
#[derive(Debug, Default)]
pub(crate) struct CrashNews {
    /// What to send, and how often.
    queue: RefCell<Vec<(CrashRecord, u32)>>,
    added: Notify,
}

impl CrashNews {
    /// Queues news for a number of sends.
    fn add(&self, record: CrashRecord, send_count: u32) {
        self.queue.borrow_mut().push((record, send_count));
        self.added.notify_one();
    }
}

impl From<&CrashRecord> for CrashBody {
    fn from(record: &CrashRecord) -> Self {
        Self {
            request: record.request.0.to_vec(),
            runs: record.runs.iter().map(|run| run.0).collect(),
            answered: record.answered,
        }
    }
}

impl TryFrom<&CrashBody> for CrashRecord {
    type Error = String;

    fn try_from(body: &CrashBody) -> Result<Self, Self::Error> {
        let request = body.request.as_slice().try_into();
        let request =
            request.map_err(|_| format!("request digest: found {} bytes", body.request.len()))?;
        let runs: BTreeSet<_> = body.runs.iter().copied().map(ServerRun).collect();
        Ok(Self {
            request: RequestDigest(request),
            runs,
            answered: body.answered,
        })
    }
}

impl<W, S> EdgeCore<W, S> {
    /// Time left until a request in quarantine may be sent again; `None` if it may be sent now.
    pub(crate) fn quarantine_left(&self, request: &EdgeRequest) -> Option<Duration> {
        let crashes = self.crashes.borrow();
        if crashes.is_empty() {
            return None;
        }
        let now = self.clock.now();
        let digests = request.digests().iter();
        digests
            .filter_map(|digest| crashes.quarantine_left(digest, now))
            .max()
    }

    /// Whether the gate may retry a request by itself: not if one more crash quarantines it.
    pub(crate) fn may_risk_server(&self, request: &EdgeRequest) -> bool {
        let crashes = self.crashes.borrow();
        crashes.is_empty() || most_crashes(&crashes, request) + 1 < CRASH_LIMIT
    }

    /// Records a crash if a server no longer listens that has just lost its connection under a
    /// request. The server's run is the one that was listed when the request was sent.
    pub(crate) async fn check_crash(
        &self,
        server: &ListedServer,
        started_ms: Option<u64>,
        request: &EdgeRequest,
    ) where
        W: EdgeWire,
    {
        if is_listening(server.address).await {
            return;
        }
        let run = ServerRun::new(&server.instance, started_ms);
        let now = self.clock.now();
        let changes = request.digests().map(|digest| {
            let mut crashes = self.crashes.borrow_mut();
            (digest, crashes.record_crash(digest, run, now))
        });
        let pairs = slog::o!(
            "server" => server.instance.to_string(),
            "request" => request.id_text(self.wire.headers()),
            "request_digest" => request.digests()[0].to_string(),
            "caller" => request.caller.map(|caller| caller.to_string()),
            "crashes" => most_crashes(&self.crashes.borrow(), request),
        );
        let message = "server ended while it had a request";
        self.log.emit(LogEvent::ServerEnded, message, pairs);
        for (digest, change) in changes {
            self.log_quarantine(&digest, change, "crash");
            self.publish_change(digest, change);
        }
    }

    /// Records that a server answered a request, which is harmless then if it was suspected.
    pub(crate) fn note_answered(&self, request: &EdgeRequest) {
        if self.crashes.borrow().is_empty() {
            return;
        }
        let now = self.clock.now();
        for digest in *request.digests() {
            let change = self.crashes.borrow_mut().record_answer(digest, now);
            self.publish_change(digest, change);
        }
    }

    /// Queues what is known of a request for all gates, and for the store, if it has changed.
    fn publish_change(&self, digest: RequestDigest, change: CrashChange) {
        let Some(record) = self.crashes.borrow().record_of(&digest) else {
            return;
        };
        if change == CrashChange::Unchanged {
            return;
        }
        if record.runs.len() >= CRASH_LIMIT {
            self.unsaved_quarantine.add(digest);
        }
        let is_news = record.answered || change == CrashChange::Quarantined;
        let send_count = if is_news { NEWS_SEND_COUNT } else { 1 };
        self.crash_news.add(record, send_count);
    }

    /// Records what another gate knows.
    pub(crate) fn apply_peer_crashes(&self, bodies: &[CrashBody]) -> Result<(), String> {
        for body in bodies {
            let record = CrashRecord::try_from(body)?;
            let change = self.merge_crashes(&record, "gate");
            // The sender lacks a crash that this gate knows, so no gate may have told the others.
            if change == CrashChange::Quarantined && record.runs.len() < CRASH_LIMIT {
                self.publish_change(record.request, change);
            }
        }
        Ok(())
    }

    /// Adds what another gate or the store knows of a request.
    pub(crate) fn merge_crashes(&self, record: &CrashRecord, source: &'static str) -> CrashChange {
        let now = self.clock.now();
        let change = self.crashes.borrow_mut().merge(record, now);
        self.log_quarantine(&record.request, change, source);
        change
    }

    /// Logs the beginning of a quarantine.
    fn log_quarantine(&self, digest: &RequestDigest, change: CrashChange, source: &'static str) {
        if change != CrashChange::Quarantined {
            return;
        }
        let pairs = slog::o!("request_digest" => digest.to_string(), "source" => source);
        let message = "request is quarantined, as servers ended each time they ran it";
        self.log.emit(LogEvent::RequestQuarantined, message, pairs);
    }

    /// Some requests in quarantine, for a heartbeat.
    pub(crate) fn encode_quarantine(&self) -> Vec<CrashBody> {
        let crashes = self.crashes.borrow();
        let quarantined = crashes.quarantined(self.clock.now());
        let drawn = quarantined.sample(&mut rand::rng(), HEARTBEAT_RECORD_COUNT);
        let records = drawn
            .into_iter()
            .filter_map(|request| crashes.record_of(request));
        records.map(|record| CrashBody::from(&record)).collect()
    }
}

/// The most server runs that ended under any identity of a request.
fn most_crashes(crashes: &CrashTable, request: &EdgeRequest) -> usize {
    let digests = request.digests().iter();
    let counts = digests.map(|digest| crashes.crash_count(digest));
    counts.max().unwrap_or(0)
}

/// Whether an address accepts connections, or may do so: only a refusal shows that it does not.
async fn is_listening(address: SocketAddr) -> bool {
    match timeout(CHECK_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(error)) => !matches!(
            error.kind(),
            ErrorKind::ConnectionRefused | ErrorKind::ConnectionReset
        ),
        Ok(Ok(_)) | Err(_) => true,
    }
}

/// Sends news of crashes to all gates of the fleet until the process ends.
pub(crate) async fn share_crashes<W, S>(core: Rc<EdgeCore<W, S>>, socket: Rc<UdpSocket>)
where
    W: 'static,
    S: 'static,
{
    loop {
        let news = core.crash_news.queue.take();
        if news.is_empty() {
            core.crash_news.added.notified().await;
            sleep(BATCH_DELAY).await;
            continue;
        }
        let peers = core.all_peers();
        for part in news.chunks(MAX_RECORD_COUNT) {
            let records = part.iter().map(|(record, _)| CrashBody::from(record));
            let datagram = Datagram {
                crashes: records.collect(),
                reads_store: core.reads_store(),
                ..Datagram::default()
            };
            send_to(&socket, &peers, &datagram).await;
        }
        let repeated = news.into_iter().filter(|(_, send_count)| *send_count > 1);
        let repeated: Vec<_> = repeated
            .map(|(record, send_count)| (record, send_count - 1))
            .collect();
        if !repeated.is_empty() {
            core.crash_news.queue.borrow_mut().extend(repeated);
            // News that is added meanwhile goes out at once, and the repeats with it.
            let _woken = timeout(NEWS_REPEAT_PERIOD, core.crash_news.added.notified()).await;
        }
    }
}
