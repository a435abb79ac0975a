//! One attempt of a call, and the check of its answer.
//!
//! `awc` ends a body that was cut short without an error, and reports a connection that closed before
//! the answer as one that was not made. Both are told apart here.

use std::net::SocketAddr;
use std::time::Duration;

use awc::error::{ConnectError, SendRequestError};
use awc::http::Method;
use awc::http::header::{CONTENT_LENGTH, HeaderMap};
use awc::{Client, ClientRequest};
use futures_util::StreamExt;
use ggs_model::{HeaderNames, RunVerdict};
use ggs_standin::AnswerBody;
use serde::Deserialize;

use crate::outcome::{AttemptFailure, CallOutcome};
use crate::plan::TrafficShare;

/// Time beyond a deadline for which an answer is awaited.
const ANSWER_GRACE: Duration = Duration::from_secs(1);

/// Longest time for an answer when no deadline is asked for.
const ANSWER_LIMIT: Duration = Duration::from_mins(1);

/// Longest time for a key.
const KEY_LIMIT: Duration = Duration::from_secs(2);

/// A gate's answer to the wish for a key.
#[derive(Debug, Deserialize)]
struct KeyAnswer {
    key: String,
}

/// Where an attempt goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AttemptRoute {
    /// Through a gate.
    Gate(SocketAddr),
    /// Straight to a server.
    Server(SocketAddr),
}

/// One attempt.
pub(crate) struct CallAttempt<'a> {
    pub(crate) client: &'a Client,
    pub(crate) share: &'a TrafficShare,
    pub(crate) token: &'a str,
    pub(crate) key: Option<&'a str>,
    /// Retries made before.
    pub(crate) retries: u32,
    /// Time left to answer.
    pub(crate) left: Option<Duration>,
}

impl CallAttempt<'_> {
    /// Sends the request and checks the answer.
    pub(crate) async fn send(&self, route: AttemptRoute) -> Result<(), AttemptFailure> {
        let limit = self.left.map_or(ANSWER_LIMIT, |left| left + ANSWER_GRACE);
        let exchange = self.exchange(route);
        let outcome = actix_rt::time::timeout(limit, exchange).await;
        let late = AttemptFailure::new(CallOutcome::Unknown, "no-answer-in-time");
        outcome.unwrap_or(Err(late))
    }

    async fn exchange(&self, route: AttemptRoute) -> Result<(), AttemptFailure> {
        let request = self.request(route);
        let sent = if self.share.keyed {
            request.send_body(self.token.to_owned()).await
        } else {
            request.send().await
        };
        let mut answer = sent.map_err(|error| lost(&error))?;
        if !answer.status().is_success() {
            return Err(refusal(answer.headers()));
        }
        let announced = answer.headers().get(CONTENT_LENGTH);
        let announced = announced.and_then(|length| length.to_str().ok()?.parse().ok());
        let expected = AnswerBody::new(self.token, self.share.bytes);
        let mut offset = 0;
        while let Some(chunk) = answer.next().await {
            let chunk = chunk.map_err(|_| AttemptFailure::new(CallOutcome::Cut, "cut"))?;
            if !expected.matches_at(offset, &chunk) {
                return Err(AttemptFailure::new(
                    CallOutcome::Wrong,
                    "not-the-callers-own",
                ));
            }
            offset += chunk.len() as u64;
        }
        check_length(offset, announced, expected.length())
    }

    /// The request with its headers.
    fn request(&self, route: AttemptRoute) -> ClientRequest {
        let share = self.share;
        let base = match route {
            AttemptRoute::Gate(address) => format!("http://{address}/s/{}", share.service),
            AttemptRoute::Server(address) => format!("http://{address}"),
        };
        let run = share.run_ms.map(|millis| format!("&ms={millis}"));
        let run = run.unwrap_or_default();
        let TrafficShare { bytes, pace_ms, .. } = share;
        let query = format!("token={}&bytes={bytes}&pace_ms={pace_ms}{run}", self.token);
        let url = format!("{base}/call?{query}");
        let method = if share.keyed {
            Method::POST
        } else {
            Method::GET
        };
        let request = self.client.request(method, url);
        let mut request = request.insert_header((HeaderNames::CLASS, share.class.to_string()));
        if let Some(left) = self.left {
            let millis = left.as_millis().max(1).to_string();
            request = request.insert_header((HeaderNames::DEADLINE, millis));
        }
        if let Some(key) = self.key {
            request = request.insert_header((HeaderNames::KEY, key));
        }
        if self.retries > 0 {
            let retries = self.retries.to_string();
            request = request.insert_header((HeaderNames::ATTEMPT, retries));
        }
        request
    }
}

/// Asks a gate for a key; without one the request was not sent.
pub(crate) async fn take_key(
    client: &Client,
    gate: SocketAddr,
    share: &TrafficShare,
) -> Result<String, AttemptFailure> {
    let url = format!("http://{gate}/v1/keys/{}", share.service);
    let question = async {
        let mut answer = client.post(url).send().await.map_err(|_| "key-lost")?;
        if !answer.status().is_success() {
            return Err("key-refused");
        }
        let key = answer.json::<KeyAnswer>().await;
        key.map(|answer| answer.key).map_err(|_| "key-unreadable")
    };
    let answer = actix_rt::time::timeout(KEY_LIMIT, question).await;
    let key = answer.unwrap_or(Err("key-not-in-time"));
    key.map_err(|reason| AttemptFailure::new(CallOutcome::NotRun, reason))
}

/// The failure of a request that was not answered.
fn lost(error: &SendRequestError) -> AttemptFailure {
    match error {
        SendRequestError::Connect(ConnectError::Disconnected) => {
            AttemptFailure::new(CallOutcome::Unknown, "connection-lost")
        }
        SendRequestError::Connect(_) => AttemptFailure::new(CallOutcome::NotRun, "not-connected"),
        SendRequestError::Url(_) => AttemptFailure::new(CallOutcome::NotRun, "bad-url"),
        _ => AttemptFailure::new(CallOutcome::Unknown, "connection-lost"),
    }
}

/// The failure that an answer with an error status stands for.
fn refusal(headers: &HeaderMap) -> AttemptFailure {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    if let Some(reason) = text(HeaderNames::REFUSED) {
        let mut failure = AttemptFailure::new(CallOutcome::NotRun, reason);
        failure.told = true;
        return failure;
    }
    let verdict = text(HeaderNames::VERDICT).and_then(|verdict| verdict.parse().ok());
    let outcome = match verdict {
        Some(RunVerdict::NotRun) => CallOutcome::NotRun,
        Some(RunVerdict::Ran) => CallOutcome::Failed,
        Some(RunVerdict::Unknown) | None => CallOutcome::Unknown,
    };
    let reason = text(HeaderNames::REASON).unwrap_or("server-error");
    let wait = text(HeaderNames::RETRY_AFTER_MS).and_then(|millis| millis.parse().ok());
    let mut failure = AttemptFailure::new(outcome, reason);
    failure.told = verdict.is_some();
    failure.wait = Duration::from_millis(wait.unwrap_or_default());
    failure
}

/// Checks the length of a body whose bytes were the expected ones.
fn check_length(read: u64, announced: Option<u64>, expected: u64) -> Result<(), AttemptFailure> {
    if read == expected {
        return Ok(());
    }
    // A body shorter than announced is a cut that the caller can tell; so is one without a length,
    // since awc hides the missing last chunk.
    let told = announced.is_none_or(|announced| announced != read);
    let outcome = if told {
        CallOutcome::Cut
    } else {
        CallOutcome::Wrong
    };
    Err(AttemptFailure::new(outcome, "body-too-short"))
}
