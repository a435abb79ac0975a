//! Compares the budget of bytes with a naive model that adds up the leases.

use ggs_limit::{ByteBudget, ByteLease};
use proptest::prelude::*;

/// One change of the leases.
#[derive(Clone, Copy, Debug)]
enum LeaseStep {
    Take(usize),
    /// Grow the lease at this place, if there is one.
    Grow(usize, usize),
    Drop(usize),
    SetLimit(usize),
}

fn lease_step() -> impl Strategy<Value = LeaseStep> {
    prop_oneof![
        (0_usize..60).prop_map(LeaseStep::Take),
        (0_usize..6, 0_usize..90).prop_map(|(place, bytes)| LeaseStep::Grow(place, bytes)),
        (0_usize..6).prop_map(LeaseStep::Drop),
        (0_usize..150).prop_map(LeaseStep::SetLimit),
    ]
}

proptest! {
    #[test]
    fn leases_never_grow_beyond_the_limit(
        steps in prop::collection::vec(lease_step(), 1..60),
    ) {
        let budget = ByteBudget::new(100);
        let mut limit = 100;
        let mut leases: Vec<ByteLease> = Vec::new();
        for step in steps {
            let held: usize = leases.iter().map(ByteLease::bytes).sum();
            match step {
                LeaseStep::Take(bytes) => {
                    let lease = budget.take(bytes);
                    let fits = bytes == 0 || held + bytes <= limit;
                    prop_assert_eq!(lease.is_some(), fits);
                    leases.extend(lease);
                }
                LeaseStep::Grow(place, bytes) => {
                    if let Some(lease) = leases.get_mut(place) {
                        let before = lease.bytes();
                        let fits = bytes <= before || held - before + bytes <= limit;
                        prop_assert_eq!(lease.grow_to(bytes), fits);
                        let expected = if fits { before.max(bytes) } else { before };
                        prop_assert_eq!(lease.bytes(), expected);
                    }
                }
                LeaseStep::Drop(place) => {
                    if place < leases.len() {
                        leases.remove(place);
                    }
                }
                LeaseStep::SetLimit(bytes) => {
                    limit = bytes;
                    budget.set_limit(bytes);
                }
            }
            let held: usize = leases.iter().map(ByteLease::bytes).sum();
            prop_assert_eq!(budget.held(), held);
        }
    }
}
