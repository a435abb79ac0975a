//! Ports to the platform's table, object store and host list, with HTTP adapters and an in-memory
//! platform.
//!
//! The traits are the ports: code that needs the platform is written against them and can be
//! tested without a network.
//!
//! The error of a failed write says whether the write may have taken effect. After
//! [`StoreError::Unanswered`] the outcome is unknown, and the code that made the call reads the
//! rows again to learn it.

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
