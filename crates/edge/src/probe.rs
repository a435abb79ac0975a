//! Load probes: requests to the health path of servers, sent right before a request is placed.
//!
//! The answer to a probe carries the load of the server in its headers. A round of probes goes to
//! several servers at the same time, and the request waits for it only briefly.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{HOST, HeaderValue};
use actix_http::{Method, RequestHead, Uri};
use bytes::Bytes;
use ggs_model::Clock;
use ggs_place::{ListedServer, LoadSample, ServerKey};
use ggs_reach::ReachEvent;
use ggs_relay::ConnectionReuse;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::core::EdgeCore;
use crate::ports::EdgeWire;
use crate::service::ServiceState;

/// Longest time that a request waits for a round of probes.
const PROBE_WAIT: Duration = Duration::from_millis(20);

/// Time after which a probe has failed. It is longer than [`PROBE_WAIT`], as late answers still
/// help later requests.
const PROBE_TIMEOUT: Duration = Duration::from_millis(60);

/// The result of one probe.
enum ProbeResult {
    /// The server reported its load.
    Load(LoadSample),
    /// The server answered without a load report, or no connection to it was free.
    NoLoad,
    /// The connection failed, no answer came in time, or another server instance has the address by
    /// now.
    Failed,
}

/// A round of probes that were sent at the same time.
struct ProbeRound {
    /// Probes without a result.
    pending: Cell<usize>,
    /// Notified when no probe is pending.
    done: Notify,
}

/// Probes servers and waits for their results, for at most [`PROBE_WAIT`].
///
/// Probes that are still pending after that continue, and their results go into the load table.
/// `reuse` says which idle connections may be used.
pub(crate) async fn probe_servers<W, S>(
    core: &Rc<EdgeCore<W, S>>,
    service: &Rc<ServiceState>,
    keys: &[ServerKey],
    path: &Uri,
    reuse: ConnectionReuse,
) where
    W: EdgeWire,
    S: 'static,
{
    let round = Rc::new(ProbeRound {
        pending: Cell::new(keys.len()),
        done: Notify::new(),
    });
    for key in keys {
        let Some(server) = service.table.borrow().server(*key).cloned() else {
            round.pending.set(round.pending.get() - 1);
            continue;
        };
        let (core, service) = (Rc::clone(core), Rc::clone(service));
        let (round, key, path) = (Rc::clone(&round), *key, path.clone());
        actix_rt::spawn(async move {
            let connected = Cell::new(false);
            let probe = probe_one(&core, &service, (key, &server), path, reuse, &connected);
            let result = timeout(PROBE_TIMEOUT, probe).await;
            if result.is_err() {
                let event = if connected.get() {
                    ReachEvent::NotAnswered
                } else {
                    ReachEvent::NotOpened
                };
                core.note_reach(&service, server.address, event);
            }
            record_result(&core, &service, key, &result.unwrap_or(ProbeResult::Failed));
            round.pending.set(round.pending.get() - 1);
            if round.pending.get() == 0 {
                round.done.notify_one();
            }
        });
    }
    if round.pending.get() > 0 {
        // After the timeout the request is placed by the loads that have been reported.
        let _all_answered = timeout(PROBE_WAIT, round.done.notified()).await;
    }
}

/// Enters the result of a probe in the load table and the metrics.
fn record_result<W, S>(
    core: &EdgeCore<W, S>,
    service: &ServiceState,
    key: ServerKey,
    result: &ProbeResult,
) {
    core.metrics
        .count_probe(!matches!(result, ProbeResult::Failed));
    match result {
        ProbeResult::Load(sample) => {
            service.record_probe(true);
            core.record_load_report(service, key, *sample);
        }
        ProbeResult::NoLoad => service.record_probe(false),
        ProbeResult::Failed => {
            let now = core.clock.now();
            service.table.borrow_mut().note_probe_failure(key, now);
        }
    }
}

/// Probes one server; sets `connected` once a connection is open.
async fn probe_one<W, S>(
    core: &EdgeCore<W, S>,
    service: &ServiceState,
    (key, server): (ServerKey, &ListedServer),
    path: Uri,
    reuse: ConnectionReuse,
    connected: &Cell<bool>,
) -> ProbeResult
where
    W: EdgeWire,
{
    let now = core.clock.now();
    let Some((permit, idle)) = core.pool.reserve(server.address, reuse, now) else {
        return ProbeResult::NoLoad;
    };
    let connection = match idle {
        Some(connection) => Ok(connection),
        None => core.open_connection(service, server.address).await,
    };
    let Ok(mut connection) = connection else {
        return ProbeResult::Failed;
    };
    connected.set(true);
    let mut head = RequestHead::default();
    head.method = Method::GET;
    head.uri = path;
    if let Ok(host) = HeaderValue::from_str(&server.address.to_string()) {
        head.headers.insert(HOST, host);
    }
    let sent = connection.send(head, &Bytes::new()).await.is_ok();
    let head = if sent {
        connection.read_head().await.ok()
    } else {
        None
    };
    let Some(head) = head else {
        core.note_reach(service, server.address, ReachEvent::NotAnswered);
        return ProbeResult::Failed;
    };
    core.note_reach(service, server.address, ReachEvent::Answered);
    let names = core.wire.headers();
    let instance = head.headers.get(&names.instance);
    let other_instance =
        instance.is_some_and(|value| value.as_bytes() != server.instance.as_bytes());
    if other_instance {
        return ProbeResult::Failed;
    }
    let load = core.wire.read_load(&head.headers);
    if let Some(left) = core.wire.read_cold(&head.headers) {
        core.note_cold(service, key, left);
    }
    core.observe_probe_limit(&server.instance, &head.headers);
    core.observe_leaving(&server.instance, server.started_ms, &head.headers);
    core.observe_rest(service, key, server, &head);
    if let Ok(connection) = connection.skip_body().await
        && connection.is_reusable()
        && !connection.has_unread_bytes()
    {
        permit.put_back(connection, core.clock.now());
    }
    load.map_or(ProbeResult::NoLoad, ProbeResult::Load)
}
