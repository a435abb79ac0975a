//! A table and a platform in memory.
//!
//! [`MemoryTable`] implements the table's conditional writes, also for the stand-in platform.
//! [`MemoryPlatform`] implements the ports on top of it and injects faults, for tests without a
//! network.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use ggs_model::ServerEntry;

use crate::{
    HostList, ObjectStore, RowCheck, RowVersion, StoreError, TableRow, TableStore, TableWrite,
    WriteOutcome,
};

/// Rows with conditional writes; the version of a row is the number of its writes.
///
/// ```
/// use ggs_store::{MemoryTable, RowPut, TableWrite, WriteOutcome};
///
/// let mut table = MemoryTable::default();
/// let put = RowPut { key: "a".into(), value: 1.into() };
/// let write = TableWrite { checks: vec![], puts: vec![put] };
/// assert_eq!(table.write(&write), WriteOutcome::Written);
/// assert_eq!(table.get("a").unwrap().version.0, 1);
/// ```
#[derive(Clone, Debug, Default)]
pub struct MemoryTable {
    rows: BTreeMap<String, TableRow>,
}

impl MemoryTable {
    /// Reads one row; `None` if it does not exist.
    pub fn get(&self, key: &str) -> Option<TableRow> {
        self.rows.get(key).cloned()
    }

    /// Reads the rows whose names start with `prefix`, sorted by name.
    pub fn list(&self, prefix: &str) -> Vec<TableRow> {
        let from = self.rows.range(prefix.to_owned()..);
        from.take_while(|(key, _)| key.starts_with(prefix))
            .map(|(_, row)| row.clone())
            .collect()
    }

    /// Writes all puts if all checks hold, otherwise nothing.
    pub fn write(&mut self, write: &TableWrite) -> WriteOutcome {
        for RowCheck { key, version } in &write.checks {
            let stored = self.version(key);
            if stored != *version {
                let key = key.clone();
                let version = stored;
                return WriteOutcome::Conflict { key, version };
            }
        }
        for put in &write.puts {
            let row = TableRow {
                key: put.key.clone(),
                version: RowVersion(self.version(&put.key).0 + 1),
                value: put.value.clone(),
            };
            self.rows.insert(put.key.clone(), row);
        }
        WriteOutcome::Written
    }

    /// The version of a row; 0 if it does not exist.
    fn version(&self, key: &str) -> RowVersion {
        self.rows
            .get(key)
            .map(|row| row.version)
            .unwrap_or_default()
    }
}

/// State shared by all clones of a [`MemoryPlatform`].
#[derive(Debug, Default)]
struct PlatformState {
    table: RefCell<MemoryTable>,
    objects: RefCell<BTreeMap<String, Bytes>>,
    servers: RefCell<Vec<ServerEntry>>,
    down: Cell<bool>,
    delay: Cell<Duration>,
    lost_answers: Cell<u32>,
    lost_requests: Cell<u32>,
    reads: Cell<u64>,
    writes: Cell<u64>,
}

/// The platform's services in memory, with faults that a test sets; clones share their state.
///
/// ```
/// use ggs_store::{MemoryPlatform, StoreError, TableStore, TableWrite};
///
/// actix_rt::System::new().block_on(async {
///     let platform = MemoryPlatform::default();
///     platform.set_down(true);
///     let outcome = platform.write(&TableWrite::default()).await;
///     assert!(matches!(outcome, Err(StoreError::Unavailable { .. })));
/// });
/// ```
#[derive(Clone, Debug, Default)]
pub struct MemoryPlatform {
    state: Rc<PlatformState>,
}

impl MemoryPlatform {
    /// Sets whether all calls fail as unavailable.
    pub fn set_down(&self, down: bool) {
        self.state.down.set(down);
    }

    /// Sets the delay before each call takes effect; zero unless set.
    pub fn set_delay(&self, delay: Duration) {
        self.state.delay.set(delay);
    }

    /// Applies the next `count` table writes but fails them with [`StoreError::Unanswered`].
    pub fn lose_answers(&self, count: u32) {
        self.state.lost_answers.set(count);
    }

    /// Discards the next `count` table writes and fails them with [`StoreError::Unanswered`], the
    /// same error as for a write that took effect but whose answer was lost.
    pub fn lose_requests(&self, count: u32) {
        self.state.lost_requests.set(count);
    }

    /// Replaces the entries of the host list.
    pub fn set_servers(&self, servers: Vec<ServerEntry>) {
        *self.state.servers.borrow_mut() = servers;
    }

    /// Number of table reads so far, excluding those refused while down.
    pub fn reads(&self) -> u64 {
        self.state.reads.get()
    }

    /// Number of table writes so far, including lost ones, excluding those refused while down.
    pub fn writes(&self) -> u64 {
        self.state.writes.get()
    }

    /// Applies the configured delay, then fails the call if the platform is down.
    async fn apply_faults(&self, call: &str) -> Result<(), StoreError> {
        let delay = self.state.delay.get();
        if !delay.is_zero() {
            actix_rt::time::sleep(delay).await;
        }
        if self.state.down.get() {
            let call = call.to_owned();
            let cause = "platform is down".to_owned();
            return Err(StoreError::Unavailable { call, cause });
        }
        Ok(())
    }
}

impl TableStore for MemoryPlatform {
    async fn get(&self, key: &str) -> Result<Option<TableRow>, StoreError> {
        self.apply_faults("get").await?;
        increment(&self.state.reads);
        Ok(self.state.table.borrow().get(key))
    }

    async fn list(&self, prefix: &str) -> Result<Vec<TableRow>, StoreError> {
        self.apply_faults("list").await?;
        increment(&self.state.reads);
        Ok(self.state.table.borrow().list(prefix))
    }

    async fn write(&self, write: &TableWrite) -> Result<WriteOutcome, StoreError> {
        self.apply_faults("write").await?;
        increment(&self.state.writes);
        if try_decrement(&self.state.lost_requests) {
            return Err(unanswered_error("write"));
        }
        let outcome = self.state.table.borrow_mut().write(write);
        if try_decrement(&self.state.lost_answers) {
            return Err(unanswered_error("write"));
        }
        Ok(outcome)
    }
}

impl ObjectStore for MemoryPlatform {
    async fn put(&self, name: &str, body: Bytes) -> Result<(), StoreError> {
        self.apply_faults("put").await?;
        self.state
            .objects
            .borrow_mut()
            .insert(name.to_owned(), body);
        Ok(())
    }

    async fn fetch(&self, name: &str) -> Result<Option<Bytes>, StoreError> {
        self.apply_faults("fetch").await?;
        Ok(self.state.objects.borrow().get(name).cloned())
    }
}

impl HostList for MemoryPlatform {
    async fn servers(&self) -> Result<Vec<ServerEntry>, StoreError> {
        self.apply_faults("servers").await?;
        Ok(self.state.servers.borrow().clone())
    }
}

/// The error of a call whose request or answer was lost.
fn unanswered_error(call: &str) -> StoreError {
    let call = call.to_owned();
    let cause = "answer was lost".to_owned();
    StoreError::Unanswered { call, cause }
}

/// Decrements a counter; false if it was already 0.
fn try_decrement(counter: &Cell<u32>) -> bool {
    let count = counter.get();
    counter.set(count.saturating_sub(1));
    count > 0
}

fn increment(counter: &Cell<u64>) {
    counter.set(counter.get() + 1);
}
