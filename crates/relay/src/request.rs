//! A request with everything that an attempt needs, kept so that a retry can send it again.

use std::time::Duration;

use actix_http::Method;
use actix_http::Uri;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use ggs_limit::ChainPosition;
use ggs_model::{Moment, RequestClass};

/// Timeout for the body of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyTimeout {
    /// The whole body must arrive by the request's deadline.
    Deadline,
    /// Each part of the body must arrive within this time after the part before it.
    Idle(Duration),
}

/// A request with its complete body, so that it can be sent again in a retry.
#[derive(Clone, Debug)]
pub struct RelayRequest {
    /// HTTP method.
    pub method: Method,
    /// Path and query sent to the server.
    pub target: Uri,
    /// Headers to forward, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// Complete body; empty for a request without one.
    pub body: Bytes,
    /// Request class, which the server choice takes into account.
    pub class: RequestClass,
    /// Whether the request may be repeated after it may have run.
    pub idempotent: bool,
    /// Position of this gate in the chain of calls, which limits the retries.
    pub position: ChainPosition,
    /// Time by which the answer must start, and also end unless `body_timeout` is an idle timeout.
    pub deadline: Moment,
    /// Timeout for the answer's body.
    pub body_timeout: BodyTimeout,
    /// Whether an answer with the `ggs-refused` header proves that the request did not run.
    pub trust_refusals: bool,
}

impl RelayRequest {
    /// Whether this gate may retry after a server has spent work on the request; false for a
    /// request that an earlier gate is already retrying, so that retries along a chain do not
    /// multiply.
    pub fn may_retry(&self) -> bool {
        self.position != ChainPosition::Retried
    }
}
