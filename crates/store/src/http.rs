//! The platform over HTTP.
//!
//! A connection that timed out may be one that went silent, and its neighbours in the pool share its
//! path. So any failure after the connection was made drops the whole pool, and the next call
//! connects anew.
//!
//! `awc` ends the body of an answer that its sender cut short without an error. So an answer must
//! have a `content-length`, and a body of another length counts as no answer.

use std::cell::RefCell;
use std::fmt::{self, Display};
use std::rc::Rc;
use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use awc::http::header::CONTENT_LENGTH;
use awc::http::{Method, StatusCode};
use awc::{Client, Connector};
use bytes::Bytes;
use ggs_model::ServerEntry;
use serde::de::DeserializeOwned;

use crate::key::encode_name;
use crate::{HostList, ObjectStore, StoreError, TableRow, TableStore, TableWrite, WriteOutcome};

/// Time for one call when the builder names none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

/// Longest answer, in bytes.
const ANSWER_LIMIT: usize = 64 << 20;

/// Time that an idle connection is kept.
const IDLE_LIMIT: Duration = Duration::from_secs(10);

/// Builds an [`HttpPlatform`].
#[derive(Clone, Debug)]
pub struct PlatformBuilder {
    base: String,
    timeout: Duration,
}

impl PlatformBuilder {
    /// Sets the time for one call, the connection included.
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// The platform with these values.
    pub fn build(self) -> HttpPlatform {
        let client = RefCell::new(new_client(self.timeout));
        let base = self.base.trim_end_matches('/').to_owned();
        let timeout = self.timeout;
        let link = PlatformLink {
            base,
            timeout,
            client,
        };
        HttpPlatform {
            link: Rc::new(link),
        }
    }
}

/// State behind all clones of an [`HttpPlatform`].
struct PlatformLink {
    base: String,
    timeout: Duration,
    client: RefCell<Client>,
}

/// Adapter to the platform's HTTP services; clones share their connections.
///
/// ```
/// use std::time::Duration;
/// use ggs_store::{HttpPlatform, StoreError, TableStore};
///
/// actix_rt::System::new().block_on(async {
///     let builder = HttpPlatform::builder("http://127.0.0.1:1");
///     let platform = builder.timeout(Duration::from_millis(500)).build();
///     let error = platform.get("documents/head").await.unwrap_err();
///     assert!(matches!(error, StoreError::Unavailable { .. }));
/// });
/// ```
#[derive(Clone)]
pub struct HttpPlatform {
    link: Rc<PlatformLink>,
}

impl fmt::Debug for HttpPlatform {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("HttpPlatform")
            .field("base", &self.link.base)
            .field("timeout", &self.link.timeout)
            .finish_non_exhaustive()
    }
}

impl HttpPlatform {
    /// Starts to build an adapter to the platform at a base URL such as `http://127.0.0.1:9000`.
    pub fn builder(base: &str) -> PlatformBuilder {
        PlatformBuilder {
            base: base.to_owned(),
            timeout: DEFAULT_TIMEOUT,
        }
    }

    /// Sends a read; `None` if what it names does not exist.
    ///
    /// A read is repeated once on a new connection if it broke a kept one, as the platform may have
    /// closed that while it was idle.
    async fn read(&self, path: &str) -> Result<Option<Bytes>, StoreError> {
        let call = PlatformCall::new(Method::GET, path);
        let answer = match self.send(&call, Bytes::new()).await {
            Err(CallFailure::Broken(_)) => self.send(&call, Bytes::new()).await,
            answer => answer,
        };
        let answer = answer.map_err(|failure| call.error(failure))?;
        match answer.status {
            StatusCode::OK => Ok(Some(answer.body)),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(call.status_error(status)),
        }
    }

    /// Sends a change.
    async fn change(&self, call: &PlatformCall, body: Bytes) -> Result<Bytes, StoreError> {
        let answer = self.send(call, body).await;
        let answer = answer.map_err(|failure| call.error(failure))?;
        if answer.status != StatusCode::OK {
            return Err(call.status_error(answer.status));
        }
        Ok(answer.body)
    }

    /// Sends a call, and drops all connections if it broke or timed out.
    async fn send(&self, call: &PlatformCall, body: Bytes) -> Result<CallAnswer, CallFailure> {
        let client = self.link.client.borrow().clone();
        let exchange = self.exchange(&client, call, body);
        let answer = match actix_rt::time::timeout(self.link.timeout, exchange).await {
            Ok(answer) => answer,
            Err(_) => Err(CallFailure::TimedOut),
        };
        if matches!(answer, Err(CallFailure::Broken(_) | CallFailure::TimedOut)) {
            *self.link.client.borrow_mut() = new_client(self.link.timeout);
        }
        answer
    }

    /// Sends a call and reads the whole answer.
    async fn exchange(
        &self,
        client: &Client,
        call: &PlatformCall,
        body: Bytes,
    ) -> Result<CallAnswer, CallFailure> {
        let url = format!("{}{}", self.link.base, call.path);
        let request = client.request(call.method.clone(), url);
        let request = request.content_type("application/json");
        let mut response = request.send_body(body).await.map_err(CallFailure::from)?;
        let body = response.body().limit(ANSWER_LIMIT).await;
        let body = body.map_err(|error| CallFailure::Broken(error.to_string()))?;
        let length = response.headers().get(CONTENT_LENGTH);
        let length = length.and_then(|length| length.to_str().ok()?.parse().ok());
        if length != Some(body.len()) {
            return Err(CallFailure::Broken(length_cause(body.len(), length)));
        }
        let status = response.status();
        Ok(CallAnswer { status, body })
    }
}

impl TableStore for HttpPlatform {
    async fn get(&self, key: &str) -> Result<Option<TableRow>, StoreError> {
        let path = format!("/table/rows/{}", encode_name(key));
        let body = self.read(&path).await?;
        body.map(|body| parse(&path, &body)).transpose()
    }

    async fn list(&self, prefix: &str) -> Result<Vec<TableRow>, StoreError> {
        let path = format!("/table/rows?prefix={}", encode_name(prefix));
        let body = self.read(&path).await?.unwrap_or_default();
        parse(&path, &body)
    }

    async fn write(&self, write: &TableWrite) -> Result<WriteOutcome, StoreError> {
        let call = PlatformCall::new(Method::POST, "/table/write");
        let body = serde_json::to_vec(write).map_err(|error| call.unsent(&error))?;
        let body = self.change(&call, body.into()).await?;
        parse(&call.path, &body)
    }
}

impl ObjectStore for HttpPlatform {
    async fn put(&self, name: &str, body: Bytes) -> Result<(), StoreError> {
        let path = format!("/objects/{}", encode_name(name));
        let call = PlatformCall::new(Method::PUT, &path);
        self.change(&call, body).await.map(drop)
    }

    async fn fetch(&self, name: &str) -> Result<Option<Bytes>, StoreError> {
        self.read(&format!("/objects/{}", encode_name(name))).await
    }
}

impl HostList for HttpPlatform {
    async fn servers(&self) -> Result<Vec<ServerEntry>, StoreError> {
        let body = self.read("/hosts").await?.unwrap_or_default();
        parse("/hosts", &body)
    }
}

/// Method and path of a call.
struct PlatformCall {
    method: Method,
    path: String,
}

impl PlatformCall {
    fn new(method: Method, path: &str) -> Self {
        let path = path.to_owned();
        Self { method, path }
    }

    /// The call's name in errors.
    fn name(&self) -> String {
        format!("{} {}", self.method, self.path)
    }

    /// The error of a call that was not sent.
    fn unsent(&self, cause: &dyn Display) -> StoreError {
        let call = self.name();
        let cause = cause.to_string();
        StoreError::Unavailable { call, cause }
    }

    /// The error of a call that failed without an answer.
    fn error(&self, failure: CallFailure) -> StoreError {
        let call = self.name();
        match failure {
            CallFailure::Unsent(cause) => StoreError::Unavailable { call, cause },
            CallFailure::Broken(cause) => StoreError::Unanswered { call, cause },
            CallFailure::TimedOut => {
                let cause = "no whole answer in time".to_owned();
                StoreError::Unanswered { call, cause }
            }
        }
    }

    /// The error of an answer with an unexpected status.
    ///
    /// 503 is a refusal; after another server error a write may have taken effect.
    fn status_error(&self, status: StatusCode) -> StoreError {
        let call = self.name();
        let cause = format!("answer has status {status}");
        if status == StatusCode::SERVICE_UNAVAILABLE {
            return StoreError::Unavailable { call, cause };
        }
        if status.is_server_error() {
            return StoreError::Unanswered { call, cause };
        }
        StoreError::BadAnswer { call, cause }
    }
}

/// A whole answer.
struct CallAnswer {
    status: StatusCode,
    body: Bytes,
}

/// Why a call has no answer.
enum CallFailure {
    /// No connection was made.
    Unsent(String),
    /// The connection broke after bytes may have been sent.
    Broken(String),
    /// The time for the call ran out.
    TimedOut,
}

impl From<SendRequestError> for CallFailure {
    fn from(error: SendRequestError) -> Self {
        let cause = error.to_string();
        match error {
            // Also stands for a connection that closed after the request was sent.
            SendRequestError::Connect(ConnectError::Disconnected) => {
                Self::Broken("connection closed without an answer".to_owned())
            }
            SendRequestError::Connect(_) | SendRequestError::Url(_) => Self::Unsent(cause),
            _ => Self::Broken(cause),
        }
    }
}

/// A client with no connections.
///
/// A connection gets half the time of a call, so that a host that does not accept is told apart
/// from one that does not answer.
fn new_client(timeout: Duration) -> Client {
    let connector = Connector::new()
        .timeout(timeout / 2)
        .conn_keep_alive(IDLE_LIMIT);
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .finish()
}

/// The cause of a failure by an answer that is not whole.
fn length_cause(read: usize, length: Option<usize>) -> String {
    match length {
        Some(length) => format!("answer ended after {read} of {length} bytes"),
        None => "answer has no content-length".to_owned(),
    }
}

/// Reads an answer.
fn parse<T: DeserializeOwned>(path: &str, body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|error| StoreError::BadAnswer {
        call: path.to_owned(),
        cause: error.to_string(),
    })
}
