//! State of the feeds of configurations and servers at this gate.
//!
//! Each feed is read from the store or received from another gate. The tasks that read a feed share
//! this state with the tasks that receive datagrams: the cursor, and what makes a read necessary.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

use bytes::Bytes;
use ggs_model::Moment;
use tokio::sync::Notify;

use crate::parts::PartCollector;
use crate::ports::FeedCursor;

/// The text of a configuration, kept to pass it on to other gates.
#[derive(Clone, Debug)]
pub(crate) struct ConfigText {
    /// Version that the text declares.
    pub(crate) version: u64,
    /// Text as the operator wrote it.
    pub(crate) bytes: Bytes,
}

/// What another gate says of its configuration.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PeerConfig {
    /// Address of the gate.
    pub(crate) address: SocketAddr,
    pub(crate) version: u64,
    /// Length of its text; zero if the gate does not state it.
    pub(crate) bytes: u64,
    /// When the gate last knew that version to be the newest; `None` if it does not state it.
    pub(crate) confirmed_at: Option<Moment>,
}

/// State of the configuration feed.
#[derive(Debug, Default)]
pub(crate) struct ConfigFeed {
    /// Cursor of the last read from the store; `None` makes the next read return all rows.
    pub(crate) cursor: Cell<Option<FeedCursor>>,
    /// When the version in force here was last known to be the newest one.
    pub(crate) confirmed_at: Cell<Moment>,
    /// Text of the configuration in force; `None` if there is none.
    pub(crate) text: RefCell<Option<ConfigText>>,
    /// A gate that had a newer configuration in force when it last said so.
    newer_peer: Cell<Option<PeerConfig>>,
    /// Whether this gate has to read the store at once, even if another gate reads for the data
    /// centre.
    pub(crate) read_requested: Cell<bool>,
    /// Until when the store is not read again, as it failed. Other gates are asked meanwhile.
    pub(crate) retry_at: Cell<Moment>,
    /// Wakes the task that follows the feed.
    pub(crate) wakeup: Notify,
}

impl ConfigFeed {
    /// The version in force; zero if there is none.
    pub(crate) fn version(&self) -> u64 {
        let text = self.text.borrow();
        text.as_ref().map_or(0, |text| text.version)
    }

    /// Length of the text of the configuration in force; zero if there is none.
    pub(crate) fn byte_count(&self) -> u64 {
        let text = self.text.borrow();
        text.as_ref().map_or(0, |text| text.bytes.len() as u64)
    }

    /// Text of the configuration in force; `None` if there is none.
    pub(crate) fn bytes(&self) -> Option<Bytes> {
        let text = self.text.borrow();
        text.as_ref().map(|text| text.bytes.clone())
    }

    /// Remembers another gate if its configuration is newer than the one in force here. If it is the
    /// same, this gate knows it to be the newest as of the time that the other gate states.
    pub(crate) fn note_peer(&self, peer: PeerConfig) {
        if peer.version > self.version() {
            self.newer_peer.set(Some(peer));
            self.wakeup.notify_one();
        } else if let Some(at) = peer.confirmed_at
            && peer.version == self.version()
        {
            self.confirm(at);
        }
    }

    /// Whether a gate has a newer configuration in force, as far as is known.
    pub(crate) fn has_newer_peer(&self) -> bool {
        let peer = self.newer_peer.get();
        peer.is_some_and(|peer| peer.version > self.version())
    }

    /// Takes the gate that has a newer configuration in force; `None` if there is none.
    pub(crate) fn take_newer_peer(&self) -> Option<PeerConfig> {
        let peer = self.newer_peer.take()?;
        (peer.version > self.version()).then_some(peer)
    }

    /// Records that the version in force here was the newest at `at`.
    pub(crate) fn confirm(&self, at: Moment) {
        self.confirmed_at.set(self.confirmed_at.get().max(at));
    }

    /// Drops the cursor, and wakes the task that may wait at the store for changes after it.
    pub(crate) fn restart(&self) {
        self.cursor.set(None);
        self.wakeup.notify_one();
    }

    /// Makes this gate read the store itself at once.
    pub(crate) fn request_read(&self) {
        self.read_requested.set(true);
        self.wakeup.notify_one();
    }
}

/// State of the feed of servers.
#[derive(Debug, Default)]
pub(crate) struct ServerFeed {
    /// Cursor up to which the list is known; `None` makes the next read return all rows.
    pub(crate) cursor: Cell<Option<FeedCursor>>,
    /// When the list was last known to be up to date.
    pub(crate) fresh_at: Cell<Moment>,
    /// Whether the list may be wrong, because its digest differs from another gate's or because the
    /// store lost the history. The next read then returns all rows.
    pub(crate) diverged: Cell<bool>,
    /// Whether this gate lacks changes that were sent to it, so that it has to read the changes after
    /// its cursor at once.
    pub(crate) lacks_changes: Cell<bool>,
    /// Parts of changes that other gates sent.
    pub(crate) parts: RefCell<PartCollector>,
    /// Until when this gate of a new fleet lets other gates read the store.
    pub(crate) defer_until: Cell<Moment>,
    /// Whether the last read from the store failed.
    pub(crate) reads_failing: Cell<bool>,
    /// Wakes the task that follows the feed.
    pub(crate) wakeup: Notify,
}
