//! Connections over real sockets at the end of their listener and of their answers.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use actix_http::body::{BodySize, MessageBody};
use actix_http::{Request, Response, StatusCode};
use bytes::Bytes;
use ggs_listen::{ListenOptions, OpenConnections, RequestHandler, accept_connections};
use ggs_model::Moment;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

/// Longest time to wait for the end of a connection.
const END_LIMIT: Duration = Duration::from_secs(3);

/// Time that a request takes.
const WORK_TIME: Duration = Duration::from_millis(30);

/// A body without an announced length that breaks off after its first part.
struct BrokenBody {
    parts: Vec<Result<Bytes, Infallible>>,
    breaks: bool,
}

impl MessageBody for BrokenBody {
    type Error = io::Error;

    fn size(&self) -> BodySize {
        BodySize::Stream
    }

    fn poll_next(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, io::Error>>> {
        match self.parts.pop() {
            Some(Ok(part)) => Poll::Ready(Some(Ok(part))),
            None if self.breaks => Poll::Ready(Some(Err(io::ErrorKind::UnexpectedEof.into()))),
            None => Poll::Ready(None),
        }
    }
}

/// Answers each request after [`WORK_TIME`]; the body breaks off if the path is `/broken`.
struct WorkHandler;

impl RequestHandler for WorkHandler {
    type Body = BrokenBody;

    async fn handle(self: Rc<Self>, request: Request, _: Moment) -> Response<BrokenBody> {
        sleep(WORK_TIME).await;
        let body = BrokenBody {
            parts: vec![Ok(Bytes::from_static(b"part"))],
            breaks: request.path() == "/broken",
        };
        Response::with_body(StatusCode::OK, body)
    }
}

/// A listener that runs until its sender says so.
async fn start() -> (SocketAddr, watch::Sender<bool>, OpenConnections) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (stop, stopped) = watch::channel(false);
    let connections = OpenConnections::default();
    let options = ListenOptions::default();
    let handler = Rc::new(WorkHandler);
    actix_rt::spawn(accept_connections(
        listener,
        options,
        connections.clone(),
        stopped,
        handler,
    ));
    (address, stop, connections)
}

/// Reads until the connection ends; an error if it was reset.
async fn read_to_end(stream: &mut TcpStream) -> io::Result<String> {
    let mut text = String::new();
    timeout(END_LIMIT, stream.read_to_string(&mut text))
        .await
        .expect("the connection did not end")?;
    Ok(text)
}

#[actix_rt::test]
async fn requests_on_connections_not_yet_accepted_are_answered_after_a_stop() {
    let (address, stop, connections) = start().await;
    let mut streams = Vec::new();
    for _ in 0..8 {
        // No await between the connection and the stop lets the listener accept it.
        let stream = std::net::TcpStream::connect(address).unwrap();
        io::Write::write_all(&mut &stream, b"GET / HTTP/1.1\r\nHost: a\r\n\r\n").unwrap();
        stream.set_nonblocking(true).unwrap();
        streams.push(TcpStream::from_std(stream).unwrap());
    }
    stop.send(true).unwrap();
    for stream in &mut streams {
        let text = read_to_end(stream).await.unwrap();
        assert!(text.starts_with("HTTP/1.1 200"), "{text:?}");
        assert!(text.contains("connection: close"), "{text:?}");
        assert!(text.ends_with("4\r\npart\r\n0\r\n\r\n"), "{text:?}");
    }
    drop(streams);
    let closed = timeout(END_LIMIT, connections.all_closed()).await;
    closed.expect("connections are still open");
}

#[actix_rt::test]
async fn an_answer_that_breaks_off_does_not_look_complete() {
    /// A request, and whether its answer ends normally.
    struct BreakCase {
        request: &'static str,
        is_whole: bool,
    }
    let cases = [
        BreakCase {
            request: "GET /whole HTTP/1.0\r\nHost: a\r\n\r\n",
            is_whole: true,
        },
        // An HTTP/1.0 caller takes the end of the connection for the end of the answer.
        BreakCase {
            request: "GET /broken HTTP/1.0\r\nHost: a\r\n\r\n",
            is_whole: false,
        },
        BreakCase {
            request: "GET /whole HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
            is_whole: true,
        },
        BreakCase {
            request: "GET /broken HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n",
            is_whole: false,
        },
    ];
    let (address, _stop, _) = start().await;
    for case in cases {
        let mut stream = TcpStream::connect(address).await.unwrap();
        stream.write_all(case.request.as_bytes()).await.unwrap();
        let read = read_to_end(&mut stream).await;
        assert_eq!(read.is_ok(), case.is_whole, "{}: {read:?}", case.request);
    }
}
