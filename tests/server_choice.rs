//! The setting `server_choice` over real processes.

mod support;

use awc::http::Method;
use ggs_model::ServiceDocument;
use ggs_settings::ChoicePolicy;
use support::{GateProcess, StandinProcess, accept_document, call};

/// Servers of the service.
const SERVERS: usize = 4;

/// Calls to each server.
const TURNS: u64 = 10;

/// One call after another is a tie among all servers, which the naive policy resolves in turn.
#[actix_rt::test]
async fn least_in_flight_gives_calls_without_overlap_to_servers_in_turn() {
    let platform = StandinProcess::platform(&[]);
    let arguments = ["--service-ms", "0"];
    let servers = StandinProcess::servers(&platform.url(), "roster", SERVERS, &arguments);
    accept_document(&platform.url(), ServiceDocument::new("roster", "wagowa")).await;
    let mut settings = GateProcess::settings("entry-1", &platform.url());
    settings.server_choice = ChoicePolicy::LeastInFlight;
    let gate = GateProcess::spawn(settings);
    gate.wait_for_service("roster").await;
    let url = gate.url("/s/roster/tare");
    support::wait_until("first answer", support::READY_LIMIT, || async {
        let answer = call(Method::GET, &url, &[], "").await;
        answer.is_ok_and(|answer| answer.status == 200)
    })
    .await;
    let before = servers.calls_taken().await;
    for _ in 0..TURNS * SERVERS as u64 {
        let answer = call(Method::GET, &url, &[], "").await.expect("answer");
        assert_eq!(answer.status, 200);
    }
    let after = servers.calls_taken().await;
    let taken: Vec<_> = after
        .iter()
        .zip(&before)
        .map(|(after, before)| after - before)
        .collect();
    assert_eq!(taken, [TURNS; SERVERS]);
}
