//! Load reports and sends of this gate that have not yet been sent to other gates.
//!
//! The module `load_updates` sends them in datagrams, so that other gates know the load of a server
//! without a probe.

use std::cell::RefCell;

use ggs_place::LoadSample;
use tokio::sync::Notify;

use crate::datagrams::{LoadBody, LoadUpdateBody};

/// Most load reports, and most sends, in one datagram; each takes 30 bytes. Further ones are
/// dropped.
const MAX_ENTRIES_COUNT: usize = 40;

/// Load reports and sends for the next datagram.
#[derive(Debug, Default)]
pub(crate) struct PendingUpdates {
    /// What the next datagram contains so far.
    pub(crate) body: RefCell<LoadUpdateBody>,
    /// Notified when something is added.
    pub(crate) added: Notify,
}

impl PendingUpdates {
    /// Adds the load that a server instance reported.
    pub(crate) fn add_load(&self, instance: &str, sample: LoadSample) {
        let mut body = self.body.borrow_mut();
        if body.loads.len() < MAX_ENTRIES_COUNT {
            body.loads.push(LoadBody::new(instance, sample));
            self.added.notify_one();
        }
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
