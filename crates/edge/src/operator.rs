//! Answers operators at the address of the metrics: with the metrics, and with the requests in
//! quarantine, which they may release.

use actix_http::header::{CONTENT_TYPE, HeaderValue};
use actix_http::{Method, Request, Response, StatusCode};
use bytes::Bytes;
use ggs_model::Clock;
use ggs_quarantine::RequestDigest;
use serde::Serialize;

use crate::body::EdgeBody;
use crate::core::EdgeCore;
use crate::listen::body_or_status;

const METRICS_PATH: &str = "/metrics";

/// Path of all requests in quarantine; a slash and a digest after it name one of them.
const QUARANTINE_PATH: &str = "/quarantine";

/// The requests in quarantine, as operators see them.
#[derive(Debug, Serialize)]
struct QuarantineList {
    requests: Vec<QuarantineItem>,
}

/// An identity of a request in quarantine.
#[derive(Debug, Serialize)]
struct QuarantineItem {
    request_digest: String,
    /// Server runs that ended under the request.
    crashes: usize,
    failed_trials: u32,
    /// Time until a repeat is tried at a server.
    next_trial_ms: u64,
}

/// Answers a query of an operator.
pub(crate) fn answer_operator<W, S>(
    core: &EdgeCore<W, S>,
    request: &Request,
) -> Response<EdgeBody> {
    let path = request.path();
    if path == METRICS_PATH {
        let text = core.metrics.render().ok();
        return body_or_status(StatusCode::INTERNAL_SERVER_ERROR, text.map(Bytes::from));
    }
    let quarantine_path = path.strip_prefix(QUARANTINE_PATH);
    match (request.method(), quarantine_path) {
        (&Method::GET, Some("")) => list_quarantine(core),
        (&Method::DELETE, Some("")) => {
            core.release_requests(&core.quarantined());
            empty(StatusCode::NO_CONTENT)
        }
        (&Method::DELETE, Some(rest)) => release_named(core, rest),
        (_, Some("")) => empty(StatusCode::METHOD_NOT_ALLOWED),
        _ => empty(StatusCode::NOT_FOUND),
    }
}

/// Lists the requests in quarantine, ordered by their digests.
fn list_quarantine<W, S>(core: &EdgeCore<W, S>) -> Response<EdgeBody> {
    let mut digests = core.quarantined();
    digests.sort();
    let items = digests.iter().filter_map(|digest| item_of(core, digest));
    let list = QuarantineList {
        requests: items.collect(),
    };
    let body = serde_json::to_vec(&list).ok().map(Bytes::from);
    let mut response = body_or_status(StatusCode::INTERNAL_SERVER_ERROR, body);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, json);
    response
}

/// What operators see of a request; `None` if it is not in quarantine any more.
fn item_of<W, S>(core: &EdgeCore<W, S>, digest: &RequestDigest) -> Option<QuarantineItem> {
    let crashes = core.crashes.borrow();
    let record = crashes.record_of(digest)?;
    let left = crashes.quarantine_left(digest, core.clock.now())?;
    Some(QuarantineItem {
        request_digest: digest.to_string(),
        crashes: record.crashes.len(),
        failed_trials: record.failed_trials,
        next_trial_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
    })
}

/// Releases the request that the rest of a path names.
fn release_named<W, S>(core: &EdgeCore<W, S>, rest: &str) -> Response<EdgeBody> {
    let digest = rest.strip_prefix('/').and_then(|text| text.parse().ok());
    let is_released = digest.is_some_and(|digest| core.release_requests(&[digest]) > 0);
    empty(if is_released {
        StatusCode::NO_CONTENT
    } else {
        StatusCode::NOT_FOUND
    })
}

/// An answer without a body.
fn empty(status: StatusCode) -> Response<EdgeBody> {
    body_or_status(status, None)
}
