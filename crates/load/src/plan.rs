//! What a run of load consists of.

use std::fmt;
use std::net::SocketAddr;
use std::str::FromStr;
use std::time::Duration;

use ggs_model::{RequestClass, ServiceName};

/// Rate when a plan names none, in calls a second.
const DEFAULT_RATE: f64 = 100.0;

/// Length of a run when a plan names none.
const DEFAULT_LENGTH: Duration = Duration::from_secs(10);

/// Calls at once when a plan names none.
const DEFAULT_IN_FLIGHT: usize = 4_000;

/// Retries of one call when a plan names none.
const DEFAULT_RETRIES: u32 = 3;

/// Length of an answer when a share names none, in bytes.
const DEFAULT_BYTES: u64 = 64;

/// Where calls go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LoadTarget {
    /// Gates, of which any is asked for the addresses to use.
    Gates(Vec<SocketAddr>),
    /// One server, without a gate.
    Direct(SocketAddr),
    /// Gates and one server in turn, to tell what the gates add.
    Compared {
        /// The gates.
        gates: Vec<SocketAddr>,
        /// The server.
        direct: SocketAddr,
    },
}

/// One kind of call, and its share of all calls.
///
/// ```
/// use ggs_load::TrafficShare;
/// use ggs_model::RequestClass;
///
/// let share: TrafficShare = "ledger/urgent,weight=3,keyed,ms=5".parse().unwrap();
/// assert_eq!(share.class, RequestClass::Urgent);
/// assert!(share.keyed);
/// assert_eq!(share.run_ms, Some(5));
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct TrafficShare {
    /// The service that is called.
    pub service: ServiceName,
    /// The class that is asked for.
    pub class: RequestClass,
    /// Share of the calls, relative to the other shares.
    pub weight: f64,
    /// Whether calls are non-idempotent and carry a key.
    pub keyed: bool,
    /// Time that the server is asked to run the request, in milliseconds.
    pub run_ms: Option<u64>,
    /// Length of the answer, in bytes.
    pub bytes: u64,
    /// Time between the pieces of the answer, in milliseconds.
    pub pace_ms: u64,
    /// Time to answer; the service's document decides if there is none.
    pub deadline: Option<Duration>,
}

impl TrafficShare {
    /// Calls of a class to a service, with default values.
    pub fn new(service: &str, class: RequestClass) -> Self {
        Self {
            service: ServiceName::new(service),
            class,
            weight: 1.0,
            keyed: false,
            run_ms: None,
            bytes: DEFAULT_BYTES,
            pace_ms: 0,
            deadline: None,
        }
    }

    /// Sets one value from its text.
    fn set(&mut self, part: &str) -> Result<(), ParseShareError> {
        let error = || ParseShareError {
            part: part.to_owned(),
        };
        let (name, value) = part.split_once('=').unwrap_or((part, ""));
        let number = || value.parse::<u64>().map_err(|_| error());
        match name {
            "weight" => self.weight = value.parse().map_err(|_| error())?,
            "keyed" if value.is_empty() => self.keyed = true,
            "ms" => self.run_ms = Some(number()?),
            "bytes" => self.bytes = number()?,
            "pace-ms" => self.pace_ms = number()?,
            "deadline-ms" => self.deadline = Some(Duration::from_millis(number()?)),
            _ => return Err(error()),
        }
        if self.weight > 0.0 && self.weight.is_finite() {
            return Ok(());
        }
        Err(error())
    }
}

/// A part of a share that could not be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ParseShareError {
    /// The part.
    pub part: String,
}

impl fmt::Display for ParseShareError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "traffic part \"{}\" is not SERVICE/CLASS, weight=N, keyed, ms=N, bytes=N, pace-ms=N \
             or deadline-ms=N",
            self.part
        )
    }
}

impl std::error::Error for ParseShareError {}

impl FromStr for TrafficShare {
    type Err = ParseShareError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let mut parts = text.split(',');
        let first = parts.next().unwrap_or_default();
        let error = || ParseShareError {
            part: first.to_owned(),
        };
        let (service, class) = first.split_once('/').ok_or_else(error)?;
        let class = class.parse().map_err(|_| error())?;
        if service.is_empty() {
            return Err(error());
        }
        let mut share = Self::new(service, class);
        for part in parts {
            share.set(part)?;
        }
        Ok(share)
    }
}

/// A run of load.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadPlan {
    /// Where calls go.
    pub target: LoadTarget,
    /// The kinds of call; not empty.
    pub shares: Vec<TrafficShare>,
    /// Calls a second on average; they arrive at random, whatever became of the earlier ones.
    pub rate: f64,
    /// Time in which calls are started.
    pub length: Duration,
    /// Most calls started.
    pub count: u64,
    /// Most calls in flight; calls that arrive beyond are not sent and counted as skipped.
    pub in_flight: usize,
    /// Most retries of one call.
    pub retries: u32,
    /// Seed of arrivals and of the choice of shares.
    pub seed: u64,
    /// Whether progress is shown on standard error.
    pub progress: bool,
}

impl LoadPlan {
    /// A plan with default values.
    pub fn new(target: LoadTarget, shares: Vec<TrafficShare>) -> Self {
        Self {
            target,
            shares,
            rate: DEFAULT_RATE,
            length: DEFAULT_LENGTH,
            count: u64::MAX,
            in_flight: DEFAULT_IN_FLIGHT,
            retries: DEFAULT_RETRIES,
            seed: 1,
            progress: false,
        }
    }
}
