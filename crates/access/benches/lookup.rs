//! Time to find the workspace of a request by its credentials.

use divan::{Bencher, black_box};
use ggs_access::{AccessTable, KeyDigest, WorkspaceRule, find_key};

fn main() {
    divan::main();
}

#[divan::bench(args = [78, 1_000, 10_000])]
fn find_workspace(bencher: Bencher<'_, '_>, count: usize) {
    let rules = (0..count).map(|index| WorkspaceRule {
        name: format!("workspace-{index}").into(),
        keys: vec![KeyDigest::of(format!("key-of-{index}").as_bytes())],
        priority: None,
        quota: None,
    });
    let table = AccessTable::new(rules.collect()).expect("names and keys differ");
    let value = format!("Token key-of-{}", count / 2);
    bencher.bench_local(|| {
        let key = find_key("Token", [black_box(value.as_bytes())]).expect("one key");
        table.find(&key).is_some()
    });
}
