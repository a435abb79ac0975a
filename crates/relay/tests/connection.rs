//! Tests the HTTP transport against scripted TCP servers that violate the protocol.
//!
//! Guards against incomplete answers or answers to other attempts being accepted, and against
//! reuse of connections in an unknown state.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use actix_http::Method;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use ggs_limit::ChainPosition;
use ggs_model::{BootClock, Clock, Incarnation, RequestClass, ServerId};
use ggs_relay::{
    AnswerBody, AttemptFailure, AttemptPlan, BodyTimeout, ConnectionOptions, ConnectionPool,
    FailureKind, HttpTransport, RelayRequest, ServerTransport, read_whole,
};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

/// Longest body that the tests read.
const MAX_BODY_BYTES: usize = 1 << 20;

/// Time until a request's deadline, longer than any healthy exchange over loopback takes.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);

/// What a scripted server does with a request; `@` in a text is replaced by the attempt's number.
#[derive(Clone, Copy)]
enum ScriptedAnswer {
    /// Writes the text and keeps the connection.
    Text(&'static str),
    /// Writes the text after a pause and keeps the connection.
    TextAfter(Duration, &'static str),
    /// Writes the text and closes the connection.
    TextThenClose(&'static str),
    /// Writes a head, then a body byte by byte, with this pause before each byte.
    Trickle(&'static str, &'static str, Duration),
    /// Writes nothing and reads the next request.
    Silence,
}

/// A scripted server and the number of connections it has accepted.
struct ScriptedServer {
    server: ServerId,
    accepted: Rc<Cell<u32>>,
}

/// Starts a server that answers the requests of each connection in the order of `answers`.
async fn start_server(answers: &'static [ScriptedAnswer]) -> ScriptedServer {
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
            actix_rt::spawn(serve_connection(stream, answers));
        }
    });
    ScriptedServer { server, accepted }
}

/// Answers the requests of one connection.
async fn serve_connection(mut stream: TcpStream, answers: &'static [ScriptedAnswer]) {
    for answer in answers.iter().cycle() {
        let Some(id) = read_request(&mut stream).await else {
            return;
        };
        let write = |text: &str| text.replace('@', &id).into_bytes();
        match answer {
            ScriptedAnswer::Text(text) => stream.write_all(&write(text)).await.unwrap(),
            ScriptedAnswer::TextAfter(pause, text) => {
                sleep(*pause).await;
                stream.write_all(&write(text)).await.unwrap();
            }
            ScriptedAnswer::TextThenClose(text) => {
                stream.write_all(&write(text)).await.unwrap();
                return;
            }
            ScriptedAnswer::Trickle(head, body, pause) => {
                stream.write_all(&write(head)).await.unwrap();
                for byte in body.bytes() {
                    sleep(*pause).await;
                    if stream.write_all(&[byte]).await.is_err() {
                        return;
                    }
                }
            }
            ScriptedAnswer::Silence => {}
        }
    }
}

/// Reads a request without a body and returns the attempt's number.
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

/// A GET request with `body_timeout`.
fn get_request(body_timeout: BodyTimeout) -> RelayRequest {
    RelayRequest {
        method: Method::GET,
        target: "/tare".parse().unwrap(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        class: RequestClass::Urgent,
        idempotent: true,
        position: ChainPosition::FirstHop,
        deadline: BootClock.now() + ANSWER_TIMEOUT,
        body_timeout,
        trust_refusals: true,
    }
}

/// A transport with a connection limit of 2 for each server.
fn transport() -> HttpTransport {
    let options = ConnectionOptions {
        connection_limit: 2,
        ..ConnectionOptions::default()
    };
    HttpTransport::new(ConnectionPool::new(options))
}

/// Makes one attempt and reads the complete body.
async fn attempt(
    transport: &HttpTransport,
    server: ServerId,
    new_connection: bool,
) -> Result<Bytes, AttemptFailure> {
    let request = get_request(BodyTimeout::Deadline);
    let plan = AttemptPlan {
        new_connection,
        answer_deadline: request.deadline,
        retry_count: 0,
    };
    let answer = transport.attempt(server, &request, plan).await?;
    match answer.body {
        AnswerBody::Whole(bytes) => Ok(bytes),
        AnswerBody::Streamed(mut body) => {
            read_whole(&mut body, MAX_BODY_BYTES)
                .await
                .map_err(|error| AttemptFailure {
                    kind: error.kind,
                    sent: true,
                    reused: false,
                })
        }
    }
}

/// A head that echoes the attempt's number and announces a length.
macro_rules! head {
    ($length:literal) => {
        concat!(
            "HTTP/1.1 200 OK\r\nggs-request-id: @\r\ncontent-length: ",
            $length,
            "\r\n\r\n"
        )
    };
}

/// The answers of a server and the expected result of an attempt.
struct AnswerCase {
    name: &'static str,
    answers: &'static [ScriptedAnswer],
    expected: Result<&'static str, FailureKind>,
}

// An answer that is cut short or answers another attempt must not reach the caller as a success.
#[actix_rt::test]
async fn incomplete_or_mismatched_answer_is_a_failure() {
    let cases = [
        AnswerCase {
            name: "whole",
            answers: &[ScriptedAnswer::Text(concat!(head!("4"), "tare"))],
            expected: Ok("tare"),
        },
        AnswerCase {
            name: "complete body in chunks",
            answers: &[ScriptedAnswer::Text(
                "HTTP/1.1 200 OK\r\nggs-request-id: @\r\ntransfer-encoding: chunked\r\n\r\n\
                 2\r\nta\r\n2\r\nre\r\n0\r\n\r\n",
            )],
            expected: Ok("tare"),
        },
        AnswerCase {
            name: "cut short of its length",
            answers: &[ScriptedAnswer::TextThenClose(concat!(head!("4"), "ta"))],
            expected: Err(FailureKind::ConnectionLost),
        },
        AnswerCase {
            name: "cut before the last chunk",
            answers: &[ScriptedAnswer::TextThenClose(
                "HTTP/1.1 200 OK\r\nggs-request-id: @\r\ntransfer-encoding: chunked\r\n\r\n\
                 2\r\nta\r\n",
            )],
            expected: Err(FailureKind::ConnectionLost),
        },
        AnswerCase {
            name: "ended only by close, so that a cut would go unnoticed",
            answers: &[ScriptedAnswer::TextThenClose(
                "HTTP/1.1 200 OK\r\nggs-request-id: @\r\n\r\ntare",
            )],
            expected: Err(FailureKind::BadAnswer),
        },
        AnswerCase {
            name: "in a transfer coding without an end",
            answers: &[ScriptedAnswer::TextThenClose(
                "HTTP/1.1 200 OK\r\nggs-request-id: @\r\ntransfer-encoding: identity\r\n\r\ntare",
            )],
            expected: Err(FailureKind::BadAnswer),
        },
        AnswerCase {
            name: "to another attempt",
            answers: &[ScriptedAnswer::Text(
                "HTTP/1.1 200 OK\r\nggs-request-id: 9@\r\ncontent-length: 4\r\n\r\ntare",
            )],
            expected: Err(FailureKind::BadAnswer),
        },
        AnswerCase {
            name: "not HTTP",
            answers: &[ScriptedAnswer::Text("\u{1}\u{2}weighbridge\r\n\r\n")],
            expected: Err(FailureKind::BadAnswer),
        },
        AnswerCase {
            name: "closed without a byte",
            answers: &[ScriptedAnswer::TextThenClose("")],
            expected: Err(FailureKind::ConnectionLost),
        },
        AnswerCase {
            name: "silent",
            answers: &[ScriptedAnswer::Silence],
            expected: Err(FailureKind::AnswerTimeout),
        },
        AnswerCase {
            name: "stalled in the body",
            answers: &[ScriptedAnswer::Text(concat!(head!("4"), "ta"))],
            expected: Err(FailureKind::AnswerTimeout),
        },
    ];
    for AnswerCase {
        name,
        answers,
        expected,
    } in cases
    {
        let scripted = start_server(answers).await;
        let result = attempt(&transport(), scripted.server, true).await;
        let got = result
            .as_ref()
            .map(|bytes| &bytes[..])
            .map_err(|failure| failure.kind);
        assert_eq!(got, expected.map(str::as_bytes), "{name}");
    }
}

/// A server and the number of connections that two consecutive requests open to it.
struct ReuseCase {
    name: &'static str,
    answers: &'static [ScriptedAnswer],
    new_connection: bool,
    connections: u32,
}

// A connection in an unknown state could hand a late answer to the next request.
#[actix_rt::test]
async fn connection_is_reused_only_after_a_matching_answer_without_extra_bytes() {
    let cases = [
        ReuseCase {
            name: "server echoes the attempt's number",
            answers: &[ScriptedAnswer::Text(concat!(head!("4"), "tare"))],
            new_connection: false,
            connections: 1,
        },
        ReuseCase {
            name: "new connection requested",
            answers: &[ScriptedAnswer::Text(concat!(head!("4"), "tare"))],
            new_connection: true,
            connections: 2,
        },
        ReuseCase {
            name: "server does not echo the attempt's number",
            answers: &[ScriptedAnswer::Text(
                "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\ntare",
            )],
            new_connection: false,
            connections: 2,
        },
        ReuseCase {
            name: "bytes follow the answer",
            answers: &[ScriptedAnswer::Text(concat!(
                head!("4"),
                "tare",
                "HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nlate"
            ))],
            new_connection: false,
            connections: 2,
        },
        ReuseCase {
            name: "server closes after the answer",
            answers: &[ScriptedAnswer::TextThenClose(concat!(head!("4"), "tare"))],
            new_connection: false,
            connections: 2,
        },
    ];
    for ReuseCase {
        name,
        answers,
        new_connection,
        connections,
    } in cases
    {
        let scripted = start_server(answers).await;
        let transport = transport();
        for _ in 0..2 {
            assert_eq!(
                attempt(&transport, scripted.server, new_connection)
                    .await
                    .unwrap(),
                "tare",
                "{name}"
            );
            // Wait until a close by the server has arrived.
            sleep(Duration::from_millis(20)).await;
        }
        assert_eq!(scripted.accepted.get(), connections, "{name}");
    }
}

// An earlier answer that is written once more on a reused connection must not pass for that to the next
// request.
#[actix_rt::test]
async fn answer_without_a_number_on_a_reused_connection_is_a_failure() {
    let scripted = start_server(&[
        ScriptedAnswer::Text(concat!(head!("4"), "tare")),
        ScriptedAnswer::Text(
            "HTTP/1.1 503 Service Unavailable\r\nggs-refused: 1\r\ncontent-length: 0\r\n\r\n",
        ),
    ])
    .await;
    let transport = transport();
    let first = attempt(&transport, scripted.server, false).await;
    assert_eq!(first.unwrap(), "tare");
    let second = attempt(&transport, scripted.server, false).await;
    let second = second.map_err(|failure| failure.kind);
    assert_eq!(second, Err(FailureKind::BadAnswer));
    assert_eq!(scripted.accepted.get(), 1);
}

#[actix_rt::test]
async fn connection_is_closed_when_its_attempt_times_out() {
    // The answer arrives after the attempt's timeout. If the connection were kept, a later request
    // would receive that answer.
    const LATE: &[ScriptedAnswer] = &[ScriptedAnswer::Trickle(
        "",
        concat!(head!("4"), "late"),
        Duration::from_millis(5),
    )];
    let scripted = start_server(LATE).await;
    let transport = transport();
    let request = get_request(BodyTimeout::Deadline);
    let answer_deadline = BootClock.now() + Duration::from_millis(30);
    let plan = AttemptPlan {
        new_connection: false,
        answer_deadline,
        retry_count: 0,
    };
    let failure = transport
        .attempt(scripted.server, &request, plan)
        .await
        .unwrap_err();
    assert_eq!(failure.kind, FailureKind::AnswerTimeout);
    assert_eq!(
        transport.pool().connection_count(scripted.server.address),
        0
    );
}

// An export may take longer than its deadline as long as the server keeps sending.
#[actix_rt::test]
async fn streamed_body_may_outlast_the_deadline_while_bytes_arrive() {
    const LONG: &[ScriptedAnswer] = &[ScriptedAnswer::Trickle(
        "HTTP/1.1 200 OK\r\nggs-request-id: @\r\ntransfer-encoding: chunked\r\n\r\n",
        "1\r\na\r\n1\r\nb\r\n1\r\nc\r\n1\r\nd\r\n1\r\ne\r\n0\r\n\r\n",
        Duration::from_millis(15),
    )];
    let scripted = start_server(LONG).await;
    let idle_timeout = Duration::from_millis(200);
    let request = get_request(BodyTimeout::Idle(idle_timeout));
    let plan = AttemptPlan {
        new_connection: true,
        answer_deadline: request.deadline,
        retry_count: 0,
    };
    let answer = transport()
        .attempt(scripted.server, &request, plan)
        .await
        .unwrap();
    let AnswerBody::Streamed(mut body) = answer.body else {
        panic!("streamed body expected")
    };
    // The body arrives steadily but takes longer than the request's deadline.
    assert_eq!(
        read_whole(&mut body, MAX_BODY_BYTES).await.unwrap(),
        "abcde"
    );
}

// Without the limit, a gate would take connections that the server keeps for other gates.
#[actix_rt::test]
async fn connections_to_a_server_stay_within_the_limit() {
    let scripted = start_server(&[ScriptedAnswer::Silence]).await;
    let transport = Rc::new(transport());
    for _ in 0..2 {
        let transport = Rc::clone(&transport);
        let server = scripted.server;
        actix_rt::spawn(async move { attempt(&transport, server, true).await });
    }
    sleep(Duration::from_millis(50)).await;
    let failure = attempt(&transport, scripted.server, true)
        .await
        .unwrap_err();
    assert_eq!(failure, AttemptFailure::unsent(FailureKind::NoConnection));
    assert_eq!(scripted.accepted.get(), 2);
}

// A lowered limit must also apply to connections that are idle or in use at that moment.
#[actix_rt::test]
async fn lower_connection_limit_closes_idle_connections() {
    const SLOW: &[ScriptedAnswer] = &[ScriptedAnswer::TextAfter(
        Duration::from_millis(100),
        concat!(head!("4"), "tare"),
    )];
    let scripted = start_server(SLOW).await;
    let address = scripted.server.address;
    let transport = Rc::new(transport());
    let start_two = || {
        [(); 2].map(|()| {
            let transport = Rc::clone(&transport);
            let server = scripted.server;
            actix_rt::spawn(async move { attempt(&transport, server, false).await })
        })
    };
    for task in start_two() {
        assert_eq!(task.await.unwrap().unwrap(), "tare");
    }
    assert_eq!(transport.pool().connection_count(address), 2);
    transport.pool().replace_connection_limits([(address, 1)]);
    assert_eq!(transport.pool().connection_count(address), 1);

    // Connections in use finish their requests; only one of them returns to the pool.
    transport.pool().replace_connection_limits([(address, 2)]);
    let tasks = start_two();
    sleep(Duration::from_millis(20)).await;
    transport.pool().replace_connection_limits([(address, 1)]);
    assert_eq!(transport.pool().connection_count(address), 2);
    for task in tasks {
        assert_eq!(task.await.unwrap().unwrap(), "tare");
    }
    assert_eq!(transport.pool().connection_count(address), 1);

    // A limit of 0 closes idle connections and allows no new one.
    transport.pool().replace_connection_limits([(address, 0)]);
    assert_eq!(transport.pool().connection_count(address), 0);
    let failure = attempt(&transport, scripted.server, true)
        .await
        .unwrap_err();
    assert_eq!(failure, AttemptFailure::unsent(FailureKind::NoConnection));
}
