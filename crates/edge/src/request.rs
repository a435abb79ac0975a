//! A caller's request, read whole and ready to be sent any number of times.

use std::rc::Rc;
use std::time::Duration;

use actix_http::error::PayloadError;
use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, Payload, Request, RequestHead, Uri};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use ggs_model::Moment;
use ggs_place::ListedServer;
use ggs_route::ActiveRoute;

use crate::ports::WireHeaders;

/// Headers that concern one connection only, beside those that `Connection` names.
const HOP_BY_HOP_HEADERS: [HeaderName; 9] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// A header that concerns one connection only and has no constant.
const KEEP_ALIVE_HEADER: &str = "keep-alive";

/// Why a request cannot be passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestFault {
    /// It names no host.
    NoHost,
    /// Its body is longer than allowed.
    BodyTooLong,
    /// Its body broke off or broke the protocol.
    BadBody,
}

/// A caller's request.
#[derive(Clone, Debug)]
pub(crate) struct EdgeRequest {
    /// Method.
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) target: Uri,
    /// End-to-end headers, as the server gets them.
    headers: HeaderMap,
    /// The whole body.
    pub(crate) body: Bytes,
    /// Its route.
    pub(crate) route: Rc<ActiveRoute>,
    /// When its head was read.
    pub(crate) read_at: Moment,
    /// When the caller leaves, as it said.
    pub(crate) deadline: Moment,
    /// When the caller has to have an answer: the earlier of its deadline and the route's timeout.
    pub(crate) answer_by: Moment,
}

impl EdgeRequest {
    /// A request on `route` whose head was read at `now`.
    pub(crate) fn new(
        head: &RequestHead,
        body: Bytes,
        route: &Rc<ActiveRoute>,
        names: &WireHeaders,
        now: Moment,
    ) -> Self {
        let timeout = route.rule().timeout;
        let requested = read_millis(&head.headers, &names.deadline).unwrap_or(timeout);
        Self {
            method: head.method.clone(),
            target: head.uri.clone(),
            headers: end_to_end_headers(&head.headers),
            body,
            route: Rc::clone(route),
            read_at: now,
            deadline: now + requested,
            answer_by: now + timeout.min(requested),
        }
    }

    /// The caller's name for the request.
    pub(crate) fn id(&self, names: &WireHeaders) -> Option<&HeaderValue> {
        self.headers.get(&names.request_id)
    }

    /// The head of one send to `server`.
    pub(crate) fn head_for(
        &self,
        server: &ListedServer,
        names: &WireHeaders,
        now: Moment,
    ) -> RequestHead {
        let mut head = RequestHead::default();
        head.method = self.method.clone();
        head.uri = self.target.clone();
        head.headers = self.headers.clone();
        let left = self.answer_by.since(now).as_millis() as u64;
        head.headers.insert(names.deadline.clone(), left.into());
        if let Ok(instance) = HeaderValue::from_str(&server.instance) {
            head.headers.insert(names.expect_instance.clone(), instance);
        }
        head
    }
}

/// Reads a whole body of at most `limit` bytes.
pub(crate) async fn read_body(request: &mut Request, limit: usize) -> Result<Bytes, RequestFault> {
    let mut payload: Payload = request.take_payload();
    let mut whole = BytesMut::new();
    while let Some(chunk) = payload.next().await {
        let chunk = chunk.map_err(|_: PayloadError| RequestFault::BadBody)?;
        if whole.len() + chunk.len() > limit {
            return Err(RequestFault::BodyTooLong);
        }
        whole.extend_from_slice(&chunk);
    }
    Ok(whole.freeze())
}

/// The headers that are passed on.
pub(crate) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let listed = headers.get_all(header::CONNECTION);
    let listed = listed.filter_map(|value| value.to_str().ok());
    let listed: Vec<String> = listed
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let hop_by_hop = HOP_BY_HOP_HEADERS.contains(name) || name.as_str() == KEEP_ALIVE_HEADER;
        if !hop_by_hop && !listed.iter().any(|listed| listed == name.as_str()) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// A header that holds milliseconds.
fn read_millis(headers: &HeaderMap, name: &HeaderName) -> Option<Duration> {
    let text = headers.get(name)?.to_str().ok()?;
    text.trim().parse().ok().map(Duration::from_millis)
}
