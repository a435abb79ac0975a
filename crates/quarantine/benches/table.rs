//! Cost of the quarantine on the path of a request, with as many remembered requests as a burst of crashes
//! leaves behind. The table keeps at most 4,096 of them.

use std::collections::BTreeMap;

use divan::{Bencher, black_box};
use ggs_model::Moment;
use ggs_quarantine::{
    CRASH_LIMIT, CrashRecord, CrashSpan, CrashTable, RequestDigest, RequestIdentity, ServerRun,
};

/// Requests under which servers ended.
const REQUEST_COUNTS: [u64; 3] = [0, 100, 10_000];

/// When all of them are measured.
const NOW: Moment = Moment::from_millis(1_000);

fn main() {
    divan::main();
}

/// A digest that no other number has.
fn digest_of(number: u64) -> RequestDigest {
    let mut bytes = [1; 16];
    bytes[..8].copy_from_slice(&number.to_be_bytes());
    RequestDigest(bytes)
}

/// A table with a number of requests in quarantine.
fn table_of(request_count: u64) -> CrashTable {
    let mut table = CrashTable::default();
    for number in 0..request_count {
        let runs = 0..CRASH_LIMIT as u64;
        let record = CrashRecord {
            request: digest_of(number),
            crashes: runs.map(|run| (ServerRun(run), None)).collect(),
            answered: false,
            failed_trials: 0,
        };
        table.merge(&record, NOW);
    }
    table
}

/// Hashes a request, and asks for each of its identities whether it is in quarantine.
#[divan::bench(args = REQUEST_COUNTS)]
fn check_request(bencher: Bencher<'_, '_>, request_count: u64) {
    let table = table_of(request_count);
    let request = RequestIdentity {
        caller: None,
        host: "a.example",
        method: "POST",
        path: "/credit",
        query: "page=1",
        body: &[7; 400],
    };
    bencher.bench_local(|| {
        let digests = black_box(&request).digests();
        let left = digests.map(|digest| table.quarantine_left(&digest, NOW));
        left.into_iter().flatten().max()
    });
}

/// Asks the same with the digests at hand, as later checks of one request do.
#[divan::bench(args = REQUEST_COUNTS)]
fn check_digests(bencher: Bencher<'_, '_>, request_count: u64) {
    let table = table_of(request_count);
    let digests = [1, 2, 3, 4].map(|number| digest_of(u64::MAX - number));
    bencher.bench_local(|| {
        let left = black_box(&digests)
            .iter()
            .filter_map(|digest| table.quarantine_left(digest, NOW));
        left.max()
    });
}

/// Records that a server ended under one more request.
#[divan::bench(args = REQUEST_COUNTS, sample_size = 20, sample_count = 50)]
fn record_crash(bencher: Bencher<'_, '_>, request_count: u64) {
    let table = table_of(request_count);
    let span = CrashSpan {
        sent_at: Moment::from_millis(900),
        lost_at: NOW,
    };
    bencher
        .with_inputs(|| table.clone())
        .bench_local_refs(|table| {
            table.record_crash(black_box(digest_of(u64::MAX)), ServerRun(1), span, NOW)
        });
}

/// Adds what a heartbeat says of a request that is known.
#[divan::bench(args = REQUEST_COUNTS)]
fn merge_known(bencher: Bencher<'_, '_>, request_count: u64) {
    let mut table = table_of(request_count.max(1));
    let record = CrashRecord {
        request: digest_of(request_count.saturating_sub(1)),
        crashes: BTreeMap::from([(ServerRun(1), None)]),
        answered: false,
        failed_trials: 0,
    };
    bencher.bench_local(|| table.merge(black_box(&record), NOW));
}
