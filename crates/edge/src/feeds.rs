//! How far this gate knows configurations and servers.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;

use bytes::Bytes;
use ggs_model::Moment;
use tokio::sync::Notify;

use crate::ports::FeedCursor;

/// A configuration as it was read.
#[derive(Clone, Debug)]
pub(crate) struct ConfigText {
    /// Its version.
    pub(crate) version: u64,
    /// What the operator wrote.
    pub(crate) bytes: Bytes,
}

/// How far configurations are known.
#[derive(Debug, Default)]
pub(crate) struct ConfigFeed {
    /// Place in the feed.
    pub(crate) cursor: Cell<Option<FeedCursor>>,
    /// The configuration in force, for other gates.
    pub(crate) text: RefCell<Option<ConfigText>>,
    /// A gate that has a newer configuration in force.
    pub(crate) newer_peer: Cell<Option<SocketAddr>>,
    /// Whether this gate has to read the store itself.
    pub(crate) read_requested: Cell<bool>,
    pub(crate) wakeup: Notify,
}

impl ConfigFeed {
    /// The version in force; zero if there is none.
    pub(crate) fn version(&self) -> u64 {
        let text = self.text.borrow();
        text.as_ref().map_or(0, |text| text.version)
    }

    /// What the operator wrote, of the configuration in force.
    pub(crate) fn bytes(&self) -> Option<Bytes> {
        let text = self.text.borrow();
        text.as_ref().map(|text| text.bytes.clone())
    }

    /// Takes that the gate at `address` has `version` in force.
    pub(crate) fn note_peer_version(&self, version: u64, address: SocketAddr) {
        if version > self.version() {
            self.newer_peer.set(Some(address));
            self.wakeup.notify_one();
        }
    }

    /// Lets this gate read the store itself, as no other told it anything in time.
    pub(crate) fn request_read(&self) {
        self.read_requested.set(true);
        self.wakeup.notify_one();
    }
}

/// How far the list of servers is known.
#[derive(Debug, Default)]
pub(crate) struct ServerFeed {
    /// Place in the feed.
    pub(crate) cursor: Cell<Option<FeedCursor>>,
    /// When the list was last known to be the newest.
    pub(crate) fresh_at: Cell<Moment>,
    /// Whether what another gate told does not fit this gate's list.
    pub(crate) diverged: Cell<bool>,
    /// Until when a gate of a new fleet leaves it to others to read.
    pub(crate) defer_until: Cell<Moment>,
    /// Whether the last read failed.
    pub(crate) reads_failing: Cell<bool>,
    pub(crate) wakeup: Notify,
}
