//! What a gate knows about whether a request ran.
//!
//! The verdict decides whether a non-idempotent request may be retried: only if the retry cannot
//! make it run twice.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Whether a request may have taken effect at a server.
///
/// `NotRun` is a guarantee: no byte of the request reached a server, or the server refused the
/// request with the `ggs-refused` header and the service's document trusts such refusals.
///
/// ```
/// use ggs_model::RunVerdict;
///
/// assert_eq!(RunVerdict::NotRun.to_string(), "not-run");
/// assert!(RunVerdict::NotRun.may_send_again());
/// assert!(!RunVerdict::Unknown.may_send_again());
/// ```
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RunVerdict {
    /// The request did not run at any server.
    NotRun,
    /// The request ran, and its answer is known.
    Ran,
    /// The request may or may not have run.
    Unknown,
}

impl RunVerdict {
    /// Whether a non-idempotent request may be retried after this verdict.
    pub const fn may_send_again(self) -> bool {
        matches!(self, Self::NotRun)
    }
}
