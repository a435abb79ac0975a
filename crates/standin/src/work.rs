//! Answers of a stand-in server.
//!
//! A request may ask in its query for `ms` (time to run), `bytes` (length of the answer), `token`
//! (what the answer repeats; also the `ggs-key` header), `chunked=1` (no length in the head) and
//! `pace_ms` (time between the pieces of the answer).

use std::rc::Rc;
use std::time::Duration;

use actix_http::body::{BodyStream, BoxBody, SizedStream};
use actix_http::header::HeaderName;
use actix_http::{HttpMessage, Request, Response, ResponseBuilder, StatusCode};
use bytes::Bytes;
use futures_util::stream::{self, Stream};
use ggs_model::{BootClock, Clock, HeaderNames, Moment};

use crate::answer::AnswerBody;
use crate::connection::ConnectionControl;
use crate::http::{finish, header, json, query, query_number, read_body, read_json, text};
use crate::listener::RequestHandler;
use crate::server::ServerShared;
use crate::slots::SlotPermit;

/// Length of an answer unless the request asks for another, in bytes.
const DEFAULT_BYTES: u64 = 64;

/// Length of the pieces of a streamed answer, in bytes.
const PIECE_BYTES: usize = 16 << 10;

/// Time between looks at a fault that holds requests.
const FREEZE_INTERVAL: Duration = Duration::from_millis(5);

/// Time that the bytes before a cut get to leave.
const CUT_DELAY: Duration = Duration::from_millis(20);

/// Answers the requests of a stand-in server.
#[derive(Debug)]
pub(crate) struct ServerHandler {
    shared: Rc<ServerShared>,
}

/// An answer; an early one stands as the error.
type Answer = Result<Response<BoxBody>, Response<BoxBody>>;

impl RequestHandler for ServerHandler {
    async fn handle(
        &self,
        mut request: Request,
        connection: Rc<ConnectionControl>,
    ) -> Response<BoxBody> {
        let path = request.path().to_owned();
        if let Some(path) = path.strip_prefix("/admin/") {
            let answer = self.administer(&mut request, path, &connection).await;
            return answer.unwrap_or_else(|answer| answer);
        }
        while self.shared.faults.borrow().freeze {
            actix_rt::time::sleep(FREEZE_INTERVAL).await;
        }
        let attempt = request.headers().get(HeaderNames::REQUEST_ID).cloned();
        let mut answer = match (request.method().as_str(), path.as_str()) {
            ("GET", "/load") => self.answer_load().await,
            ("GET", "/health") => self.answer_health(),
            _ => self.answer_work(&mut request, &connection).await,
        };
        if let Some(attempt) = attempt {
            let name = HeaderName::from_static(HeaderNames::REQUEST_ID);
            answer.headers_mut().insert(name, attempt);
        }
        answer
    }
}

impl ServerHandler {
    /// A handler over a server's state.
    pub(crate) fn new(shared: Rc<ServerShared>) -> Self {
        Self { shared }
    }

    /// A head with the headers that all answers carry.
    fn head(&self, status: StatusCode) -> ResponseBuilder {
        let shared = &self.shared;
        let mut builder = Response::build(status);
        builder.insert_header((HeaderNames::LOAD, shared.report()));
        builder.insert_header((
            HeaderNames::INCARNATION,
            shared.incarnation.get().to_string(),
        ));
        builder.insert_header((HeaderNames::SERVER, shared.address.get().to_string()));
        if shared.draining.get() {
            builder.insert_header((HeaderNames::LEAVING, "1"));
        }
        builder
    }

    /// A refusal: the request did not run.
    fn refuse(&self, reason: &str) -> Response<BoxBody> {
        let mut builder = self.head(StatusCode::SERVICE_UNAVAILABLE);
        builder.insert_header((HeaderNames::REFUSED, reason));
        finish(builder, format!("refused: {reason}"))
    }

    async fn answer_load(&self) -> Response<BoxBody> {
        let now = BootClock.wall().0;
        self.shared.probes.borrow_mut().load.push(now);
        let probe_time = self.shared.options.probe_time;
        if !probe_time.is_zero() {
            actix_rt::time::sleep(probe_time).await;
        }
        finish(self.head(StatusCode::OK), self.shared.report())
    }

    fn answer_health(&self) -> Response<BoxBody> {
        let now = BootClock.wall().0;
        self.shared.probes.borrow_mut().health.push(now);
        let status = self.shared.faults.borrow().health_status;
        let status = status.and_then(|status| StatusCode::from_u16(status).ok());
        let truth = if self.shared.draining.get() {
            StatusCode::SERVICE_UNAVAILABLE
        } else {
            StatusCode::OK
        };
        finish(self.head(status.unwrap_or(truth)), "health")
    }

    async fn answer_work(
        &self,
        request: &mut Request,
        connection: &Rc<ConnectionControl>,
    ) -> Response<BoxBody> {
        self.shared.probes.borrow_mut().calls += 1;
        let guard = CancelGuard::new(&self.shared);
        let answer = self.work(request, connection).await;
        guard.answered();
        answer.unwrap_or_else(|answer| answer)
    }

    /// Takes a request through the queue and runs it.
    async fn work(&self, request: &mut Request, connection: &Rc<ConnectionControl>) -> Answer {
        let arrived = BootClock.now();
        let body = read_body(request).await;
        let body = body.map_err(|error| text(StatusCode::BAD_REQUEST, error.to_string()))?;
        let fail_fast = self.shared.faults.borrow().fail_fast;
        if let Some(status) = fail_fast {
            let status = StatusCode::from_u16(status);
            let status = status.unwrap_or(StatusCode::INTERNAL_SERVER_ERROR);
            return Err(finish(self.head(status), "failed at once"));
        }
        if self.shared.draining.get() {
            return Err(self.refuse("draining"));
        }
        let permit = self.enter_queue(request, arrived).await?;
        let work = RequestedWork::new(request, self.shared.options.service_time);
        let key = header(request, HeaderNames::KEY);
        self.shared.runs.borrow_mut().count(&work.token, key);
        self.crash_on(request.path()).await;
        let slowness = self.shared.slowness();
        if !work.time.is_zero() {
            actix_rt::time::sleep(work.time.mul_f64(slowness)).await;
        }
        self.lose_answer(connection).await;
        Ok(self.answer(&work, permit, body.len()))
    }

    /// Waits for a slot, up to the request's deadline.
    async fn enter_queue(
        &self,
        request: &Request,
        arrived: Moment,
    ) -> Result<SlotPermit, Response<BoxBody>> {
        let cold = self.shared.is_cold();
        let limit = if cold { 0 } else { usize::MAX };
        let entry = self.shared.queue.enter(limit);
        let deadline = header(request, HeaderNames::DEADLINE).and_then(|text| text.parse().ok());
        let permit = match deadline {
            Some(0) => return Err(self.refuse("deadline")),
            Some(millis) => {
                let waited = BootClock.now().since(arrived);
                let left = Duration::from_millis(millis).saturating_sub(waited);
                let permit = actix_rt::time::timeout(left, entry).await;
                permit.map_err(|_| self.refuse("deadline"))?
            }
            None => entry.await,
        };
        permit.ok_or_else(|| self.refuse(if cold { "cold" } else { "shed" }))
    }

    /// Ends the server if requests with this path do so.
    async fn crash_on(&self, path: &str) {
        let crashes = {
            let faults = self.shared.faults.borrow();
            let crash_path = faults.crash_path.as_ref();
            crash_path.is_some_and(|prefix| path.starts_with(prefix))
        };
        if crashes {
            self.shared.crash();
            std::future::pending::<()>().await;
        }
    }

    /// Breaks the connection if the fault is set.
    async fn lose_answer(&self, connection: &Rc<ConnectionControl>) {
        let loses = {
            let mut faults = self.shared.faults.borrow_mut();
            let loses = faults.lose_answers > 0;
            faults.lose_answers = faults.lose_answers.saturating_sub(1);
            loses
        };
        if loses {
            connection.close();
            std::future::pending::<()>().await;
        }
    }

    /// The answer to a request that ran; a short one gives its slot back first.
    fn answer(&self, work: &RequestedWork, permit: SlotPermit, sent: usize) -> Response<BoxBody> {
        let cut_after = self.shared.faults.borrow().cut_after;
        let body = AnswerBody::new(&work.token, work.bytes);
        let length = body.length();
        let short = length <= PIECE_BYTES as u64 && work.pace.is_zero();
        if short && cut_after.is_none() && !work.chunked {
            drop(permit);
            let mut builder = self.head(StatusCode::OK);
            builder.insert_header(("ggs-request-bytes", sent.to_string()));
            return finish(builder, body.slice(0, PIECE_BYTES));
        }
        let mut builder = self.head(StatusCode::OK);
        builder.insert_header(("ggs-request-bytes", sent.to_string()));
        let pieces = AnswerPieces {
            body,
            offset: 0,
            cut_after: cut_after.unwrap_or(u64::MAX),
            pace: work.pace,
            _permit: permit,
        };
        let stream = pieces.into_stream();
        if work.chunked {
            finish(builder, BodyStream::new(stream))
        } else {
            finish(builder, SizedStream::new(length, stream))
        }
    }

    async fn administer(
        &self,
        request: &mut Request,
        path: &str,
        connection: &Rc<ConnectionControl>,
    ) -> Answer {
        let shared = &self.shared;
        let method = request.method().clone();
        match (method.as_str(), path) {
            ("GET", "faults") => return Ok(json(&*shared.faults.borrow())),
            ("PUT", "faults") => {
                let faults = read_json(request).await?;
                shared.set_faults(faults, Some(connection));
            }
            ("GET", "runs") if query(request, "by").as_deref() == Some("key") => {
                return Ok(json(&shared.runs.borrow().keys));
            }
            ("GET", "runs") => return Ok(json(&shared.runs.borrow().tokens)),
            ("GET", "probes") => return Ok(json(&shared.probes())),
            ("POST", "drain") => shared.draining.set(true),
            ("DELETE", "drain") => shared.draining.set(false),
            _ => return Err(text(StatusCode::NOT_FOUND, "no such path")),
        }
        Ok(text(StatusCode::OK, ""))
    }
}

/// What a request asks the stand-in server to do.
#[derive(Debug)]
struct RequestedWork {
    token: String,
    time: Duration,
    bytes: u64,
    chunked: bool,
    pace: Duration,
}

impl RequestedWork {
    fn new(request: &Request, service_time: Duration) -> Self {
        let token = query(request, "token");
        let key = || header(request, HeaderNames::KEY).map(str::to_owned);
        let time = query_number(request, "ms", service_time.as_millis() as u64);
        Self {
            token: token.or_else(key).unwrap_or_default(),
            time: Duration::from_millis(time),
            bytes: query_number(request, "bytes", DEFAULT_BYTES),
            chunked: query_number(request, "chunked", 0) > 0,
            pace: Duration::from_millis(query_number(request, "pace_ms", 0)),
        }
    }
}

/// The pieces of a streamed answer; holds the slot until the last.
struct AnswerPieces {
    body: AnswerBody,
    offset: u64,
    cut_after: u64,
    pace: Duration,
    _permit: SlotPermit,
}

impl AnswerPieces {
    fn into_stream(self) -> impl Stream<Item = Result<Bytes, std::io::Error>> {
        stream::unfold(self, |mut pieces| async move {
            let piece = pieces.next().await?;
            Some((piece, pieces))
        })
    }

    async fn next(&mut self) -> Option<Result<Bytes, std::io::Error>> {
        if self.offset >= self.body.length() {
            return None;
        }
        if self.offset >= self.cut_after {
            actix_rt::time::sleep(CUT_DELAY).await;
            return Some(Err(std::io::Error::other("answer is cut short")));
        }
        if self.offset > 0 && !self.pace.is_zero() {
            actix_rt::time::sleep(self.pace).await;
        }
        let left = self.cut_after - self.offset;
        let count = PIECE_BYTES.min(usize::try_from(left).unwrap_or(usize::MAX));
        let piece = self.body.slice(self.offset, count);
        self.offset += piece.len() as u64;
        Some(Ok(piece))
    }
}

/// Counts a request as cancelled when it is dropped before its answer.
struct CancelGuard {
    shared: Option<Rc<ServerShared>>,
}

impl CancelGuard {
    fn new(shared: &Rc<ServerShared>) -> Self {
        let shared = Some(Rc::clone(shared));
        Self { shared }
    }

    fn answered(mut self) {
        self.shared = None;
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        if let Some(shared) = &self.shared {
            shared.probes.borrow_mut().cancelled += 1;
        }
    }
}
