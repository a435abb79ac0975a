//! Classes of request.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumCount, EnumIter, EnumString, IntoStaticStr};

/// How soon a caller needs the answer; orders requests that compete for the same servers.
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
    /// A person is waiting; served before the other classes.
    Urgent,
    /// The usual class.
    #[default]
    Standard,
    /// A long transfer, watched by progress and not by total time.
    Export,
}
