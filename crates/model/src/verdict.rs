//! What is known about the effect of a failed request.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr};

/// Says whether a request may have taken effect at a server.
///
/// `NotRun` is a promise: no byte of the request reached a server, or the server refused it in the
/// way that its service publishes.
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
    /// The request ran and its answer is known.
    Ran,
    /// The request may have run.
    Unknown,
}

impl RunVerdict {
    /// Whether a non-idempotent request may be sent again after this verdict.
    pub const fn may_send_again(self) -> bool {
        matches!(self, Self::NotRun)
    }
}
