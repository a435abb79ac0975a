//! Messages that are queued on one connection.
//!
//! Decides in which order queued messages are sent and which are dropped. A connection may stall
//! until its idle timeout while the gate goes on to queue state, so the queue is bounded.

use std::cell::RefCell;
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;

use ggs_follow::ChangeSet;
use ggs_model::{GateId, ServerEntry, ServerId};
use std::net::SocketAddr;
use tokio::sync::Notify;

use crate::{PeerHeartbeat, PeerMessage, PullRequest};

/// Most change sets that are queued. When the queue is full it is cleared: the peer then sees from
/// the next heartbeat that it is behind, and requests all changes that it lacks.
const MAX_QUEUED_CHANGE_SETS: usize = 8;

/// Most leaving servers that are queued. Further ones are dropped; the peer learns of them when it
/// reconnects.
const MAX_QUEUED_LEAVING: usize = 8_192;

/// The queued messages by kind: the newest one only, except for change sets and leaving servers.
#[derive(Debug, Default)]
struct QueuedMessages {
    leaving: BTreeSet<ServerId>,
    changes: VecDeque<ChangeSet>,
    pull: Option<PullRequest>,
    heartbeat: Option<PeerHeartbeat>,
    echo: Option<u64>,
    servers: Option<Vec<ServerEntry>>,
    peer_addresses: Option<Vec<SocketAddr>>,
    goodbye: Option<GateId>,
    closed: bool,
}

/// A bounded queue of the messages to one gate; clones share it.
///
/// A message replaces an older one of its kind, except for change sets, which are queued in order,
/// and leaving servers, which are merged.
///
/// ```
/// use ggs_peer::{Outbox, PeerMessage};
///
/// let outbox = Outbox::default();
/// outbox.push(PeerMessage::Echo(1));
/// outbox.push(PeerMessage::Echo(2));
/// assert_eq!(outbox.pop(), Some(PeerMessage::Echo(2)));
/// assert_eq!(outbox.pop(), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Outbox {
    queued: Rc<RefCell<QueuedMessages>>,
    changed: Rc<Notify>,
}

impl Outbox {
    /// Queues a message.
    pub fn push(&self, message: PeerMessage) {
        let mut queued = self.queued.borrow_mut();
        match message {
            // The connection itself sends the hello.
            PeerMessage::Hello(_) => return,
            PeerMessage::Heartbeat(heartbeat) => queued.heartbeat = Some(heartbeat),
            PeerMessage::Echo(sequence) => queued.echo = Some(sequence),
            PeerMessage::Leaving(servers) => {
                let room = MAX_QUEUED_LEAVING.saturating_sub(queued.leaving.len());
                queued.leaving.extend(servers.into_iter().take(room));
            }
            PeerMessage::Changes(set) => {
                if queued.changes.len() == MAX_QUEUED_CHANGE_SETS {
                    queued.changes.clear();
                }
                queued.changes.push_back(set);
            }
            PeerMessage::Pull(request) => queued.pull = Some(request),
            PeerMessage::Servers(servers) => queued.servers = Some(servers),
            PeerMessage::PeerAddresses(addresses) => queued.peer_addresses = Some(addresses),
            PeerMessage::Goodbye(gate) => queued.goodbye = Some(gate),
        }
        self.changed.notify_one();
    }

    /// Removes and returns the queued message with the highest priority: leaving servers come
    /// first, as they stop requests to those servers, and the goodbye comes last.
    pub fn pop(&self) -> Option<PeerMessage> {
        let mut queued = self.queued.borrow_mut();
        if !queued.leaving.is_empty() {
            let servers = std::mem::take(&mut queued.leaving);
            return Some(PeerMessage::Leaving(servers.into_iter().collect()));
        }
        if let Some(set) = queued.changes.pop_front() {
            return Some(PeerMessage::Changes(set));
        }
        if let Some(request) = queued.pull.take() {
            return Some(PeerMessage::Pull(request));
        }
        if let Some(heartbeat) = queued.heartbeat.take() {
            return Some(PeerMessage::Heartbeat(heartbeat));
        }
        if let Some(sequence) = queued.echo.take() {
            return Some(PeerMessage::Echo(sequence));
        }
        if let Some(servers) = queued.servers.take() {
            return Some(PeerMessage::Servers(servers));
        }
        if let Some(addresses) = queued.peer_addresses.take() {
            return Some(PeerMessage::PeerAddresses(addresses));
        }
        queued.goodbye.take().map(PeerMessage::Goodbye)
    }

    /// Closes the connection once all queued messages are sent.
    pub fn close(&self) {
        self.queued.borrow_mut().closed = true;
        self.changed.notify_one();
    }

    /// Returns whether the connection is to be closed once the queue is empty.
    pub fn is_closed(&self) -> bool {
        self.queued.borrow().closed
    }

    /// Waits for the next message; `None` once the outbox is closed and empty.
    pub(crate) async fn next(&self) -> Option<PeerMessage> {
        loop {
            if let Some(message) = self.pop() {
                return Some(message);
            }
            if self.is_closed() {
                return None;
            }
            self.changed.notified().await;
        }
    }
}
