//! A caller's request, read whole so that it can be sent more than once.
//!
//! Only end-to-end headers are kept. Each send adds the time left, and the instance of the server
//! that is to run the request, so that no other instance at its address runs it.

use std::cell::OnceCell;
use std::net::IpAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::error::PayloadError;
use actix_http::header::{self, HeaderMap, HeaderName, HeaderValue};
use actix_http::{Method, Payload, Request, RequestHead, Uri};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use ggs_limit::{ByteBudget, ByteLease};
use ggs_model::Moment;
use ggs_place::ListedServer;
use ggs_quarantine::{IDENTITY_COUNT, RequestDigest, RequestIdentity};
use ggs_route::ActiveRoute;
use tokio::time::timeout;

use crate::access::CallerAccess;
use crate::detour_wire::DETOUR_HEADER;
use crate::ports::WireHeaders;

/// Hop-by-hop headers, which are not forwarded, in addition to those that `Connection` names.
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

/// A hop-by-hop header for which `actix_http` has no constant.
const KEEP_ALIVE_HEADER: &str = "keep-alive";

/// Why a request cannot be forwarded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestFault {
    /// It names no host.
    NoHost,
    /// Its body is longer than allowed.
    BodyTooLong,
    /// Its body was cut short or malformed.
    BadBody,
    /// Its body did not arrive in time.
    SlowBody,
    /// Its body does not fit into the memory that the gate may use.
    NoMemory,
}

/// From whom a gate got a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestOrigin {
    /// A caller.
    Caller,
    /// Another gate, which does not reach the servers.
    Gate,
}

/// The body of a caller's request, with the memory that it takes.
#[derive(Debug)]
pub(crate) struct HeldBody {
    pub(crate) bytes: Bytes,
    _lease: ByteLease,
}

/// A caller's request.
#[derive(Debug)]
pub(crate) struct EdgeRequest {
    pub(crate) origin: RequestOrigin,
    pub(crate) method: Method,
    /// Address of the caller.
    pub(crate) caller: Option<IpAddr>,
    /// Path and query, as the caller sent them.
    pub(crate) target: Uri,
    /// End-to-end headers, which are forwarded to servers.
    pub(crate) headers: HeaderMap,
    pub(crate) body: HeldBody,
    /// Who sent it.
    pub(crate) access: CallerAccess,
    pub(crate) route: Rc<ActiveRoute>,
    /// When the gate had read its head.
    pub(crate) read_at: Moment,
    /// When the caller gives up: after the time in its deadline header or, without one, after the
    /// route's timeout.
    pub(crate) deadline: Moment,
    /// When the gate must have answered: the earlier of the deadline and the route's timeout.
    pub(crate) answer_by: Moment,
    /// Computed when they are first needed.
    pub(crate) digests: OnceCell<[RequestDigest; IDENTITY_COUNT]>,
}

impl EdgeRequest {
    /// A request on `route` whose head was read at `now`.
    pub(crate) fn new(
        head: &RequestHead,
        body: HeldBody,
        route: &Rc<ActiveRoute>,
        access: CallerAccess,
        names: &WireHeaders,
        now: Moment,
    ) -> Self {
        let mut headers = end_to_end_headers(&head.headers);
        access.apply_to(&mut headers, names);
        let timeout = route.rule().timeout;
        let requested = requested_time(head, route, names);
        Self {
            origin: RequestOrigin::Caller,
            method: head.method.clone(),
            caller: head.peer_addr.map(|address| address.ip()),
            target: head.uri.clone(),
            headers,
            body,
            access,
            route: Rc::clone(route),
            read_at: now,
            deadline: now + requested,
            answer_by: now + timeout.min(requested),
            digests: OnceCell::new(),
        }
    }

    /// Priority of the request, 0 for the most urgent: that of the workspace if it has one.
    pub(crate) fn priority(&self) -> u32 {
        let workspace = self.access.workspace();
        let priority = workspace.and_then(|workspace| workspace.priority);
        priority.unwrap_or(self.route.rule().priority)
    }

    /// The request id that the caller set.
    pub(crate) fn id(&self, names: &WireHeaders) -> Option<&HeaderValue> {
        self.headers.get(&names.request_id)
    }

    /// The request id as the log shows it; empty if there is none.
    pub(crate) fn id_text(&self, names: &WireHeaders) -> String {
        let id = self.id(names).and_then(|value| value.to_str().ok());
        id.unwrap_or_default().to_owned()
    }

    /// What identifies the request when it is sent again, with another request id.
    pub(crate) fn digests(&self) -> &[RequestDigest; IDENTITY_COUNT] {
        self.digests.get_or_init(|| {
            let host = self.headers.get(header::HOST);
            let host = host.and_then(|value| value.to_str().ok());
            let host = host.or_else(|| self.target.host()).unwrap_or_default();
            // Routes ignore the port and the case too.
            let host = host.rsplit_once(':').map_or(host, |(name, _)| name);
            let identity = RequestIdentity {
                caller: self.caller,
                host: &host.to_ascii_lowercase(),
                method: self.method.as_str(),
                path: self.target.path(),
                query: self.target.query().unwrap_or_default(),
                body: &self.body.bytes,
            };
            identity.digests()
        })
    }

    /// The head for a send to `server`, with the time left at `now`.
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

    /// The head for a send to another gate, which `detour` tells how to handle the request.
    pub(crate) fn head_for_gate(&self, detour: HeaderValue) -> RequestHead {
        let mut head = RequestHead::default();
        head.method = self.method.clone();
        head.uri = self.target.clone();
        head.headers = self.headers.clone();
        head.headers.insert(DETOUR_HEADER, detour);
        head
    }
}

/// Time that the caller waits for its answer: that in its deadline header or, without one, the
/// route's timeout.
pub(crate) fn requested_time(
    head: &RequestHead,
    route: &ActiveRoute,
    names: &WireHeaders,
) -> Duration {
    let requested = read_millis(&head.headers, &names.deadline);
    requested.unwrap_or(route.rule().timeout)
}

/// Reads the whole body, which may have at most `limit` bytes, and must arrive within `time`.
///
/// A body whose head says that it is too long, or for which there is no memory, is not read at all.
pub(crate) async fn read_body(
    request: &mut Request,
    limit: usize,
    budget: &ByteBudget,
    time: Duration,
) -> Result<HeldBody, RequestFault> {
    let announced = announced_bytes(&request.head().headers);
    if announced > limit as u64 {
        return Err(RequestFault::BodyTooLong);
    }
    let lease = budget.take(announced as usize);
    let mut lease = lease.ok_or(RequestFault::NoMemory)?;
    let mut payload: Payload = request.take_payload();
    let mut whole = BytesMut::with_capacity(announced as usize);
    let read = async {
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|_: PayloadError| RequestFault::BadBody)?;
            if whole.len() + chunk.len() > limit {
                return Err(RequestFault::BodyTooLong);
            }
            whole.reserve(chunk.len());
            if !lease.grow_to(whole.capacity().min(limit)) {
                return Err(RequestFault::NoMemory);
            }
            whole.extend_from_slice(&chunk);
        }
        Ok(())
    };
    let read = timeout(time, read).await;
    read.unwrap_or(Err(RequestFault::SlowBody))?;
    Ok(HeldBody {
        bytes: whole.freeze(),
        _lease: lease,
    })
}

/// Length of the body as the head of its request states it; zero if it does not.
fn announced_bytes(headers: &HeaderMap) -> u64 {
    let length = headers.get(header::CONTENT_LENGTH);
    let length = length.and_then(|value| value.to_str().ok());
    length
        .and_then(|text| text.trim().parse().ok())
        .unwrap_or(0)
}

/// The headers without the hop-by-hop ones.
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

/// The value of a header in milliseconds; `None` if it is missing or not a whole number.
fn read_millis(headers: &HeaderMap, name: &HeaderName) -> Option<Duration> {
    let text = headers.get(name)?.to_str().ok()?;
    text.trim().parse().ok().map(Duration::from_millis)
}
