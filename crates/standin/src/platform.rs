//! Stand-in for the platform: table, object store and lagging host list.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, VecDeque};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{Method, Request, Response, StatusCode};
use bytes::Bytes;
use ggs_model::{BootClock, Clock, Moment, ServerEntry};
use ggs_store::{MemoryTable, TableWrite, WriteOutcome, decode_name};
use serde::Serialize;

use crate::connection::ConnectionControl;
use crate::faults::{DownMode, PlatformFaults};
use crate::http::{json, query, read_body, read_json, text};
use crate::listener::{ListenerControl, ListenerHandle, RequestHandler, listen};

/// Time between looks at a fault that holds calls.
const FREEZE_INTERVAL: Duration = Duration::from_millis(5);

/// How a stand-in platform is started.
#[derive(Clone, Debug)]
pub struct PlatformOptions {
    /// Address of the platform's services.
    pub listen: SocketAddr,
    /// Address that serves `/admin` alone and stays open while the platform refuses connections.
    pub admin: SocketAddr,
    /// Time until a change of the host list is shown.
    pub hosts_lag: Duration,
}

impl Default for PlatformOptions {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            admin: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            hosts_lag: Duration::ZERO,
        }
    }
}

/// Calls that a platform has taken since its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct PlatformCounts {
    /// Reads of the table.
    pub table_reads: u64,
    /// Writes of the table.
    pub table_writes: u64,
    /// Reads and puts of objects.
    pub object_calls: u64,
    /// Reads of the host list.
    pub host_reads: u64,
}

/// A change of the host list: the address and its new row.
type HostChange = (SocketAddr, Option<ServerEntry>);

/// State of a stand-in platform.
#[derive(Debug)]
struct PlatformState {
    hosts_lag: Duration,
    listener: Rc<ListenerControl>,
    faults: RefCell<PlatformFaults>,
    table: RefCell<MemoryTable>,
    objects: RefCell<BTreeMap<String, Bytes>>,
    shown: RefCell<BTreeMap<SocketAddr, ServerEntry>>,
    pending: RefCell<VecDeque<(Moment, HostChange)>>,
    counts: Cell<PlatformCounts>,
}

/// A running stand-in platform; stops when dropped.
///
/// ```
/// use ggs_standin::{PlatformOptions, start_platform};
/// use ggs_store::{HttpPlatform, TableStore};
///
/// actix_rt::System::new().block_on(async {
///     let standin = start_platform(PlatformOptions::default()).await.unwrap();
///     let platform = HttpPlatform::builder(&standin.url()).build();
///     assert_eq!(platform.get("documents/head").await, Ok(None));
/// });
/// ```
#[derive(Debug)]
pub struct PlatformHandle {
    state: Rc<PlatformState>,
    services: ListenerHandle,
    admin: ListenerHandle,
}

impl PlatformHandle {
    /// Address of the platform's services.
    pub fn address(&self) -> SocketAddr {
        self.services.address()
    }

    /// Address of the admin port.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Base URL of the platform's services.
    pub fn url(&self) -> String {
        format!("http://{}", self.address())
    }

    /// Sets all faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        self.state.set_faults(faults, None);
    }

    /// Lists a server, or changes its row, after the lag.
    pub fn list_server(&self, entry: ServerEntry) {
        let address = entry.server.address;
        self.state.change_hosts((address, Some(entry)));
    }

    /// Removes a server from the list after the lag.
    pub fn remove_server(&self, address: SocketAddr) {
        self.state.change_hosts((address, None));
    }

    /// A copy of the table.
    pub fn table(&self) -> MemoryTable {
        self.state.table.borrow().clone()
    }

    /// Calls taken since the start.
    pub fn counts(&self) -> PlatformCounts {
        self.state.counts.get()
    }

    /// Closes the ports and all connections; the state is lost.
    pub fn stop(self) {
        drop(self);
    }
}

/// Starts a stand-in platform on the current runtime.
///
/// # Errors
///
/// Fails when an address cannot be bound.
pub async fn start_platform(options: PlatformOptions) -> io::Result<PlatformHandle> {
    let listener = Rc::new(ListenerControl::default());
    let state = Rc::new(PlatformState {
        hosts_lag: options.hosts_lag,
        listener: Rc::clone(&listener),
        faults: RefCell::default(),
        table: RefCell::default(),
        objects: RefCell::default(),
        shown: RefCell::default(),
        pending: RefCell::default(),
        counts: Cell::default(),
    });
    let handler = PlatformHandler {
        state: Rc::clone(&state),
    };
    let handler = Rc::new(handler);
    let services = listen(options.listen, listener, Rc::clone(&handler)).await?;
    let admin = listen(options.admin, Rc::default(), handler).await?;
    Ok(PlatformHandle {
        state,
        services,
        admin,
    })
}

impl PlatformState {
    fn set_faults(&self, faults: PlatformFaults, except: Option<&Rc<ConnectionControl>>) {
        if faults.silence_connections {
            self.listener.silence(except);
        }
        self.listener.set_refusing(faults.down == DownMode::Refused);
        *self.faults.borrow_mut() = faults;
    }

    fn change_hosts(&self, change: HostChange) {
        let due = BootClock.now() + self.hosts_lag;
        self.pending.borrow_mut().push_back((due, change));
    }

    /// The host list as it is shown now.
    fn hosts(&self) -> Vec<ServerEntry> {
        let now = BootClock.now();
        let mut pending = self.pending.borrow_mut();
        let mut shown = self.shown.borrow_mut();
        while let Some((_, (address, entry))) = pending.pop_front_if(|(due, _)| *due <= now) {
            match entry {
                Some(entry) => shown.insert(address, entry),
                None => shown.remove(&address),
            };
        }
        shown.values().cloned().collect()
    }

    fn count(&self, change: impl FnOnce(&mut PlatformCounts)) {
        let mut counts = self.counts.get();
        change(&mut counts);
        self.counts.set(counts);
    }

    /// Takes one answer to lose.
    fn loses_answer(&self) -> bool {
        let mut faults = self.faults.borrow_mut();
        let loses = faults.lose_answers > 0;
        faults.lose_answers = faults.lose_answers.saturating_sub(1);
        loses
    }

    /// Waits as the faults say; the error is the answer to send.
    async fn enter(&self) -> Result<(), Response<BoxBody>> {
        while self.faults.borrow().freeze {
            actix_rt::time::sleep(FREEZE_INTERVAL).await;
        }
        let slow = Duration::from_millis(self.faults.borrow().slow_ms);
        if !slow.is_zero() {
            actix_rt::time::sleep(slow).await;
        }
        if self.faults.borrow().down == DownMode::Up {
            return Ok(());
        }
        let status = StatusCode::SERVICE_UNAVAILABLE;
        Err(text(status, "platform is down"))
    }

    fn write(&self, write: &TableWrite) -> WriteOutcome {
        self.count(|counts| counts.table_writes += 1);
        self.table.borrow_mut().write(write)
    }
}

/// Answers the platform's calls.
#[derive(Debug)]
struct PlatformHandler {
    state: Rc<PlatformState>,
}

impl RequestHandler for PlatformHandler {
    async fn handle(
        &self,
        mut request: Request,
        connection: Rc<ConnectionControl>,
    ) -> Response<BoxBody> {
        let path = request.path().to_owned();
        let answer = match path.strip_prefix("/admin/") {
            Some(path) => self.administer(&mut request, path, &connection).await,
            None => self.serve(&mut request, &path, &connection).await,
        };
        answer.unwrap_or_else(|answer| answer)
    }
}

/// An answer; an early one stands as the error.
type Answer = Result<Response<BoxBody>, Response<BoxBody>>;

impl PlatformHandler {
    async fn serve(
        &self,
        request: &mut Request,
        path: &str,
        connection: &Rc<ConnectionControl>,
    ) -> Answer {
        let method = request.method().clone();
        if path == "/table/write" && method == Method::POST {
            return self.write_table(request, connection).await;
        }
        if let Some(name) = path.strip_prefix("/objects/") {
            return self.serve_object(request, name, connection).await;
        }
        if method != Method::GET {
            return Err(text(StatusCode::METHOD_NOT_ALLOWED, "method"));
        }
        self.state.enter().await?;
        if path == "/hosts" {
            self.state.count(|counts| counts.host_reads += 1);
            return Ok(json(&self.state.hosts()));
        }
        self.state.count(|counts| counts.table_reads += 1);
        if path == "/table/rows" {
            let prefix = query(request, "prefix").unwrap_or_default();
            return Ok(json(&self.state.table.borrow().list(&prefix)));
        }
        let key = path.strip_prefix("/table/rows/").and_then(decode_name);
        let row = key.and_then(|key| self.state.table.borrow().get(&key));
        let row = row.ok_or_else(|| text(StatusCode::NOT_FOUND, "no such row"))?;
        Ok(json(&row))
    }

    /// Writes in a task of its own, so that a slow write takes effect though its caller gave up.
    async fn write_table(
        &self,
        request: &mut Request,
        connection: &Rc<ConnectionControl>,
    ) -> Answer {
        let write: TableWrite = read_json(request).await?;
        let state = Rc::clone(&self.state);
        let task = actix_rt::spawn(async move {
            state.enter().await?;
            Ok::<_, Response<BoxBody>>(state.write(&write))
        });
        let outcome = task.await;
        let outcome = outcome.map_err(|error| failed(&error))??;
        self.answer_change(json(&outcome), connection).await
    }

    async fn serve_object(
        &self,
        request: &mut Request,
        name: &str,
        connection: &Rc<ConnectionControl>,
    ) -> Answer {
        let name = decode_name(name).ok_or_else(|| text(StatusCode::BAD_REQUEST, "name"))?;
        let body = read_body(request).await;
        let body = body.map_err(|error| text(StatusCode::BAD_REQUEST, error.to_string()))?;
        self.state.enter().await?;
        self.state.count(|counts| counts.object_calls += 1);
        if request.method() == Method::PUT {
            self.state.objects.borrow_mut().insert(name, body);
            return self
                .answer_change(text(StatusCode::OK, ""), connection)
                .await;
        }
        let object = self.state.objects.borrow().get(&name).cloned();
        let object = object.ok_or_else(|| text(StatusCode::NOT_FOUND, "no such object"))?;
        Ok(Response::with_body(StatusCode::OK, BoxBody::new(object)))
    }

    /// Answers a change that took effect, unless the answer is to be lost.
    async fn answer_change(
        &self,
        answer: Response<BoxBody>,
        connection: &Rc<ConnectionControl>,
    ) -> Answer {
        if self.state.loses_answer() {
            connection.close();
            std::future::pending::<()>().await;
        }
        Ok(answer)
    }

    async fn administer(
        &self,
        request: &mut Request,
        path: &str,
        connection: &Rc<ConnectionControl>,
    ) -> Answer {
        let method = request.method().clone();
        match (method.as_str(), path) {
            ("GET", "faults") => return Ok(json(&*self.state.faults.borrow())),
            ("PUT", "faults") => {
                let faults = read_json(request).await?;
                self.state.set_faults(faults, Some(connection));
            }
            ("GET", "counts") => return Ok(json(&self.state.counts.get())),
            ("PUT", "hosts") => {
                let entry: ServerEntry = read_json(request).await?;
                let address = entry.server.address;
                self.state.change_hosts((address, Some(entry)));
            }
            ("DELETE", path) => {
                let address = path.strip_prefix("hosts/").and_then(decode_name);
                let address = address.and_then(|address| address.parse().ok());
                let address = address.ok_or_else(not_found)?;
                self.state.change_hosts((address, None));
            }
            _ => return Err(not_found()),
        }
        Ok(text(StatusCode::OK, ""))
    }
}

/// The answer to a path that does not exist.
fn not_found() -> Response<BoxBody> {
    text(StatusCode::NOT_FOUND, "no such path")
}

/// The answer to a call whose task ended early.
fn failed(error: &dyn std::error::Error) -> Response<BoxBody> {
    text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string())
}
