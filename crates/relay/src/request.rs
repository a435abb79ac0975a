//! A request as the relay carries it.

use std::time::Duration;

use actix_http::Method;
use actix_http::Uri;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use ggs_limit::ChainPosition;
use ggs_model::{Moment, RequestClass};

/// How the body of an answer is watched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyWatch {
    /// The whole answer must have come by the request's deadline.
    Deadline,
    /// Each part must come within this time of the one before.
    Progress(Duration),
}

/// A request with its whole body, ready to be sent any number of times.
#[derive(Clone, Debug)]
pub struct RelayRequest {
    /// Method.
    pub method: Method,
    /// Path and query at the server.
    pub target: Uri,
    /// End-to-end headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Class.
    pub class: RequestClass,
    /// Whether the request may be sent again after it may have run.
    pub idempotent: bool,
    /// Where in a chain of calls the request reached this gate.
    pub position: ChainPosition,
    /// The latest moment for the answer's first byte, and for its last unless `watch` says otherwise.
    pub deadline: Moment,
    /// How the answer's body is watched.
    pub watch: BodyWatch,
    /// Whether an answer with the refusal header promises that the request did not run.
    pub trust_refusals: bool,
}

impl RelayRequest {
    /// Whether this gate may retry after a server may have worked on the request.
    pub fn may_retry(&self) -> bool {
        self.position != ChainPosition::Retried
    }
}
