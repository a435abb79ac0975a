//! Keeps requests that end the servers that run them away from servers.
//!
//! When a connection is lost under a request and its server no longer listens, the server has ended,
//! unless this gate reaches no other server either.
//! The gates tell one another of each such crash, so that the repeats of a request count together
//! whichever gates they come through. A request in quarantine is refused at once, unless a trial is due.
//!
//! A crash is told to the trackers of its request only, a few gates that all gates find by hashing: a
//! crash that takes many harmless requests with it must not cost a datagram to each gate for each of
//! them. The tracker that knows enough crashes tells all gates of the quarantine. Heartbeats carry it
//! to gates that start later.

use std::cell::RefCell;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::future::join_all;
use ggs_model::{Clock, Moment};
use ggs_observe::LogEvent;
use ggs_place::ListedServer;
use ggs_quarantine::{
    CRASH_LIMIT, CrashChange, CrashRecord, CrashSpan, CrashTable, RequestDigest, ServerRun,
    choose_trackers,
};
use rand::seq::IteratorRandom;
use tokio::net::{TcpStream, UdpSocket};
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::core::EdgeCore;
use crate::datagrams::{CrashBody, Datagram};
use crate::gates::send_to;
use crate::ports::EdgeWire;
use crate::request::EdgeRequest;

/// Longest time to see whether a server still listens. One that has ended refuses connections at
/// once.
const CHECK_TIMEOUT: Duration = Duration::from_millis(50);

/// Servers that are checked beside one that seems to have ended.
const CONTROL_COUNT: usize = 3;

/// Requests in quarantine that a heartbeat carries, drawn at random if there are more.
const HEARTBEAT_RECORD_COUNT: usize = 2;

/// Requests that one datagram releases: as many records as surely fit into one.
const RELEASE_RECORD_COUNT: usize = 12;

/// How often the news of a quarantine is sent, as datagrams may be lost.
const QUARANTINE_SEND_COUNT: u32 = 2;

/// Time between two sends of the same news.
const NEWS_REPEAT_PERIOD: Duration = Duration::from_millis(300);

/// The gates that news is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NewsAudience {
    /// The trackers of the request.
    Trackers,
    /// All gates of the fleet.
    Fleet,
}

/// What other gates have to learn of a request.
#[derive(Clone, Debug)]
struct NewsItem {
    /// Identity by which the trackers are chosen: the broadest, so that repeats that vary have the
    /// same trackers.
    request: RequestDigest,
    /// What is known of the identities of the request.
    records: Vec<CrashRecord>,
    audience: NewsAudience,
    /// How often it has still to be sent.
    sends_left: u32,
}

/// News for other gates.
#[derive(Debug, Default)]
pub(crate) struct CrashNews {
    queue: RefCell<Vec<NewsItem>>,
    added: Notify,
}

impl CrashNews {
    /// Queues an item.
    fn add(&self, item: NewsItem) {
        self.queue.borrow_mut().push(item);
        self.added.notify_one();
    }
}

/// A record as it is at a moment of this gate's clock; other gates are told ages, as clocks differ.
pub(crate) struct AgedRecord<'a> {
    pub(crate) record: &'a CrashRecord,
    pub(crate) now: Moment,
}

/// A record that arrived from another gate at a moment of this gate's clock.
pub(crate) struct ReceivedRecord<'a> {
    pub(crate) body: &'a CrashBody,
    pub(crate) now: Moment,
}

impl From<AgedRecord<'_>> for CrashBody {
    fn from(AgedRecord { record, now }: AgedRecord<'_>) -> Self {
        let age_ms = |at: Moment| u32::try_from(now.since(at).as_millis()).unwrap_or(u32::MAX);
        let spans: Option<Vec<_>> = record.crashes.values().copied().collect();
        let spans = spans.unwrap_or_default();
        let ages = spans.iter().flat_map(|span| [span.sent_at, span.lost_at]);
        Self {
            request: record.request.0.to_vec(),
            runs: record.crashes.keys().map(|run| run.0).collect(),
            answered: record.answered,
            ages_ms: ages.map(age_ms).collect(),
            failed_trials: record.failed_trials,
        }
    }
}

impl TryFrom<ReceivedRecord<'_>> for CrashRecord {
    type Error = String;

    fn try_from(ReceivedRecord { body, now }: ReceivedRecord<'_>) -> Result<Self, Self::Error> {
        let request = body.request.as_slice().try_into();
        let request =
            request.map_err(|_| format!("request digest: found {} bytes", body.request.len()))?;
        let moment = |age_ms: u32| now - Duration::from_millis(age_ms.into());
        let spans: Vec<_> = body
            .ages_ms
            .chunks_exact(2)
            .map(|ages| CrashSpan {
                sent_at: moment(ages[0]),
                lost_at: moment(ages[1]),
            })
            .collect();
        let runs = body.runs.iter().copied().map(ServerRun).enumerate();
        let crashes = runs.map(|(index, run)| (run, spans.get(index).copied()));
        Ok(Self {
            request: RequestDigest(request),
            crashes: crashes.collect(),
            answered: body.answered,
            failed_trials: body.failed_trials,
        })
    }
}

impl<W, S> EdgeCore<W, S> {
    /// Time left until a request in quarantine may be tried, zero if a trial is due; `None` if it is
    /// not in quarantine.
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
    /// request that was sent at `sent_at`. The server's run is the one that was listed then.
    pub(crate) async fn check_crash(
        &self,
        server: &ListedServer,
        request: &EdgeRequest,
        sent_at: Moment,
    ) where
        W: EdgeWire,
    {
        let lost_at = self.clock.now();
        let span = CrashSpan { sent_at, lost_at };
        if is_listening(server.address).await || !self.reaches_others(server.address).await {
            return;
        }
        let run = ServerRun::new(&server.instance, server.started_ms);
        let now = self.clock.now();
        let changes = request.digests().map(|digest| {
            let mut crashes = self.crashes.borrow_mut();
            (digest, crashes.record_crash(digest, run, span, now))
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
        for (digest, change) in &changes {
            self.log_change(digest, *change, "crash");
        }
        self.publish_changes(request.digests()[0], &changes);
    }

    /// Whether this gate reaches any of a few servers other than the one at `address`. If it reaches
    /// none, its path to the servers is as likely to have failed as a server. True if there are no others.
    async fn reaches_others(&self, address: SocketAddr) -> bool {
        let others = self.sample_servers(CONTROL_COUNT, address);
        if others.is_empty() {
            return true;
        }
        let connects = others
            .iter()
            .map(|other| timeout(CHECK_TIMEOUT, TcpStream::connect(other)));
        let connects = join_all(connects).await;
        connects.iter().any(|connect| matches!(connect, Ok(Ok(_))))
    }

    /// Records that a server answered a request, which is harmless then if it was suspected.
    pub(crate) fn note_answered(&self, request: &EdgeRequest) {
        if self.crashes.borrow().is_empty() {
            return;
        }
        let now = self.clock.now();
        // Heartbeats carry a few records each, so gates may know different identities of the request.
        let ends_quarantine = self.quarantine_left(request).is_some();
        let changes = request.digests().map(|digest| {
            let mut crashes = self.crashes.borrow_mut();
            let change = if ends_quarantine {
                crashes.record_release(digest, now)
            } else {
                crashes.record_answer(digest, now)
            };
            (digest, change)
        });
        for (digest, change) in &changes {
            self.log_change(digest, *change, "answer");
        }
        self.publish_changes(request.digests()[0], &changes);
    }

    /// The requests in quarantine.
    pub(crate) fn quarantined(&self) -> Vec<RequestDigest> {
        let crashes = self.crashes.borrow();
        let quarantined = crashes.quarantined(self.clock.now());
        quarantined.copied().collect()
    }

    /// Ends the quarantine of requests at all gates, as an operator asks; returns how many of them were
    /// in quarantine here.
    pub(crate) fn release_requests(&self, requests: &[RequestDigest]) -> usize {
        let now = self.clock.now();
        let is_quarantined = |request: &&RequestDigest| {
            self.crashes
                .borrow()
                .quarantine_left(request, now)
                .is_some()
        };
        let quarantined: Vec<_> = requests.iter().filter(is_quarantined).collect();
        for requests in quarantined.chunks(RELEASE_RECORD_COUNT) {
            let changes = requests.iter().map(|request| {
                let change = self.crashes.borrow_mut().record_release(**request, now);
                self.log_change(request, change, "operator");
                (**request, change)
            });
            let changes: Vec<_> = changes.collect();
            self.publish_changes(*requests[0], &changes);
        }
        quarantined.len()
    }

    /// Queues what has changed for the gates that need it, and for the store. `request` is the
    /// broadest of the identities.
    pub(crate) fn publish_changes(
        &self,
        request: RequestDigest,
        changes: &[(RequestDigest, CrashChange)],
    ) {
        let crashes = self.crashes.borrow();
        let changed = changes
            .iter()
            .filter(|(_, change)| *change != CrashChange::Unchanged);
        let records: Vec<_> = changed
            .filter_map(|(digest, _)| crashes.record_of(digest))
            .collect();
        if records.is_empty() {
            return;
        }
        let is_for_fleet = records.iter().any(CrashRecord::is_for_all_gates);
        // An answer that ends a quarantine may also end that of identities which only the store knows.
        let saved = records
            .iter()
            .filter(|record| record.is_for_all_gates() || (is_for_fleet && record.answered));
        for record in saved {
            self.unsaved_quarantine.add(record.request);
        }
        let audience = if is_for_fleet {
            NewsAudience::Fleet
        } else {
            NewsAudience::Trackers
        };
        self.crash_news.add(NewsItem {
            request,
            records,
            audience,
            sends_left: match audience {
                NewsAudience::Trackers => 1,
                NewsAudience::Fleet => QUARANTINE_SEND_COUNT,
            },
        });
    }

    /// Records what another gate knows.
    pub(crate) fn apply_peer_crashes(&self, bodies: &[CrashBody]) -> Result<(), String> {
        let mut begun = Vec::new();
        for body in bodies {
            let now = self.clock.now();
            let record = CrashRecord::try_from(ReceivedRecord { body, now })?;
            let change = self.merge_crashes(&record, "gate");
            // The sender does not know of the quarantine, so this gate has to tell the others.
            if change == CrashChange::Quarantined && !record.is_for_all_gates() {
                begun.push((record.request, change));
            }
        }
        if let Some((request, _)) = begun.first() {
            self.publish_changes(*request, &begun);
        }
        Ok(())
    }

    /// Adds what another gate or the store knows of a request.
    pub(crate) fn merge_crashes(&self, record: &CrashRecord, source: &'static str) -> CrashChange {
        let now = self.clock.now();
        let change = self.crashes.borrow_mut().merge(record, now);
        self.log_change(&record.request, change, source);
        change
    }

    /// Logs the beginning and the end of a quarantine.
    fn log_change(&self, digest: &RequestDigest, change: CrashChange, source: &'static str) {
        let (event, message) = match change {
            CrashChange::Quarantined => (
                LogEvent::RequestQuarantined,
                "request is quarantined, as servers ended each time they ran it",
            ),
            CrashChange::Released => (
                LogEvent::RequestReleased,
                "request is no longer quarantined, as a server answered it or an operator released it",
            ),
            CrashChange::Unchanged | CrashChange::Changed => return,
        };
        let left = self
            .crashes
            .borrow()
            .quarantine_left(digest, self.clock.now());
        let pairs = slog::o!(
            "request_digest" => digest.to_string(),
            "source" => source,
            "next_trial_ms" => left.map(|left| left.as_millis() as u64),
        );
        self.log.emit(event, message, pairs);
    }

    /// Some requests in quarantine, for a heartbeat.
    pub(crate) fn encode_quarantine(&self) -> Vec<CrashBody> {
        let crashes = self.crashes.borrow();
        let quarantined = crashes.quarantined(self.clock.now());
        let drawn = quarantined.sample(&mut rand::rng(), HEARTBEAT_RECORD_COUNT);
        let records = drawn
            .into_iter()
            .filter_map(|request| crashes.record_of(request));
        let now = self.clock.now();
        let bodies = records.map(|record| {
            CrashBody::from(AgedRecord {
                record: &record,
                now,
            })
        });
        bodies.collect()
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

/// Sends news of crashes to other gates until the process ends.
pub(crate) async fn share_crashes<W, S>(core: Rc<EdgeCore<W, S>>, socket: Rc<UdpSocket>)
where
    W: 'static,
    S: 'static,
{
    loop {
        let mut news = core.crash_news.queue.take();
        if news.is_empty() {
            core.crash_news.added.notified().await;
            continue;
        }
        for item in &mut news {
            send_item(&core, &socket, item).await;
            item.sends_left -= 1;
        }
        news.retain(|item| item.sends_left > 0);
        if !news.is_empty() {
            core.crash_news.queue.borrow_mut().extend(news);
            // News that is added meanwhile goes out at once, and the repeats with it.
            let _woken = timeout(NEWS_REPEAT_PERIOD, core.crash_news.added.notified()).await;
        }
    }
}

/// Sends an item to the gates that it is for.
async fn send_item<W, S>(core: &EdgeCore<W, S>, socket: &UdpSocket, item: &NewsItem) {
    let own = core.settings().listen_gates;
    let gates = core.contacts.borrow().all_peers();
    let mut audience = match item.audience {
        NewsAudience::Trackers => choose_trackers(&item.request, &gates),
        NewsAudience::Fleet => gates,
    };
    audience.retain(|gate| *gate != own);
    let now = core.clock.now();
    let records = item.records.iter();
    let bodies = records.map(|record| CrashBody::from(AgedRecord { record, now }));
    let datagram = Datagram {
        crashes: bodies.collect(),
        reads_store: core.reads_store(),
        ..Datagram::default()
    };
    send_to(socket, &audience, &datagram).await;
}
