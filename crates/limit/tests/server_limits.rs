//! Which limit of a server counts when answers and other gates report different ones.

use std::time::Duration;

use ggs_limit::{LimitState, NamedLimit, ServerLimits};
use ggs_model::Moment;

/// Time for which a limit holds without news.
const TTL: Duration = Duration::from_secs(5);

/// Reports of one server as times in milliseconds with limits, and what is known at the end.
struct LimitCase {
    name: &'static str,
    reports: &'static [(u64, Option<f64>)],
    checked_at_ms: u64,
    /// `None` if nothing is remembered of the server.
    state: Option<LimitState>,
}

#[test]
fn the_newest_report_of_a_server_counts_until_it_expires() {
    let cases = [
        LimitCase {
            name: "a server without a limit is not remembered",
            reports: &[(1_000, None)],
            checked_at_ms: 1_000,
            state: None,
        },
        LimitCase {
            name: "a newer limit replaces an older one",
            reports: &[(1_000, Some(2.0)), (2_000, Some(9.5))],
            checked_at_ms: 2_000,
            state: Some(LimitState::Limited(9.5)),
        },
        LimitCase {
            name: "a late report of another gate changes nothing",
            reports: &[(2_000, Some(9.5)), (1_000, Some(2.0))],
            checked_at_ms: 2_000,
            state: Some(LimitState::Limited(9.5)),
        },
        LimitCase {
            name: "a limit that ended does not come back from an older report",
            reports: &[(1_000, Some(2.0)), (3_000, None), (2_000, Some(2.0))],
            checked_at_ms: 3_000,
            state: Some(LimitState::Unlimited),
        },
        LimitCase {
            name: "a limit without news allows a trial",
            reports: &[(1_000, Some(2.0))],
            checked_at_ms: 6_000,
            state: Some(LimitState::Trial),
        },
        LimitCase {
            name: "a server without news is forgotten after the time for trials",
            reports: &[(1_000, Some(2.0))],
            checked_at_ms: 306_000,
            state: None,
        },
        LimitCase {
            name: "news of the same limit keep it",
            reports: &[(1_000, Some(2.0)), (4_000, Some(2.0))],
            checked_at_ms: 6_000,
            state: Some(LimitState::Limited(2.0)),
        },
    ];
    for case in cases {
        let mut limits = ServerLimits::default();
        for (at_ms, per_second) in case.reports {
            let limit = NamedLimit {
                per_second: *per_second,
                named_at: Moment::from_millis(*at_ms),
            };
            limits.observe("i-1", limit, TTL);
        }
        limits.expire(Moment::from_millis(case.checked_at_ms));
        let state = limits
            .states(Moment::from_millis(case.checked_at_ms))
            .next();
        assert_eq!(state.map(|(_, state)| state), case.state, "{}", case.name);
    }
}
