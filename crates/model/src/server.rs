//! Servers: their rows in the host list, and the load reports in their answers.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::{DataCentre, ServerId, ServiceName};

/// Whether a server in the host list accepts new requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// Accepts new requests.
    Live,
    /// Drains: finishes its requests and accepts no new ones.
    Leaving,
}

/// One server in the host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServerEntry {
    /// Service that the server belongs to.
    pub service: ServiceName,
    /// Address and incarnation of the server.
    pub server: ServerId,
    /// Data centre that the server runs in.
    pub data_centre: DataCentre,
    /// Whether the server accepts new requests.
    pub state: ServerState,
}

/// Load report that a server adds to an answer.
///
/// ```
/// use ggs_model::LoadReport;
///
/// let report: LoadReport = "in-flight=2;queued=1;slots=3".parse().unwrap();
/// assert_eq!(report, LoadReport { in_flight: 2, queued: 1, slots: 3 });
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LoadReport {
    /// Requests that the server is processing, each in one slot.
    pub in_flight: u32,
    /// Queue depth: requests that wait for a slot.
    pub queued: u32,
    /// Requests that the server can process concurrently.
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

/// Error of parsing a load report: a field is unknown or has no valid number.
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
