//! What operators do: edits and looks at the status.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use awc::http::Method;
use ggs_model::{
    DocumentRevision, EditAnswer, EditId, EditRequest, ServiceDocument, ServiceName, StatusAnswer,
};

use super::{CallAnswer, GateProcess, call, wait_until};

/// The gate's status; `None` if it does not answer.
pub async fn status(gate: &GateProcess) -> Option<StatusAnswer> {
    let answer = call(Method::GET, &gate.url("/v1/status"), &[], "")
        .await
        .ok()?;
    serde_json::from_slice(&answer.body).ok()
}

/// Revision of a service's document in force at a gate; 0 for none.
pub async fn revision(gate: &GateProcess, service: &str) -> u64 {
    let status = status(gate).await;
    let revision = status.and_then(|status| status.in_force(&ServiceName::new(service)));
    revision.map_or(0, |revision| revision.0)
}

/// Hosts of the other gates that a gate hands out.
pub async fn handed_out(gate: &GateProcess) -> BTreeSet<String> {
    let peers = status(gate).await.map(|status| status.peers);
    let live = peers.into_iter().flatten().filter(|peer| peer.live);
    live.map(|peer| peer.gate.host.to_string()).collect()
}

/// A document that differs by its retry percentage.
pub fn document(service: &str, retry_percent: u32) -> ServiceDocument {
    let mut document = ServiceDocument::new(service, "wagowa");
    document.retry_percent = retry_percent;
    document
}

/// Sends an edit to a gate.
pub async fn put(
    gate: &GateProcess,
    id: u128,
    base: u64,
    document: &ServiceDocument,
) -> Result<CallAnswer, String> {
    let request = EditRequest {
        base: DocumentRevision(base),
        edit: EditId(id),
        text: serde_json::to_string(document).expect("document"),
    };
    let body = serde_json::to_string(&request).expect("request");
    let url = gate.url(&format!("/v1/documents/{}", document.service));
    call(Method::PUT, &url, &[], &body).await
}

/// Sends an edit that must be accepted; its revision.
pub async fn accept(gate: &GateProcess, id: u128, base: u64, document: &ServiceDocument) -> u64 {
    let answer = put(gate, id, base, document).await.expect("answer");
    let text = String::from_utf8_lossy(&answer.body).into_owned();
    assert_eq!(answer.status, 200, "{text}");
    let edit: EditAnswer = serde_json::from_slice(&answer.body).expect("edit answer");
    edit.revision.0
}

/// Waits until every gate has at least this revision of a service; the time that it took.
pub async fn wait_in_force(
    gates: &[GateProcess],
    service: &str,
    wanted: u64,
    limit: Duration,
) -> Duration {
    let start = Instant::now();
    for gate in gates {
        let what = format!("revision {wanted} at {}", gate.settings.host);
        wait_until(&what, limit, || async {
            revision(gate, service).await >= wanted
        })
        .await;
    }
    start.elapsed()
}

/// Waits until every gate hands out this many others.
pub async fn wait_handed_out(gates: &[GateProcess], count: usize, limit: Duration) {
    for gate in gates {
        let what = format!("{count} others at {}", gate.settings.host);
        wait_until(&what, limit, || async {
            handed_out(gate).await.len() == count
        })
        .await;
    }
}

/// Payload bytes that a gate has exchanged with others, in both directions.
pub async fn peer_bytes(gate: &GateProcess) -> f64 {
    let answer = call(Method::GET, &gate.url("/metrics"), &[], "")
        .await
        .expect("metrics");
    let text = String::from_utf8(answer.body).expect("text");
    let lines = text
        .lines()
        .filter(|line| line.starts_with("ggs_peer_traffic"));
    let values = lines.filter_map(|line| line.rsplit(' ').next()?.parse::<f64>().ok());
    values.sum()
}
