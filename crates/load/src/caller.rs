//! A caller that behaves as the documentation of gates asks.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use awc::{Client, Connector};

use crate::attempt::{AttemptRoute, CallAttempt, take_key};
use crate::entries::EntryCache;
use crate::outcome::{AttemptFailure, CallOutcome, CallResult};
use crate::plan::TrafficShare;

/// Longest time for a new connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(1);

/// Time for which an idle connection is kept.
const IDLE_LIMIT: Duration = Duration::from_secs(15);

/// Time for which any connection is kept.
const LIFE_LIMIT: Duration = Duration::from_mins(10);

/// A client that may hold many connections.
pub(crate) fn new_client(connections: usize) -> Client {
    let connector = Connector::new()
        .timeout(CONNECT_LIMIT)
        .limit(connections)
        .conn_keep_alive(IDLE_LIMIT)
        .conn_lifetime(LIFE_LIMIT);
    Client::builder()
        .connector(connector)
        .disable_timeout()
        .disable_redirects()
        .finish()
}

/// Makes calls.
pub(crate) struct LoadCaller {
    pub(crate) client: Client,
    pub(crate) entries: Rc<EntryCache>,
    /// Most retries of one call.
    pub(crate) retries: u32,
}

impl LoadCaller {
    /// One call straight to a server.
    pub(crate) async fn call_server(
        &self,
        server: SocketAddr,
        share: &TrafficShare,
        token: &str,
    ) -> CallResult {
        let attempt = CallAttempt {
            client: &self.client,
            share,
            token,
            key: None,
            retries: 0,
            left: share.deadline,
        };
        let sent = attempt.send(AttemptRoute::Server(server)).await;
        ended(sent.err(), Vec::new())
    }

    /// One call through the gates, with retries.
    ///
    /// An attempt that failed moves the call to the next address. A non-idempotent call that may have
    /// run is sent again under the same key, if its connection broke or a gate asks for it, and so
    /// runs at most once; after a promise that it did not run it takes a new key from the gate that it
    /// goes to.
    pub(crate) async fn call_gates(&self, share: &TrafficShare, token: &str) -> CallResult {
        let start = Instant::now();
        let addresses = self.entries.addresses(&share.service);
        let mut key = None;
        // Whether an attempt under the key may have run.
        let mut unresolved = false;
        let mut reasons = Vec::new();
        let mut retries = 0;
        loop {
            let left = share
                .deadline
                .map(|limit| limit.saturating_sub(start.elapsed()));
            let gate = addresses.get(retries as usize % addresses.len().max(1));
            let sent = match gate {
                Some(gate) => {
                    self.attempt(*gate, share, token, &mut key, retries, left)
                        .await
                }
                None => Err(AttemptFailure::new(CallOutcome::NotRun, "no-addresses")),
            };
            let Err(failure) = sent else {
                return ended(None, reasons);
            };
            let failure = failure.of_call(unresolved);
            let again = failure.may_send_again(!share.keyed);
            let in_time = share
                .deadline
                .is_none_or(|limit| start.elapsed() + failure.wait < limit);
            if !again || !in_time || retries >= self.retries {
                return ended(Some(failure), reasons);
            }
            if failure.outcome == CallOutcome::NotRun {
                key = None;
            }
            unresolved = share.keyed && failure.outcome == CallOutcome::Unknown;
            actix_rt::time::sleep(failure.wait).await;
            reasons.push(failure.reason);
            retries += 1;
        }
    }

    /// One attempt through a gate, with a key if the call needs one.
    async fn attempt(
        &self,
        gate: SocketAddr,
        share: &TrafficShare,
        token: &str,
        key: &mut Option<String>,
        retries: u32,
        left: Option<Duration>,
    ) -> Result<(), AttemptFailure> {
        if share.keyed && key.is_none() {
            *key = Some(take_key(&self.client, gate, share).await?);
        }
        let attempt = CallAttempt {
            client: &self.client,
            share,
            token,
            key: key.as_deref(),
            retries,
            left,
        };
        attempt.send(AttemptRoute::Gate(gate)).await
    }
}

/// The result of a call whose last attempt ended so, after the failures of the earlier ones.
fn ended(failure: Option<AttemptFailure>, mut reasons: Vec<String>) -> CallResult {
    let retries = reasons.len() as u32;
    let outcome = match failure {
        None => CallOutcome::Answered,
        Some(failure) => {
            reasons.push(failure.reason);
            failure.outcome
        }
    };
    CallResult {
        outcome,
        reasons,
        retries,
    }
}
