//! Route lookup against a naive scan of all prefixes, and the shares of splits against the weights.

use std::sync::Arc;
use std::time::Duration;

use ggs_route::{
    CallerLimits, RepeatRule, RouteConfig, RouteRule, RouteTable, RouteTarget, WeightedSplit,
};
use proptest::prelude::*;

/// A route of `host` that matches `prefix`.
fn rule(host: &str, prefix: &str) -> RouteRule {
    RouteRule {
        name: Arc::from(prefix),
        host: Arc::from(host),
        prefix: Arc::from(prefix),
        targets: vec![RouteTarget {
            service: "ledger".into(),
            weight: 1,
        }],
        repeat: RepeatRule::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(200),
        attempts: 2,
        priority: 1,
        is_public: false,
    }
}

/// A table of routes.
fn table(rules: Vec<RouteRule>) -> RouteTable {
    let limits = CallerLimits {
        body_bytes: 1 << 20,
        head_time: Duration::from_secs(1),
        idle_time: Duration::from_secs(1),
    };
    let config = RouteConfig {
        version: 1,
        limits,
        routes: rules,
        services: vec![],
        workspaces: None,
    };
    RouteTable::new(config, 0).unwrap()
}

/// A lookup and the prefix of the route that it must find.
struct LookupCase {
    host: &'static str,
    path: &'static str,
    expected: Option<&'static str>,
}

#[test]
fn lookup_finds_the_longest_prefix_of_the_host() {
    let table = table(vec![
        rule("a.example", "/x/"),
        rule("a.example", "/x/y/"),
        rule("b.example", "/"),
    ]);
    let cases = [
        LookupCase {
            host: "a.example",
            path: "/x/1",
            expected: Some("/x/"),
        },
        LookupCase {
            host: "a.example",
            path: "/x/y/1",
            expected: Some("/x/y/"),
        },
        LookupCase {
            host: "a.example",
            path: "/x/y",
            expected: Some("/x/"),
        },
        LookupCase {
            host: "A.Example:80",
            path: "/x/",
            expected: Some("/x/"),
        },
        LookupCase {
            host: "a.example",
            path: "/xy/1",
            expected: None,
        },
        LookupCase {
            host: "b.example",
            path: "/x/y/1",
            expected: Some("/"),
        },
        LookupCase {
            host: "c.example",
            path: "/x/1",
            expected: None,
        },
    ];
    for case in cases {
        let found = table.find(case.host, case.path);
        let found = found.map(|route| &*route.rule().prefix);
        assert_eq!(found, case.expected, "{} {}", case.host, case.path);
    }
}

proptest! {
    #[test]
    fn lookup_finds_the_same_route_as_a_scan(
        prefixes in proptest::collection::hash_set("/([ab]{1,2}/){0,3}", 0..12),
        path in "/([ab]{1,2}/){0,3}[ab]{0,2}",
    ) {
        let rules = prefixes.iter().map(|prefix| rule("a", prefix)).collect();
        let scanned = prefixes.iter().filter(|prefix| path.starts_with(prefix.as_str()));
        let scanned = scanned.max_by_key(|prefix| prefix.len()).map(String::as_str);
        let table = table(rules);
        let found = table.find("a", &path).map(|route| &*route.rule().prefix);
        prop_assert_eq!(found, scanned);
    }

    #[test]
    fn splits_of_many_gates_together_follow_the_weights(
        weights in proptest::collection::vec(1_u32..100, 2..5),
        phase in 0_u64..10_000,
        requests in 20_usize..60,
    ) {
        // 20 gates that start at different phases and get 20 to 59 requests each.
        let mut counts = vec![0_usize; weights.len()];
        for gate in 0..20 {
            let mut split = WeightedSplit::new(&weights, phase + gate * 7_919);
            for _ in 0..requests {
                counts[split.next_index()] += 1;
            }
        }
        let total: u32 = weights.iter().sum();
        for (count, weight) in counts.iter().zip(&weights) {
            let share = *count as f64 / (20 * requests) as f64;
            let expected = f64::from(*weight) / f64::from(total);
            prop_assert!((share - expected).abs() < 0.1, "share {share}, expected {expected}");
        }
    }
}
