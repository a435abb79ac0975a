//! Keeps requests in quarantine in the platform's store, so that they stay there when all gates of a
//! data centre restart.
//!
//! The gate that sees the last crash writes the request. The reader of a data centre reads all rows
//! when it becomes the reader after a start in a running fleet, and removes old ones; heartbeats carry
//! them to the other gates.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ggs_model::Clock;
use ggs_quarantine::RequestDigest;
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

use crate::core::EdgeCore;
use crate::ports::{EdgeWire, FleetError, FleetStore, QuarantineRow};
use crate::store_health::StoreHealth;

/// Time between two checks of whether this gate has to read the rows.
const CHECK_PERIOD: Duration = Duration::from_secs(1);

/// Time between two reads of one gate; only a removal of old rows needs the later ones.
const READ_PERIOD: Duration = Duration::from_mins(30);

/// Requests whose rows have to be written.
#[derive(Debug, Default)]
pub(crate) struct UnsavedQuarantine {
    requests: RefCell<BTreeSet<RequestDigest>>,
    added: Notify,
}

impl UnsavedQuarantine {
    /// Adds a request.
    pub(crate) fn add(&self, request: RequestDigest) {
        self.requests.borrow_mut().insert(request);
        self.added.notify_one();
    }
}

impl<W, S> EdgeCore<W, S>
where
    W: EdgeWire,
    S: FleetStore,
{
    /// Writes the rows of the given requests.
    async fn write_quarantine(&self, requests: &BTreeSet<RequestDigest>) -> Result<(), FleetError> {
        let written_ms = wall_clock_ms();
        let rows: Vec<_> = {
            let crashes = self.crashes.borrow();
            let records = requests
                .iter()
                .filter_map(|request| crashes.record_of(request));
            records
                .map(|record| QuarantineRow { record, written_ms })
                .collect()
        };
        self.store.write_quarantine(&rows).await
    }

    /// Reads all rows, and removes those that have expired.
    async fn read_quarantine(&self) -> Result<(), FleetError> {
        let now_ms = wall_clock_ms();
        let rows = self.store.read_quarantine().await?;
        let (expired, valid): (Vec<_>, Vec<_>) = rows.into_iter().partition(|row| {
            let memory_ms = row.record.memory_time().as_millis() as u64;
            row.written_ms < now_ms.saturating_sub(memory_ms)
        });
        for row in valid {
            self.merge_crashes(&row.record, "store");
        }
        let expired: Vec<_> = expired.iter().map(|row| row.record.request).collect();
        if expired.is_empty() {
            return Ok(());
        }
        self.store.remove_quarantine(&expired).await
    }
}

/// Writes and reads the rows of requests in quarantine until the process ends.
pub(crate) async fn follow_quarantine<W, S>(core: Rc<EdgeCore<W, S>>)
where
    W: EdgeWire,
    S: FleetStore,
{
    let mut health = StoreHealth::new(&core.log, "quarantine");
    // A new fleet has no rows yet.
    let mut read_at = core.settings().new_fleet.then(|| core.clock.now());
    loop {
        let now = core.clock.now();
        let requests = core.unsaved_quarantine.requests.take();
        let read_due_in = read_at.map_or(Duration::ZERO, |at| (at + READ_PERIOD).since(now));
        let result = if !requests.is_empty() {
            core.write_quarantine(&requests).await
        } else if read_due_in.is_zero() && core.is_reader(now) {
            read_at = Some(now);
            core.read_quarantine().await
        } else {
            let pause = read_due_in.max(CHECK_PERIOD);
            // Whether woken or timed out, the loop checks again.
            let _woken = timeout(pause, core.unsaved_quarantine.added.notified()).await;
            continue;
        };
        match result {
            Ok(()) => health.record_success(),
            Err(error) => {
                core.metrics.count_store_failure();
                if requests.is_empty() {
                    read_at = None;
                }
                core.unsaved_quarantine
                    .requests
                    .borrow_mut()
                    .extend(requests);
                sleep(health.record_failure(&error, core.near_gate_count())).await;
            }
        }
    }
}

/// Wall-clock time in milliseconds; zero if the clock is before 1970.
fn wall_clock_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |since| since.as_millis() as u64)
}
