//! The HTTP transport against raw servers that break the protocol in every way of the table.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use ggs_limit::ChainPosition;
use ggs_model::{BootClock, Clock, Incarnation, RequestClass, ServerId};
use ggs_relay::{
    AnswerBody, AttemptFailure, AttemptPlan, BodyWatch, ConnectionOptions, ConnectionPool,
    FailureKind, HttpTransport, RelayRequest, ServerTransport, read_whole,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Time that a test gives an answer, longer than any healthy exchange over loopback.
const ANSWER_TIME: Duration = Duration::from_millis(300);

/// What a raw server does with each request; `@` in a text stands for the attempt's number.
#[derive(Clone, Copy)]
enum RawAnswer {
    /// Writes the text and keeps the connection.
    Text(&'static str),
    /// Writes the text after a pause and keeps the connection.
    TextAfter(Duration, &'static str),
    /// Writes the text and closes the connection.
    TextThenClose(&'static str),
    /// Writes a head, then body bytes one by one with this pause.
    Drip(&'static str, &'static str, Duration),
    /// Reads on and writes nothing.
    Silence,
}

/// A raw server and the connections it has accepted.
struct RawServer {
    server: ServerId,
    accepted: Rc<Cell<u32>>,
}

/// Starts a server that answers the requests of each connection in the order of `answers`.
async fn start_raw(answers: &'static [RawAnswer]) -> RawServer {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let server = ServerId {
        address: listener.local_addr().unwrap(),
        incarnation: Incarnation(1),
    };
    let accepted = Rc::new(Cell::new(0));
    let count = Rc::clone(&accepted);
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            count.set(count.get() + 1);
            actix_rt::spawn(serve_raw(stream, answers));
        }
    });
    RawServer { server, accepted }
}

/// Answers the requests of one connection.
async fn serve_raw(mut stream: TcpStream, answers: &'static [RawAnswer]) {
    for answer in answers.iter().cycle() {
        let Some(id) = read_request(&mut stream).await else {
            return;
        };
        let write = |text: &str| text.replace('@', &id).into_bytes();
        match answer {
            RawAnswer::Text(text) => stream.write_all(&write(text)).await.unwrap(),
            RawAnswer::TextAfter(pause, text) => {
                sleep(*pause).await;
                stream.write_all(&write(text)).await.unwrap();
            }
            RawAnswer::TextThenClose(text) => {
                stream.write_all(&write(text)).await.unwrap();
                return;
            }
            RawAnswer::Drip(head, body, pause) => {
                stream.write_all(&write(head)).await.unwrap();
                for byte in body.bytes() {
                    sleep(*pause).await;
                    if stream.write_all(&[byte]).await.is_err() {
                        return;
                    }
                }
            }
            RawAnswer::Silence => {}
        }
    }
}

/// Reads a request without a body; yields the attempt's number.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut text = Vec::new();
    while !text.ends_with(b"\r\n\r\n") {
        let mut byte = [0; 1];
        stream.read_exact(&mut byte).await.ok()?;
        text.push(byte[0]);
    }
    let text = String::from_utf8(text).unwrap();
    let line = text
        .lines()
        .find(|line| line.starts_with("ggs-request-id: "))?;
    Some(line["ggs-request-id: ".len()..].to_owned())
}

/// A read with `watch` on its answer.
fn read_request_of(watch: BodyWatch) -> RelayRequest {
    RelayRequest {
        method: Method::GET,
        target: "/tare".parse().unwrap(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        class: RequestClass::Urgent,
        idempotent: true,
        position: ChainPosition::FirstHop,
        deadline: BootClock.now() + ANSWER_TIME,
        watch,
        trust_refusals: true,
    }
}

/// A transport with a small share.
fn transport() -> HttpTransport {
    let options = ConnectionOptions {
        share: 2,
        ..ConnectionOptions::default()
    };
    HttpTransport::new(ConnectionPool::new(options))
}

/// Makes one attempt and reads its whole body.
async fn attempt(
    transport: &HttpTransport,
    server: ServerId,
    fresh: bool,
) -> Result<Bytes, AttemptFailure> {
    let request = read_request_of(BodyWatch::Deadline);
    let plan = AttemptPlan {
        fresh,
        answer_by: request.deadline,
        retry: 0,
    };
    let answer = transport.attempt(server, &request, plan).await?;
    match answer.body {
        AnswerBody::Whole(bytes) => Ok(bytes),
        AnswerBody::Streamed(mut body) => {
            read_whole(&mut body).await.map_err(|error| AttemptFailure {
                kind: error.kind,
                sent: true,
                reused: false,
            })
        }
    }
}

/// A head that names the attempt and announces a length.
macro_rules! head {
    ($length:literal) => {
        concat!(
            "HTTP/1.1 200 OK\r\nggs-request-id: @\r\ncontent-length: ",
            $length,
            "\r\n\r\n"
        )
    };
}

/// One answer and what an attempt makes of it.
struct AnswerCase {
    name: &'static str,
    answers: &'static [RawAnswer],
    expected: Result<&'static str, FailureKind>,
}

#[actix_rt::test]
async fn an_answer_is_whole_and_own_or_a_failure() {
    let cases = [
        AnswerCase {
            name: "whole",
            answers: &[RawAnswer::Text(concat!(head!("4"), "tare"))],
            expected: Ok("tare"),
        },
        AnswerCase {
            name: "whole in chunks",
            answers: &[RawAnswer::Text(
                "HTTP/1.1 200 OK\r\nggs-request-id: @\r\ntransfer-encoding: chunked\r\n\r\n\
                 2\r\nta\r\n2\r\nre\r\n0\r\n\r\n",
            )],
            expected: Ok("tare"),
        },
        AnswerCase {
            name: "cut before its length",
            answers: &[RawAnswer::TextThenClose(concat!(head!("4"), "ta"))],
            expected: Err(FailureKind::ConnectionLost),
        },
        AnswerCase {
            name: "cut before the last chunk",
            answers: &[RawAnswer::TextThenClose(
                "HTTP/1.1 200 OK\r\nggs-request-id: @\r\ntransfer-encoding: chunked\r\n\r\n\
                 2\r\nta\r\n",
            )],
            expected: Err(FailureKind::ConnectionLost),
        },
        AnswerCase {
            name: "ended only by close, so that a cut could not be told",
            answers: &[RawAnswer::TextThenClose(
                "HTTP/1.1 200 OK\r\nggs-request-id: @\r\n\r\ntare",
            )],
            expected: Err(FailureKind::BadAnswer),
        },
        AnswerCase {
            name: "in a coding without an end",
            answers: &[RawAnswer::TextThenClose(
                "HTTP/1.1 200 OK\r\nggs-request-id: @\r\ntransfer-encoding: identity\r\n\r\ntare",
            )],
            expected: Err(FailureKind::BadAnswer),
        },
        AnswerCase {
            name: "to another attempt",
            answers: &[RawAnswer::Text(
                "HTTP/1.1 200 OK\r\nggs-request-id: 9@\r\ncontent-length: 4\r\n\r\ntare",
            )],
            expected: Err(FailureKind::BadAnswer),
        },
        AnswerCase {
            name: "not HTTP",
            answers: &[RawAnswer::Text("\u{1}\u{2}weighbridge\r\n\r\n")],
            expected: Err(FailureKind::BadAnswer),
        },
        AnswerCase {
            name: "closed without a byte",
            answers: &[RawAnswer::TextThenClose("")],
            expected: Err(FailureKind::ConnectionLost),
        },
        AnswerCase {
            name: "silent",
            answers: &[RawAnswer::Silence],
            expected: Err(FailureKind::AnswerTimeout),
        },
        AnswerCase {
            name: "stalled in its body",
            answers: &[RawAnswer::Text(concat!(head!("4"), "ta"))],
            expected: Err(FailureKind::AnswerTimeout),
        },
    ];
    for AnswerCase {
        name,
        answers,
        expected,
    } in cases
    {
        let raw = start_raw(answers).await;
        let result = attempt(&transport(), raw.server, true).await;
        let got = result
            .as_ref()
            .map(|bytes| &bytes[..])
            .map_err(|failure| failure.kind);
        assert_eq!(got, expected.map(str::as_bytes), "{name}");
    }
}

/// One server and the connections that two requests in turn need there.
struct ReuseCase {
    name: &'static str,
    answers: &'static [RawAnswer],
    fresh: bool,
    connections: u32,
}

#[actix_rt::test]
async fn only_a_proven_quiet_connection_is_used_again() {
    let cases = [
        ReuseCase {
            name: "server names the attempt",
            answers: &[RawAnswer::Text(concat!(head!("4"), "tare"))],
            fresh: false,
            connections: 1,
        },
        ReuseCase {
            name: "fresh connection asked for",
            answers: &[RawAnswer::Text(concat!(head!("4"), "tare"))],
            fresh: true,
            connections: 2,
        },
        ReuseCase {
            name: "server names no attempt",
            answers: &[RawAnswer::Text(
                "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ntare",
            )],
            fresh: false,
            connections: 2,
        },
        ReuseCase {
            name: "bytes follow the answer",
            answers: &[RawAnswer::Text(concat!(
                head!("4"),
                "tare",
                "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate"
            ))],
            fresh: false,
            connections: 2,
        },
        ReuseCase {
            name: "server closes after the answer",
            answers: &[RawAnswer::TextThenClose(concat!(head!("4"), "tare"))],
            fresh: false,
            connections: 2,
        },
    ];
    for ReuseCase {
        name,
        answers,
        fresh,
        connections,
    } in cases
    {
        let raw = start_raw(answers).await;
        let transport = transport();
        for _ in 0..2 {
            assert_eq!(
                attempt(&transport, raw.server, fresh).await.unwrap(),
                "tare",
                "{name}"
            );
            // Lets a close by the server arrive.
            sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(raw.accepted.get(), connections, "{name}");
    }
}

#[actix_rt::test]
async fn a_late_answer_to_an_abandoned_attempt_reaches_nobody() {
    // The answer comes after its attempt was given up; its connection must be gone by then.
    const LATE: &[RawAnswer] = &[RawAnswer::Drip(
        "",
        concat!(head!("4"), "late"),
        Duration::from_millis(5),
    )];
    let raw = start_raw(LATE).await;
    let transport = transport();
    let request = read_request_of(BodyWatch::Deadline);
    let answer_by = BootClock.now() + Duration::from_millis(30);
    let plan = AttemptPlan {
        fresh: false,
        answer_by,
        retry: 0,
    };
    let failure = transport
        .attempt(raw.server, &request, plan)
        .await
        .unwrap_err();
    assert_eq!(failure.kind, FailureKind::AnswerTimeout);
    assert_eq!(transport.pool().held(raw.server.address), 0);
}

#[actix_rt::test]
async fn a_long_answer_is_watched_by_progress() {
    const LONG: &[RawAnswer] = &[RawAnswer::Drip(
        "HTTP/1.1 200 OK\r\nggs-request-id: @\r\ntransfer-encoding: chunked\r\n\r\n",
        "1\r\na\r\n1\r\nb\r\n1\r\nc\r\n1\r\nd\r\n1\r\ne\r\n0\r\n\r\n",
        Duration::from_millis(15),
    )];
    let raw = start_raw(LONG).await;
    let progress = Duration::from_millis(200);
    let request = read_request_of(BodyWatch::Progress(progress));
    let plan = AttemptPlan {
        fresh: true,
        answer_by: request.deadline,
        retry: 0,
    };
    let answer = transport()
        .attempt(raw.server, &request, plan)
        .await
        .unwrap();
    let AnswerBody::Streamed(mut body) = answer.body else {
        panic!("streamed body expected")
    };
    // The body takes longer than the request's deadline, and goes on all the time.
    assert_eq!(read_whole(&mut body).await.unwrap(), "abcde");
}

#[actix_rt::test]
async fn connections_to_a_server_stay_within_the_share() {
    let raw = start_raw(&[RawAnswer::Silence]).await;
    let transport = Rc::new(transport());
    for _ in 0..2 {
        let transport = Rc::clone(&transport);
        let server = raw.server;
        actix_rt::spawn(async move { attempt(&transport, server, true).await });
    }
    sleep(Duration::from_millis(50)).await;
    let failure = attempt(&transport, raw.server, true).await.unwrap_err();
    assert_eq!(failure, AttemptFailure::unsent(FailureKind::NoConnection));
    assert_eq!(raw.accepted.get(), 2);
}

#[actix_rt::test]
async fn a_smaller_share_closes_idle_connections() {
    const SLOW: &[RawAnswer] = &[RawAnswer::TextAfter(
        Duration::from_millis(100),
        concat!(head!("4"), "tare"),
    )];
    let raw = start_raw(SLOW).await;
    let address = raw.server.address;
    let transport = Rc::new(transport());
    let start_two = || {
        [(); 2].map(|()| {
            let transport = Rc::clone(&transport);
            let server = raw.server;
            actix_rt::spawn(async move { attempt(&transport, server, false).await })
        })
    };
    for task in start_two() {
        assert_eq!(task.await.unwrap().unwrap(), "tare");
    }
    assert_eq!(transport.pool().held(address), 2);
    transport.pool().replace_shares([(address, 1)]);
    assert_eq!(transport.pool().held(address), 1);

    // Connections in use finish, and only one of them is kept.
    transport.pool().replace_shares([(address, 2)]);
    let tasks = start_two();
    sleep(Duration::from_millis(20)).await;
    transport.pool().replace_shares([(address, 1)]);
    assert_eq!(transport.pool().held(address), 2);
    for task in tasks {
        assert_eq!(task.await.unwrap().unwrap(), "tare");
    }
    assert_eq!(transport.pool().held(address), 1);

    // A share of none leaves none.
    transport.pool().replace_shares([(address, 0)]);
    assert_eq!(transport.pool().held(address), 0);
    let failure = attempt(&transport, raw.server, true).await.unwrap_err();
    assert_eq!(failure, AttemptFailure::unsent(FailureKind::NoConnection));
}
