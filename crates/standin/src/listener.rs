//! An HTTP listener whose connections and port can be made to fail.

use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use actix_http::body::BoxBody;
use actix_http::{HttpService, KeepAlive, Request, Response};
use actix_rt::net::TcpStream;
use actix_service::{Service, ServiceFactory, fn_service};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinHandle;

use crate::connection::{ConnectionControl, ControlledStream};

/// Time between tries to take the port again.
const REBIND_INTERVAL: Duration = Duration::from_millis(10);

/// Answers requests.
pub(crate) trait RequestHandler: 'static {
    /// The answer to one request that came over a connection.
    fn handle(
        &self,
        request: Request,
        connection: Rc<ConnectionControl>,
    ) -> impl Future<Output = Response<BoxBody>>;
}

/// Connections of a listener, and switches for all of them.
#[derive(Debug, Default)]
pub(crate) struct ListenerControl {
    open: RefCell<Vec<Rc<ConnectionControl>>>,
    refusing: Cell<bool>,
    changed: Notify,
    opened: Cell<u64>,
    unused: RefCell<Vec<u64>>,
}

impl ListenerControl {
    /// Closes the port and all connections, or opens the port again.
    pub(crate) fn set_refusing(&self, refusing: bool) {
        if self.refusing.replace(refusing) != refusing {
            self.changed.notify_one();
        }
    }

    /// Whether the port is closed.
    pub(crate) fn is_refusing(&self) -> bool {
        self.refusing.get()
    }

    /// Silences all open connections but one.
    pub(crate) fn silence(&self, except: Option<&Rc<ConnectionControl>>) {
        for connection in self.open.borrow().iter() {
            if except.is_none_or(|except| !Rc::ptr_eq(except, connection)) {
                connection.silence();
            }
        }
    }

    /// Closes all open connections.
    fn close(&self) {
        for connection in self.open.borrow().iter() {
            connection.close();
        }
    }

    /// Connections accepted since the start.
    pub(crate) fn opened(&self) -> u64 {
        self.opened.get()
    }

    /// When the connections that carried no request were opened, in wall milliseconds.
    pub(crate) fn unused(&self) -> Vec<u64> {
        let mut times = self.unused.borrow().clone();
        let open = self.open.borrow();
        let unused = open.iter().filter(|connection| connection.requests() == 0);
        times.extend(unused.map(|connection| connection.opened().0));
        times
    }

    fn enter(self: &Rc<Self>, connection: &Rc<ConnectionControl>) -> OpenGuard {
        self.opened.set(self.opened.get() + 1);
        self.open.borrow_mut().push(Rc::clone(connection));
        OpenGuard {
            listener: Rc::clone(self),
            connection: Rc::clone(connection),
        }
    }
}

/// Removes a connection from its listener when it ends.
struct OpenGuard {
    listener: Rc<ListenerControl>,
    connection: Rc<ConnectionControl>,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        let mut open = self.listener.open.borrow_mut();
        open.retain(|connection| !Rc::ptr_eq(connection, &self.connection));
        if self.connection.requests() == 0 {
            let opened = self.connection.opened().0;
            self.listener.unused.borrow_mut().push(opened);
        }
    }
}

/// A running listener; stops when dropped.
#[derive(Debug)]
pub(crate) struct ListenerHandle {
    address: SocketAddr,
    control: Rc<ListenerControl>,
    task: JoinHandle<()>,
}

impl ListenerHandle {
    /// The address that the listener is bound to.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes the port and all connections.
    pub(crate) fn stop(&self) {
        self.task.abort();
        self.control.close();
    }
}

impl Drop for ListenerHandle {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Binds an address and answers its requests on the current runtime.
pub(crate) async fn listen<H: RequestHandler>(
    address: SocketAddr,
    control: Rc<ListenerControl>,
    handler: Rc<H>,
) -> io::Result<ListenerHandle> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let service = HttpService::build()
        .keep_alive(KeepAlive::Os)
        .client_request_timeout(Duration::ZERO)
        .h1_allow_half_closed(false)
        .on_connect_ext(|stream: &ControlledStream, data| {
            data.insert(stream.control());
        })
        .h1(fn_service(move |request: Request| {
            let handler = Rc::clone(&handler);
            async move {
                let connection = request.conn_data::<Rc<ConnectionControl>>().cloned();
                let connection = connection.expect("listener sets the connection of each request");
                connection.count_request();
                Ok::<_, Infallible>(handler.handle(request, connection).await)
            }
        }));
    let service = service.new_service(()).await;
    let service = service.map_err(|()| io::Error::other("HTTP service did not start"))?;
    let port = ListenerPort {
        address,
        control: Rc::clone(&control),
        service: Rc::new(service),
    };
    let task = actix_rt::spawn(port.run(listener));
    Ok(ListenerHandle {
        address,
        control,
        task,
    })
}

/// The accept loop of a listener.
struct ListenerPort<S> {
    address: SocketAddr,
    control: Rc<ListenerControl>,
    service: Rc<S>,
}

impl<S> ListenerPort<S>
where
    S: Service<(ControlledStream, Option<SocketAddr>)> + 'static,
{
    async fn run(self, mut listener: TcpListener) {
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    if let Ok((stream, peer)) = accepted {
                        self.serve(stream, peer);
                    }
                }
                () = self.control.changed.notified() => {
                    if self.control.refusing.get() {
                        drop(listener);
                        listener = self.reopen().await;
                    }
                }
            }
        }
    }

    /// Closes all connections, waits until the port may be taken again and takes it.
    async fn reopen(&self) -> TcpListener {
        self.control.close();
        while self.control.refusing.get() {
            self.control.changed.notified().await;
        }
        loop {
            if let Ok(listener) = TcpListener::bind(self.address).await {
                return listener;
            }
            actix_rt::time::sleep(REBIND_INTERVAL).await;
        }
    }

    /// Answers one connection's requests in a task of its own.
    fn serve(&self, stream: TcpStream, peer: SocketAddr) {
        // An accepted stream without this option works too, only slower.
        let _ = stream.set_nodelay(true);
        let connection = ConnectionControl::new();
        let guard = self.control.enter(&connection);
        let stream = ControlledStream::new(stream, Rc::clone(&connection));
        let service = Rc::clone(&self.service);
        let task = actix_rt::spawn(async move {
            let _guard = guard;
            // A connection that breaks is the caller's affair.
            let _ = service.call((stream, Some(peer))).await;
        });
        connection.set_task(task.abort_handle());
    }
}
