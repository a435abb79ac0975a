//! Answers that a gate gives itself.

use std::time::Duration;

use actix_http::header::{HeaderValue, RETRY_AFTER};
use actix_http::{Response, StatusCode};
use bytes::Bytes;
use strum::{Display, IntoStaticStr};

use crate::body::EdgeBody;

/// Why a gate answers in place of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub(crate) enum LocalAnswer {
    /// The request names no host, or its body breaks the protocol.
    BadRequest,
    /// The body is longer than allowed.
    BodyTooLong,
    /// No route leads anywhere.
    NoRoute,
    /// No configuration is known yet.
    NoConfig,
    /// No server can answer in time; the request has not run.
    NoCapacity,
    /// Time ran out before the request was sent; it has not run.
    LateUnsent,
    /// Time ran out; the request may have run.
    Late,
    /// A server failed, and the request may have run.
    ServerFailed,
}

impl LocalAnswer {
    /// The status that tells what is known.
    pub(crate) const fn status(self) -> StatusCode {
        match self {
            Self::BadRequest => StatusCode::BAD_REQUEST,
            Self::BodyTooLong => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoConfig | Self::NoCapacity | Self::LateUnsent => StatusCode::SERVICE_UNAVAILABLE,
            Self::Late => StatusCode::GATEWAY_TIMEOUT,
            Self::ServerFailed => StatusCode::BAD_GATEWAY,
        }
    }

    /// The answer, which tells the caller when to come back if the request has not run.
    pub(crate) fn response(self, retry_after: Duration) -> Response<EdgeBody> {
        let mut response = Response::with_body(self.status(), EdgeBody::whole(Bytes::new()));
        if self.status() == StatusCode::SERVICE_UNAVAILABLE {
            let seconds = format!("{:.3}", retry_after.as_secs_f64());
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                response.headers_mut().insert(RETRY_AFTER, value);
            }
        }
        response
    }
}
