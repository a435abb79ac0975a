//! All connections of one gate.

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

/// Events that wait for the gate; connections stop reading beyond it.
const MAX_EVENTS: usize = 1_024;

/// Connections accepted at once.
const MAX_ACCEPTED: usize = 512;

/// Bytes and frames of all connections of a gate, without the four bytes of length of each frame.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkTraffic {
    /// Frames sent.
    pub frames_sent: u64,
    /// Frames received.
    pub frames_received: u64,
    /// Bytes sent.
    pub bytes_sent: u64,
    /// Bytes received.
    pub bytes_received: u64,
}

/// A link that is kept up.
#[derive(Debug)]
struct DialledLink {
    outbox: Rc<RefCell<Outbox>>,
    up: Rc<Cell<bool>>,
    hung_up: Rc<Cell<bool>>,
}

/// The connections of one gate to the others.
#[derive(Debug)]
pub struct PeerNode {
    context: LinkContext,
    dialled: Rc<RefCell<HashMap<SocketAddr, DialledLink>>>,
}

impl PeerNode {
    /// Listens for other gates; the receiver yields what they send.
    pub fn start(
        listener: TcpListener,
        hello: PeerHello,
        timing: LinkTiming,
    ) -> (Self, mpsc::Receiver<LinkEvent>) {
        let (events, receiver) = mpsc::channel(MAX_EVENTS);
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

    /// Bytes and frames so far.
    pub fn traffic(&self) -> LinkTraffic {
        self.context.traffic.get()
    }

    /// Keeps a link to `address` up until [`hang_up`](Self::hang_up); a known address changes nothing.
    pub fn dial(&self, address: SocketAddr) {
        if self.dialled.borrow().contains_key(&address) {
            return;
        }
        let outbox = Rc::default();
        let up = Rc::default();
        let hung_up = Rc::default();
        let keeper = LinkKeeper {
            address,
            outbox: Rc::clone(&outbox),
            up: Rc::clone(&up),
            hung_up: Rc::clone(&hung_up),
            context: self.context.clone(),
        };
        actix_rt::spawn(keeper.run());
        let link = DialledLink {
            outbox,
            up,
            hung_up,
        };
        self.dialled.borrow_mut().insert(address, link);
    }

    /// Ends the link to `address` once what waits is sent.
    pub fn hang_up(&self, address: SocketAddr) {
        if let Some(link) = self.dialled.borrow_mut().remove(&address) {
            link.hung_up.set(true);
            link.outbox.borrow().close();
        }
    }

    /// Addresses of links that are kept up.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        self.dialled.borrow().keys().copied().collect()
    }

    /// Whether the link that this gate keeps to `address` is up.
    pub fn is_up(&self, address: SocketAddr) -> bool {
        let dialled = self.dialled.borrow();
        dialled.get(&address).is_some_and(|link| link.up.get())
    }

    /// Sends a message on every dialled link that is up.
    pub fn send_all(&self, message: &PeerMessage) {
        for link in self.dialled.borrow().values() {
            if link.up.get() {
                link.outbox.borrow().push(message.clone());
            }
        }
    }

    /// Ends all dialled links once what waits is sent.
    pub fn stop(&self) {
        for address in self.addresses() {
            self.hang_up(address);
        }
    }
}

/// Accepts connections until the gate stops listening to events.
async fn accept_links(listener: TcpListener, context: LinkContext) {
    let accepted = Rc::new(Cell::new(0_usize));
    while !context.events.is_closed() {
        let Ok((stream, address)) = listener.accept().await else {
            // Out of descriptors, most likely; connections that end will free some.
            sleep(context.timing.backoff).await;
            continue;
        };
        if accepted.get() >= MAX_ACCEPTED {
            continue;
        }
        accepted.set(accepted.get() + 1);
        let context = context.clone();
        let accepted = Rc::clone(&accepted);
        actix_rt::spawn(async move {
            let introduced = Cell::new(false);
            let fault = serve_connection(
                stream,
                LinkSide::Accepted,
                Outbox::default(),
                &context,
                &introduced,
            )
            .await;
            accepted.set(accepted.get() - 1);
            let down = LinkEvent::Down { address, fault };
            // The gate has stopped if nobody listens.
            let _ = context.events.send(down).await;
        });
    }
}

/// Keeps one dialled link up.
struct LinkKeeper {
    address: SocketAddr,
    /// Of the present connection: what an earlier one did not send is old.
    outbox: Rc<RefCell<Outbox>>,
    up: Rc<Cell<bool>>,
    hung_up: Rc<Cell<bool>>,
    context: LinkContext,
}

impl LinkKeeper {
    /// Connects again and again until hung up.
    async fn run(self) {
        let mut backoff = self.context.timing.backoff;
        while !self.hung_up.get() {
            let fault = self.connect_once().await;
            if self.up.replace(false) {
                backoff = self.context.timing.backoff;
            }
            let own = fault == LinkFault::OwnAddress;
            let address = self.address;
            let down = LinkEvent::Down { address, fault };
            if self.context.events.send(down).await.is_err() || own {
                return;
            }
            sleep(jittered(backoff)).await;
            backoff = (backoff * 2).min(self.context.timing.backoff_limit);
        }
    }

    /// Serves one connection until it ends.
    async fn connect_once(&self) -> LinkFault {
        let connect = TcpStream::connect(self.address);
        let stream = match timeout(self.context.timing.connect, connect).await {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => {
                let cause = error.to_string();
                return LinkFault::Unreachable { cause };
            }
            Err(_) => return LinkFault::Silent,
        };
        let outbox = Outbox::default();
        self.outbox.replace(outbox.clone());
        if self.hung_up.get() {
            return LinkFault::HungUp;
        }
        serve_connection(stream, LinkSide::Dialled, outbox, &self.context, &self.up).await
    }
}

/// A wait of 50% to 150% of `mean`, so that gates that lost a peer together do not return together.
fn jittered(mean: Duration) -> Duration {
    mean.mul_f64(rand::random_range(0.5..1.5))
}
