//! Ports to the platform's table, object store and host list, with HTTP adapters.
//!
//! A failed call says whether its write may have taken effect: [`StoreError::Unanswered`] after a
//! write means "unknown", and callers resolve it by reading back.

mod error;
mod http;
mod key;
mod memory;
mod ports;

pub use error::StoreError;
pub use http::{HttpPlatform, PlatformBuilder};
pub use key::{decode_name, encode_name};
pub use memory::{MemoryPlatform, MemoryTable};
pub use ports::{
    HostList, ObjectStore, RowCheck, RowPut, RowVersion, TableRow, TableStore, TableWrite,
    WriteOutcome,
};
