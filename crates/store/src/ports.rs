//! Traits of the platform's services.

use bytes::Bytes;
use ggs_model::ServerEntry;
use serde::{Deserialize, Serialize};

use crate::StoreError;

/// Version of a row; 0 stands for a row that does not exist.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RowVersion(pub u64);

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TableRow {
    /// Name of the row.
    pub key: String,
    /// Grows with each write of the row.
    pub version: RowVersion,
    /// The row's value.
    pub value: serde_json::Value,
}

/// Condition of a write: the row still has this version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RowCheck {
    /// Name of the row.
    pub key: String,
    /// The version it must have.
    pub version: RowVersion,
}

/// A new value for a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RowPut {
    /// Name of the row.
    pub key: String,
    /// The new value.
    pub value: serde_json::Value,
}

/// Puts that take effect together, if all checks hold.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TableWrite {
    /// Conditions.
    pub checks: Vec<RowCheck>,
    /// New values.
    pub puts: Vec<RowPut>,
}

/// What became of a write that was answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WriteOutcome {
    /// All puts took effect.
    Written,
    /// A check did not hold; nothing was written. The row as it stands.
    Conflict {
        /// Name of the row.
        key: String,
        /// The version that it has.
        version: RowVersion,
    },
}

/// The transactional table.
pub trait TableStore {
    /// Reads one row; `None` if it does not exist.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<TableRow>, StoreError>>;

    /// Reads the rows whose names start with `prefix`, in order of name.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<TableRow>, StoreError>>;

    /// Writes all puts if all checks hold, else nothing.
    fn write(&self, write: &TableWrite) -> impl Future<Output = Result<WriteOutcome, StoreError>>;
}

/// The object store.
pub trait ObjectStore {
    /// Stores an object under a name, in place of any earlier one.
    fn put(&self, name: &str, body: Bytes) -> impl Future<Output = Result<(), StoreError>>;

    /// Reads an object; `None` if it does not exist.
    fn fetch(&self, name: &str) -> impl Future<Output = Result<Option<Bytes>, StoreError>>;
}

/// The lagging list of servers.
pub trait HostList {
    /// All listed servers.
    fn servers(&self) -> impl Future<Output = Result<Vec<ServerEntry>, StoreError>>;
}
