//! The ports implemented over the platform's HTTP API.
//!
//! After a timeout, the connection may be dead without having been closed, and the other pooled
//! connections may be dead too, because they use the same network path. So any failure after the
//! connection was established drops the whole pool, and the next call opens a new connection.
//!
//! `awc` reports no error when an answer's body is truncated. So an answer must have a
//! `content-length`, and a body of another length counts as an incomplete answer.

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

/// Timeout of a call if the builder sets none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum size of an answer's body.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// Time after which an idle pooled connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// Builds an [`HttpPlatform`].
#[derive(Clone, Debug)]
pub struct PlatformBuilder {
    base: String,
    timeout: Duration,
}

impl PlatformBuilder {
    /// Sets the timeout of a call, which includes connecting; 2 s unless set.
    ///
    /// A read that is retried has this time for each of its two attempts.
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// Builds the adapter; it connects at its first call.
    pub fn build(self) -> HttpPlatform {
        let client = RefCell::new(new_client(self.timeout));
        let base = self.base.trim_end_matches('/').to_owned();
        let timeout = self.timeout;
        let state = HttpState {
            base,
            timeout,
            client,
        };
        HttpPlatform {
            state: Rc::new(state),
        }
    }
}

/// State shared by all clones of an [`HttpPlatform`].
struct HttpState {
    base: String,
    timeout: Duration,
    client: RefCell<Client>,
}

/// Client of the platform's HTTP API; clones share their connections.
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
    state: Rc<HttpState>,
}

impl fmt::Debug for HttpPlatform {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("HttpPlatform")
            .field("base", &self.state.base)
            .field("timeout", &self.state.timeout)
            .finish_non_exhaustive()
    }
}

impl HttpPlatform {
    /// Returns a builder for the platform at a base URL such as `http://127.0.0.1:9000`.
    pub fn builder(base: &str) -> PlatformBuilder {
        PlatformBuilder {
            base: base.to_owned(),
            timeout: DEFAULT_TIMEOUT,
        }
    }

    /// Sends a read; `None` if the row, object or list does not exist.
    ///
    /// A read without a complete answer is retried once on a new connection, because the platform
    /// may have closed a pooled connection while it was idle. A read that timed out is not retried.
    async fn send_read(&self, path: &str) -> Result<Option<Bytes>, StoreError> {
        let call = PlatformCall::new(Method::GET, path);
        let answer = match self.send(&call, Bytes::new()).await {
            Err(CallFailure::Incomplete(_)) => self.send(&call, Bytes::new()).await,
            answer => answer,
        };
        let answer = answer.map_err(|failure| call.failure_error(failure))?;
        match answer.status {
            StatusCode::OK => Ok(Some(answer.body)),
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(call.status_error(status)),
        }
    }

    /// Sends a write, without a retry because the first attempt may have taken effect.
    async fn send_write(&self, call: &PlatformCall, body: Bytes) -> Result<Bytes, StoreError> {
        let answer = self.send(call, body).await;
        let answer = answer.map_err(|failure| call.failure_error(failure))?;
        if answer.status != StatusCode::OK {
            return Err(call.status_error(answer.status));
        }
        Ok(answer.body)
    }

    /// Sends a call, and drops all pooled connections if its answer is incomplete or times out.
    async fn send(&self, call: &PlatformCall, body: Bytes) -> Result<CallAnswer, CallFailure> {
        let client = self.state.client.borrow().clone();
        let exchange = self.exchange(&client, call, body);
        let answer = match actix_rt::time::timeout(self.state.timeout, exchange).await {
            Ok(answer) => answer,
            Err(_) => Err(CallFailure::TimedOut),
        };
        if matches!(
            answer,
            Err(CallFailure::Incomplete(_) | CallFailure::TimedOut)
        ) {
            *self.state.client.borrow_mut() = new_client(self.state.timeout);
        }
        answer
    }

    /// Sends a call and reads its complete answer; [`Self::send`] adds the timeout.
    async fn exchange(
        &self,
        client: &Client,
        call: &PlatformCall,
        body: Bytes,
    ) -> Result<CallAnswer, CallFailure> {
        let url = format!("{}{}", self.state.base, call.path);
        let request = client.request(call.method.clone(), url);
        let request = request.content_type("application/json");
        let mut response = request.send_body(body).await.map_err(CallFailure::from)?;
        let body = response.body().limit(MAX_ANSWER_BYTES).await;
        let body = body.map_err(|error| CallFailure::Incomplete(error.to_string()))?;
        let length = response.headers().get(CONTENT_LENGTH);
        let length = length.and_then(|length| length.to_str().ok()?.parse().ok());
        if length != Some(body.len()) {
            return Err(CallFailure::Incomplete(length_mismatch(body.len(), length)));
        }
        let status = response.status();
        Ok(CallAnswer { status, body })
    }
}

impl TableStore for HttpPlatform {
    async fn get(&self, key: &str) -> Result<Option<TableRow>, StoreError> {
        let path = format!("/table/rows/{}", encode_name(key));
        let body = self.send_read(&path).await?;
        body.map(|body| parse(&path, &body)).transpose()
    }

    async fn list(&self, prefix: &str) -> Result<Vec<TableRow>, StoreError> {
        let path = format!("/table/rows?prefix={}", encode_name(prefix));
        let body = self.send_read(&path).await?.unwrap_or_default();
        parse(&path, &body)
    }

    async fn write(&self, write: &TableWrite) -> Result<WriteOutcome, StoreError> {
        let call = PlatformCall::new(Method::POST, "/table/write");
        let body = serde_json::to_vec(write).map_err(|error| call.unsent_error(&error))?;
        let body = self.send_write(&call, body.into()).await?;
        parse(&call.path, &body)
    }
}

impl ObjectStore for HttpPlatform {
    async fn put(&self, name: &str, body: Bytes) -> Result<(), StoreError> {
        let path = format!("/objects/{}", encode_name(name));
        let call = PlatformCall::new(Method::PUT, &path);
        self.send_write(&call, body).await.map(drop)
    }

    async fn fetch(&self, name: &str) -> Result<Option<Bytes>, StoreError> {
        self.send_read(&format!("/objects/{}", encode_name(name)))
            .await
    }
}

impl HostList for HttpPlatform {
    async fn servers(&self) -> Result<Vec<ServerEntry>, StoreError> {
        let body = self.send_read("/hosts").await?.unwrap_or_default();
        parse("/hosts", &body)
    }
}

/// Method of a call, and its path and query relative to the base URL.
struct PlatformCall {
    method: Method,
    path: String,
}

impl PlatformCall {
    fn new(method: Method, path: &str) -> Self {
        let path = path.to_owned();
        Self { method, path }
    }

    /// Method and path, as shown in errors.
    fn name(&self) -> String {
        format!("{} {}", self.method, self.path)
    }

    /// The error of a call that was not sent.
    fn unsent_error(&self, cause: &dyn Display) -> StoreError {
        let call = self.name();
        let cause = cause.to_string();
        StoreError::Unavailable { call, cause }
    }

    /// The error of a call without a complete answer.
    fn failure_error(&self, failure: CallFailure) -> StoreError {
        let call = self.name();
        match failure {
            CallFailure::Unsent(cause) => StoreError::Unavailable { call, cause },
            CallFailure::Incomplete(cause) => StoreError::Unanswered { call, cause },
            CallFailure::TimedOut => {
                let cause = "no whole answer in time".to_owned();
                StoreError::Unanswered { call, cause }
            }
        }
    }

    /// The error of an answer with an unexpected status.
    ///
    /// With 503 the platform refuses the call without effect; after any other 5xx a write may have
    /// taken effect.
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

/// A complete answer.
struct CallAnswer {
    status: StatusCode,
    body: Bytes,
}

/// Why a call has no complete answer.
enum CallFailure {
    /// No connection was established, or the URL is invalid, so nothing was sent.
    Unsent(String),
    /// The connection failed, or the answer was malformed, truncated or longer than
    /// [`MAX_ANSWER_BYTES`]; the request may have been sent.
    Incomplete(String),
    /// The timeout of the call expired.
    TimedOut,
}

impl From<SendRequestError> for CallFailure {
    fn from(error: SendRequestError) -> Self {
        let cause = error.to_string();
        match error {
            // `awc` also reports this when the connection closes after the request was sent.
            SendRequestError::Connect(ConnectError::Disconnected) => {
                Self::Incomplete("connection closed without an answer".to_owned())
            }
            SendRequestError::Connect(_) | SendRequestError::Url(_) => Self::Unsent(cause),
            _ => Self::Incomplete(cause),
        }
    }
}

/// Creates a client with an empty connection pool.
///
/// The connect timeout is half the timeout of a call, so that a host that does not accept
/// connections is distinguished from one that does not answer.
fn new_client(timeout: Duration) -> Client {
    let connector = Connector::new()
        .timeout(timeout / 2)
        .conn_keep_alive(IDLE_TIMEOUT);
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .finish()
}

/// Describes an answer with a missing `content-length` or one that differs from the body's length.
fn length_mismatch(read: usize, length: Option<usize>) -> String {
    match length {
        Some(length) => format!("answer ended after {read} of {length} bytes"),
        None => "answer has no content-length".to_owned(),
    }
}

/// Parses the JSON body of an answer.
fn parse<T: DeserializeOwned>(path: &str, body: &[u8]) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|error| StoreError::BadAnswer {
        call: path.to_owned(),
        cause: error.to_string(),
    })
}
