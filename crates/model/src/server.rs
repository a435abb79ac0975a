//! Servers as the host list and their own answers show them.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{DataCentre, ServerId, ServiceName};

/// Whether a listed server takes new work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// Takes new work.
    Live,
    /// Finishes its work and takes none.
    Leaving,
}

/// One row of the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerEntry {
    /// The service that the server answers for.
    pub service: ServiceName,
    /// The run of the server.
    pub server: ServerId,
    /// Where the server stands.
    pub data_centre: DataCentre,
    /// Whether it takes new work.
    pub state: ServerState,
}

/// What a server says of its own load in an answer.
///
/// ```
/// use ggs_model::LoadReport;
///
/// let report: LoadReport = "in-flight=2;queued=1;slots=3".parse().unwrap();
/// assert_eq!(report, LoadReport { in_flight: 2, queued: 1, slots: 3 });
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that hold a slot.
    pub in_flight: u32,
    /// Requests that wait for a slot.
    pub queued: u32,
    /// Slots in all.
    pub slots: u32,
}

impl fmt::Display for LoadReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let Self {
            in_flight,
            queued,
            slots,
        } = self;
        write!(
            formatter,
            "in-flight={in_flight};queued={queued};slots={slots}"
        )
    }
}

/// A load report that could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ParseReportError;

impl fmt::Display for ParseReportError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("load report is not of the form \"in-flight=N;queued=N;slots=N\"")
    }
}

impl std::error::Error for ParseReportError {}

impl FromStr for LoadReport {
    type Err = ParseReportError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut report = Self::default();
        for part in text.split(';') {
            let (name, value) = part.split_once('=').ok_or(ParseReportError)?;
            let value = value.trim().parse().map_err(|_| ParseReportError)?;
            match name.trim() {
                "in-flight" => report.in_flight = value,
                "queued" => report.queued = value,
                "slots" => report.slots = value,
                _ => return Err(ParseReportError),
            }
        }
        Ok(report)
    }
}
