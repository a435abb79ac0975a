//! Trains of requests on one connection, compared with what must hold for any of them.

use std::cell::RefCell;
use std::fmt::Write;
use std::rc::Rc;

use actix_http::{ConnectionType, Request, Response, ServiceConfig, StatusCode};
use bytes::Bytes;
use futures_util::StreamExt;
use ggs_listen::{ListenOptions, serve_connection};
use ggs_model::Moment;
use proptest::prelude::*;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::task::yield_now;

/// Buffer of the connection, in bytes; it is short, so that reads and writes are split.
const PIPE_BYTES: usize = 300;

/// How a request sends its body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyForm {
    None,
    Length(usize),
    Chunks(usize),
}

/// What may end the connection at a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestFate {
    /// It is answered, and the connection stays open.
    Answered,
    /// The caller asks to close the connection after it.
    CallerCloses,
    /// Its head is malformed.
    Malformed,
    /// The answer closes the connection.
    AnswerCloses,
    /// The handler does not read its body, so the connection may have to close.
    BodyLeft,
}

/// One request, and how the handler answers it.
#[derive(Clone, Debug)]
struct TrainRequest {
    idempotent: bool,
    body: BodyForm,
    fate: RequestFate,
    /// Length of the answer's body.
    answer_bytes: usize,
    /// How often the handler yields before it answers.
    yields: usize,
}

fn train_request() -> impl Strategy<Value = TrainRequest> {
    let body = prop_oneof![
        3 => Just(BodyForm::None),
        1 => (0_usize..900).prop_map(BodyForm::Length),
        1 => (1_usize..900).prop_map(BodyForm::Chunks),
    ];
    let fate = prop_oneof![
        16 => Just(RequestFate::Answered),
        1 => Just(RequestFate::CallerCloses),
        1 => Just(RequestFate::Malformed),
        1 => Just(RequestFate::AnswerCloses),
        1 => Just(RequestFate::BodyLeft),
    ];
    let parts = (any::<bool>(), body, fate, 0_usize..700, 0_usize..12);
    parts.prop_map(
        |(idempotent, body, fate, answer_bytes, yields)| TrainRequest {
            idempotent,
            body,
            fate,
            answer_bytes,
            yields,
        },
    )
}

/// The bytes of a request.
fn encode(index: usize, request: &TrainRequest) -> Vec<u8> {
    let method = if request.idempotent { "GET" } else { "POST" };
    let mut text = format!("{method} /{index} HTTP/1.1\r\nHost: a.example\r\n");
    if request.fate == RequestFate::CallerCloses {
        text += "Connection: close\r\n";
    }
    if request.fate == RequestFate::Malformed {
        text += "Content-Length: many\r\n";
    }
    match request.body {
        BodyForm::None => text += "\r\n",
        BodyForm::Length(length) => {
            let body = "b".repeat(length);
            write!(text, "Content-Length: {length}\r\n\r\n{body}").unwrap();
        }
        BodyForm::Chunks(length) => {
            let (first, second) = (length / 2 + 1, length - length / 2);
            text += "Transfer-Encoding: chunked\r\n\r\n";
            for size in [first, second] {
                let chunk = "b".repeat(size);
                write!(text, "{size:x}\r\n{chunk}\r\n").unwrap();
            }
            text += "0\r\n\r\n";
        }
    }
    text.into_bytes()
}

/// What happened to the requests of a train.
#[derive(Debug, Default)]
struct TrainLog {
    /// Requests that were passed to the handler, in that order.
    started: Vec<usize>,
    /// Requests whose handler had answered when a request that is not idempotent started, for each
    /// such request.
    answered_before: Vec<(usize, Vec<usize>)>,
    finished: Vec<usize>,
    /// Requests whose body the handler did not get as it was sent.
    wrong_bodies: Vec<usize>,
}

/// Answers a request of a train as its description says.
async fn handle(
    mut request: Request,
    index: usize,
    rule: TrainRequest,
    log: Rc<RefCell<TrainLog>>,
) -> Response<Bytes> {
    if rule.fate != RequestFate::BodyLeft {
        let mut length = 0;
        let mut payload = request.take_payload();
        while let Some(Ok(chunk)) = payload.next().await {
            length += chunk.len();
        }
        let sent = match rule.body {
            BodyForm::None => 0,
            BodyForm::Length(length) => length,
            BodyForm::Chunks(length) => length + 1,
        };
        if length != sent {
            log.borrow_mut().wrong_bodies.push(index);
        }
    }
    for _ in 0..rule.yields {
        yield_now().await;
    }
    log.borrow_mut().finished.push(index);
    let body = Bytes::from("a".repeat(rule.answer_bytes));
    let mut response = Response::with_body(StatusCode::OK, body);
    response.headers_mut().insert(
        actix_http::header::HeaderName::from_static("request-id"),
        index.into(),
    );
    if rule.fate == RequestFate::AnswerCloses {
        response
            .head_mut()
            .set_connection_type(ConnectionType::Close);
    }
    response
}

/// One answer as the caller received it.
#[derive(Debug, PartialEq, Eq)]
struct ReceivedAnswer {
    /// Index of its request; `None` for an answer of the connection itself.
    index: Option<usize>,
    closes: bool,
    body_bytes: usize,
}

/// Splits what the caller received into answers.
fn split_answers(mut text: &str) -> Vec<ReceivedAnswer> {
    let mut answers = Vec::new();
    while !text.is_empty() {
        let (head, rest) = text.split_once("\r\n\r\n").expect("a whole head");
        let head = head.to_ascii_lowercase();
        let field = |name: &str| {
            let mut fields = head.lines().filter_map(|line| line.split_once(": "));
            let field = fields.find(|(key, _)| *key == name);
            field.map(|(_, value)| value.to_owned())
        };
        let body_bytes = field("content-length").map_or(0, |length| length.parse().unwrap());
        answers.push(ReceivedAnswer {
            index: field("request-id").map(|index| index.parse().unwrap()),
            closes: field("connection").is_some_and(|value| value == "close"),
            body_bytes,
        });
        text = &rest[body_bytes..];
    }
    answers
}

/// Sends a train, in parts of `part_bytes`, and returns what the caller received and what happened.
async fn play(train: &[TrainRequest], part_bytes: usize) -> (Vec<ReceivedAnswer>, TrainLog) {
    let log = Rc::new(RefCell::new(TrainLog::default()));
    let (caller, mut server) = tokio::io::duplex(PIPE_BYTES);
    let (mut reader, mut writer) = tokio::io::split(caller);
    let start = |request: Request, _: Moment| {
        let index: usize = request.path()[1..].parse().unwrap();
        let rule = train[index].clone();
        let mut borrowed = log.borrow_mut();
        if !rule.idempotent {
            let finished = borrowed.finished.clone();
            borrowed.answered_before.push((index, finished));
        }
        borrowed.started.push(index);
        drop(borrowed);
        handle(request, index, rule, Rc::clone(&log))
    };
    let can_overlap = |request: &Request| request.method() == actix_http::Method::GET;
    let options = ListenOptions {
        allow_half_closed: true,
        ..ListenOptions::default()
    };
    let config = ServiceConfig::default();
    let stop = std::future::pending();
    let serving = async {
        serve_connection(&mut server, options, &config, start, can_overlap, stop)
            .await
            .unwrap();
        drop(server);
    };
    let sending = async {
        let requests = train.iter().enumerate();
        let bytes: Vec<u8> = requests
            .flat_map(|(index, one)| encode(index, one))
            .collect();
        for part in bytes.chunks(part_bytes) {
            if writer.write_all(part).await.is_err() {
                return;
            }
            yield_now().await;
        }
        // The connection may have ended already.
        let _ended = writer.shutdown().await;
    };
    let receiving = async {
        let mut text = String::new();
        reader.read_to_string(&mut text).await.unwrap();
        text
    };
    let ((), (), text) = tokio::join!(serving, sending, receiving);
    (split_answers(&text), log.take())
}

/// Checks what must hold for any train.
fn check(
    train: &[TrainRequest],
    answers: &[ReceivedAnswer],
    log: &TrainLog,
) -> Result<(), TestCaseError> {
    let answered: Vec<usize> = answers.iter().filter_map(|answer| answer.index).collect();
    let expected: Vec<usize> = (0..answered.len()).collect();
    prop_assert_eq!(&answered, &expected, "answers are not in order");
    prop_assert_eq!(&log.started, &expected, "what started was not answered");
    prop_assert!(log.wrong_bodies.is_empty(), "bodies {:?}", log.wrong_bodies);
    for (position, answer) in answers.iter().enumerate() {
        let is_last = position + 1 == answers.len();
        prop_assert!(is_last || !answer.closes, "answer {} closes", position);
        let rule = answer.index.map(|index| &train[index]);
        let length = rule.map_or(0, |rule| rule.answer_bytes);
        prop_assert_eq!(answer.body_bytes, length);
    }
    // Whatever is not idempotent starts only after all before it, none of which closes.
    for (index, finished) in &log.answered_before {
        let before: Vec<usize> = (0..*index).collect();
        let mut finished = finished.clone();
        finished.sort_unstable();
        prop_assert_eq!(finished, before.clone());
        let closing = before.iter().find(|before| {
            let rule = &train[**before];
            matches!(
                rule.fate,
                RequestFate::CallerCloses | RequestFate::AnswerCloses
            )
        });
        prop_assert!(closing.is_none(), "{} follows {:?}", index, closing);
    }
    // Nothing is left out without cause: only behind an answer that closes, or that may.
    if answered.len() < train.len() {
        let reached = &train[..=answered.len()];
        let stops = reached
            .iter()
            .any(|rule| rule.fate != RequestFate::Answered);
        prop_assert!(stops, "{} of {} answered", answered.len(), train.len());
        prop_assert!(answers.last().is_none_or(|answer| answer.closes));
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, ..ProptestConfig::default() })]

    #[test]
    fn trains_are_answered_in_order_and_nothing_starts_behind_a_close(
        train in prop::collection::vec(train_request(), 1..9),
        part_bytes in 1_usize..2_000,
    ) {
        let system = actix_rt::System::new();
        let (answers, log) = system.block_on(play(&train, part_bytes));
        check(&train, &answers, &log)?;
    }
}
