//! Request classes: how urgently a caller needs its answer.
//!
//! The class selects the deadline and the in-flight limit of a request, and how much of a gate's
//! capacity its requests may use.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumCount, EnumIter, EnumString, IntoStaticStr};

/// Priority of a request among the requests that compete for the same servers.
///
/// ```
/// use ggs_model::RequestClass;
///
/// assert_eq!("urgent".parse(), Ok(RequestClass::Urgent));
/// assert_eq!(RequestClass::Export.to_string(), "export");
/// ```
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    Hash,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    EnumCount,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum RequestClass {
    /// A person waits for the answer; takes precedence over the other classes.
    Urgent,
    /// The class of a request that names none.
    #[default]
    Standard,
    /// A long transfer; its timeout applies to the time without progress, not to the total time.
    Export,
}
