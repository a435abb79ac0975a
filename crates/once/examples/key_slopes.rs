//! Prints the memory and time that each used key takes: `key_slopes KEYS [kept]`.
//!
//! Run one process for each measurement, because freed memory is not returned to the system.

use std::time::{Duration, Instant};

use bytes::Bytes;
use ggs_model::{GateId, HostName, Incarnation, Moment};
use ggs_once::{
    FingerprintHasher, KeptAnswer, KeyAdmission, KeyLimits, KeyOutcome, KeyRegistry, RequestParts,
};

/// Size of a memory page.
const PAGE_BYTES: usize = 4_096;

/// Size of the body of a kept answer.
const BODY_BYTES: usize = 64;

/// Resident memory of this process in bytes.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|word| word.parse().ok());
    pages.unwrap_or(0_usize) * PAGE_BYTES
}

fn main() {
    let mut arguments = std::env::args().skip(1);
    let keys = arguments.next().and_then(|word| word.parse().ok());
    let keys: usize = keys.unwrap_or(100_000);
    let kept = arguments.next().is_some_and(|word| word == "kept");
    let limits = KeyLimits {
        entries: keys,
        kept_bytes: 1 << 30,
        answer_bytes: 1 << 20,
        ttl: Duration::from_mins(10),
    };
    let gate = GateId {
        host: HostName::new("entry-1"),
        incarnation: Incarnation(1),
    };
    let mut registry = KeyRegistry::new(gate, limits);
    let hasher = FingerprintHasher::default();
    let before = resident_bytes();
    let start = Instant::now();
    for number in 0..keys {
        let now = Moment::from_millis(number as u64 / 100);
        let key = registry.issue(now);
        let parts = RequestParts {
            service: "ledger",
            method: "POST",
            path: "/credit",
            body: &number.to_be_bytes(),
        };
        let KeyAdmission::Run(permit) = registry.admit(&key, hasher.fingerprint(&parts), now)
        else {
            unreachable!("the key is new")
        };
        let answer = KeptAnswer {
            status: 200,
            headers: vec![("content-type".to_owned(), Bytes::from_static(b"text/plain"))],
            body: Bytes::from(vec![0_u8; BODY_BYTES]),
        };
        let outcome = if kept {
            KeyOutcome::Answered(answer)
        } else {
            KeyOutcome::AnswerNotKept
        };
        registry.finish(permit, outcome, now);
    }
    let elapsed = start.elapsed();
    let bytes = resident_bytes().saturating_sub(before) / keys;
    let nanos = elapsed.as_nanos() as usize / keys;
    println!("{keys} keys, answers kept: {kept}: {bytes} bytes and {nanos} ns per key");
}
