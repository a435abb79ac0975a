//! Counts the attempts that reach the last server of a chain of calls, with retry budgets and with
//! unlimited retries.
//!
//! Guards against retry amplification: without a budget, retries at each hop multiply, so that a
//! failing server receives a multiple of its load.

use ggs_limit::{ChainPosition, ChainRetries};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Number of gates that a call passes.
const HOP_COUNT: usize = 24;

/// Largest number of attempts per call that the retry budgets must keep to.
const MAX_FACTOR: f64 = 1.2;

/// How attempts at the last server fail.
#[derive(Clone, Copy, Debug)]
enum ServerFault {
    /// Each attempt fails with this probability, independently.
    Attempts(f64),
    /// Each call fails with this probability, and then on all its attempts.
    Calls(f64),
    /// All attempts fail during the second half of the calls.
    SecondHalf,
}

/// A chain in which each hop retries a failed call once if its retry budget permits; without
/// budgets, always.
struct CallChain {
    /// Retry budget of each hop.
    retries: Option<Vec<ChainRetries>>,
    depth: usize,
    fault: ServerFault,
    random: SmallRng,
    call_fails: bool,
    attempts: u64,
}

impl CallChain {
    fn new(depth: usize, fault: ServerFault, percent: Option<u32>, seed: u64) -> Self {
        Self {
            retries: percent.map(|percent| vec![ChainRetries::new(percent); depth]),
            depth,
            fault,
            random: SmallRng::seed_from_u64(seed),
            call_fails: false,
            attempts: 0,
        }
    }

    /// Sends `calls` calls; returns the attempts at the last server per call.
    fn factor(&mut self, calls: u64) -> f64 {
        for call in 0..calls {
            self.call_fails = match self.fault {
                ServerFault::Attempts(_) => false,
                ServerFault::Calls(chance) => self.random.random_bool(chance),
                ServerFault::SecondHalf => call >= calls / 2,
            };
            self.hop(0, None);
        }
        self.attempts as f64 / calls as f64
    }

    /// Handles a call at one hop; returns whether it succeeded.
    fn hop(&mut self, hop: usize, header: Option<u32>) -> bool {
        if hop == self.depth {
            self.attempts += 1;
            let fails = match self.fault {
                ServerFault::Attempts(chance) => self.random.random_bool(chance),
                ServerFault::Calls(_) | ServerFault::SecondHalf => self.call_fails,
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
        if let Some(retries) = &mut self.retries
            && succeeded
        {
            retries[hop].record_success(position);
        }
        succeeded
    }

    fn may_retry(&mut self, hop: usize, position: ChainPosition) -> bool {
        let retries = self.retries.as_mut();
        retries.is_none_or(|retries| retries[hop].take(position))
    }
}

#[test]
fn attempts_at_a_failing_last_server_stay_within_the_bound() {
    let faults = [
        ServerFault::Attempts(1.0),
        ServerFault::Attempts(0.5),
        ServerFault::Attempts(0.05),
        ServerFault::Calls(0.5),
        ServerFault::Calls(0.09),
        ServerFault::SecondHalf,
    ];
    for fault in faults {
        let factor = CallChain::new(HOP_COUNT, fault, Some(10), 1).factor(5_000);
        println!("{fault:?}: {factor:.4} attempts per call");
        assert!(factor <= MAX_FACTOR, "{fault:?}: {factor}");
    }
}

#[test]
fn unlimited_retries_double_the_attempts_with_every_hop() {
    for (depth, factor) in [(1, 2.0), (4, 16.0), (12, 4_096.0)] {
        let found = CallChain::new(depth, ServerFault::Attempts(1.0), None, 1).factor(10);
        assert!((found - factor).abs() < 1e-9, "{depth} hops: {found}");
    }
    // With failures on all attempts of a call, 5% of failing calls are enough to exceed the bound.
    let factor = CallChain::new(12, ServerFault::Calls(0.05), None, 1).factor(1_000);
    assert!(factor > MAX_FACTOR, "{factor}");
}

#[test]
fn rare_failures_of_a_service_are_retried() {
    let mut chain = CallChain::new(1, ServerFault::Attempts(0.02), Some(10), 1);
    let calls = 10_000;
    let succeeded = (0..calls).filter(|_| chain.hop(0, None)).count();
    // A call fails if both attempts do: 0.02 squared, so 4 of 10,000 calls on average.
    assert!(succeeded >= calls - 12, "{succeeded} of {calls}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(60))]

    #[test]
    fn attempts_stay_within_the_bound_for_any_failure_rate(
        chance in 0.0..1.0_f64, by_call: bool, percent in 0_u32..200, seed: u64,
    ) {
        let fault = if by_call { ServerFault::Calls(chance) } else { ServerFault::Attempts(chance) };
        let factor = CallChain::new(HOP_COUNT, fault, Some(percent), seed).factor(1_000);
        prop_assert!(factor <= MAX_FACTOR, "{:?}: {}", fault, factor);
    }
}
