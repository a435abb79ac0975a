//! Sends nothing to servers of data centres that operators want empty.
//!
//! The reader of a data centre learns of evacuations with the configurations, and its datagrams tell the
//! other gates. Servers of an evacuated data centre are left out of all load tables, so no request,
//! retry, trial or load probe reaches them; requests that are on their way are answered. If all data
//! centres are evacuated, requests are refused.

use ggs_model::{Clock, Moment};
use ggs_observe::LogEvent;
use ggs_reach::{EvacuationNews, FeedPosition};

use crate::core::EdgeCore;
use crate::datagrams::EvacuationBody;
use crate::ports::{FeedCursor, FeedPage, FeedValue};

impl From<FeedCursor> for FeedPosition {
    fn from(cursor: FeedCursor) -> Self {
        Self {
            era: cursor.era,
            version: cursor.version,
        }
    }
}

impl From<&FeedPage<()>> for EvacuationNews {
    /// The key of a row is the data centre. The row itself is the request, whatever its value.
    fn from(page: &FeedPage<()>) -> Self {
        let mut news = Self {
            whole: page.whole,
            ..Self::default()
        };
        for change in &page.changes {
            let name = (*change.key).into();
            match change.value {
                FeedValue::Present(()) | FeedValue::Unreadable(_) => news.evacuated.push(name),
                FeedValue::Removed => news.returned.push(name),
            }
        }
        news
    }
}

impl<W, S> EdgeCore<W, S> {
    /// Applies the evacuations in a read of the store.
    pub(crate) fn apply_evacuations(&self, page: &FeedPage<()>) {
        let (news, position) = (EvacuationNews::from(page), page.cursor.into());
        let now = self.clock.now();
        let is_changed = self.evacuations.borrow_mut().apply(&news, position, now);
        self.refresh_evacuations(is_changed, "store");
    }

    /// Applies what another gate knows of evacuations.
    pub(crate) fn apply_peer_evacuations(&self, body: &EvacuationBody) {
        let (entries, now) = (body.entries(), self.clock.now());
        let mut evacuations = self.evacuations.borrow_mut();
        let is_changed = evacuations.replace(entries, body.position(), now);
        drop(evacuations);
        self.refresh_evacuations(is_changed, "gate");
    }

    /// Drops evacuations that a restored store has not listed again.
    pub(crate) fn expire_evacuations(&self, now: Moment) {
        let is_changed = self.evacuations.borrow_mut().expire(now);
        self.refresh_evacuations(is_changed, "restore");
    }

    /// What other gates are told of evacuations; `None` if there have been none.
    pub(crate) fn encode_evacuations(&self) -> Option<EvacuationBody> {
        let evacuations = self.evacuations.borrow();
        let entries = evacuations.entries(self.clock.now());
        let body = EvacuationBody::new(evacuations.position(), &entries);
        evacuations.is_used().then_some(body)
    }

    /// Removes the servers of evacuated data centres from the load tables, or adds them again.
    fn refresh_evacuations(&self, is_changed: bool, source: &'static str) {
        if !is_changed {
            return;
        }
        let now = self.clock.now();
        self.refresh_services(now);
        let entries = self.evacuations.borrow().entries(now);
        self.metrics.set_evacuated(entries.len());
        let names: Vec<_> = entries.iter().map(|(name, _)| name.as_str()).collect();
        let pairs = slog::o!(
            "data_centres" => names.join(","),
            "source" => source,
            "servers" => self.server_count(),
        );
        let message = "the evacuated data centres have changed";
        self.log.emit(LogEvent::EvacuationChanged, message, pairs);
    }
}
