//! Questions to servers for their load, probed just before a send.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix_http::header::{HOST, HeaderValue};
use actix_http::{Method, RequestHead, Uri};
use bytes::Bytes;
use ggs_model::Clock;
use ggs_place::{ListedServer, LoadSample, ServerKey};
use ggs_relay::ServerConnection;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::core::EdgeCore;
use crate::ports::EdgeWire;
use crate::service::ServiceState;

/// Time that a request waits for answers to its questions.
const PROBE_WAIT: Duration = Duration::from_millis(20);

/// Time after which a question counts as unanswered.
const PROBE_TIMEOUT: Duration = Duration::from_millis(60);

/// What an answer to a question says.
enum ProbeResult {
    /// The load of the server that was meant.
    Load(LoadSample),
    /// The server that was meant answered, but told no load.
    NoLoad,
    /// Another server has the address, or none answered.
    Failed,
}

/// One round of questions.
struct ProbeRound {
    pending: Cell<usize>,
    done: Notify,
}

/// Asks servers and waits for their answers, but not longer than a request can wait.
///
/// Questions that are still open go on and tell the table when they are answered.
pub(crate) async fn probe_servers<W, S>(
    core: &Rc<EdgeCore<W, S>>,
    service: &Rc<ServiceState>,
    keys: &[ServerKey],
    path: &Uri,
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
            let probed = timeout(PROBE_TIMEOUT, probe_one(&core, &server, path)).await;
            record_result(&core, &service, key, &probed.unwrap_or(ProbeResult::Failed));
            round.pending.set(round.pending.get() - 1);
            if round.pending.get() == 0 {
                round.done.notify_one();
            }
        });
    }
    if round.pending.get() > 0 {
        // Without all answers, those that have come decide.
        let _all_answered = timeout(PROBE_WAIT, round.done.notified()).await;
    }
}

/// Tells the table what a question brought.
fn record_result<W, S>(
    core: &EdgeCore<W, S>,
    service: &ServiceState,
    key: ServerKey,
    result: &ProbeResult,
) {
    core.metrics
        .count_ask(!matches!(result, ProbeResult::Failed));
    match result {
        ProbeResult::Load(sample) => {
            service.record_probe_answer(true);
            core.learn_load(service, key, *sample);
        }
        ProbeResult::NoLoad => service.record_probe_answer(false),
        ProbeResult::Failed => {
            let now = core.clock.now();
            service.table.borrow_mut().note_probe_failure(key, now);
        }
    }
}

/// Asks one server.
async fn probe_one<W, S>(core: &EdgeCore<W, S>, server: &ListedServer, path: Uri) -> ProbeResult
where
    W: EdgeWire,
{
    let now = core.clock.now();
    let Some((place, idle)) = core.pool.reserve(server.address, false, now) else {
        return ProbeResult::NoLoad;
    };
    let connection = match idle {
        Some(connection) => Ok(connection),
        None => ServerConnection::open(server.address, core.pool.options(), &core.codec).await,
    };
    let Ok(mut connection) = connection else {
        return ProbeResult::Failed;
    };
    let mut head = RequestHead::default();
    head.method = Method::GET;
    head.uri = path;
    if let Ok(host) = HeaderValue::from_str(&server.address.to_string()) {
        head.headers.insert(HOST, host);
    }
    if connection.send(head, &Bytes::new()).await.is_err() {
        return ProbeResult::Failed;
    }
    let Ok(head) = connection.read_head().await else {
        return ProbeResult::Failed;
    };
    let names = core.wire.headers();
    let instance = head.headers.get(&names.instance);
    let other = instance.is_some_and(|value| value.as_bytes() != server.instance.as_bytes());
    if other {
        return ProbeResult::Failed;
    }
    let load = core.wire.read_load(&head.headers);
    if let Ok(connection) = connection.skip_body().await
        && connection.is_reusable()
        && !connection.has_surplus()
    {
        place.keep(connection, core.clock.now());
    }
    load.map_or(ProbeResult::NoLoad, ProbeResult::Load)
}
