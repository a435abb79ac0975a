//! The parts of the demonstration: platform, servers, documents and gates.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use ggs_follow::{AcceptOutcome, DocumentEdit, accept_edit};
use ggs_gate::GateHandle;
use ggs_model::{
    DataCentre, DocumentRevision, EditId, HostName, MeasuringBudget, RequestClass, ServiceDocument,
    ServiceName,
};
use ggs_observe::{EventLog, LogFormat};
use ggs_settings::{ChoicePolicy, GateSettings};
use ggs_standin::{
    PlatformHandle, PlatformOptions, ServerHandle, ServerOptions, free_address, start_platform,
    start_server,
};
use ggs_store::HttpPlatform;

use crate::error::DemoError;

/// Gates of the demonstration.
const GATE_COUNT: usize = 3;

/// Data centres, in turn for gates and servers.
const DATA_CENTRES: [&str; 3] = ["dc1", "dc2", "dc3"];

/// Time until the host list shows a change.
const HOSTS_LAG: Duration = Duration::from_millis(500);

/// Requests that are sent to see whether a service is ready.
const READY_TRIES: u32 = 100;

/// Time between such requests.
const READY_INTERVAL: Duration = Duration::from_millis(50);

/// Time that callers keep an entry answer, in milliseconds.
const ENTRY_TTL_MS: u64 = 1_000;

/// Identity of the edit that makes each document.
const FIRST_EDIT: EditId = EditId(1);

/// Length of a measuring window, in milliseconds.
pub(crate) const WINDOW_MS: u64 = 2_000;

/// A service of the demonstration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct DemoService {
    pub(crate) name: &'static str,
    pub(crate) partner: &'static str,
    pub(crate) servers: usize,
    /// Probes that the partner pays for in one window.
    pub(crate) probes: u32,
    /// Time that its requests run, in milliseconds.
    pub(crate) run_ms: u64,
    pub(crate) class: RequestClass,
    /// Whether its requests are non-idempotent.
    pub(crate) keyed: bool,
    /// Length of its answers, in bytes.
    pub(crate) bytes: u64,
    /// Share of the calls.
    pub(crate) weight: f64,
}

/// The services, one for each way of calling.
pub(crate) const SERVICES: [DemoService; 4] = [
    DemoService {
        name: "roster",
        partner: "wagowa",
        servers: 5,
        probes: 20,
        run_ms: 5,
        class: RequestClass::Urgent,
        keyed: false,
        bytes: 2_000,
        weight: 6.0,
    },
    DemoService {
        name: "ledger",
        partner: "wagowa",
        servers: 3,
        probes: 6,
        run_ms: 8,
        class: RequestClass::Standard,
        keyed: true,
        bytes: 200,
        weight: 2.0,
    },
    DemoService {
        name: "booking",
        partner: "harusi",
        servers: 3,
        probes: 30,
        run_ms: 8,
        class: RequestClass::Urgent,
        keyed: true,
        bytes: 200,
        weight: 2.0,
    },
    DemoService {
        name: "media",
        partner: "harusi",
        servers: 2,
        probes: 0,
        run_ms: 10,
        class: RequestClass::Export,
        keyed: false,
        bytes: 400_000,
        weight: 0.3,
    },
];

/// The running parts.
#[derive(Debug)]
pub(crate) struct DemoScene {
    pub(crate) platform: PlatformHandle,
    /// Servers, with the position of their service.
    pub(crate) servers: Vec<(usize, ServerHandle)>,
    pub(crate) gates: Vec<GateHandle>,
}

impl DemoScene {
    /// Starts all parts.
    pub(crate) async fn start() -> Result<Self, DemoError> {
        let options = PlatformOptions {
            hosts_lag: HOSTS_LAG,
            ..PlatformOptions::default()
        };
        let platform = start_platform(options).await.map_err(DemoError::Standin)?;
        let mut servers = Vec::new();
        for (index, service) in SERVICES.iter().enumerate() {
            accept_document(&platform.url(), service).await?;
            for number in 0..service.servers {
                let options = server_options(service, number, &platform.url());
                let server = start_server(options).await.map_err(DemoError::Standin)?;
                servers.push((index, server));
            }
        }
        let gates = start_gates(&platform.url()).await?;
        Ok(Self {
            platform,
            servers,
            gates,
        })
    }

    /// Waits until each gate gets an answer from each service.
    pub(crate) async fn wait_for_servers(&self) -> Result<(), DemoError> {
        let client = awc::Client::default();
        for gate in self.gate_addresses() {
            for service in &SERVICES {
                wait_for_answer(&client, gate, service.name).await?;
            }
        }
        Ok(())
    }

    /// Addresses of the gates for callers.
    pub(crate) fn gate_addresses(&self) -> Vec<SocketAddr> {
        self.gates.iter().map(GateHandle::caller_address).collect()
    }

    /// The first server of a service.
    pub(crate) fn first_server(&self, name: &str) -> Option<&ServerHandle> {
        let mut servers = self.servers.iter();
        let found = servers.find(|(index, _)| SERVICES[*index].name == name);
        found.map(|(_, server)| server)
    }
}

/// Waits until a gate gets an answer from a service.
async fn wait_for_answer(
    client: &awc::Client,
    gate: SocketAddr,
    service: &'static str,
) -> Result<(), DemoError> {
    for attempt in 0..READY_TRIES {
        let url = format!("http://{gate}/s/{service}/ready?token=ready-{service}-{gate}-{attempt}");
        let answer = client.get(url).send().await;
        if answer.is_ok_and(|answer| answer.status().is_success()) {
            return Ok(());
        }
        actix_rt::time::sleep(READY_INTERVAL).await;
    }
    Err(DemoError::NotReady { gate, service })
}

/// How one server of a service is started.
fn server_options(service: &DemoService, number: usize, platform: &str) -> ServerOptions {
    ServerOptions {
        service: ServiceName::new(service.name),
        data_centre: data_centre(number),
        service_time: Duration::from_millis(service.run_ms),
        register: Some(platform.to_owned()),
        ..ServerOptions::default()
    }
}

/// The data centre of a numbered part.
fn data_centre(number: usize) -> DataCentre {
    DataCentre::new(DATA_CENTRES[number % DATA_CENTRES.len()])
}

/// Has the platform accept the document of a service.
async fn accept_document(platform: &str, service: &DemoService) -> Result<(), DemoError> {
    let mut document = ServiceDocument::new(service.name, service.partner);
    document.measuring = MeasuringBudget {
        probes: service.probes,
        window_ms: WINDOW_MS,
    };
    let edit = DocumentEdit {
        id: FIRST_EDIT,
        base: DocumentRevision(0),
        document: Arc::new(document),
    };
    let store = HttpPlatform::builder(platform).build();
    match accept_edit(&store, &edit, DocumentRevision(0)).await {
        AcceptOutcome::Accepted(_) => Ok(()),
        outcome => Err(DemoError::Document {
            service: service.name,
            cause: format!("{outcome:?}"),
        }),
    }
}

/// Starts the gates, each of which knows the others' addresses.
async fn start_gates(platform: &str) -> Result<Vec<GateHandle>, DemoError> {
    let settings = (0..GATE_COUNT).map(|number| gate_settings(number, platform));
    let settings: Vec<_> = settings.collect();
    let peers: Vec<_> = settings.iter().map(|gate| gate.listen_peers).collect();
    let mut gates = Vec::new();
    for mut gate in settings {
        gate.peers.clone_from(&peers);
        let log = EventLog::new(LogFormat::Off, gate.host.as_str());
        gates.push(ggs_gate::start(gate, log).await.map_err(DemoError::Gate)?);
    }
    Ok(gates)
}

/// Settings of one gate on free ports.
fn gate_settings(number: usize, platform: &str) -> GateSettings {
    GateSettings {
        host: HostName::new(&format!("entry-{number}")),
        data_centre: data_centre(number),
        listen_callers: free_address(),
        listen_peers: free_address(),
        platform: platform.to_owned(),
        peers: Vec::new(),
        entry_ttl_ms: ENTRY_TTL_MS,
        body_limit: 1 << 20,
        key_limit: 100_000,
        key_ttl_ms: 60_000,
        in_flight_limit: 2_048,
        caller_stall_ms: 20_000,
        server_choice: ChoicePolicy::Signals,
    }
}
