//! Load reports, sends and notices of leaving servers that have not yet been sent to other gates.
//!
//! The module `load_updates` sends them in datagrams, so that other gates know the load of a server
//! without a probe, and that it is leaving without an answer of its own.

use std::cell::RefCell;
use std::time::Duration;

use ggs_place::LoadSample;
use tokio::sync::Notify;

use crate::datagrams::{LeavingBody, LoadBody, LoadUpdateBody};

/// Most load reports, and most sends, in one datagram; each takes 30 bytes. Further ones are
/// dropped.
const MAX_ENTRIES_COUNT: usize = 40;

/// What the next datagrams contain.
#[derive(Debug, Default)]
pub(crate) struct PendingUpdates {
    /// Load reports and sends for the next datagram.
    pub(crate) body: RefCell<LoadUpdateBody>,
    /// Servers that are leaving, for all gates of the data centre.
    pub(crate) leaving: RefCell<Vec<LeavingBody>>,
    /// Notified when something is added.
    pub(crate) added: Notify,
}

impl PendingUpdates {
    /// Adds the load that a server instance reported.
    pub(crate) fn add_load(&self, instance: &str, sample: LoadSample, cold_left: Duration) {
        let mut body = self.body.borrow_mut();
        if body.loads.len() < MAX_ENTRIES_COUNT {
            body.loads.push(LoadBody::new(instance, sample, cold_left));
            self.added.notify_one();
        }
    }

    /// Adds a server that said that it is leaving.
    pub(crate) fn add_leaving(&self, server: LeavingBody) {
        self.leaving.borrow_mut().push(server);
        self.added.notify_one();
    }

    /// Adds a request that this gate sent to a server instance.
    pub(crate) fn add_send(&self, instance: &str) {
        let mut body = self.body.borrow_mut();
        if body.sends.len() < MAX_ENTRIES_COUNT {
            body.sends.push(instance.to_owned());
            self.added.notify_one();
        }
    }
}
