//! Documents over real processes: accepted once means in force everywhere, and never an older one.

mod support;

use std::time::{Duration, Instant};

use awc::http::Method;
use ggs_model::{EditConflict, ServiceDocument};
use rustix::process::Signal;
use support::operators::{accept, document, put, revision, status, wait_handed_out, wait_in_force};
use support::{
    GateProcess, READY_LIMIT, StandinProcess, accept_document, call, free_address, wait_until,
};

/// Time in which an accepted document is in force on every live gate.
const IN_FORCE_LIMIT: Duration = Duration::from_secs(15);

/// Starts gates that have the document of `roster` in force and know one another.
async fn start_gates(platform: &StandinProcess, count: usize) -> Vec<GateProcess> {
    accept_document(&platform.url(), ServiceDocument::new("roster", "wagowa")).await;
    let gates = GateProcess::spawn_group(count, &platform.url());
    wait_in_force(&gates, "roster", 1, READY_LIMIT).await;
    wait_handed_out(&gates, count - 1, READY_LIMIT).await;
    gates
}

#[actix_rt::test]
async fn accepted_edits_come_into_force_everywhere() {
    let platform = StandinProcess::platform(&[]);
    let gates = start_gates(&platform, 5).await;
    let mut base = 1;
    let mut times = Vec::new();
    for round in 0..10_u32 {
        let through = &gates[round as usize % gates.len()];
        base = accept(
            through,
            u128::from(round) + 10,
            base,
            &document("roster", round),
        )
        .await;
        assert_eq!(
            revision(through, "roster").await,
            base,
            "in force where it was accepted"
        );
        times.push(wait_in_force(&gates, "roster", base, IN_FORCE_LIMIT).await);
    }
    times.sort_unstable();
    println!("time in force on 5 gates after acceptance, 10 edits: {times:?}");
}

#[actix_rt::test]
async fn of_racing_operators_one_wins_and_the_others_see_the_difference() {
    let platform = StandinProcess::platform(&[]);
    let gates = start_gates(&platform, 4).await;
    let mut base = 1;
    for round in 0..5_u32 {
        let documents: Vec<_> = (0..4)
            .map(|index| document("roster", round * 4 + index))
            .collect();
        let edits = (0..4).map(|index| {
            put(
                &gates[index],
                u128::from(round * 4) + index as u128 + 10,
                base,
                &documents[index],
            )
        });
        let answers = futures_util::future::join_all(edits).await;
        let answers: Vec<_> = answers.into_iter().map(Result::unwrap).collect();
        let won: Vec<_> = (0..4)
            .filter(|index| answers[*index].status == 200)
            .collect();
        assert_eq!(won.len(), 1, "{answers:?}");
        base += 1;
        for (index, answer) in answers.iter().enumerate() {
            if index == won[0] {
                continue;
            }
            assert_eq!(answer.status, 409, "{answer:?}");
            let conflict: EditConflict = serde_json::from_slice(&answer.body).unwrap();
            let current = conflict.current.expect("current document");
            assert_eq!(current.revision.0, base);
            assert_eq!(*current.document, documents[won[0]]);
        }
        wait_in_force(&gates, "roster", base, IN_FORCE_LIMIT).await;
    }
}

#[actix_rt::test]
async fn lost_answer_is_resolved_and_the_same_edit_takes_effect_once() {
    let platform = StandinProcess::platform(&[]);
    let gates = start_gates(&platform, 2).await;
    platform.set_faults(0, r#"{"lose_answers": 1}"#).await;
    let edit = document("roster", 20);
    assert_eq!(accept(&gates[0], 7, 1, &edit).await, 2);
    assert_eq!(
        accept(&gates[1], 7, 1, &edit).await,
        2,
        "sent again to another gate"
    );
    wait_in_force(&gates, "roster", 2, IN_FORCE_LIMIT).await;
    assert_eq!(accept(&gates[0], 8, 2, &document("roster", 21)).await, 3);
}

#[actix_rt::test]
async fn platform_down_after_the_write_reverts_nothing_and_refuses_edits() {
    let platform = StandinProcess::platform(&[]);
    let mut gates = start_gates(&platform, 3).await;
    let server = StandinProcess::servers(&platform.url(), "roster", 1, &[]);
    let served = gates[0].url("/s/roster/tare?token=a");
    wait_until("a server is known", READY_LIMIT, || async {
        call(Method::GET, &served, &[], "")
            .await
            .is_ok_and(|answer| answer.status == 200)
    })
    .await;
    assert_eq!(accept(&gates[0], 7, 1, &document("roster", 20)).await, 2);
    platform.set_faults(0, r#"{"down": "refused"}"#).await;
    wait_in_force(&gates, "roster", 2, IN_FORCE_LIMIT).await;
    let refused = put(&gates[1], 8, 2, &document("roster", 21)).await.unwrap();
    assert_eq!(refused.status, 503, "{refused:?}");
    // A gate that starts now learns documents and servers from the others.
    let mut settings = GateProcess::settings("gate-late", &platform.url());
    settings.peers = vec![gates[1].settings.listen_peers];
    gates.push(GateProcess::spawn(settings));
    let taken = wait_in_force(&gates, "roster", 2, IN_FORCE_LIMIT).await;
    println!("time until a gate started without the platform had the document: {taken:?}");
    let served = gates[3].url("/s/roster/tare?token=b");
    wait_until("the late gate serves", IN_FORCE_LIMIT, || async {
        call(Method::GET, &served, &[], "")
            .await
            .is_ok_and(|answer| answer.status == 200)
    })
    .await;
    drop(server);
    platform.set_faults(0, "{}").await;
    wait_until("edits are taken again", READY_LIMIT, || async {
        put(&gates[3], 9, 2, &document("roster", 22))
            .await
            .is_ok_and(|answer| answer.status == 200)
    })
    .await;
    wait_in_force(&gates, "roster", 3, IN_FORCE_LIMIT).await;
}

#[actix_rt::test]
async fn slow_platform_accepts_edits_late_and_spreads_them_in_time() {
    let platform = StandinProcess::platform(&[]);
    let gates = start_gates(&platform, 4).await;
    platform.set_faults(0, r#"{"slow_ms": 1500}"#).await;
    for round in 1..=3_u32 {
        let base = u64::from(round);
        let through = &gates[round as usize];
        let start = Instant::now();
        accept(
            through,
            u128::from(base) + 100,
            base,
            &document("roster", round),
        )
        .await;
        let accepted = start.elapsed();
        let taken = wait_in_force(&gates, "roster", base + 1, IN_FORCE_LIMIT).await;
        println!(
            "platform takes 1.5 s a call: accepted after {accepted:?}, in force after {taken:?}"
        );
    }
}

/// Calls take longer than gates wait for them, and writes still take effect: the operator is told
/// that nothing is known, and the same edit, sent again, tells.
#[actix_rt::test]
async fn edit_whose_write_outlasts_the_wait_takes_effect_once() {
    let platform = StandinProcess::platform(&[]);
    let gates = start_gates(&platform, 2).await;
    platform.set_faults(0, r#"{"slow_ms": 2500}"#).await;
    let edit = document("roster", 20);
    let first = put(&gates[0], 7, 1, &edit).await.unwrap();
    assert!(matches!(first.status, 503 | 504), "{first:?}");
    platform.set_faults(0, "{}").await;
    assert_eq!(accept(&gates[1], 7, 1, &edit).await, 2);
    assert_eq!(accept(&gates[0], 7, 1, &edit).await, 2);
    wait_in_force(&gates, "roster", 2, IN_FORCE_LIMIT).await;
    assert_eq!(accept(&gates[0], 8, 2, &document("roster", 21)).await, 3);
}

#[actix_rt::test]
async fn gate_cut_from_the_platform_alone_follows_through_the_others() {
    let platform = StandinProcess::platform(&[]);
    let mut gates = start_gates(&platform, 3).await;
    let mut settings = GateProcess::settings("gate-cut", &format!("http://{}", free_address()));
    settings.peers = vec![gates[0].settings.listen_peers];
    gates.push(GateProcess::spawn(settings));
    wait_in_force(&gates, "roster", 1, IN_FORCE_LIMIT).await;
    let mut times = Vec::new();
    for round in 0..5_u32 {
        let base = u64::from(round) + 1;
        let through = &gates[round as usize % 3];
        accept(
            through,
            u128::from(round) + 10,
            base,
            &document("roster", round),
        )
        .await;
        times.push(wait_in_force(&gates, "roster", base + 1, IN_FORCE_LIMIT).await);
    }
    println!("time in force with one gate cut from the platform, 5 edits: {times:?}");
    let cut = status(&gates[3]).await.unwrap();
    assert_eq!((cut.stale, cut.table_read_ms), (false, None));
}

#[actix_rt::test]
async fn gates_cut_off_together_serve_on_and_say_that_they_are_stale() {
    let platform = StandinProcess::platform(&[]);
    let gates = start_gates(&platform, 2).await;
    platform.set_faults(0, r#"{"down": "refused"}"#).await;
    let start = Instant::now();
    for gate in &gates {
        wait_until("stale", Duration::from_secs(20), || async {
            status(gate).await.is_some_and(|status| status.stale)
        })
        .await;
        let stale = start.elapsed();
        assert!(stale > Duration::from_secs(10), "stale after {stale:?}");
        assert_eq!(revision(gate, "roster").await, 1);
        let entries = call(Method::GET, &gate.url("/v1/entries/roster"), &[], "").await;
        assert_eq!(entries.unwrap().status, 200);
    }
    platform.set_faults(0, "{}").await;
    for gate in &gates {
        wait_until("fresh", READY_LIMIT, || async {
            status(gate).await.is_some_and(|status| !status.stale)
        })
        .await;
    }
}

#[actix_rt::test]
async fn frozen_gate_catches_up_and_no_gate_goes_back() {
    let platform = StandinProcess::platform(&[]);
    let gates = start_gates(&platform, 3).await;
    gates[2].child.signal(Signal::STOP);
    let mut base = 1;
    let mut seen = [0; 2];
    let start = Instant::now();
    while start.elapsed() < Duration::from_secs(6) {
        base = accept(
            &gates[0],
            u128::from(base) + 10,
            base,
            &document("roster", 1),
        )
        .await;
        for (index, highest) in seen.iter_mut().enumerate() {
            let now = revision(&gates[index], "roster").await;
            assert!(
                now >= *highest,
                "gate {index} went back from {highest} to {now}"
            );
            *highest = now;
        }
        actix_rt::time::sleep(Duration::from_millis(200)).await;
    }
    gates[2].child.signal(Signal::CONT);
    let taken = wait_in_force(&gates, "roster", base, IN_FORCE_LIMIT).await;
    println!("time until a woken gate had the newest document: {taken:?}");
}
