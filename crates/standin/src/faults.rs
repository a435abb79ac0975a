//! Faults that are switched on a running stand-in.
//!
//! A `PUT /admin/faults` sets all faults at once; fields left out are off. Requests under `/admin`
//! are not affected by faults.

use serde::{Deserialize, Serialize};

/// Time until a server starts again that a request has ended, in milliseconds.
const DEFAULT_RESTART_MS: u64 = 500;

/// How a platform that is down meets calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DownMode {
    /// The platform is up.
    #[default]
    Up,
    /// Calls are answered with 503.
    Unavailable,
    /// Connections are refused and open ones closed; the admin port stays open.
    Refused,
}

/// Faults of a stand-in platform.
///
/// ```
/// use ggs_standin::{DownMode, PlatformFaults};
///
/// let faults: PlatformFaults = serde_json::from_str(r#"{"down": "refused"}"#).unwrap();
/// assert_eq!(faults.down, DownMode::Refused);
/// assert_eq!(faults.slow_ms, 0);
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Time before each call takes effect, in milliseconds; a slow write takes effect even when its
    /// caller has given up.
    pub slow_ms: u64,
    /// Whether and how calls are turned away.
    pub down: DownMode,
    /// Table writes and object puts that take effect and close their connection without an answer.
    pub lose_answers: u32,
    /// Holds all calls until the fault is switched off.
    pub freeze: bool,
    /// Silences the connections that are open when the fault is set; new ones work.
    pub silence_connections: bool,
}

/// Faults of a stand-in server.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct ServerFaults {
    /// Multiplies the time that requests run.
    pub slow_factor: f64,
    /// Holds all requests until the fault is switched off.
    pub freeze: bool,
    /// Silences the connections that are open when the fault is set; new ones work.
    pub silence_connections: bool,
    /// Status that requests are answered with at once, without running and without `ggs-refused`.
    pub fail_fast: Option<u16>,
    /// Closes the connection after this many bytes of each answer's body.
    pub cut_after: Option<u64>,
    /// Requests that run and close their connection without an answer.
    pub lose_answers: u32,
    /// Load report given in place of the true one.
    pub report: Option<String>,
    /// Age of the load that is reported, in milliseconds.
    pub report_lag_ms: u64,
    /// Status of `GET /health` in place of the true one.
    pub health_status: Option<u16>,
    /// Ends the server: connections are refused and open ones closed, and the admin port stays open.
    /// When this is switched off, the server starts again, as a new incarnation.
    pub down: bool,
    /// Requests whose paths begin with this end the server when they begin to run.
    pub crash_path: Option<String>,
    /// Time until the server starts again after such a request, in milliseconds.
    pub restart_ms: u64,
}

impl Default for ServerFaults {
    fn default() -> Self {
        Self {
            slow_factor: 1.0,
            freeze: false,
            silence_connections: false,
            fail_fast: None,
            cut_after: None,
            lose_answers: 0,
            report: None,
            report_lag_ms: 0,
            health_status: None,
            down: false,
            crash_path: None,
            restart_ms: DEFAULT_RESTART_MS,
        }
    }
}
