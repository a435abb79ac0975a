//! Scaffolding of the end-to-end tests: processes, settings, documents and calls.

#![allow(dead_code, reason = "each test file uses a part")]

pub mod operators;
pub mod wire;

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use awc::http::Method;
use ggs_follow::{AcceptOutcome, DocumentEdit, accept_edit};
use ggs_model::{DataCentre, DocumentRevision, EditId, HostName, ServiceDocument, StatusAnswer};
use ggs_settings::{ChoicePolicy, GateSettings};
pub use ggs_standin::free_address;
use ggs_store::HttpPlatform;
use rustix::process::{Pid, Signal, kill_process};

/// Time between two looks at a condition.
const LOOK_INTERVAL: Duration = Duration::from_millis(10);

/// Time for a process to become ready.
pub const READY_LIMIT: Duration = Duration::from_secs(10);

/// Longest time of one call.
const CALL_LIMIT: Duration = Duration::from_secs(20);

/// A new file name under the tests' own directory.
pub fn scratch_file(name: &str) -> PathBuf {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    directory.join(format!("{}-{number}-{name}", std::process::id()))
}

/// Waits until a condition holds.
pub async fn wait_until<F: Future<Output = bool>>(
    what: &str,
    limit: Duration,
    mut condition: impl FnMut() -> F,
) {
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < limit, "not within {limit:?}: {what}");
        actix_rt::time::sleep(LOOK_INTERVAL).await;
    }
}

/// A process of ours; killed when dropped.
#[derive(Debug)]
pub struct ChildProcess {
    child: Child,
}

impl ChildProcess {
    /// Starts a program; its output goes where `command` says.
    pub fn spawn(command: &mut Command) -> Self {
        let child = command.spawn().expect("spawn");
        Self { child }
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, for example `Signal::KILL`, `STOP`, `CONT` or `TERM`.
    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).expect("signal");
    }

    /// Waits for the process to end.
    pub async fn wait(&mut self, limit: Duration) -> Option<ExitStatus> {
        let start = Instant::now();
        while start.elapsed() < limit {
            if let Some(status) = self.child.try_wait().expect("wait") {
                return Some(status);
            }
            actix_rt::time::sleep(LOOK_INTERVAL).await;
        }
        None
    }

    /// The next line of standard output.
    fn read_line(&mut self) -> String {
        let output = self.child.stdout.as_mut().expect("piped output");
        let mut line = String::new();
        // One line is read at a time, so the buffer holds nothing of the next.
        BufReader::with_capacity(1, output)
            .read_line(&mut line)
            .expect("line");
        line
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A running `ggs-standin`.
#[derive(Debug)]
pub struct StandinProcess {
    pub child: ChildProcess,
    /// Service and admin address of each stand-in.
    pub addresses: Vec<(SocketAddr, SocketAddr)>,
}

impl StandinProcess {
    /// Starts `count` stand-ins in one process and waits until they are ready.
    pub fn spawn(arguments: &[&str], count: usize) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_ggs-standin"));
        command.args(arguments).stdout(Stdio::piped());
        let mut child = ChildProcess::spawn(&mut command);
        let addresses = (0..count).map(|_| read_addresses(&child.read_line()));
        let addresses = addresses.collect();
        Self { child, addresses }
    }

    /// Starts a platform.
    pub fn platform(arguments: &[&str]) -> Self {
        Self::spawn(&[&["platform"], arguments].concat(), 1)
    }

    /// Starts servers of a service, listed at a platform.
    pub fn servers(platform: &str, service: &str, count: usize, arguments: &[&str]) -> Self {
        let number = count.to_string();
        let fixed = [
            "server",
            "--register",
            platform,
            "--service",
            service,
            "--count",
            &number,
        ];
        Self::spawn(&[&fixed, arguments].concat(), count)
    }

    /// Base URL of the first stand-in.
    pub fn url(&self) -> String {
        format!("http://{}", self.addresses[0].0)
    }

    /// Sets the faults of one stand-in.
    pub async fn set_faults(&self, index: usize, faults: &str) {
        let url = format!("http://{}/admin/faults", self.addresses[index].1);
        let answer = call(Method::PUT, &url, &[], faults).await;
        assert_eq!(answer.expect("answer").status, 200, "{faults}");
    }

    /// Calls that each server took, probes apart.
    pub async fn calls_taken(&self) -> Vec<u64> {
        let mut taken = Vec::new();
        for (_, admin) in &self.addresses {
            let url = format!("http://{admin}/admin/probes");
            let answer = call(Method::GET, &url, &[], "").await.expect("counts");
            let counts: serde_json::Value = serde_json::from_slice(&answer.body).expect("json");
            taken.push(counts["calls"].as_u64().expect("calls"));
        }
        taken
    }

    /// Runs of each token over all servers of the process.
    pub async fn runs(&self) -> std::collections::BTreeMap<String, u64> {
        let mut total = std::collections::BTreeMap::new();
        for (_, admin) in &self.addresses {
            let url = format!("http://{admin}/admin/runs");
            let answer = call(Method::GET, &url, &[], "").await.expect("answer");
            let runs: std::collections::BTreeMap<String, u64> =
                serde_json::from_slice(&answer.body).expect("runs");
            for (token, count) in runs {
                *total.entry(token).or_default() += count;
            }
        }
        total
    }
}

/// The two addresses in a line that a stand-in prints.
fn read_addresses(line: &str) -> (SocketAddr, SocketAddr) {
    let words = line.split([' ', ',', '\n']);
    let addresses: Vec<SocketAddr> = words.filter_map(|word| word.parse().ok()).collect();
    assert_eq!(addresses.len(), 2, "{line:?}");
    (addresses[0], addresses[1])
}

/// A running `ggs-gate`.
#[derive(Debug)]
pub struct GateProcess {
    pub child: ChildProcess,
    pub settings: GateSettings,
    /// File with the gate's log.
    pub log: PathBuf,
}

impl GateProcess {
    /// Settings of a gate on free ports.
    pub fn settings(host: &str, platform: &str) -> GateSettings {
        GateSettings {
            host: HostName::new(host),
            data_centre: DataCentre::new("dc1"),
            listen_callers: free_address(),
            listen_peers: free_address(),
            platform: platform.to_owned(),
            peers: Vec::new(),
            entry_ttl_ms: 500,
            body_limit: 1 << 20,
            key_limit: 100_000,
            key_ttl_ms: 60_000,
            in_flight_limit: 2_048,
            caller_stall_ms: 20_000,
            server_choice: ChoicePolicy::Signals,
        }
    }

    /// Starts a gate.
    pub fn spawn(settings: GateSettings) -> Self {
        let file = scratch_file("gate.json");
        let text = serde_json::to_string_pretty(&settings).expect("settings");
        std::fs::write(&file, text).expect("write settings");
        let log = scratch_file("gate.log");
        let output = File::create(&log).expect("log");
        let errors = output.try_clone().expect("log");
        let mut command = Command::new(env!("CARGO_BIN_EXE_ggs-gate"));
        command
            .arg("--config")
            .arg(file)
            .stdout(output)
            .stderr(errors);
        let child = ChildProcess::spawn(&mut command);
        Self {
            child,
            settings,
            log,
        }
    }

    /// Starts gates that know one another's peer addresses.
    pub fn spawn_group(count: usize, platform: &str) -> Vec<Self> {
        let names = (0..count).map(|index| format!("gate-{index}"));
        let mut group: Vec<_> = names.map(|name| Self::settings(&name, platform)).collect();
        let peers: Vec<_> = group.iter().map(|settings| settings.listen_peers).collect();
        for settings in &mut group {
            settings.peers.clone_from(&peers);
        }
        group.into_iter().map(Self::spawn).collect()
    }

    /// A URL on the callers' port.
    pub fn url(&self, path: &str) -> String {
        format!("http://{}{path}", self.settings.listen_callers)
    }

    /// Waits until the gate serves a service.
    pub async fn wait_for_service(&self, service: &str) {
        let url = self.url(&format!("/v1/entries/{service}"));
        wait_until(&url, READY_LIMIT, || async {
            let answer = call(Method::GET, &url, &[], "").await;
            answer.is_ok_and(|answer| answer.status == 200)
        })
        .await;
    }
}

/// Writes a service's first document into the platform's table.
pub async fn accept_document(platform: &str, document: ServiceDocument) {
    let store = HttpPlatform::builder(platform).build();
    let edit = DocumentEdit {
        id: EditId(1),
        base: DocumentRevision(0),
        document: Arc::new(document),
    };
    let outcome = accept_edit(&store, &edit, DocumentRevision(0)).await;
    assert!(matches!(outcome, AcceptOutcome::Accepted(_)), "{outcome:?}");
}

/// Waits until a gate sees `count` others live.
pub async fn wait_for_peers(gate: &GateProcess, count: usize) {
    let url = gate.url("/v1/status");
    wait_until(&url, READY_LIMIT, || async {
        let answer = call(Method::GET, &url, &[], "").await;
        let status = answer
            .ok()
            .and_then(|answer| serde_json::from_slice::<StatusAnswer>(&answer.body).ok());
        status.is_some_and(|status| status.peers.iter().filter(|peer| peer.live).count() >= count)
    })
    .await;
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct CallAnswer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl CallAnswer {
    /// The text of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(header, _)| header == name);
        found.map(|(_, value)| value.as_str())
    }
}

/// Sends a request over a connection of its own; an error if the answer was not whole.
pub async fn call(
    method: Method,
    url: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Result<CallAnswer, String> {
    let client = awc::Client::builder()
        .timeout(CALL_LIMIT)
        .disable_redirects()
        .finish();
    let mut request = client.request(method, url).force_close();
    for (name, value) in headers {
        request = request.insert_header((*name, *value));
    }
    let answer = request.send_body(body.to_owned()).await;
    let mut answer = answer.map_err(|error| error.to_string())?;
    let read = answer.body().limit(64 << 20).await;
    let read = read.map_err(|error| error.to_string())?;
    let headers = answer.headers().iter();
    let headers: Vec<_> = headers
        .map(|(name, value)| {
            let value = String::from_utf8_lossy(value.as_bytes());
            (name.as_str().to_owned(), value.into_owned())
        })
        .collect();
    let answer = CallAnswer {
        status: answer.status().as_u16(),
        headers,
        body: read.to_vec(),
    };
    // awc ends a cut body without an error, so only its length tells.
    let length = answer.header("content-length").map(str::to_owned);
    match length.and_then(|length| length.parse::<usize>().ok()) {
        Some(length) if length != answer.body.len() => Err(format!(
            "answer ended after {} of {length} bytes",
            answer.body.len()
        )),
        _ => Ok(answer),
    }
}
