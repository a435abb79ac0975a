//! Loads and sends that the other gates were not told yet.

use std::cell::RefCell;

use ggs_place::LoadSample;
use tokio::sync::Notify;

use crate::frames::{LoadBody, NewsBody};

/// Entries of one datagram at most; thirty bytes each.
const MAX_ENTRIES_COUNT: usize = 40;

/// News that were not sent yet.
#[derive(Debug, Default)]
pub(crate) struct PendingNews {
    pub(crate) body: RefCell<NewsBody>,
    pub(crate) added: Notify,
}

impl PendingNews {
    /// Adds the load that a server told.
    pub(crate) fn add_load(&self, instance: &str, sample: LoadSample) {
        let mut body = self.body.borrow_mut();
        if body.loads.len() < MAX_ENTRIES_COUNT {
            body.loads.push(LoadBody::new(instance, sample));
            self.added.notify_one();
        }
    }

    /// Adds a send.
    pub(crate) fn add_send(&self, instance: &str) {
        let mut body = self.body.borrow_mut();
        if body.sends.len() < MAX_ENTRIES_COUNT {
            body.sends.push(instance.to_owned());
            self.added.notify_one();
        }
    }
}
