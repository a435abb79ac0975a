//! Encoding of what a gate tells another one with a request that this one is to send to a server.
//!
//! The other gate must treat the request as the first one would: by the route that the first gate has
//! in force, with the time and the attempts that are left. It is a message of Protocol Buffers in a
//! header, as the rest of the request is forwarded unchanged. Tags and types are fixed.

use std::fmt;
use std::net::IpAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use actix_http::header::{HeaderName, HeaderValue};
use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use ggs_access::KeyDigest;
use ggs_model::{Moment, ServiceName};
use ggs_place::ListedServer;
use ggs_route::{ActiveRoute, RepeatRule, RouteRule, RouteTarget};
use prost::Message;

use crate::request::EdgeRequest;

/// Header of a request that another gate sent on.
pub(crate) const DETOUR_HEADER: HeaderName = HeaderName::from_static("ggs-detour");

/// Header of an answer that declines such a request, with the cause.
pub(crate) const DECLINED_HEADER: HeaderName = HeaderName::from_static("ggs-declined");

/// Header of an answer to such a request, with the server that gave it.
pub(crate) const SERVER_HEADER: HeaderName = HeaderName::from_static("ggs-server");

/// The run of a server that gave an answer, as another gate knows it.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct AnsweringServer {
    #[prost(string, tag = "1")]
    pub(crate) instance: String,
    /// Start of the run in Unix milliseconds; absent if it is not known.
    #[prost(uint64, optional, tag = "2")]
    pub(crate) started_ms: Option<u64>,
}

/// What a gate tells another one with a request.
#[derive(Clone, PartialEq, Message)]
pub(crate) struct DetourBody {
    /// Service whose server is to run the request.
    #[prost(string, tag = "1")]
    service: String,
    /// Name of the route.
    #[prost(string, tag = "2")]
    route: String,
    /// Whether servers may run it more than once.
    #[prost(bool, tag = "3")]
    idempotent: bool,
    /// Most servers that it may still reach.
    #[prost(uint32, tag = "4")]
    attempts: u32,
    /// Milliseconds in which an answer should come, from the arrival at the first gate.
    #[prost(uint64, tag = "5")]
    objective_ms: u64,
    #[prost(uint32, tag = "6")]
    priority: u32,
    /// Milliseconds left until the first gate must have answered.
    #[prost(uint64, tag = "7")]
    answer_ms: u64,
    /// Milliseconds left until the caller gives up.
    #[prost(uint64, tag = "8")]
    deadline_ms: u64,
    /// IP address of the caller, in 4 or 16 bytes; empty if it is not known.
    #[prost(bytes = "vec", tag = "9")]
    caller: Vec<u8>,
    /// Digest of the caller's key, in 32 bytes; empty if the first gate knows none.
    #[prost(bytes = "vec", tag = "10")]
    key: Vec<u8>,
}

/// Why a header between gates cannot be used.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct DetourHeaderError {
    cause: String,
}

impl fmt::Display for DetourHeaderError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "header of another gate: {}", self.cause)
    }
}

/// Encodes a message as the value of a header.
fn encode_header(message: &impl Message) -> Result<HeaderValue, DetourHeaderError> {
    let text = STANDARD_NO_PAD.encode(message.encode_to_vec());
    HeaderValue::try_from(text).map_err(|error| DetourHeaderError {
        cause: error.to_string(),
    })
}

/// Decodes a message from the value of a header.
fn decode_header<M>(value: &HeaderValue) -> Result<M, DetourHeaderError>
where
    M: Message + Default,
{
    let bytes = STANDARD_NO_PAD.decode(value.as_bytes());
    let bytes = bytes.map_err(|error| error.to_string());
    let message =
        bytes.and_then(|bytes| M::decode(bytes.as_slice()).map_err(|error| error.to_string()));
    message.map_err(|cause| DetourHeaderError { cause })
}

impl DetourBody {
    /// What another gate needs to send `request` to a server of `service`, at `now`.
    pub(crate) fn new(
        request: &EdgeRequest,
        service: &ServiceName,
        attempts: u32,
        now: Moment,
    ) -> Self {
        let rule = request.route.rule();
        let held = now.since(request.read_at);
        Self {
            service: service.as_str().to_owned(),
            route: rule.name.to_string(),
            idempotent: rule.repeat == RepeatRule::Idempotent,
            attempts,
            objective_ms: rule.objective.saturating_sub(held).as_millis() as u64,
            priority: request.priority(),
            answer_ms: request.answer_by.since(now).as_millis() as u64,
            deadline_ms: request.deadline.since(now).as_millis() as u64,
            caller: match request.caller {
                Some(IpAddr::V4(address)) => address.octets().to_vec(),
                Some(IpAddr::V6(address)) => address.octets().to_vec(),
                None => Vec::new(),
            },
            key: match request.access.key() {
                Some(key) => key.as_bytes().to_vec(),
                None => Vec::new(),
            },
        }
    }

    /// The route by which the request is handled.
    pub(crate) fn route(&self) -> Rc<ActiveRoute> {
        let rule = RouteRule {
            name: Arc::from(self.route.as_str()),
            host: Arc::from(""),
            prefix: Arc::from("/"),
            targets: vec![RouteTarget {
                service: self.service.as_str().into(),
                weight: 1,
            }],
            repeat: if self.idempotent {
                RepeatRule::Idempotent
            } else {
                RepeatRule::AtMostOnce
            },
            timeout: self.answer_time(),
            objective: Duration::from_millis(self.objective_ms),
            attempts: self.attempts,
            priority: self.priority,
            is_public: false,
        };
        Rc::new(ActiveRoute::new(rule, 0))
    }

    /// Name of the service.
    pub(crate) fn service(&self) -> &str {
        &self.service
    }

    /// Time left until the first gate must have answered.
    pub(crate) const fn answer_time(&self) -> Duration {
        Duration::from_millis(self.answer_ms)
    }

    /// Time left until the caller gives up.
    pub(crate) const fn deadline_time(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// Digest of the caller's key, if the first gate knows one.
    pub(crate) fn key(&self) -> Option<KeyDigest> {
        KeyDigest::from_bytes(&self.key)
    }

    /// Address of the caller.
    pub(crate) fn caller(&self) -> Option<IpAddr> {
        if let Ok(octets) = <[u8; 4]>::try_from(self.caller.as_slice()) {
            return Some(octets.into());
        }
        let octets = <[u8; 16]>::try_from(self.caller.as_slice()).ok()?;
        Some(octets.into())
    }
}

impl TryFrom<&DetourBody> for HeaderValue {
    type Error = DetourHeaderError;

    fn try_from(body: &DetourBody) -> Result<Self, Self::Error> {
        encode_header(body)
    }
}

impl TryFrom<&HeaderValue> for DetourBody {
    type Error = DetourHeaderError;

    fn try_from(value: &HeaderValue) -> Result<Self, Self::Error> {
        decode_header(value)
    }
}

impl From<&ListedServer> for AnsweringServer {
    fn from(server: &ListedServer) -> Self {
        Self {
            instance: server.instance.to_string(),
            started_ms: server.started_ms,
        }
    }
}

impl TryFrom<&AnsweringServer> for HeaderValue {
    type Error = DetourHeaderError;

    fn try_from(server: &AnsweringServer) -> Result<Self, Self::Error> {
        encode_header(server)
    }
}

impl TryFrom<&HeaderValue> for AnsweringServer {
    type Error = DetourHeaderError;

    fn try_from(value: &HeaderValue) -> Result<Self, Self::Error> {
        decode_header(value)
    }
}
