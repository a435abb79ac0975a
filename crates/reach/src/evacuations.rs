//! The data centres that operators want empty, as one gate knows them.

use std::time::Duration;

use foldhash::HashMap;
use ggs_model::{DataCentre, Moment};

/// Time for which an evacuation that a restored store lacks is kept: its operator writes it again.
pub const RESTORE_GRACE: Duration = Duration::from_secs(3);

/// A position in the operator's feed. A restored store gives out versions again, so positions are
/// compared by era first.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct FeedPosition {
    /// How often the store was restored from a copy.
    pub era: u64,
    /// Version of the newest transaction that the position includes.
    pub version: u64,
}

/// What a read of the operator's feed says of evacuations.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EvacuationNews {
    /// Whether the read returned all rows, so that other data centres are not evacuated.
    pub whole: bool,
    /// Data centres that are to be emptied.
    pub evacuated: Vec<DataCentre>,
    /// Data centres that are taken back.
    pub returned: Vec<DataCentre>,
}

/// The evacuated data centres as of a position in the operator's feed.
///
/// ```
/// use ggs_model::Moment;
/// use ggs_reach::{EvacuationNews, EvacuationTable, FeedPosition};
///
/// let mut table = EvacuationTable::default();
/// let news = EvacuationNews { evacuated: vec!["dc-1".into()], ..EvacuationNews::default() };
/// assert!(table.apply(&news, FeedPosition { era: 0, version: 5 }, Moment::ZERO));
/// assert!(table.contains(&"dc-1".into()));
/// assert!(!table.contains(&"dc-2".into()));
/// ```
#[derive(Clone, Debug, Default)]
pub struct EvacuationTable {
    /// For each, when it is dropped unless the restored store lists it again; `None` while it is listed.
    entries: HashMap<DataCentre, Option<Moment>>,
    position: FeedPosition,
    /// Whether any data centre has been evacuated since the gate started.
    is_used: bool,
}

impl EvacuationTable {
    /// Whether nothing may be sent to servers of a data centre.
    pub fn contains(&self, data_centre: &DataCentre) -> bool {
        self.entries.contains_key(data_centre)
    }

    /// The position up to which the evacuations are known.
    pub fn position(&self) -> FeedPosition {
        self.position
    }

    /// The evacuated data centres in order, with the time after which each is dropped unless the restored
    /// store lists it again.
    pub fn entries(&self, now: Moment) -> Vec<(DataCentre, Option<Duration>)> {
        let entries = self.entries.iter();
        let entries = entries.map(|(name, until)| (name.clone(), until.map(|at| at.since(now))));
        let mut entries: Vec<_> = entries.collect();
        entries.sort();
        entries
    }

    /// Whether any data centre has been evacuated, so that other gates have to be told.
    pub fn is_used(&self) -> bool {
        self.is_used
    }

    /// Applies a read that ends at `position`; returns whether the evacuated data centres have changed.
    /// A read that is older than what is known changes nothing.
    pub fn apply(&mut self, news: &EvacuationNews, position: FeedPosition, now: Moment) -> bool {
        if position < self.position {
            return false;
        }
        let before = self.names();
        let is_restored = position.era > self.position.era && self.position.version > 0;
        self.position = position;
        if news.whole {
            let until = if is_restored {
                now + RESTORE_GRACE
            } else {
                now
            };
            let missing = self.entries.iter_mut();
            let missing = missing.filter(|(name, _)| !news.evacuated.contains(name));
            for (_, expires_at) in missing {
                expires_at.get_or_insert(until);
            }
        }
        for name in &news.returned {
            self.entries.remove(name);
        }
        let evacuated = news.evacuated.iter().cloned();
        self.entries.extend(evacuated.map(|name| (name, None)));
        self.drop_expired(now);
        self.is_used |= !self.entries.is_empty();
        self.names() != before
    }

    /// Replaces what is known by what another gate knows as of `position`, if that is newer; returns
    /// whether the evacuated data centres have changed.
    pub fn replace(
        &mut self,
        entries: impl IntoIterator<Item = (DataCentre, Option<Duration>)>,
        position: FeedPosition,
        now: Moment,
    ) -> bool {
        if position <= self.position {
            return false;
        }
        let before = self.names();
        self.position = position;
        let entries = entries.into_iter();
        self.entries = entries
            .map(|(name, left)| (name, left.map(|left| now + left)))
            .collect();
        self.is_used = true;
        self.names() != before
    }

    /// Drops evacuations that a restored store has not listed again in time; returns whether there were
    /// any.
    pub fn expire(&mut self, now: Moment) -> bool {
        let before = self.entries.len();
        self.drop_expired(now);
        self.entries.len() != before
    }

    /// Drops evacuations whose time is over.
    fn drop_expired(&mut self, now: Moment) {
        self.entries
            .retain(|_, expires_at| expires_at.is_none_or(|at| at > now));
    }

    /// The evacuated data centres in order.
    fn names(&self) -> Vec<DataCentre> {
        let mut names: Vec<_> = self.entries.keys().cloned().collect();
        names.sort();
        names
    }
}
