//! Servers that turned a request of this gate away and want no further ones for some time.
//!
//! A server asks the gate that it answers, so what one gate knows does not hold for others.

use std::sync::Arc;

use foldhash::HashMap;
use ggs_model::Moment;

/// A rest that one run of a server wants.
#[derive(Clone, Copy, Debug)]
struct RestEntry {
    /// Start of the run in Unix milliseconds; `None` if it is not known.
    started_ms: Option<u64>,
    until: Moment,
}

/// The servers that want rest from this gate, by instance identifier.
///
/// A server that has started again has forgotten what it asked for, so a rest holds for one run.
///
/// ```
/// use ggs_limit::ServerRests;
/// use ggs_model::Moment;
///
/// let mut rests = ServerRests::default();
/// assert!(rests.record("i-1", Some(7), Moment::from_millis(3_000), Moment::ZERO));
/// let until = |started_ms| rests.until("i-1", Some(started_ms), Moment::from_millis(2_999));
/// assert_eq!(until(7), Some(Moment::from_millis(3_000)));
/// assert_eq!(until(8), None);
/// ```
#[derive(Clone, Debug, Default)]
pub struct ServerRests {
    entries: HashMap<Arc<str>, RestEntry>,
}

impl ServerRests {
    /// Records that a server wants rest; the longest rest of one run counts. Returns whether that
    /// begins one.
    pub fn record(
        &mut self,
        server: &str,
        started_ms: Option<u64>,
        until: Moment,
        now: Moment,
    ) -> bool {
        let known = self.until(server, started_ms, now);
        let until = known.map_or(until, |known| known.max(until));
        self.entries
            .insert(server.into(), RestEntry { started_ms, until });
        known.is_none() && until > now
    }

    /// The end of the rest that a run of a server wants; `None` if it wants none now.
    pub fn until(&self, server: &str, started_ms: Option<u64>, now: Moment) -> Option<Moment> {
        let entry = self.entries.get(server)?;
        let rests = entry.started_ms == started_ms && entry.until > now;
        rests.then_some(entry.until)
    }

    /// Forgets the rests that are over, and returns the servers.
    pub fn expire(&mut self, now: Moment) -> Vec<Arc<str>> {
        let over = self.entries.extract_if(|_, entry| entry.until <= now);
        over.map(|(server, _)| server).collect()
    }
}
