//! One connection of a caller.

use std::collections::VecDeque;
use std::fmt;
use std::future::poll_fn;
use std::io;
use std::pin::{Pin, pin};
use std::task::{Context, Poll, ready};
use std::time::Duration;

use actix_http::body::MessageBody;
use actix_http::error::{ParseError, PayloadError};
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::{Payload, Request, Response, ServiceConfig, StatusCode};
use bytes::BytesMut;
use ggs_model::{BootClock, Clock, Moment};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time::{Instant, Sleep};
use tokio_util::codec::Decoder;
use tokio_util::io::poll_read_buf;

use crate::arrivals::ArrivalLog;
use crate::body::{BodyDemand, BodySender, request_body};
use crate::exchange::{Exchange, ExchangeStage};

/// Most bytes that are read and not decoded; also the longest head of a request.
const MAX_UNDECODED_BYTES: usize = 64 << 10;

/// Space that is kept free for a read.
const READ_BYTES: usize = 8 << 10;

/// Encoded bytes above which no more are encoded until some are written.
const MAX_UNWRITTEN_BYTES: usize = 32 << 10;

/// Longest buffer that an idle connection keeps.
const MAX_KEPT_BYTES: usize = 16 << 10;

/// Time for which a new connection may still send its first request, or an open one the rest of a
/// head, after the listener was told to stop.
const STOP_HEAD_TIMEOUT: Duration = Duration::from_millis(250);

/// Timeouts and limits of the connections of callers.
///
/// ```
/// use ggs_listen::ListenOptions;
///
/// let options = ListenOptions::default();
/// assert!(options.head_timeout < options.idle_timeout);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListenOptions {
    /// Time for which an idle connection is kept open.
    pub idle_timeout: Duration,
    /// Longest time in which the head of a request must arrive.
    pub head_timeout: Duration,
    /// Longest time for which a write may make no progress.
    pub stall_timeout: Duration,
    /// Longest time for which the caller's end of a closing connection is waited for.
    pub disconnect_timeout: Duration,
    /// Whether a caller that has closed its sending end still gets its answers. If not, its requests
    /// are cancelled.
    pub allow_half_closed: bool,
    /// Most requests of one connection that may be unanswered at a time.
    pub overlap_limit: usize,
}

impl Default for ListenOptions {
    fn default() -> Self {
        Self {
            idle_timeout: Duration::from_secs(30),
            head_timeout: Duration::from_secs(5),
            stall_timeout: Duration::from_secs(20),
            disconnect_timeout: Duration::from_secs(1),
            allow_half_closed: false,
            overlap_limit: 8,
        }
    }
}

/// Why a connection failed.
#[derive(Debug)]
pub enum ListenError {
    /// The connection broke.
    Connection(io::Error),
    /// The body of an answer ended early, so the caller must not take it as complete: the connection
    /// has to be reset.
    AnswerCutShort,
    /// The caller took no byte of an answer for this long.
    Stalled(Duration),
}

impl fmt::Display for ListenError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Connection(error) => write!(formatter, "connection broke: {error}"),
            Self::AnswerCutShort => formatter.write_str("body of an answer ended early"),
            Self::Stalled(time) => {
                write!(
                    formatter,
                    "caller took no byte of an answer for {} ms",
                    time.as_millis()
                )
            }
        }
    }
}

impl std::error::Error for ListenError {}

/// Serves the requests of one connection until it ends, or until `stop` resolves and the requests
/// that have started are answered.
///
/// `start` is called for each request with the time at which its head had arrived. `can_overlap`
/// tells whether a request without a body may start while those before it are unanswered, and those
/// behind it while it is unanswered. Dropping the future cancels all requests.
///
/// # Errors
///
/// Fails if the connection breaks or stalls, or if the body of an answer ends early. In the last case
/// the caller of this function must reset the connection, as an HTTP/1.0 caller takes its end for the
/// end of the answer.
///
/// ```
/// use actix_http::{Request, Response, StatusCode};
/// use ggs_listen::{ListenOptions, serve_connection};
/// use tokio::io::{AsyncReadExt, AsyncWriteExt};
///
/// actix_rt::System::new().block_on(async {
///     let (mut caller, mut server) = tokio::io::duplex(1 << 10);
///     let request = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
///     caller.write_all(request).await.unwrap();
///     let start = |_: Request, _| async { Response::with_body(StatusCode::OK, "hello") };
///     let stop = std::future::pending();
///     let config = actix_http::ServiceConfig::default();
///     let options = ListenOptions::default();
///     let served = serve_connection(&mut server, options, &config, start, |_| true, stop);
///     let (served, text) = tokio::join!(served, async {
///         let mut text = String::new();
///         caller.read_to_string(&mut text).await.map(|_| text)
///     });
///     served.unwrap();
///     assert!(text.unwrap().ends_with("hello"));
/// });
/// ```
pub async fn serve_connection<T, S, O, F, B>(
    stream: &mut T,
    options: ListenOptions,
    config: &ServiceConfig,
    start: S,
    can_overlap: O,
    stop: impl Future<Output = ()>,
) -> Result<(), ListenError>
where
    T: AsyncRead + AsyncWrite + Unpin,
    S: Fn(Request, Moment) -> F,
    O: Fn(&Request) -> bool,
    F: Future<Output = Response<B>>,
    B: MessageBody,
{
    let mut connection = CallerConnection::new(stream, options, config, start, can_overlap);
    let mut stop = pin!(stop);
    poll_fn(|context| {
        if connection.stopped_at.is_none() && stop.as_mut().poll(context).is_ready() {
            connection.stopped_at = Some(Instant::now());
        }
        connection.poll(context)
    })
    .await
}

/// A request that has been decoded and may not start yet.
struct WaitingRequest {
    request: Request,
    codec: Codec,
    arrived_at: Moment,
}

/// How far a connection is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionPhase {
    /// Requests may start.
    Open,
    /// No further request may start, because an answer closes the connection.
    Closing,
    /// The sending end is closed; what still arrives is discarded.
    Lingering,
}

/// State of one connection.
struct CallerConnection<'a, T, S, O, F, B> {
    stream: &'a mut T,
    options: ListenOptions,
    config: ServiceConfig,
    start: S,
    can_overlap: O,
    input: BytesMut,
    output: BytesMut,
    arrivals: ArrivalLog,
    /// Requests that have started and are not answered completely, in their order.
    exchanges: VecDeque<Exchange<F, B>>,
    waiting: Option<WaitingRequest>,
    /// Whether the caller has closed its sending end.
    input_ended: bool,
    phase: ConnectionPhase,
    /// Whether any request has arrived.
    used: bool,
    /// When the listener was told to stop.
    stopped_at: Option<Instant>,
    /// When the connection last changed between idle, busy, and reading a head.
    changed_at: Instant,
    /// Whether a part of a head had arrived at that time.
    head_started: bool,
    /// When the last byte was written, or the first one was encoded after all were written.
    written_at: Instant,
    timer: Pin<Box<Sleep>>,
}

impl<'a, T, S, O, F, B> CallerConnection<'a, T, S, O, F, B>
where
    T: AsyncRead + AsyncWrite + Unpin,
    S: Fn(Request, Moment) -> F,
    O: Fn(&Request) -> bool,
    F: Future<Output = Response<B>>,
    B: MessageBody,
{
    fn new(
        stream: &'a mut T,
        options: ListenOptions,
        config: &ServiceConfig,
        start: S,
        can_overlap: O,
    ) -> Self {
        let now = Instant::now();
        Self {
            stream,
            options,
            config: config.clone(),
            start,
            can_overlap,
            input: BytesMut::new(),
            output: BytesMut::new(),
            arrivals: ArrivalLog::default(),
            exchanges: VecDeque::new(),
            waiting: None,
            input_ended: false,
            phase: ConnectionPhase::Open,
            used: false,
            stopped_at: None,
            changed_at: now,
            head_started: false,
            written_at: now,
            timer: Box::pin(tokio::time::sleep_until(now + options.head_timeout)),
        }
    }

    fn poll(&mut self, context: &mut Context<'_>) -> Poll<Result<(), ListenError>> {
        loop {
            if self.phase == ConnectionPhase::Lingering {
                return self.poll_linger(context);
            }
            let mut progress = self.read(context)?;
            if self.input_ended && !self.options.allow_half_closed {
                return Poll::Ready(Ok(()));
            }
            progress |= self.decode(context);
            progress |= self.poll_handlers(context);
            progress |= self.encode(context)?;
            progress |= self.write(context)?;
            if !progress {
                self.close_if_idle();
            }
            if self.is_closing() && self.exchanges.is_empty() && self.output.is_empty() {
                ready!(Pin::new(&mut *self.stream).poll_shutdown(context))
                    .map_err(ListenError::Connection)?;
                self.phase = ConnectionPhase::Lingering;
                self.changed_at = Instant::now();
                continue;
            }
            if !progress && !self.check_timer(context)? {
                return Poll::Pending;
            }
        }
    }

    /// Reads what has arrived; returns whether anything has.
    fn read(&mut self, context: &mut Context<'_>) -> Result<bool, ListenError> {
        let mut progress = false;
        while !self.input_ended && self.input.len() < MAX_UNDECODED_BYTES {
            self.input.reserve(READ_BYTES);
            match poll_read_buf(Pin::new(&mut *self.stream), context, &mut self.input) {
                Poll::Pending => break,
                Poll::Ready(Ok(0)) => self.input_ended = true,
                Poll::Ready(Ok(count)) => self.arrivals.record_read(count, BootClock.now()),
                Poll::Ready(Err(error)) => return Err(ListenError::Connection(error)),
            }
            progress = true;
        }
        if self.input.is_empty() && self.input.capacity() > MAX_KEPT_BYTES {
            self.input = BytesMut::new();
        }
        Ok(progress)
    }

    /// Decodes the rest of the body that is arriving, and starts requests as far as they may;
    /// returns whether anything has changed.
    fn decode(&mut self, context: &Context<'_>) -> bool {
        let mut progress = false;
        while self.decode_body(context) || self.start_next() {
            progress = true;
        }
        progress
    }

    /// Passes on a part of the body that is arriving; returns whether there was one.
    fn decode_body(&mut self, context: &Context<'_>) -> bool {
        let Some(exchange) = self.exchanges.back_mut() else {
            return false;
        };
        let Some(sender) = &exchange.body else {
            return false;
        };
        let demand = sender.demand(context);
        if demand == BodyDemand::Paused {
            return false;
        }
        let length = self.input.len();
        let decoded = exchange.codec.decode(&mut self.input);
        let decoded_length = length - self.input.len();
        let now = BootClock.now();
        self.arrivals.take_decoded(decoded_length, now);
        match decoded {
            Ok(Some(Message::Chunk(Some(chunk)))) => {
                if demand == BodyDemand::Wanted {
                    sender.send(chunk);
                }
                return true;
            }
            Ok(None) if self.input_ended => {
                self.fail_body(PayloadError::Incomplete(None));
                return true;
            }
            Ok(None) => return decoded_length > 0,
            Ok(Some(Message::Chunk(None))) => {
                if let Some(sender) = exchange.body.take() {
                    sender.complete();
                }
            }
            Ok(Some(Message::Item(_))) => {}
            Err(_) => self.fail_body(PayloadError::EncodingCorrupted),
        }
        true
    }

    /// Ends the body that is arriving with an error. What follows it cannot be decoded.
    fn fail_body(&mut self, error: PayloadError) {
        self.phase = ConnectionPhase::Closing;
        let exchange = self.exchanges.back_mut();
        if let Some(sender) = exchange.and_then(|exchange| exchange.body.take()) {
            sender.fail(error);
        }
    }

    /// Starts the next request if it has arrived and may start; returns whether it has.
    fn start_next(&mut self) -> bool {
        if self.is_closing() || self.exchanges.len() >= self.options.overlap_limit {
            return false;
        }
        let last = self.exchanges.back();
        if last.is_some_and(|last| !last.overlaps || last.body.is_some()) {
            return false;
        }
        let Some(next) = self.waiting.take().or_else(|| self.decode_head()) else {
            return false;
        };
        let bodiless = next.codec.message_type() == MessageType::None;
        let overlaps = bodiless && (self.can_overlap)(&next.request);
        if !overlaps && !self.exchanges.is_empty() {
            self.waiting = Some(next);
            return false;
        }
        let WaitingRequest {
            request,
            codec,
            arrived_at,
        } = next;
        if codec.message_type() == MessageType::Stream {
            // The connection would change to another protocol.
            self.reject(codec, StatusCode::NOT_IMPLEMENTED);
            return true;
        }
        let expects_continue = !bodiless && request.head().expect();
        let (request, sender) = if bodiless {
            (request, None)
        } else {
            let (sender, body) = request_body();
            let payload: Payload = Payload::Stream {
                payload: Box::pin(body),
            };
            (request.replace_payload(payload).0, Some(sender))
        };
        if !codec.keep_alive() {
            self.phase = ConnectionPhase::Closing;
        }
        let handling = (self.start)(request, arrived_at);
        self.exchanges.push_back(Exchange {
            codec,
            body: sender,
            expects_continue,
            overlaps,
            stage: ExchangeStage::Running(Box::pin(handling)),
        });
        true
    }

    /// Decodes the head of the next request; `None` if it has not arrived or cannot be decoded.
    fn decode_head(&mut self) -> Option<WaitingRequest> {
        if self.input.is_empty() {
            return None;
        }
        let mut codec = Codec::new(self.config.clone());
        let length = self.input.len();
        let decoded = codec.decode(&mut self.input);
        let now = BootClock.now();
        match decoded {
            Ok(Some(Message::Item(request))) => {
                let decoded_length = length - self.input.len();
                let arrived_at = self.arrivals.take_decoded(decoded_length, now);
                self.used = true;
                return Some(WaitingRequest {
                    request,
                    codec,
                    arrived_at,
                });
            }
            Ok(_) if self.input.len() >= MAX_UNDECODED_BYTES => {
                self.reject(codec, StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
            }
            Ok(_) => {}
            Err(ParseError::TooLarge) => {
                self.reject(codec, StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE);
            }
            Err(_) => self.reject(codec, StatusCode::BAD_REQUEST),
        }
        None
    }

    /// Answers what has arrived with a status, after the answers to all requests before it, and
    /// closes the connection.
    fn reject(&mut self, codec: Codec, status: StatusCode) {
        self.phase = ConnectionPhase::Closing;
        self.exchanges.push_back(Exchange {
            codec,
            body: None,
            expects_continue: false,
            overlaps: false,
            stage: ExchangeStage::Rejected(status),
        });
    }

    /// Lets the handlers work; returns whether an answer has become ready.
    fn poll_handlers(&mut self, context: &mut Context<'_>) -> bool {
        let mut progress = false;
        for exchange in &mut self.exchanges {
            progress |= exchange.poll_handler(context);
        }
        progress
    }

    /// Encodes the answers that are due; returns whether anything was encoded.
    fn encode(&mut self, context: &mut Context<'_>) -> Result<bool, ListenError> {
        let mut progress = false;
        while self.output.len() < MAX_UNWRITTEN_BYTES {
            if self.output.is_empty() {
                self.written_at = Instant::now();
            }
            let is_last = self.exchanges.len() == 1;
            let Some(front) = self.exchanges.front_mut() else {
                break;
            };
            match &front.stage {
                ExchangeStage::Running(_) => {
                    let awaited = front.body.as_ref().is_some_and(BodySender::is_awaited);
                    if !(front.expects_continue && awaited) {
                        break;
                    }
                    front.expects_continue = false;
                    let interim = b"HTTP/1.1 100 Continue\r\n\r\n";
                    self.output.extend_from_slice(interim);
                }
                ExchangeStage::Answered(_) | ExchangeStage::Rejected(_) => {
                    let is_drained = self.input.is_empty() && self.waiting.is_none();
                    let ends = self.input_ended && is_drained;
                    if ends || self.stopped_at.is_some() || front.must_close() {
                        self.phase = ConnectionPhase::Closing;
                    }
                    let close = is_last && self.phase == ConnectionPhase::Closing;
                    front.encode_head(close, &mut self.output)?;
                }
                ExchangeStage::Sending(..) => {
                    if !front.encode_body(context, &mut self.output)? {
                        break;
                    }
                }
                ExchangeStage::Done => {
                    self.exchanges.pop_front();
                    self.changed_at = Instant::now();
                    self.head_started = false;
                }
            }
            progress = true;
        }
        Ok(progress)
    }

    /// Writes what is encoded; returns whether anything was written.
    fn write(&mut self, context: &mut Context<'_>) -> Result<bool, ListenError> {
        let mut progress = false;
        while !self.output.is_empty() {
            match Pin::new(&mut *self.stream).poll_write(context, &self.output) {
                Poll::Pending => break,
                Poll::Ready(Ok(0)) => {
                    let error = io::ErrorKind::WriteZero.into();
                    return Err(ListenError::Connection(error));
                }
                Poll::Ready(Ok(count)) => {
                    // `split_to` frees the written part of the buffer.
                    let _written = self.output.split_to(count);
                    self.written_at = Instant::now();
                    progress = true;
                }
                Poll::Ready(Err(error)) => return Err(ListenError::Connection(error)),
            }
        }
        if self.output.is_empty() && self.output.capacity() > MAX_KEPT_BYTES {
            self.output = BytesMut::new();
        }
        Ok(progress)
    }

    /// Whether no further request may start.
    fn is_closing(&self) -> bool {
        self.phase != ConnectionPhase::Open
    }

    /// Closes a connection without unanswered requests if the listener stops or the caller has closed
    /// its end. One that may still send a request after the stop is given a little time.
    fn close_if_idle(&mut self) {
        if !self.exchanges.is_empty() {
            return;
        }
        let expects_head = !self.used || !self.input.is_empty();
        let stops = self.stopped_at.is_some() && !expects_head;
        if stops || self.input_ended {
            self.phase = ConnectionPhase::Closing;
        }
    }

    /// Acts on the timer; returns whether it has changed anything.
    fn check_timer(&mut self, context: &mut Context<'_>) -> Result<bool, ListenError> {
        let now = Instant::now();
        if self.exchanges.is_empty() && !self.head_started && !self.input.is_empty() {
            self.head_started = true;
            self.changed_at = now;
        }
        let deadline = if !self.output.is_empty() {
            self.written_at + self.options.stall_timeout
        } else if !self.exchanges.is_empty() {
            return Ok(false);
        } else if self.used && !self.head_started {
            self.changed_at + self.options.idle_timeout
        } else {
            let limit = self.changed_at + self.options.head_timeout;
            let stop = self.stopped_at.map(|at| at + STOP_HEAD_TIMEOUT);
            stop.map_or(limit, |stop| stop.min(limit))
        };
        if !self.is_expired(deadline, context) {
            return Ok(false);
        }
        if !self.output.is_empty() {
            return Err(ListenError::Stalled(self.options.stall_timeout));
        }
        if self.head_started {
            let codec = Codec::new(self.config.clone());
            self.reject(codec, StatusCode::REQUEST_TIMEOUT);
        }
        self.phase = ConnectionPhase::Closing;
        Ok(true)
    }

    /// Discards what still arrives, so that the answers are not lost by a reset, until the caller
    /// closes its end.
    fn poll_linger(&mut self, context: &mut Context<'_>) -> Poll<Result<(), ListenError>> {
        loop {
            self.input.clear();
            self.input.reserve(READ_BYTES);
            match poll_read_buf(Pin::new(&mut *self.stream), context, &mut self.input) {
                // The answers are written; whether the caller resets the connection does not matter.
                Poll::Ready(Ok(0) | Err(_)) => return Poll::Ready(Ok(())),
                Poll::Ready(Ok(_)) => {}
                Poll::Pending => break,
            }
        }
        let deadline = self.changed_at + self.options.disconnect_timeout;
        if self.input_ended || self.is_expired(deadline, context) {
            return Poll::Ready(Ok(()));
        }
        Poll::Pending
    }

    /// Whether `deadline` has passed; if not, the task is woken then.
    fn is_expired(&mut self, deadline: Instant, context: &mut Context<'_>) -> bool {
        if self.timer.deadline() != deadline {
            self.timer.as_mut().reset(deadline);
        }
        self.timer.as_mut().poll(context).is_ready()
    }
}
