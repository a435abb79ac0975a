//! Traits for the platform's services: the table, the object store and the host list.
//!
//! The platform's services may fail or be slow, so every method is asynchronous and returns a
//! [`StoreError`] that says whether a write may have taken effect. The row and write types are also
//! the JSON format of the table over HTTP.

use bytes::Bytes;
use ggs_model::ServerEntry;
use serde::{Deserialize, Serialize};

use crate::StoreError;

/// Version of a row, which increases with each write; 0 stands for a row that does not exist.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RowVersion(pub u64);

/// A row of the table.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TableRow {
    /// Name of the row, unique in the table.
    pub key: String,
    /// Increases with each write of the row.
    pub version: RowVersion,
    /// Any JSON value.
    pub value: serde_json::Value,
}

/// Precondition of a write: the row has this version.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RowCheck {
    /// Name of the row.
    pub key: String,
    /// The version that the row must have; 0 if it must not exist.
    pub version: RowVersion,
}

/// A new value for a row.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RowPut {
    /// Name of the row.
    pub key: String,
    /// Replaces the whole value of the row.
    pub value: serde_json::Value,
}

/// An atomic write: all puts take effect if all checks hold, otherwise none does.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TableWrite {
    /// Preconditions; none makes the write unconditional.
    pub checks: Vec<RowCheck>,
    /// The rows to create or replace.
    pub puts: Vec<RowPut>,
}

/// Outcome of a write that the platform answered.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum WriteOutcome {
    /// All puts took effect.
    Written,
    /// A check did not hold and nothing was written; names the first row whose check failed.
    Conflict {
        /// Name of the row.
        key: String,
        /// Current version of the row; 0 if it does not exist.
        version: RowVersion,
    },
}

/// The table: rows of JSON values with atomic conditional writes.
pub trait TableStore {
    /// Reads one row; `None` if it does not exist.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<TableRow>, StoreError>>;

    /// Reads the rows whose names start with `prefix`, sorted by name.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Vec<TableRow>, StoreError>>;

    /// Writes all puts if all checks hold, otherwise nothing.
    fn write(&self, write: &TableWrite) -> impl Future<Output = Result<WriteOutcome, StoreError>>;
}

/// The object store: named byte strings, each replaced as a whole.
pub trait ObjectStore {
    /// Stores an object under a name and replaces any earlier one.
    fn put(&self, name: &str, body: Bytes) -> impl Future<Output = Result<(), StoreError>>;

    /// Reads an object; `None` if it does not exist.
    fn fetch(&self, name: &str) -> impl Future<Output = Result<Option<Bytes>, StoreError>>;
}

/// The platform's list of servers, which lags behind the servers' actual state.
pub trait HostList {
    /// Reads the entries of all listed servers.
    fn servers(&self) -> impl Future<Output = Result<Vec<ServerEntry>, StoreError>>;
}
