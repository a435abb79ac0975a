//! All connections of one gate to other gates.
//!
//! Keeps a connection to each dialled address and reconnects with backoff and jitter when it ends;
//! accepts connections from other gates up to a limit. Which gates to dial is decided elsewhere.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use foldhash::{HashMap, HashMapExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::{sleep, timeout};

use crate::connection::{LinkContext, serve_connection};
use crate::{LinkEvent, LinkFault, LinkSide, LinkTiming, Outbox, PeerHello, PeerMessage};

/// Most events that are queued for the gate. While the queue is full, connections stop reading.
const MAX_QUEUED_EVENTS: usize = 1_024;

/// Most accepted connections that are open at once; further ones are closed immediately.
const MAX_ACCEPTED_CONNECTIONS: usize = 512;

/// Frames and bytes on all connections of a gate since its start.
///
/// Bytes do not include the four bytes of length in front of each frame.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkTraffic {
    /// Frames sent, including those that failed while being sent.
    pub frames_sent: u64,
    /// Frames received.
    pub frames_received: u64,
    /// Bytes in the frames sent.
    pub bytes_sent: u64,
    /// Bytes in the frames received.
    pub bytes_received: u64,
}

/// State of the link that this gate keeps to one address, over successive connections; shared with
/// its [`LinkDialler`].
#[derive(Debug)]
struct DialledLink {
    outbox: Rc<RefCell<Outbox>>,
    is_up: Rc<Cell<bool>>,
    is_closing: Rc<Cell<bool>>,
}

/// The connections of one gate to the others.
#[derive(Debug)]
pub struct PeerNode {
    context: LinkContext,
    dialled: Rc<RefCell<HashMap<SocketAddr, DialledLink>>>,
}

impl PeerNode {
    /// Starts to accept connections; the receiver yields the events of all connections.
    pub fn start(
        listener: TcpListener,
        hello: PeerHello,
        timing: LinkTiming,
    ) -> (Self, mpsc::Receiver<LinkEvent>) {
        let (events, receiver) = mpsc::channel(MAX_QUEUED_EVENTS);
        let context = LinkContext {
            hello,
            timing,
            events,
            traffic: Rc::default(),
        };
        actix_rt::spawn(accept_links(listener, context.clone()));
        let dialled = Rc::new(RefCell::new(HashMap::new()));
        (Self { context, dialled }, receiver)
    }

    /// Returns the frames and bytes sent and received so far.
    pub fn traffic(&self) -> LinkTraffic {
        self.context.traffic.get()
    }

    /// Opens a link to `address` and reconnects whenever it ends, until
    /// [`disconnect`](Self::disconnect).
    ///
    /// Does nothing if the address has been dialled already.
    pub fn dial(&self, address: SocketAddr) {
        if self.dialled.borrow().contains_key(&address) {
            return;
        }
        let outbox = Rc::default();
        let is_up = Rc::default();
        let is_closing = Rc::default();
        let dialler = LinkDialler {
            address,
            outbox: Rc::clone(&outbox),
            is_up: Rc::clone(&is_up),
            is_closing: Rc::clone(&is_closing),
            context: self.context.clone(),
        };
        actix_rt::spawn(dialler.run());
        let link = DialledLink {
            outbox,
            is_up,
            is_closing,
        };
        self.dialled.borrow_mut().insert(address, link);
    }

    /// Closes the link to `address` once the queued messages are sent.
    pub fn disconnect(&self, address: SocketAddr) {
        if let Some(link) = self.dialled.borrow_mut().remove(&address) {
            link.is_closing.set(true);
            link.outbox.borrow().close();
        }
    }

    /// Returns the addresses of all dialled links, whether they are up or not.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.dialled.borrow().keys().copied().collect()
    }

    /// Returns whether the link that this gate dialled to `address` is up.
    pub fn is_up(&self, address: SocketAddr) -> bool {
        let dialled = self.dialled.borrow();
        dialled.get(&address).is_some_and(|link| link.is_up.get())
    }

    /// Queues a message on every dialled link that is up.
    pub fn send_all(&self, message: &PeerMessage) {
        for link in self.dialled.borrow().values() {
            if link.is_up.get() {
                link.outbox.borrow().push(message.clone());
            }
        }
    }

    /// Closes all dialled links once their queued messages are sent.
    pub fn stop(&self) {
        for address in self.addresses() {
            self.disconnect(address);
        }
    }
}

/// Accepts connections until the gate drops the receiver of events.
async fn accept_links(listener: TcpListener, context: LinkContext) {
    let accepted = Rc::new(Cell::new(0_usize));
    while !context.events.is_closed() {
        let Ok((stream, address)) = listener.accept().await else {
            // Probably out of file descriptors; connections that end will free some.
            sleep(context.timing.initial_backoff).await;
            continue;
        };
        if accepted.get() >= MAX_ACCEPTED_CONNECTIONS {
            continue;
        }
        accepted.set(accepted.get() + 1);
        let context = context.clone();
        let accepted = Rc::clone(&accepted);
        actix_rt::spawn(async move {
            let is_up = Cell::new(false);
            let fault = serve_connection(
                stream,
                LinkSide::Accepted,
                Outbox::default(),
                &context,
                &is_up,
            )
            .await;
            accepted.set(accepted.get() - 1);
            let down = LinkEvent::Down { address, fault };
            // The gate has stopped if the receiver is gone.
            let _ = context.events.send(down).await;
        });
    }
}

/// Task that connects one dialled link, and reconnects it.
struct LinkDialler {
    address: SocketAddr,
    /// Outbox of the current connection. Messages that an earlier connection did not send are
    /// dropped with its outbox, as they are out of date.
    outbox: Rc<RefCell<Outbox>>,
    is_up: Rc<Cell<bool>>,
    is_closing: Rc<Cell<bool>>,
    context: LinkContext,
}

impl LinkDialler {
    /// Connects and reconnects until the link is closed, or turns out to lead to this gate itself.
    ///
    /// The host list and the settings of all gates may contain a gate's own address. Such an
    /// address stays among the dialled ones, so it is not dialled again.
    async fn run(self) {
        let mut backoff = self.context.timing.initial_backoff;
        while !self.is_closing.get() {
            let fault = self.connect_once().await;
            if self.is_up.replace(false) {
                backoff = self.context.timing.initial_backoff;
            }
            let is_own = fault == LinkFault::OwnAddress;
            let address = self.address;
            let down = LinkEvent::Down { address, fault };
            if self.context.events.send(down).await.is_err() || is_own {
                return;
            }
            sleep(jittered(backoff)).await;
            backoff = (backoff * 2).min(self.context.timing.max_backoff);
        }
    }

    /// Opens one connection and serves it until it ends.
    async fn connect_once(&self) -> LinkFault {
        let connect = TcpStream::connect(self.address);
        let stream = match timeout(self.context.timing.connect_timeout, connect).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                let cause = error.to_string();
                return LinkFault::Unreachable { cause };
            }
            Err(_) => return LinkFault::TimedOut,
        };
        let outbox = Outbox::default();
        self.outbox.replace(outbox.clone());
        if self.is_closing.get() {
            return LinkFault::ClosedLocally;
        }
        serve_connection(
            stream,
            LinkSide::Dialled,
            outbox,
            &self.context,
            &self.is_up,
        )
        .await
    }
}

/// Returns a delay of 50% to 150% of `mean`, so that gates that lost a peer at the same time do not
/// reconnect at the same time.
fn jittered(mean: Duration) -> Duration {
    mean.mul_f64(rand::random_range(0.5..1.5))
}
