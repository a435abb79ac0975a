//! Collects the parts of a set of changes that is too long for one datagram.

use crate::datagrams::ServerChangesBody;
use crate::ports::FeedCursor;

/// Most parts of one set of changes. If there are more, none are sent, and the other gates read them
/// from the store.
pub(crate) const MAX_PART_COUNT: usize = 256;

/// The parts of the newest set of changes.
#[derive(Clone, Debug, Default)]
pub(crate) struct PartCollector {
    cursor: FeedCursor,
    parts: Vec<Option<ServerChangesBody>>,
}

/// What a part brought.
#[derive(Clone, Debug, PartialEq)]
pub(crate) enum PartOutcome {
    /// It is not part of the newest set, or was received before.
    Ignored,
    /// Other parts are missing. If this was the last one, some of them are lost.
    Incomplete {
        /// Whether this was the last part.
        last: bool,
    },
    /// The set is complete.
    Complete(ServerChangesBody),
}

impl PartCollector {
    /// Adds a part.
    pub(crate) fn add(&mut self, part: ServerChangesBody) -> PartOutcome {
        let (index, count) = (part.part as usize, part.part_count as usize);
        let cursor = part.cursor();
        if index >= count || count > MAX_PART_COUNT || cursor < self.cursor {
            return PartOutcome::Ignored;
        }
        if cursor != self.cursor || self.parts.len() != count {
            self.cursor = cursor;
            self.parts = vec![None; count];
        }
        let entry = &mut self.parts[index];
        if entry.is_some() {
            return PartOutcome::Ignored;
        }
        *entry = Some(part);
        if self.parts.iter().any(Option::is_none) {
            let last = index + 1 == count;
            return PartOutcome::Incomplete { last };
        }
        let parts = self.parts.iter().flatten().cloned().collect();
        PartOutcome::Complete(ServerChangesBody::join(parts))
    }
}
