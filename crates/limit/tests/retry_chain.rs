//! Attempts at the last server of a chain of calls, with allowances and with plain retries.

use ggs_limit::{ChainBudget, ChainPosition};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Gates that a call passes.
const HOPS: usize = 24;

/// Attempts for each call that the issue allows.
const MAX_FACTOR: f64 = 1.2;

/// How attempts at the last server fail.
#[derive(Clone, Copy, Debug)]
enum LeafFault {
    /// Each attempt fails with this chance.
    Attempts(f64),
    /// Each call fails with this chance, on all its attempts.
    Calls(f64),
    /// All attempts fail during the second half of the calls.
    SecondHalf,
}

/// A chain in which each hop retries a failed call once, if `allowances` permits.
struct CallChain {
    allowances: Option<Vec<ChainBudget>>,
    depth: usize,
    fault: LeafFault,
    random: SmallRng,
    call_fails: bool,
    attempts: u64,
}

impl CallChain {
    fn new(depth: usize, fault: LeafFault, allowances: Option<u32>, seed: u64) -> Self {
        Self {
            allowances: allowances.map(|percent| vec![ChainBudget::new(percent); depth]),
            depth,
            fault,
            random: SmallRng::seed_from_u64(seed),
            call_fails: false,
            attempts: 0,
        }
    }

    /// Attempts for each of `calls` calls.
    fn factor(&mut self, calls: u64) -> f64 {
        for call in 0..calls {
            self.call_fails = match self.fault {
                LeafFault::Attempts(_) => false,
                LeafFault::Calls(chance) => self.random.random_bool(chance),
                LeafFault::SecondHalf => call >= calls / 2,
            };
            self.hop(0, None);
        }
        self.attempts as f64 / calls as f64
    }

    /// Handles a call at one hop; whether it succeeded.
    fn hop(&mut self, hop: usize, header: Option<u32>) -> bool {
        if hop == self.depth {
            self.attempts += 1;
            let fails = match self.fault {
                LeafFault::Attempts(chance) => self.random.random_bool(chance),
                LeafFault::Calls(_) | LeafFault::SecondHalf => self.call_fails,
            };
            return !fails;
        }
        let text = header.map(|number| number.to_string());
        let position = ChainPosition::from_header(text.as_deref());
        let attempt = header.unwrap_or(0);
        let mut succeeded = self.hop(hop + 1, Some(attempt));
        if !succeeded && self.may_retry(hop, position) {
            succeeded = self.hop(hop + 1, Some(attempt + 1));
        }
        if let Some(allowances) = &mut self.allowances
            && succeeded
        {
            allowances[hop].record_success(position);
        }
        succeeded
    }

    fn may_retry(&mut self, hop: usize, position: ChainPosition) -> bool {
        let allowances = self.allowances.as_mut();
        allowances.is_none_or(|allowances| allowances[hop].take(position))
    }
}

#[test]
fn a_failing_leaf_sees_at_most_the_allowed_attempts() {
    let faults = [
        LeafFault::Attempts(1.0),
        LeafFault::Attempts(0.5),
        LeafFault::Attempts(0.05),
        LeafFault::Calls(0.5),
        LeafFault::Calls(0.09),
        LeafFault::SecondHalf,
    ];
    for fault in faults {
        let factor = CallChain::new(HOPS, fault, Some(10), 1).factor(5_000);
        println!("{fault:?}: {factor:.4} attempts a call");
        assert!(factor <= MAX_FACTOR, "{fault:?}: {factor}");
    }
}

#[test]
fn plain_retries_at_each_hop_double_with_every_hop() {
    for (depth, factor) in [(1, 2.0), (4, 16.0), (12, 4_096.0)] {
        let found = CallChain::new(depth, LeafFault::Attempts(1.0), None, 1).factor(10);
        assert!((found - factor).abs() < 1e-9, "{depth} hops: {found}");
    }
    // Calls that always fail break the bound from a share of a few percent on.
    let factor = CallChain::new(12, LeafFault::Calls(0.05), None, 1).factor(1_000);
    assert!(factor > MAX_FACTOR, "{factor}");
}

#[test]
fn a_service_that_answers_gets_its_failures_retried() {
    let mut chain = CallChain::new(1, LeafFault::Attempts(0.02), Some(10), 1);
    let calls = 10_000;
    let succeeded = (0..calls).filter(|_| chain.hop(0, None)).count();
    // 0.02 squared is 4 failures in 10,000 calls.
    assert!(succeeded >= calls - 12, "{succeeded} of {calls}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(60))]

    #[test]
    fn any_mix_of_failures_stays_within_the_bound(
        chance in 0.0..1.0_f64, by_call: bool, percent in 0_u32..200, seed: u64,
    ) {
        let fault = if by_call { LeafFault::Calls(chance) } else { LeafFault::Attempts(chance) };
        let factor = CallChain::new(HOPS, fault, Some(percent), seed).factor(1_000);
        prop_assert!(factor <= MAX_FACTOR, "{:?}: {}", fault, factor);
    }
}
