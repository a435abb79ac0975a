//! Stand-ins for the platform and for servers, as a program and inside a process.
//!
//! They meet the contracts of the outside systems over real sockets, and their faults are switched
//! while they run. Each runs on the thread of the runtime that starts it; nothing is kept on disk.

mod address;
mod answer;
mod args;
mod connection;
mod faults;
mod fuzz;
mod fuzz_wire;
mod http;
mod listener;
mod platform;
mod program;
mod record;
mod register;
mod server;
mod slots;
mod work;

pub use address::free_address;
pub use answer::{AnswerBody, DIGEST_BYTES};
pub use faults::{DownMode, PlatformFaults, ServerFaults};
pub use fuzz::{FuzzHandle, FuzzMove, FuzzRecord, start_fuzzer};
pub use platform::{PlatformCounts, PlatformHandle, PlatformOptions, start_platform};
pub use program::run;
pub use record::ProbeRecord;
pub use server::{ServerHandle, ServerOptions, start_server};
