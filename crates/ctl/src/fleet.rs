//! What all gates have in force.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use futures_util::future::join_all;
use ggs_model::{DocumentRevision, PartnerName, ServiceName, StatusAnswer};
use serde::Serialize;

use crate::client::GateClient;

/// One gate as it answered, or as the others see it.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct GateView {
    /// Address for callers and operators.
    pub(crate) address: SocketAddr,
    /// Name of the host, or the address when nobody named it.
    pub(crate) host: String,
    /// Whether the gate takes part: it answered, or a gate that did hands it out to callers.
    pub(crate) live: bool,
    /// Its answer.
    pub(crate) status: Option<StatusAnswer>,
    /// Why there is no answer.
    pub(crate) failure: Option<String>,
}

/// A live gate that does not have a revision in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub(crate) struct GateLag {
    /// Name of its host.
    pub(crate) host: String,
    /// Its address.
    pub(crate) address: SocketAddr,
    /// The revision that it has in force; `None` if it has none or did not answer.
    pub(crate) revision: Option<DocumentRevision>,
    /// Why it did not answer.
    pub(crate) failure: Option<String>,
}

/// One service over all gates.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct ServiceView {
    /// The service.
    pub(crate) service: ServiceName,
    /// The partner that owns it.
    pub(crate) partner: PartnerName,
    /// The newest revision that any gate has in force.
    pub(crate) accepted: DocumentRevision,
    /// Live gates that have it in force.
    pub(crate) in_force: usize,
    /// Live gates that have not.
    pub(crate) missing: Vec<GateLag>,
}

/// All gates that are known of.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct FleetView {
    /// Gates in order of address.
    pub(crate) gates: Vec<GateView>,
}

impl FleetView {
    /// Asks the gates in `seeds`, then those that they name.
    pub(crate) async fn ask(client: &GateClient, seeds: &[SocketAddr]) -> Self {
        let mut asked: BTreeMap<SocketAddr, GateView> = BTreeMap::new();
        let mut next: BTreeSet<SocketAddr> = seeds.iter().copied().collect();
        while !next.is_empty() {
            let views = next.iter().map(|gate| ask_gate(client, *gate));
            for view in join_all(views).await {
                asked.insert(view.address, view);
            }
            let named = asked.values().flat_map(named_gates);
            next = named.filter(|gate| !asked.contains_key(gate)).collect();
        }
        let mut gates: Vec<_> = asked.into_values().collect();
        name_silent_gates(&mut gates);
        Self { gates }
    }

    /// Whether any gate answered.
    pub(crate) fn has_answer(&self) -> bool {
        self.gates.iter().any(|gate| gate.status.is_some())
    }

    /// Number of live gates.
    pub(crate) fn live_count(&self) -> usize {
        self.gates.iter().filter(|gate| gate.live).count()
    }

    /// Live gates that do not have `revision` of `service` in force.
    pub(crate) fn missing(
        &self,
        service: &ServiceName,
        revision: DocumentRevision,
    ) -> Vec<GateLag> {
        let live = self.gates.iter().filter(|gate| gate.live);
        let lags = live.filter_map(|gate| {
            let status = gate.status.as_ref();
            let held = status.and_then(|status| status.in_force(service));
            let lag = GateLag {
                host: gate.host.clone(),
                address: gate.address,
                revision: held,
                failure: gate.failure.clone(),
            };
            held.is_none_or(|held| held < revision).then_some(lag)
        });
        lags.collect()
    }

    /// Every service that any gate has in force, in order of name.
    pub(crate) fn services(&self) -> Vec<ServiceView> {
        let statuses = self.gates.iter().filter_map(|gate| gate.status.as_ref());
        let mut newest = BTreeMap::new();
        for row in statuses.flat_map(|status| &status.documents) {
            let held = newest.entry(&row.service).or_insert(row);
            if row.revision > held.revision {
                *held = row;
            }
        }
        let views = newest.into_values().map(|row| {
            let missing = self.missing(&row.service, row.revision);
            ServiceView {
                service: row.service.clone(),
                partner: row.partner.clone(),
                accepted: row.revision,
                in_force: self.live_count() - missing.len(),
                missing,
            }
        });
        views.collect()
    }
}

/// Asks one gate.
async fn ask_gate(client: &GateClient, address: SocketAddr) -> GateView {
    let answer = client.status(address).await;
    let failure = answer.as_ref().err().map(ToString::to_string);
    let status = answer.ok();
    let host = status.as_ref().map(|status| status.gate.host.to_string());
    GateView {
        address,
        host: host.unwrap_or_else(|| address.to_string()),
        live: status.is_some(),
        status,
        failure,
    }
}

/// Addresses of the gates that a gate hands out.
fn named_gates(view: &GateView) -> impl Iterator<Item = SocketAddr> {
    let peers = view.status.iter().flat_map(|status| &status.peers);
    peers.filter(|peer| peer.live).map(|peer| peer.callers)
}

/// Decides which silent gates are live, and names them as those that answered do.
///
/// A silent gate that nobody hands out is gone. If nobody answered, every gate counts as live:
/// nothing is known of them.
fn name_silent_gates(gates: &mut [GateView]) {
    let answered = gates.iter().any(|gate| gate.status.is_some());
    let mut named = BTreeMap::new();
    for status in gates.iter().filter_map(|gate| gate.status.as_ref()) {
        for peer in status.peers.iter().filter(|peer| peer.live) {
            named.insert(peer.callers, peer.gate.host.to_string());
        }
    }
    for gate in gates.iter_mut().filter(|gate| gate.status.is_none()) {
        let host = named.remove(&gate.address);
        gate.live = !answered || host.is_some();
        gate.host = host.unwrap_or_else(|| gate.address.to_string());
    }
}
