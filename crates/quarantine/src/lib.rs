//! Requests that end the servers that run them, as one gate of a fleet knows them.
//!
//! A caller may send such a request again and again, at any gate, and each time a server ends. A
//! request that was merely at the same server loses its connection in the same way, so one crash
//! proves nothing. A [`CrashTable`] therefore collects the server runs that ended under a request at
//! all gates, and quarantines the request when [`CRASH_LIMIT`] of them are independent, unless a server
//! has answered it.
//!
//! Crashes are independent if the sends did not overlap and the servers did not end within milliseconds of
//! each other. One accident may end many servers at once, and with them all sends of a page that many
//! callers read. A request that ends its servers does so again after it was sent anew.
//!
//! A quarantine may still be wrong, and as nothing is sent in it, no answer could end it. So the
//! request is tried again, at one server, after times that grow with each failed trial. A good answer
//! ends the quarantine.
//!
//! What identifies a request is not certain: repeats may differ in their query, or come from another
//! address. So each request has several identities ([`RequestIdentity::digests`]), broad and narrow,
//! which are counted apart. Answers to other requests that share a broad identity clear it, so that a
//! path which many callers use is not refused because of one.
//!
//! What gates tell one another is merged by union, so order and repetition do not matter. The crate
//! reads no clock and does no I/O.

mod digest;
mod table;
mod trackers;

pub use digest::{DigestError, IDENTITY_COUNT, RequestDigest, RequestIdentity, ServerRun};
pub use table::{
    CRASH_LIMIT, CrashChange, CrashRecord, CrashSpan, CrashTable, TRIAL_RETRY_PAUSE, TrialEnd,
    trial_pause,
};
pub use trackers::choose_trackers;
