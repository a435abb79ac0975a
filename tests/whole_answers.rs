//! Each caller gets its own whole answer or a clear failure, whatever servers do (issue 4, point 6).

mod support;

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use actix_http::Method;
use futures_util::future::join_all;
use ggs_model::ServiceDocument;
use ggs_standin::{
    AnswerBody, FuzzHandle, FuzzMove, PlatformOptions, start_fuzzer, start_platform,
};
use support::wire::{WireAnswer, WireCaller, WireFailure};
use support::{GateProcess, accept_document};

/// Fuzzed servers behind the gate.
const SERVERS: u64 = 4;

/// Callers at once.
const CALLERS: usize = 12;

/// Calls of one caller.
const CALLS: usize = 40;

/// Lengths of answers, from one that a gate reads whole to one that it streams.
const LENGTHS: [u64; 4] = [64, 900, 20_000, 300_000];

/// Seed of the servers' moves, and the share of them that may break the rules.
struct FuzzCase {
    seed: u64,
    broken_share: f64,
}

/// One call and how it ended.
struct EndedCall {
    token: String,
    keyed: bool,
    length: u64,
    result: Result<WireAnswer, WireFailure>,
}

/// The calls of one caller, over one connection as long as that holds.
async fn run_caller(gate: SocketAddr, seed: u64, caller: usize) -> Vec<EndedCall> {
    let mut wire = WireCaller::new(gate);
    let mut ended = Vec::new();
    for number in 0..CALLS {
        let keyed = number % 3 == 0;
        let length = LENGTHS[(number + caller) % LENGTHS.len()];
        let token = format!("t{seed}-{caller}-{number}");
        let target = format!("/s/roster/x?token={token}&bytes={length}");
        let deadline = ("ggs-deadline-ms", "500");
        let result = if keyed {
            let key = take_key(&mut wire).await;
            let headers = [deadline, ("ggs-key", key.as_str())];
            wire.call(Method::POST, &target, &headers, "a basket").await
        } else {
            wire.call(Method::GET, &target, &[deadline], "").await
        };
        ended.push(EndedCall {
            token,
            keyed,
            length,
            result,
        });
    }
    ended
}

async fn take_key(wire: &mut WireCaller) -> String {
    for _ in 0..3 {
        let answer = wire.call(Method::POST, "/v1/keys/roster", &[], "").await;
        if let Ok(answer) = answer {
            let answer: serde_json::Value = serde_json::from_slice(&answer.body).expect("json");
            return answer["key"].as_str().expect("key").to_owned();
        }
    }
    panic!("gate gives no key");
}

/// What the servers saw of each token, and their last moves.
fn records(servers: &[FuzzHandle]) -> BTreeMap<String, SeenToken> {
    let mut seen: BTreeMap<String, SeenToken> = BTreeMap::new();
    for record in servers.iter().map(FuzzHandle::record) {
        for (token, count) in record.runs {
            seen.entry(token).or_default().runs += count;
        }
        for (token, choice) in record.moves {
            seen.entry(token).or_default().moves.push(choice);
        }
    }
    seen
}

/// What the servers saw of a token.
#[derive(Clone, Debug, Default)]
struct SeenToken {
    runs: u64,
    moves: Vec<FuzzMove>,
}

/// Checks one call against what the servers saw.
fn check_call(call: &EndedCall, seen: &SeenToken) {
    let EndedCall {
        token,
        keyed,
        length,
        result,
    } = call;
    assert!(!keyed || seen.runs <= 1, "{token} ran twice: {seen:?}");
    match result {
        Ok(answer) if answer.status == 200 => {
            let own = AnswerBody::new(token, *length);
            assert!(
                own.matches_at(0, &answer.body),
                "{token} got another's bytes: {seen:?}"
            );
            // A server that gives too small a length has said that this is the whole answer.
            let whole = answer.body.len() as u64 == *length;
            let shortened = seen.moves.contains(&FuzzMove::ShortLength);
            let got = answer.body.len();
            assert!(
                whole || shortened,
                "{token} got {got} of {length}: {seen:?}"
            );
        }
        Ok(answer) => {
            let verdict = answer.verdict.as_deref();
            assert!(
                verdict.is_some(),
                "{token} has no verdict: {answer:?}, {seen:?}"
            );
            let not_run = verdict == Some("not-run");
            assert!(
                !not_run || seen.runs == 0,
                "{token} ran: {answer:?}, {seen:?}"
            );
        }
        Err(WireFailure::Broken(_)) => {}
        Err(WireFailure::Hung) => panic!("{token} got no end: {seen:?}"),
    }
}

#[actix_rt::test]
async fn callers_get_their_own_whole_answer_or_a_clear_failure() {
    let cases = [
        FuzzCase {
            seed: 1,
            broken_share: 0.3,
        },
        FuzzCase {
            seed: 2,
            broken_share: 0.6,
        },
        FuzzCase {
            seed: 3,
            broken_share: 1.0,
        },
    ];
    for case in cases {
        let platform = start_platform(PlatformOptions::default()).await;
        let platform = platform.expect("start");
        let mut servers = Vec::new();
        for index in 0..SERVERS {
            let server = start_fuzzer(case.seed * 100 + index, case.broken_share).await;
            let server = server.expect("start");
            platform.list_server(server.entry("roster"));
            servers.push(server);
        }
        let document = ServiceDocument::new("roster", "wagowa");
        accept_document(&platform.url(), document).await;
        let settings = GateProcess::settings("gate-0", &platform.url());
        let gate = settings.listen_callers;
        let mut process = GateProcess::spawn(settings);
        process.wait_for_service("roster").await;
        actix_rt::time::sleep(Duration::from_millis(1_500)).await;
        let callers = (0..CALLERS).map(|caller| run_caller(gate, case.seed, caller));
        let calls: Vec<_> = join_all(callers).await.into_iter().flatten().collect();
        actix_rt::time::sleep(Duration::from_millis(200)).await;
        let seen = records(&servers);
        for call in &calls {
            check_call(call, &seen.get(&call.token).cloned().unwrap_or_default());
        }
        let answered = calls.iter().filter(|call| {
            let answer = call.result.as_ref();
            answer.is_ok_and(|answer| answer.status == 200)
        });
        let answered = answered.count();
        println!("seed {}: {answered} of {} answered", case.seed, calls.len());
        let expected = (1.0 - case.broken_share) * calls.len() as f64 / 2.0;
        assert!(
            answered as f64 >= expected,
            "seed {}: {answered}",
            case.seed
        );
        let ended = process.child.wait(Duration::ZERO).await;
        assert!(ended.is_none(), "gate ended: {ended:?}");
    }
}
