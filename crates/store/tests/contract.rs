//! Runs the same cases against the HTTP adapter with the stand-in platform and against the platform
//! in memory, as a difference between the two would hide faults from tests that use only one.

use std::net::SocketAddr;

use bytes::Bytes;
use ggs_model::{DataCentre, Incarnation, ServerEntry, ServerId, ServerState, ServiceName};
use ggs_standin::{PlatformOptions, start_platform};
use ggs_store::{
    HostList, HttpPlatform, MemoryPlatform, ObjectStore, RowCheck, RowPut, RowVersion, TableStore,
    TableWrite, WriteOutcome,
};
use serde_json::json;

/// A write with its expected outcome and the rows expected after it.
struct WriteCase {
    name: &'static str,
    checks: &'static [(&'static str, u64)],
    puts: &'static [(&'static str, u64)],
    outcome: WriteOutcome,
    /// Key, version and value of each row whose name starts with `a`.
    rows: &'static [(&'static str, u64, u64)],
}

/// The outcome of a write whose check expected another version.
fn conflict(key: &str, version: u64) -> WriteOutcome {
    let key = key.to_owned();
    let version = RowVersion(version);
    WriteOutcome::Conflict { key, version }
}

/// Cases that run in order on one table; each starts from the rows that the previous one left.
fn write_cases() -> Vec<WriteCase> {
    vec![
        WriteCase {
            name: "a new row, with a check that it does not exist",
            checks: &[("a/1", 0)],
            puts: &[("a/1", 10)],
            outcome: WriteOutcome::Written,
            rows: &[("a/1", 1, 10)],
        },
        WriteCase {
            name: "a check of an old version writes nothing and reports the current version",
            checks: &[("a/1", 0)],
            puts: &[("a/1", 11), ("a/2", 20)],
            outcome: conflict("a/1", 1),
            rows: &[("a/1", 1, 10)],
        },
        WriteCase {
            name: "several rows in one write",
            checks: &[("a/1", 1), ("a/2", 0)],
            puts: &[("a/1", 12), ("a/2", 21)],
            outcome: WriteOutcome::Written,
            rows: &[("a/1", 2, 12), ("a/2", 1, 21)],
        },
        WriteCase {
            name: "the second check fails",
            checks: &[("a/1", 2), ("a/2", 7)],
            puts: &[("a/1", 13)],
            outcome: conflict("a/2", 1),
            rows: &[("a/1", 2, 12), ("a/2", 1, 21)],
        },
        WriteCase {
            name: "a check of a row that does not exist",
            checks: &[("a/%3 ü", 4)],
            puts: &[("a/%3 ü", 30)],
            outcome: conflict("a/%3 ü", 0),
            rows: &[("a/1", 2, 12), ("a/2", 1, 21)],
        },
        WriteCase {
            name: "a name with reserved characters, and one outside the prefix",
            checks: &[],
            puts: &[("a/%3 ü", 30), ("b", 1)],
            outcome: WriteOutcome::Written,
            rows: &[("a/%3 ü", 1, 30), ("a/1", 2, 12), ("a/2", 1, 21)],
        },
    ]
}

async fn check_table(platform: &impl TableStore) {
    for case in write_cases() {
        let checks = case.checks.iter().map(|(key, version)| RowCheck {
            key: (*key).to_owned(),
            version: RowVersion(*version),
        });
        let puts = case.puts.iter().map(|(key, value)| RowPut {
            key: (*key).to_owned(),
            value: json!({ "n": value }),
        });
        let write = TableWrite {
            checks: checks.collect(),
            puts: puts.collect(),
        };
        let outcome = platform.write(&write).await;
        assert_eq!(outcome, Ok(case.outcome), "{}", case.name);
        let rows = platform.list("a").await.expect("list");
        let found = rows.iter().map(|row| {
            let value = row.value["n"].as_u64().expect("number");
            (row.key.as_str(), row.version.0, value)
        });
        assert_eq!(found.collect::<Vec<_>>(), case.rows, "{}", case.name);
        for row in rows {
            let read = platform.get(&row.key).await;
            assert_eq!(read, Ok(Some(row)), "{}", case.name);
        }
    }
    assert_eq!(platform.get("a").await, Ok(None), "no such row");
    assert_eq!(platform.list("z").await, Ok(vec![]), "no such rows");
}

async fn check_objects(platform: &impl ObjectStore) {
    let large = Bytes::from(vec![7; 3 << 20]);
    let cases = [
        ("bill/2026 03/ü", Bytes::from_static(b"first")),
        (
            "bill/2026 03/ü",
            Bytes::from_static(b"in place of the first"),
        ),
        ("empty", Bytes::new()),
        ("large", large),
    ];
    for (name, body) in cases {
        assert_eq!(platform.put(name, body.clone()).await, Ok(()), "{name}");
        assert_eq!(platform.fetch(name).await, Ok(Some(body)), "{name}");
    }
    assert_eq!(platform.fetch("none").await, Ok(None));
}

fn server_entry(port: u16, state: ServerState) -> ServerEntry {
    ServerEntry {
        service: ServiceName::new("roster"),
        server: ServerId {
            address: SocketAddr::from(([127, 0, 0, 1], port)),
            incarnation: Incarnation(u64::MAX),
        },
        data_centre: DataCentre::new("krakow"),
        state,
    }
}

#[actix_rt::test]
async fn http_platform_reads_and_writes_as_the_ports_require() {
    let standin = start_platform(PlatformOptions::default())
        .await
        .expect("start");
    let platform = HttpPlatform::builder(&standin.url()).build();
    check_table(&platform).await;
    check_objects(&platform).await;
    assert_eq!(platform.servers().await, Ok(vec![]));
    let entries = vec![
        server_entry(1, ServerState::Live),
        server_entry(2, ServerState::Leaving),
    ];
    for entry in &entries {
        standin.list_server(entry.clone());
    }
    assert_eq!(platform.servers().await, Ok(entries));
}

#[actix_rt::test]
async fn memory_platform_reads_and_writes_as_the_ports_require() {
    let platform = MemoryPlatform::default();
    check_table(&platform).await;
    check_objects(&platform).await;
    let entries = vec![
        server_entry(1, ServerState::Live),
        server_entry(2, ServerState::Leaving),
    ];
    platform.set_servers(entries.clone());
    assert_eq!(platform.servers().await, Ok(entries));
}
