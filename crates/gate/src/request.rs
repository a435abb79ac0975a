//! Validates a caller's request against the document of its service and reads its body.
//!
//! The body is read completely before the request goes to a server, so that a retry can send it
//! again.

use std::net::SocketAddr;
use std::time::Duration;

use actix_http::header::{HOST, HeaderMap, HeaderValue};
use actix_http::{Method, Payload, Uri};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use ggs_limit::ChainPosition;
use ggs_model::{HeaderNames, Moment, RequestClass, ServiceDocument};
use ggs_relay::{BodyTimeout, RelayRequest};
use tokio::time::timeout;

use crate::answer::CallerFault;

/// Longest deadline that a caller may set, in milliseconds: one hour.
const MAX_DEADLINE_MS: u64 = 3_600_000;

/// Headers that apply to one connection or to the transfer of one body, and are not forwarded.
const HOP_BY_HOP_HEADERS: [&str; 11] = [
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Values of the headers by which a caller controls its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallerHeaders {
    /// Class, or the default class if the caller named none.
    pub(crate) class: RequestClass,
    /// Time in which the caller wants the answer, if it set one.
    pub(crate) deadline: Option<Duration>,
    /// Position of this gate in the chain of calls.
    pub(crate) position: ChainPosition,
}

impl CallerHeaders {
    /// Parses the headers; absent ones are valid.
    pub(crate) fn read(headers: &HeaderMap) -> Result<Self, CallerFault> {
        let class = match header_text(headers, HeaderNames::CLASS)? {
            None => RequestClass::default(),
            Some(text) => text.parse().map_err(|_| CallerFault::BadClass)?,
        };
        let deadline = match header_text(headers, HeaderNames::DEADLINE)? {
            None => None,
            Some(text) => Some(read_deadline(text)?),
        };
        let attempt = header_text(headers, HeaderNames::ATTEMPT)?;
        if attempt.is_some_and(|text| text.parse::<u32>().is_err()) {
            return Err(CallerFault::BadAttempt);
        }
        let position = ChainPosition::from_header(attempt);
        Ok(Self {
            class,
            deadline,
            position,
        })
    }
}

/// Text of a header; `None` if it is absent.
fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, CallerFault> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    value.to_str().map(Some).map_err(|_| CallerFault::BadHeader)
}

/// Parses a deadline of 1 to [`MAX_DEADLINE_MS`] milliseconds.
fn read_deadline(text: &str) -> Result<Duration, CallerFault> {
    let millis: u64 = text.parse().map_err(|_| CallerFault::BadDeadline)?;
    if millis == 0 || millis > MAX_DEADLINE_MS {
        return Err(CallerFault::BadDeadline);
    }
    Ok(Duration::from_millis(millis))
}

/// The head of a request to a service.
#[derive(Debug)]
pub(crate) struct ServiceRequest<'a> {
    pub(crate) method: &'a Method,
    /// Path after `/s/{service}`, with the query.
    pub(crate) target: &'a str,
    /// The caller's headers.
    pub(crate) headers: &'a HeaderMap,
}

/// How a request is to be served, from its head and the rules of its service's document.
#[derive(Clone, Debug)]
pub(crate) struct RequestParameters {
    /// Path and query sent to the server.
    target: Uri,
    /// Class after the rules of the document were applied.
    pub(crate) class: RequestClass,
    /// Whether the request may be sent again after it may have run.
    pub(crate) idempotent: bool,
    /// Time by which the caller wants the answer.
    pub(crate) deadline: Moment,
    /// Position of this gate in the chain of calls.
    position: ChainPosition,
}

impl RequestParameters {
    /// Validates the head of a request that was received at `received_at`. Without a deadline from
    /// the caller, the default of the document for the class applies.
    pub(crate) fn read(
        document: &ServiceDocument,
        request: &ServiceRequest<'_>,
        received_at: Moment,
    ) -> Result<Self, CallerFault> {
        let caller = CallerHeaders::read(request.headers)?;
        let path = request.target.split('?').next().unwrap_or(request.target);
        let method = request.method.as_str();
        let class = document.class_of(method, path, caller.class);
        let time_limit = caller.deadline;
        let time_limit = time_limit.unwrap_or_else(|| document.default_deadline(class));
        Ok(Self {
            target: request.target.parse().map_err(|_| CallerFault::BadTarget)?,
            class,
            idempotent: !document.is_non_idempotent(method, path),
            deadline: received_at + time_limit,
            position: caller.position,
        })
    }

    /// Adds the body to make the request for the relay.
    pub(crate) fn into_request(
        self,
        document: &ServiceDocument,
        request: &ServiceRequest<'_>,
        body: Bytes,
    ) -> RelayRequest {
        // The answers of exports stream for long, so they are limited by the time without progress
        // instead of by the deadline.
        let body_timeout = match self.class {
            RequestClass::Export => BodyTimeout::Idle(document.default_deadline(self.class)),
            RequestClass::Urgent | RequestClass::Standard => BodyTimeout::Deadline,
        };
        RelayRequest {
            method: request.method.clone(),
            target: self.target,
            headers: end_to_end_headers(request.headers),
            body,
            class: self.class,
            idempotent: self.idempotent,
            position: self.position,
            deadline: self.deadline,
            body_timeout,
            trust_refusals: document.trust_refusals,
        }
    }
}

/// A request without a body that the gate makes itself, as a load probe, and sends to `address`.
pub(crate) fn own_request(
    method: Method,
    address: SocketAddr,
    target: Uri,
    deadline: Moment,
) -> RelayRequest {
    let mut headers = HeaderMap::new();
    if let Ok(host) = HeaderValue::from_str(&address.to_string()) {
        headers.insert(HOST, host);
    }
    RelayRequest {
        method,
        target,
        headers,
        body: Bytes::new(),
        class: RequestClass::Standard,
        idempotent: true,
        position: ChainPosition::FirstHop,
        deadline,
        body_timeout: BodyTimeout::Deadline,
        trust_refusals: false,
    }
}

/// The headers to forward: all but the hop-by-hop ones and those that `Connection` lists.
pub(crate) fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    let connection = headers.get_all("connection");
    let listed: Vec<String> = connection
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len() + 4);
    for (name, value) in headers {
        let text = name.as_str();
        if HOP_BY_HOP_HEADERS.contains(&text)
            || listed.iter().any(|listed_name| listed_name == text)
        {
            continue;
        }
        kept.append(name.clone(), value.clone());
    }
    kept
}

/// Reads the whole body of a request: at most `limit` bytes, within `time_limit`.
pub(crate) async fn read_body(
    mut payload: Payload,
    limit: usize,
    time_limit: Duration,
) -> Result<Bytes, CallerFault> {
    let read = async {
        let mut body = BytesMut::new();
        while let Some(chunk) = payload.next().await {
            let chunk = chunk.map_err(|_| CallerFault::BodyIncomplete)?;
            if body.len() + chunk.len() > limit {
                return Err(CallerFault::BodyTooLong);
            }
            body.extend_from_slice(&chunk);
        }
        Ok(body.freeze())
    };
    timeout(time_limit, read)
        .await
        .unwrap_or(Err(CallerFault::BodyIncomplete))
}
