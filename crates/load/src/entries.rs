//! Addresses that gates name, kept for as long as they allow.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use awc::Client;
use ggs_model::ServiceName;
use serde::Deserialize;

/// Longest time for one question.
const ASK_LIMIT: Duration = Duration::from_secs(1);

/// Time after which a question is asked again when no gate answered.
const ASK_AGAIN: Duration = Duration::from_millis(100);

/// A gate's answer to which addresses to use.
#[derive(Clone, Debug, Deserialize)]
struct EntryAnswer {
    addresses: Vec<SocketAddr>,
    ttl_ms: u64,
}

/// Addresses of services.
#[derive(Debug, Default)]
pub(crate) struct EntryCache {
    addresses: RefCell<HashMap<ServiceName, Rc<[SocketAddr]>>>,
}

impl EntryCache {
    /// The addresses for a service, in order; empty if none are known.
    pub(crate) fn addresses(&self, service: &ServiceName) -> Rc<[SocketAddr]> {
        let addresses = self.addresses.borrow().get(service).cloned();
        addresses.unwrap_or_else(|| Rc::from([]))
    }

    /// Asks until gates named addresses, then again whenever the answer has run out, for ever.
    ///
    /// A failed question leaves the old addresses in use: they were right once, and a caller has
    /// nothing better.
    pub(crate) async fn follow(
        self: Rc<Self>,
        client: Client,
        service: ServiceName,
        gates: Vec<SocketAddr>,
    ) {
        loop {
            let wait = match self.refresh(&client, &service, &gates).await {
                Ok(ttl) => ttl,
                Err(_) => ASK_AGAIN,
            };
            actix_rt::time::sleep(wait).await;
        }
    }

    /// Asks the known addresses, then the gates, in turn until one answers; returns how long the
    /// answer may be kept.
    pub(crate) async fn refresh(
        &self,
        client: &Client,
        service: &ServiceName,
        gates: &[SocketAddr],
    ) -> Result<Duration, String> {
        let known = self.addresses(service);
        let mut cause = "no gate is named".to_owned();
        for gate in known.iter().chain(gates) {
            match ask(client, *gate, service).await {
                Ok(answer) => {
                    let addresses = Rc::from(answer.addresses);
                    self.addresses
                        .borrow_mut()
                        .insert(service.clone(), addresses);
                    return Ok(Duration::from_millis(answer.ttl_ms));
                }
                Err(error) => cause = format!("{gate}: {error}"),
            }
        }
        Err(cause)
    }
}

/// Asks one gate.
async fn ask(
    client: &Client,
    gate: SocketAddr,
    service: &ServiceName,
) -> Result<EntryAnswer, String> {
    let url = format!("http://{gate}/v1/entries/{service}");
    let question = async {
        let answer = client.get(url).send().await;
        let mut answer = answer.map_err(|error| error.to_string())?;
        if !answer.status().is_success() {
            return Err(format!("answer has status {}", answer.status()));
        }
        let answer = answer.json::<EntryAnswer>().await;
        answer.map_err(|error| error.to_string())
    };
    let answer = actix_rt::time::timeout(ASK_LIMIT, question).await;
    let answer = answer.unwrap_or_else(|_| Err("no answer in time".to_owned()))?;
    if answer.addresses.is_empty() {
        return Err("answer names no address".to_owned());
    }
    Ok(answer)
}
