//! A server that breaks the rules of HTTP in ways drawn from a seed.
//!
//! It counts what it read whole, so that a test can hold what callers were told against what ran.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use ggs_model::{HeaderNames, Incarnation, ServerEntry, ServerId, ServerState, ServiceName};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use strum::{Display, EnumIter, IntoEnumIterator};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use crate::answer::AnswerBody;
use crate::fuzz_wire::{DEFAULT_BYTES, ReadRequest, chunked, cut, drip, read_request, sized};

/// Time after which a late answer or a second answer is sent.
const LATE_DELAY: Duration = Duration::from_millis(700);

/// Time before bytes that nobody asked for are sent.
const EXTRA_DELAY: Duration = Duration::from_millis(3);

/// What is done with one request after it was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum FuzzMove {
    /// The right answer.
    Whole,
    /// The right answer, chunked.
    Chunked,
    /// The right answer, without the number of its attempt.
    Unnamed,
    /// The right answer, a few bytes at a time.
    Dripped,
    /// The right answer after 700 ms.
    Late,
    /// Nothing, and the connection stays open.
    Silence,
    /// Nothing, and the connection is closed.
    EarlyClose,
    /// Random bytes.
    Garbage,
    /// A part of the head, then the end of the connection.
    CutHead,
    /// A part of the body, then the end of the connection.
    CutBody,
    /// A part of a chunked body, then the end of the connection.
    CutChunks,
    /// Chunks with a length that is not a number.
    BadChunks,
    /// A length that is greater than the body, and the connection stays open.
    LongLength,
    /// A length that is smaller than the body.
    ShortLength,
    /// Two different lengths.
    TwoLengths,
    /// A length and chunks.
    LengthAndChunks,
    /// The right answer twice.
    Twice,
    /// The right answer, and again a little later.
    TwiceLater,
    /// An answer that names another attempt, with another's body.
    OtherAttempt,
    /// An interim answer before the right one.
    Interim,
    /// A body that ends with the connection, without a length.
    Unbounded,
}

/// What a fuzzed server saw and sent.
#[derive(Clone, Debug, Default)]
pub struct FuzzRecord {
    /// Requests read whole, by token.
    pub runs: BTreeMap<String, u64>,
    /// What was done with the last request of each token.
    pub moves: BTreeMap<String, FuzzMove>,
}

/// A running fuzzed server; stops when dropped.
///
/// ```
/// use ggs_standin::start_fuzzer;
///
/// actix_rt::System::new().block_on(async {
///     let server = start_fuzzer(1, 1.0).await.unwrap();
///     let url = format!("http://{}/x?token=t", server.address());
///     // A broken answer is as good as a whole one here: the request was read.
///     let _ = awc::Client::default().get(url).send().await;
///     assert_eq!(server.record().runs["t"], 1);
/// });
/// ```
#[derive(Debug)]
pub struct FuzzHandle {
    address: SocketAddr,
    incarnation: Incarnation,
    record: Rc<RefCell<FuzzRecord>>,
    task: JoinHandle<()>,
}

impl FuzzHandle {
    /// Address of the server.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// What it saw and sent.
    pub fn record(&self) -> FuzzRecord {
        self.record.borrow().clone()
    }

    /// The server's row in the host list.
    pub fn entry(&self, service: &str) -> ServerEntry {
        ServerEntry {
            service: ServiceName::new(service),
            server: ServerId {
                address: self.address,
                incarnation: self.incarnation,
            },
            data_centre: "dc1".into(),
            state: ServerState::Live,
        }
    }
}

impl Drop for FuzzHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Starts a server that gives a share of the right answers whole, drawn from a seed like all else.
///
/// # Errors
///
/// Fails when no address can be bound.
pub async fn start_fuzzer(seed: u64, broken_share: f64) -> io::Result<FuzzHandle> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    let record = Rc::new(RefCell::new(FuzzRecord::default()));
    let random = Rc::new(RefCell::new(StdRng::seed_from_u64(seed)));
    let server = FuzzServer {
        incarnation: Incarnation(seed),
        broken_share,
        record: Rc::clone(&record),
        random,
    };
    let task = actix_rt::spawn(server.accept(listener));
    Ok(FuzzHandle {
        address,
        incarnation: Incarnation(seed),
        record,
        task,
    })
}

/// State that the connections of a fuzzed server share.
#[derive(Clone, Debug)]
struct FuzzServer {
    incarnation: Incarnation,
    broken_share: f64,
    record: Rc<RefCell<FuzzRecord>>,
    random: Rc<RefCell<StdRng>>,
}

impl FuzzServer {
    async fn accept(self, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            let server = self.clone();
            actix_rt::spawn(async move {
                // A connection that the other end closes is over.
                let _ = server.serve(stream).await;
            });
        }
    }

    /// Answers the requests of one connection until it is closed.
    async fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buffer).await? {
            let choice = self.draw();
            self.note(&request.token, choice);
            if !self.answer(&mut stream, &request, choice).await? {
                return Ok(());
            }
        }
        Ok(())
    }

    /// Records a request that was read whole.
    fn note(&self, token: &str, choice: FuzzMove) {
        let mut record = self.record.borrow_mut();
        *record.runs.entry(token.to_owned()).or_default() += 1;
        record.moves.insert(token.to_owned(), choice);
    }

    /// Draws a move.
    fn draw(&self) -> FuzzMove {
        let mut random = self.random.borrow_mut();
        if !random.random_bool(self.broken_share) {
            return FuzzMove::Whole;
        }
        let moves: Vec<_> = FuzzMove::iter().collect();
        moves[random.random_range(0..moves.len())]
    }

    /// Makes a move; false if the connection is to be closed.
    async fn answer(
        &self,
        stream: &mut TcpStream,
        request: &ReadRequest,
        choice: FuzzMove,
    ) -> io::Result<bool> {
        let body = AnswerBody::new(&request.token, request.bytes);
        let body = body
            .slice(0, request.bytes.max(DEFAULT_BYTES) as usize)
            .to_vec();
        let length = body.len();
        let head = self.head(Some(&request.attempt));
        let whole = sized(&head, length, &body);
        let half = body.len() / 2;
        match choice {
            FuzzMove::Whole => stream.write_all(&whole).await?,
            FuzzMove::Chunked => stream.write_all(&chunked(&head, &body, true)).await?,
            FuzzMove::Unnamed => {
                let bytes = sized(&self.head(None), length, &body);
                stream.write_all(&bytes).await?;
            }
            FuzzMove::Dripped => return drip(stream, &whole).await,
            FuzzMove::Late => {
                actix_rt::time::sleep(LATE_DELAY).await;
                stream.write_all(&whole).await?;
            }
            FuzzMove::Silence => std::future::pending().await,
            FuzzMove::EarlyClose => return Ok(false),
            FuzzMove::Garbage => {
                let garbage = self.garbage();
                stream.write_all(&garbage).await?;
            }
            FuzzMove::CutHead => return cut(stream, &whole[..head.len() / 2]).await,
            FuzzMove::CutBody => return cut(stream, &whole[..whole.len() - half]).await,
            FuzzMove::CutChunks => return cut(stream, &chunked(&head, &body[..half], false)).await,
            FuzzMove::BadChunks => {
                let bytes = [
                    head.as_bytes(),
                    b"transfer-encoding: chunked\r\n\r\nzz\r\n",
                    &body,
                ];
                stream.write_all(&bytes.concat()).await?;
            }
            FuzzMove::LongLength => stream.write_all(&sized(&head, length + 9, &body)).await?,
            FuzzMove::ShortLength => stream.write_all(&sized(&head, half, &body)).await?,
            FuzzMove::TwoLengths => {
                let head = format!("{head}content-length: {}\r\n", length + 5);
                stream.write_all(&sized(&head, length, &body)).await?;
            }
            FuzzMove::LengthAndChunks => {
                let head = format!("{head}content-length: {half}\r\n");
                stream.write_all(&chunked(&head, &body, true)).await?;
            }
            FuzzMove::Twice => stream.write_all(&[&whole[..], &whole[..]].concat()).await?,
            FuzzMove::TwiceLater => {
                stream.write_all(&whole).await?;
                actix_rt::time::sleep(EXTRA_DELAY).await;
                stream.write_all(&whole).await?;
            }
            FuzzMove::OtherAttempt => {
                let other = AnswerBody::new("another", request.bytes);
                let other = other.slice(0, length);
                let head = self.head(Some("1"));
                stream.write_all(&sized(&head, other.len(), &other)).await?;
            }
            FuzzMove::Interim => {
                stream
                    .write_all(b"HTTP/1.1 103 Early Hints\r\n\r\n")
                    .await?;
                stream.write_all(&whole).await?;
            }
            FuzzMove::Unbounded => {
                return cut(stream, &[head.as_bytes(), b"\r\n", &body[..half]].concat()).await;
            }
        }
        Ok(true)
    }

    /// Status line and headers without a length, up to the last header's end.
    fn head(&self, attempt: Option<&str>) -> String {
        let incarnation = self.incarnation;
        let load = HeaderNames::LOAD;
        let name = HeaderNames::INCARNATION;
        let attempt = attempt.map(|attempt| format!("{}: {attempt}\r\n", HeaderNames::REQUEST_ID));
        let attempt = attempt.unwrap_or_default();
        format!(
            "HTTP/1.1 200 OK\r\n{name}: {incarnation}\r\n\
             {load}: in-flight=0;queued=0;slots=3\r\n{attempt}"
        )
    }

    /// Up to 300 random bytes.
    fn garbage(&self) -> Vec<u8> {
        let mut random = self.random.borrow_mut();
        let count = random.random_range(1..300);
        (0..count).map(|_| random.random()).collect()
    }
}
