//! A caller's request, checked and with its body read.

use std::time::Duration;

use actix_http::header::{HeaderMap, HeaderName};
use actix_http::{Method, Payload, Uri};
use bytes::{Bytes, BytesMut};
use futures_util::StreamExt;
use ggs_model::{Clock, HeaderNames, Moment, RequestClass, ServiceDocument};
use ggs_relay::{BodyWatch, RelayRequest};
use tokio::time::timeout;

use crate::answer::CallerFault;
use crate::core::GateCore;

/// Longest deadline that a caller may ask for, in milliseconds.
const DEADLINE_LIMIT_MS: u64 = 3_600_000;

/// Headers that belong to one connection and are not passed on.
const HOP_HEADERS: [&str; 11] = [
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

/// What a caller's headers ask for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct CallerTerms {
    /// Class asked for.
    pub(crate) class: RequestClass,
    /// Time to answer, if the caller named one.
    pub(crate) deadline: Option<Duration>,
    /// Retries that outer hops have made.
    pub(crate) attempt: Option<u32>,
}

impl CallerTerms {
    /// Reads the terms from a request's headers.
    pub(crate) fn read(headers: &HeaderMap) -> Result<Self, CallerFault> {
        let class = match text_of(headers, HeaderNames::CLASS)? {
            None => RequestClass::default(),
            Some(text) => text.parse().map_err(|_| CallerFault::BadClass)?,
        };
        let deadline = match text_of(headers, HeaderNames::DEADLINE)? {
            None => None,
            Some(text) => Some(read_deadline(text)?),
        };
        let attempt = match text_of(headers, HeaderNames::ATTEMPT)? {
            None => None,
            Some(text) => Some(text.parse().map_err(|_| CallerFault::BadAttempt)?),
        };
        Ok(Self {
            class,
            deadline,
            attempt,
        })
    }
}

/// The text of a header; `None` if it is absent.
fn text_of<'a>(headers: &'a HeaderMap, name: &str) -> Result<Option<&'a str>, CallerFault> {
    let Some(value) = headers.get(name) else {
        return Ok(None);
    };
    value.to_str().map(Some).map_err(|_| CallerFault::BadHeader)
}

/// Reads a deadline in milliseconds.
fn read_deadline(text: &str) -> Result<Duration, CallerFault> {
    let millis: u64 = text.parse().map_err(|_| CallerFault::BadDeadline)?;
    if millis == 0 || millis > DEADLINE_LIMIT_MS {
        return Err(CallerFault::BadDeadline);
    }
    Ok(Duration::from_millis(millis))
}

/// The head of a request to a service.
#[derive(Debug)]
pub(crate) struct ServiceRequest<'a> {
    /// Method.
    pub(crate) method: &'a Method,
    /// Path after `/s/{service}`, with its query.
    pub(crate) target: &'a str,
    /// The caller's headers.
    pub(crate) headers: &'a HeaderMap,
}

/// Checks a request against its service's document and gives it its class and deadline.
pub(crate) fn prepare(
    core: &GateCore,
    document: &ServiceDocument,
    request: &ServiceRequest<'_>,
    terms: CallerTerms,
    body: Bytes,
    came: Moment,
) -> Result<RelayRequest, CallerFault> {
    let path = request.target.split('?').next().unwrap_or(request.target);
    let class = document.class_of(request.method.as_str(), path, terms.class);
    let idempotent = !document.is_non_idempotent(request.method.as_str(), path);
    let target: Uri = request.target.parse().map_err(|_| CallerFault::BadTarget)?;
    let length = terms
        .deadline
        .unwrap_or_else(|| document.default_deadline(class));
    let watch = match class {
        RequestClass::Export => BodyWatch::Progress(document.default_deadline(class)),
        RequestClass::Urgent | RequestClass::Standard => BodyWatch::Deadline,
    };
    let mut headers = end_to_end(request.headers);
    let name = HeaderName::from_static(HeaderNames::ATTEMPT);
    headers.insert(name, terms.attempt.unwrap_or(0).into());
    let request = RelayRequest {
        method: request.method.clone(),
        target,
        headers,
        body,
        class,
        idempotent,
        may_retry: terms.attempt.is_none(),
        deadline: came + length,
        watch,
        trust_refusals: document.trust_refusals,
    };
    if core.clock.now() >= request.deadline {
        return Err(CallerFault::DeadlinePassed);
    }
    Ok(request)
}

/// The headers that are passed on.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let connection = headers.get_all("connection");
    let named: Vec<String> = connection
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len() + 4);
    for (name, value) in headers {
        let text = name.as_str();
        if HOP_HEADERS.contains(&text) || named.iter().any(|other| other == text) {
            continue;
        }
        kept.append(name.clone(), value.clone());
    }
    kept
}

/// Reads the whole body of a request.
pub(crate) async fn read_body(
    mut payload: Payload,
    limit: usize,
    time: Duration,
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
    timeout(time, read)
        .await
        .unwrap_or(Err(CallerFault::BodyIncomplete))
}
