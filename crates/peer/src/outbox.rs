//! What waits to be sent on one connection.

use std::cell::RefCell;
use std::collections::{BTreeSet, VecDeque};
use std::rc::Rc;

use ggs_follow::ChangeSet;
use ggs_model::{GateId, ServerEntry, ServerId};
use std::net::SocketAddr;
use tokio::sync::Notify;

use crate::{PeerHeartbeat, PeerMessage, PullRequest};

/// Change sets that wait at most; beyond that the peer sees the newer revision in the next heartbeat
/// and asks for all it lacks.
const MAX_CHANGES: usize = 8;

/// Leaving servers that wait at most; the rest follow when the peer connects anew.
const MAX_LEAVING: usize = 8_192;

/// The newest message of each kind.
#[derive(Debug, Default)]
struct OutboxSlots {
    leaving: BTreeSet<ServerId>,
    changes: VecDeque<ChangeSet>,
    pull: Option<PullRequest>,
    heartbeat: Option<PeerHeartbeat>,
    echo: Option<u64>,
    servers: Option<Vec<ServerEntry>>,
    roster: Option<Vec<SocketAddr>>,
    goodbye: Option<GateId>,
    closed: bool,
}

/// A bounded queue that keeps the newest state of each kind; clones share it.
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
    slots: Rc<RefCell<OutboxSlots>>,
    filled: Rc<Notify>,
}

impl Outbox {
    /// Adds a message, in place of an older one of its kind.
    pub fn push(&self, message: PeerMessage) {
        let mut slots = self.slots.borrow_mut();
        match message {
            // Each connection sends its own.
            PeerMessage::Hello(_) => return,
            PeerMessage::Heartbeat(heartbeat) => slots.heartbeat = Some(heartbeat),
            PeerMessage::Echo(sequence) => slots.echo = Some(sequence),
            PeerMessage::Leaving(servers) => {
                let room = MAX_LEAVING.saturating_sub(slots.leaving.len());
                slots.leaving.extend(servers.into_iter().take(room));
            }
            PeerMessage::Changes(set) => {
                if slots.changes.len() == MAX_CHANGES {
                    slots.changes.clear();
                }
                slots.changes.push_back(set);
            }
            PeerMessage::Pull(request) => slots.pull = Some(request),
            PeerMessage::Servers(servers) => slots.servers = Some(servers),
            PeerMessage::Roster(addresses) => slots.roster = Some(addresses),
            PeerMessage::Goodbye(gate) => slots.goodbye = Some(gate),
        }
        self.filled.notify_one();
    }

    /// Takes the most pressing message.
    pub fn pop(&self) -> Option<PeerMessage> {
        let mut slots = self.slots.borrow_mut();
        if !slots.leaving.is_empty() {
            let servers = std::mem::take(&mut slots.leaving);
            return Some(PeerMessage::Leaving(servers.into_iter().collect()));
        }
        if let Some(set) = slots.changes.pop_front() {
            return Some(PeerMessage::Changes(set));
        }
        if let Some(request) = slots.pull.take() {
            return Some(PeerMessage::Pull(request));
        }
        if let Some(heartbeat) = slots.heartbeat.take() {
            return Some(PeerMessage::Heartbeat(heartbeat));
        }
        if let Some(sequence) = slots.echo.take() {
            return Some(PeerMessage::Echo(sequence));
        }
        if let Some(servers) = slots.servers.take() {
            return Some(PeerMessage::Servers(servers));
        }
        if let Some(addresses) = slots.roster.take() {
            return Some(PeerMessage::Roster(addresses));
        }
        slots.goodbye.take().map(PeerMessage::Goodbye)
    }

    /// Ends the connection once everything that waits is sent.
    pub fn close(&self) {
        self.slots.borrow_mut().closed = true;
        self.filled.notify_one();
    }

    /// Whether the connection is to end.
    pub fn is_closed(&self) -> bool {
        self.slots.borrow().closed
    }

    /// Waits for a message; `None` once closed and empty.
    pub(crate) async fn next(&self) -> Option<PeerMessage> {
        loop {
            if let Some(message) = self.pop() {
                return Some(message);
            }
            if self.is_closed() {
                return None;
            }
            self.filled.notified().await;
        }
    }
}
