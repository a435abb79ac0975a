//! Questions to gates over HTTP.
//!
//! Each question takes a connection of its own: an idle one may have gone silent. A gate that does
//! not answer in time is given up and the next is asked; for an edit that is safe only because its
//! id makes a second copy harmless.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use awc::http::{Method, StatusCode};
use awc::{Client, Connector};
use ggs_model::{
    AnswerFailure, BillAnswer, EditAnswer, EditConflict, EditFaults, EditRequest, HeaderNames,
    ServiceName, StatusAnswer, VersionedDocument,
};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Longest answer that is read, in bytes.
const ANSWER_LIMIT: usize = 64 << 20;

/// Why a gate gave no usable answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum GateError {
    /// No connection could be opened; nothing was sent.
    Unreachable { gate: SocketAddr, cause: String },
    /// No whole answer came in time; an edit may have been taken.
    Silent { gate: SocketAddr, cause: String },
    /// The gate refused: the platform is down, and nothing was written.
    PlatformDown { gate: SocketAddr, cause: String },
    /// The gate does not know whether the edit was written.
    Unknown { gate: SocketAddr, cause: String },
    /// The gate refused for a reason of its own, and nothing was written; or the answer to a
    /// question that writes nothing was not understood.
    Refused { gate: SocketAddr, cause: String },
}

impl fmt::Display for GateError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Unreachable { gate, cause } => {
                write!(formatter, "gate {gate} cannot be reached: {cause}")
            }
            Self::Silent { gate, cause } => {
                write!(formatter, "gate {gate} gave no answer: {cause}")
            }
            Self::PlatformDown { gate, cause } => {
                write!(
                    formatter,
                    "gate {gate} refused, nothing was written: {cause}"
                )
            }
            Self::Unknown { gate, cause } => write!(
                formatter,
                "gate {gate} does not know whether the edit was written: {cause}"
            ),
            Self::Refused { gate, cause } => {
                write!(
                    formatter,
                    "gate {gate} refused or was not understood: {cause}"
                )
            }
        }
    }
}

/// What became of an edit that a gate decided on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum EditOutcome {
    /// It is in the platform's table.
    Accepted(EditAnswer),
    /// The document is faulty.
    Faulty(EditFaults),
    /// Another edit won.
    Conflict(EditConflict),
}

/// An answer's status and body.
#[derive(Debug)]
struct GateReply {
    gate: SocketAddr,
    status: StatusCode,
    /// The gate's short reason, if it gave one.
    reason: Option<String>,
    body: Vec<u8>,
}

impl GateReply {
    /// Reads the body as JSON.
    fn json<T: DeserializeOwned>(&self) -> Result<T, GateError> {
        let gate = self.gate;
        serde_json::from_slice(&self.body).map_err(|error| {
            let cause = format!("status {}: {error}", self.status);
            GateError::Refused { gate, cause }
        })
    }

    /// The error that a status other than those of the question stands for.
    fn failure(&self) -> GateError {
        let gate = self.gate;
        let told = serde_json::from_slice::<AnswerFailure>(&self.body);
        let cause = match (told, &self.reason) {
            (Ok(told), _) => told.message,
            (Err(_), Some(reason)) => reason.clone(),
            (Err(_), None) => format!("status {}", self.status),
        };
        match self.status {
            StatusCode::SERVICE_UNAVAILABLE => GateError::PlatformDown { gate, cause },
            StatusCode::GATEWAY_TIMEOUT => GateError::Unknown { gate, cause },
            _ => GateError::Refused { gate, cause },
        }
    }
}

/// Asks gates, giving each a limited time.
#[derive(Clone)]
pub(crate) struct GateClient {
    client: Client,
    timeout: Duration,
}

impl GateClient {
    /// A client that gives a gate up after `timeout`.
    pub(crate) fn new(timeout: Duration) -> Self {
        // Half the time is for connecting, so that a gate that takes no connection is told from one
        // that may have read the question.
        let connector = Connector::new().timeout(timeout / 2);
        let client = Client::builder()
            .connector(connector)
            .disable_redirects()
            .disable_timeout()
            .finish();
        Self { client, timeout }
    }

    /// A client that gives a gate up after `limit`, if that is sooner.
    pub(crate) fn at_most(&self, limit: Duration) -> Self {
        Self::new(self.timeout.min(limit))
    }

    /// Sends an edit.
    pub(crate) async fn edit(
        &self,
        gate: SocketAddr,
        service: &ServiceName,
        request: &EditRequest,
    ) -> Result<EditOutcome, GateError> {
        let path = format!("/v1/documents/{service}");
        let reply = self.ask(Method::PUT, gate, &path, Some(request)).await?;
        let outcome = match reply.status {
            StatusCode::OK => reply.json().map(EditOutcome::Accepted),
            StatusCode::BAD_REQUEST => reply.json().map(EditOutcome::Faulty),
            StatusCode::CONFLICT => reply.json().map(EditOutcome::Conflict),
            _ => Err(reply.failure()),
        };
        // Only a status that speaks of the request itself promises that nothing was written.
        outcome.map_err(|error| match error {
            GateError::Refused { gate, cause } if !reply.status.is_client_error() => {
                GateError::Unknown { gate, cause }
            }
            error => error,
        })
    }

    /// Reads a document; `None` if the service has none.
    pub(crate) async fn document(
        &self,
        gate: SocketAddr,
        service: &ServiceName,
    ) -> Result<Option<VersionedDocument>, GateError> {
        let path = format!("/v1/documents/{service}");
        let reply = self.ask(Method::GET, gate, &path, None::<&()>).await?;
        match reply.status {
            StatusCode::OK => reply.json().map(Some),
            StatusCode::NOT_FOUND => Ok(None),
            _ => Err(reply.failure()),
        }
    }

    /// Reads a gate's status.
    pub(crate) async fn status(&self, gate: SocketAddr) -> Result<StatusAnswer, GateError> {
        self.read(gate, "/v1/status").await
    }

    /// Reads the bill.
    pub(crate) async fn bill(&self, gate: SocketAddr) -> Result<BillAnswer, GateError> {
        self.read(gate, "/v1/bill").await
    }

    /// Reads a JSON answer.
    async fn read<T: DeserializeOwned>(
        &self,
        gate: SocketAddr,
        path: &str,
    ) -> Result<T, GateError> {
        let reply = self.ask(Method::GET, gate, path, None::<&()>).await?;
        match reply.status {
            StatusCode::OK => reply.json(),
            _ => Err(reply.failure()),
        }
    }

    /// Sends a question and reads the whole answer within the time for one gate.
    async fn ask<T: Serialize>(
        &self,
        method: Method,
        gate: SocketAddr,
        path: &str,
        body: Option<&T>,
    ) -> Result<GateReply, GateError> {
        let asked = self.exchange(method, gate, path, body);
        let limited = tokio::time::timeout(self.timeout, asked).await;
        limited.unwrap_or_else(|_| {
            let cause = format!("no answer within {} s", self.timeout.as_secs_f64());
            Err(GateError::Silent { gate, cause })
        })
    }

    /// Sends a question on a connection of its own and reads the whole answer.
    async fn exchange<T: Serialize>(
        &self,
        method: Method,
        gate: SocketAddr,
        path: &str,
        body: Option<&T>,
    ) -> Result<GateReply, GateError> {
        let request = self.client.request(method, format!("http://{gate}{path}"));
        let request = request.force_close();
        let sending = match body {
            Some(body) => request.send_json(body),
            None => request.send(),
        };
        let mut response = sending.await.map_err(|error| send_error(gate, &error))?;
        let status = response.status();
        let reason = response.headers().get(HeaderNames::REASON);
        let reason = reason
            .and_then(|reason| reason.to_str().ok())
            .map(str::to_owned);
        let body = response.body().limit(ANSWER_LIMIT).await;
        let body = body.map_err(|error| {
            let cause = format!("answer was cut short: {error}");
            GateError::Silent { gate, cause }
        })?;
        let body = body.to_vec();
        Ok(GateReply {
            gate,
            status,
            reason,
            body,
        })
    }
}

/// Tells a question that was never sent from one that may have been.
fn send_error(gate: SocketAddr, error: &SendRequestError) -> GateError {
    let cause = error.to_string();
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => GateError::Silent { gate, cause },
        SendRequestError::Connect(_) | SendRequestError::Url(_) => {
            GateError::Unreachable { gate, cause }
        }
        _ => GateError::Silent { gate, cause },
    }
}
