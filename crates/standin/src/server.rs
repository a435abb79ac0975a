//! Stand-in for a server: options, state and handle.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use ggs_model::{
    BootClock, Clock, DataCentre, Incarnation, LoadReport, Moment, ServerEntry, ServerId,
    ServerState, ServiceName,
};

use crate::connection::ConnectionControl;
use crate::faults::ServerFaults;
use crate::listener::{ListenerControl, ListenerHandle, listen};
use crate::record::{ProbeRecord, ReportHistory, RunRecord};
use crate::register::register;
use crate::slots::SlotQueue;
use crate::work::ServerHandler;

/// Slots of a server.
const DEFAULT_SLOTS: u32 = 3;

/// Requests that may wait for a slot.
const DEFAULT_QUEUE_LIMIT: usize = 30;

/// Time that a request runs unless it asks for another.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(3);

/// Times that a run takes longer on a cold server.
const COLD_FACTOR: f64 = 5.0;

/// How a stand-in server is started.
#[derive(Clone, Debug)]
pub struct ServerOptions {
    /// Address of the server.
    pub listen: SocketAddr,
    /// Address that serves `/admin` alone.
    pub admin: SocketAddr,
    /// The service that it answers for.
    pub service: ServiceName,
    /// Where it stands.
    pub data_centre: DataCentre,
    /// Requests that run at once.
    pub slots: u32,
    /// Requests that may wait for a slot; more are shed.
    pub queue_limit: usize,
    /// Time that a request runs unless it asks for another.
    pub service_time: Duration,
    /// Time that `GET /load` takes.
    pub probe_time: Duration,
    /// Time after the start in which runs take five times as long and no request may wait.
    pub cold: Duration,
    /// Base URL of the platform whose host list the server enters.
    pub register: Option<String>,
}

impl Default for ServerOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            admin: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            service: ServiceName::new("roster"),
            data_centre: DataCentre::new("dc1"),
            slots: DEFAULT_SLOTS,
            queue_limit: DEFAULT_QUEUE_LIMIT,
            service_time: DEFAULT_SERVICE_TIME,
            probe_time: Duration::ZERO,
            cold: Duration::ZERO,
            register: None,
        }
    }
}

/// State of a stand-in server.
#[derive(Debug)]
pub(crate) struct ServerShared {
    pub(crate) options: ServerOptions,
    pub(crate) incarnation: Cell<Incarnation>,
    pub(crate) started: Cell<Moment>,
    pub(crate) address: Cell<SocketAddr>,
    pub(crate) listener: Rc<ListenerControl>,
    pub(crate) faults: RefCell<ServerFaults>,
    pub(crate) queue: SlotQueue,
    pub(crate) draining: Cell<bool>,
    pub(crate) runs: RefCell<RunRecord>,
    pub(crate) probes: RefCell<ProbeRecord>,
    pub(crate) history: RefCell<ReportHistory>,
}

impl ServerShared {
    /// Sets all faults; `except` is the connection that carried the change.
    pub(crate) fn set_faults(
        self: &Rc<Self>,
        faults: ServerFaults,
        except: Option<&Rc<ConnectionControl>>,
    ) {
        if faults.silence_connections {
            self.listener.silence(except);
        }
        let is_down = faults.down;
        let was_down = std::mem::replace(&mut *self.faults.borrow_mut(), faults).down;
        if is_down {
            self.listener.set_refusing(true);
        } else if was_down {
            let shared = Rc::clone(self);
            actix_rt::spawn(async move { shared.start_again().await });
        }
    }

    /// Ends the server, which starts again after a time, unless it is down then.
    pub(crate) fn crash(self: &Rc<Self>) {
        if self.listener.is_refusing() {
            return;
        }
        self.listener.set_refusing(true);
        let pause = Duration::from_millis(self.faults.borrow().restart_ms);
        let shared = Rc::clone(self);
        actix_rt::spawn(async move {
            actix_rt::time::sleep(pause).await;
            if !shared.faults.borrow().down {
                shared.start_again().await;
            }
        });
    }

    /// Opens the port again, as a new incarnation, and enters it in the host list.
    async fn start_again(&self) {
        self.incarnation.set(Incarnation(rand::random()));
        self.started.set(BootClock.now());
        self.listener.set_refusing(false);
        if let Err(error) = self.register().await {
            eprintln!("ggs-standin: {error}");
        }
    }

    /// The server's row in the host list.
    fn entry(&self) -> ServerEntry {
        let state = if self.draining.get() {
            ServerState::Leaving
        } else {
            ServerState::Live
        };
        ServerEntry {
            service: self.options.service.clone(),
            server: ServerId {
                address: self.address.get(),
                incarnation: self.incarnation.get(),
            },
            data_centre: self.options.data_centre.clone(),
            state,
        }
    }

    /// Enters the server's row in the platform's host list, if it was started with one.
    async fn register(&self) -> io::Result<()> {
        match &self.options.register {
            Some(platform) => register(platform, &self.entry()).await,
            None => Ok(()),
        }
    }

    /// Whether the server has just started.
    pub(crate) fn is_cold(&self) -> bool {
        BootClock.now().since(self.started.get()) < self.options.cold
    }

    /// Times that runs take longer now.
    pub(crate) fn slowness(&self) -> f64 {
        let cold = if self.is_cold() { COLD_FACTOR } else { 1.0 };
        cold * self.faults.borrow().slow_factor
    }

    /// The load report as the server gives it.
    pub(crate) fn report(&self) -> String {
        let faults = self.faults.borrow();
        if let Some(report) = &faults.report {
            return report.clone();
        }
        let lag = Duration::from_millis(faults.report_lag_ms);
        let present = self.queue.report();
        let mut history = self.history.borrow_mut();
        history.report(BootClock.now(), present, lag).to_string()
    }

    /// What the server counted as measuring.
    pub(crate) fn probes(&self) -> ProbeRecord {
        let mut record = self.probes.borrow().clone();
        record.unused_connections = self.listener.unused();
        record.connections = self.listener.opened();
        record
    }
}

/// A running stand-in server; stops when dropped.
///
/// ```
/// use ggs_standin::{AnswerBody, ServerOptions, start_server};
///
/// actix_rt::System::new().block_on(async {
///     let server = start_server(ServerOptions::default()).await.unwrap();
///     let url = format!("http://{}/tare?token=t1&bytes=40", server.address());
///     let mut answer = awc::Client::default().get(url).send().await.unwrap();
///     let body = answer.body().await.unwrap();
///     assert_eq!(body, AnswerBody::new("t1", 40).slice(0, 40));
///     assert_eq!(server.runs_of("t1"), 1);
/// });
/// ```
#[derive(Debug)]
pub struct ServerHandle {
    shared: Rc<ServerShared>,
    work: ListenerHandle,
    admin: ListenerHandle,
}

impl ServerHandle {
    /// Address of the server.
    pub fn address(&self) -> SocketAddr {
        self.work.address()
    }

    /// Address of the admin port.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// The server's row in the host list.
    pub fn entry(&self) -> ServerEntry {
        self.shared.entry()
    }

    /// Sets all faults.
    pub fn set_faults(&self, faults: ServerFaults) {
        self.shared.set_faults(faults, None);
    }

    /// Refuses new work from now on.
    pub fn drain(&self) {
        self.shared.draining.set(true);
    }

    /// Enters the server's row in the platform's host list, if it was started with one.
    ///
    /// # Errors
    ///
    /// Fails when the platform does not take it.
    pub async fn register(&self) -> io::Result<()> {
        self.shared.register().await
    }

    /// The load now.
    pub fn load(&self) -> LoadReport {
        self.shared.queue.report()
    }

    /// Runs of requests with a token.
    pub fn runs_of(&self, token: &str) -> u64 {
        let runs = self.shared.runs.borrow();
        runs.tokens.get(token).copied().unwrap_or_default()
    }

    /// Runs of requests by token.
    pub fn run_counts(&self) -> BTreeMap<String, u64> {
        self.shared.runs.borrow().tokens.clone()
    }

    /// Runs of all requests.
    pub fn runs(&self) -> u64 {
        self.shared.runs.borrow().tokens.values().sum()
    }

    /// What the server counted as measuring.
    pub fn probes(&self) -> ProbeRecord {
        self.shared.probes()
    }

    /// Closes the ports and all connections.
    pub fn stop(self) {
        drop(self);
    }
}

/// Starts a stand-in server on the current runtime and enters it in the host list.
///
/// # Errors
///
/// Fails when an address cannot be bound or the platform does not take the server's row.
pub async fn start_server(options: ServerOptions) -> io::Result<ServerHandle> {
    let listener = Rc::new(ListenerControl::default());
    let queue = SlotQueue::new(options.slots, options.queue_limit);
    let shared = Rc::new(ServerShared {
        incarnation: Cell::new(Incarnation(rand::random())),
        started: Cell::new(BootClock.now()),
        address: Cell::new(options.listen),
        listener: Rc::clone(&listener),
        faults: RefCell::default(),
        queue,
        draining: Cell::new(false),
        runs: RefCell::default(),
        probes: RefCell::default(),
        history: RefCell::default(),
        options,
    });
    let handler = Rc::new(ServerHandler::new(Rc::clone(&shared)));
    let options = &shared.options;
    let work = listen(options.listen, listener, Rc::clone(&handler)).await?;
    let admin = listen(options.admin, Rc::default(), handler).await?;
    shared.address.set(work.address());
    let handle = ServerHandle {
        shared,
        work,
        admin,
    };
    handle.register().await?;
    Ok(handle)
}
