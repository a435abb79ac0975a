//! The interface between the request path and a load balancing policy.
//!
//! The request path depends only on [`ServerChooser`], so that policies can be exchanged and
//! compared.

use std::time::Duration;

use ggs_model::{LoadReport, Moment, RequestClass, ServerId};

/// Identifies a server incarnation inside one chooser; never reused for another incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerHandle {
    /// Index in the chooser's table of servers.
    pub index: u32,
    /// Number of incarnations that had this index before.
    pub generation: u32,
}

/// A server that a chooser may choose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerSpec {
    /// Address and incarnation.
    pub server: ServerId,
    /// Requests that the server processes concurrently.
    pub slots: u32,
    /// Whether the server is in the gate's own data centre.
    pub near: bool,
}

/// The request for which a server is chosen.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceRequest<'a> {
    /// Class of the request.
    pub class: RequestClass,
    /// Servers of earlier attempts; avoided while another server can take the request.
    pub tried: &'a [ServerHandle],
    /// Moment by which the caller needs the answer.
    pub deadline: Moment,
}

impl ChoiceRequest<'_> {
    /// Whether an earlier attempt went to the server at `index`.
    pub(crate) fn has_tried(&self, index: usize) -> bool {
        self.tried
            .iter()
            .any(|handle| handle.index as usize == index)
    }
}

/// Why no server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceRefusal {
    /// The service has no listed server.
    NoServer,
    /// No server is expected to answer before the deadline, or none admits an export.
    NoCapacity {
        /// Time after which a retry is expected to find capacity.
        retry_after: Duration,
    },
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The complete answer was received.
    Answered,
    /// The server rejected the request or failed to answer it.
    Failed,
    /// The network path to the server failed or went silent; says nothing about the server's speed.
    PathLost,
    /// The gate cancelled the attempt, for example because the caller disconnected.
    Abandoned,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// Server of the attempt.
    pub handle: ServerHandle,
    /// Class of the request.
    pub class: RequestClass,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Time from the start of the attempt to its first answer byte, or to its failure.
    pub elapsed: Duration,
}

/// A load balancing policy for one service at one gate.
///
/// `choose` and `start_on` count an attempt as in flight until `finish`, which must be called
/// exactly once for each attempt.
pub trait ServerChooser {
    /// Replaces the list of servers that may be chosen.
    ///
    /// Servers that stay keep their handles and all recorded signals. Servers no longer listed get
    /// no new attempts; those in flight still end with `finish`.
    fn replace_servers(&mut self, specs: &[ServerSpec], now: Moment);

    /// Chooses a server and counts an attempt on it as in flight.
    ///
    /// # Errors
    ///
    /// Returns the reason if no server can take the attempt.
    fn choose(
        &mut self,
        request: &ChoiceRequest<'_>,
        now: Moment,
    ) -> Result<ServerHandle, ChoiceRefusal>;

    /// Counts an attempt on a given server as in flight, for a retry on the same server over a new
    /// connection after a failure that suggests a stale one.
    ///
    /// Returns false, and counts nothing, when the server is not listed.
    fn start_on(&mut self, handle: ServerHandle, class: RequestClass, now: Moment) -> bool;

    /// Records the end of an attempt that `choose` or `start_on` started.
    fn finish(&mut self, end: &AttemptEnd, now: Moment);

    /// Records a load report from an answer or a load probe.
    ///
    /// Call it for an answer before the `finish` of its attempt, as the report still counts the
    /// answered request.
    fn record_report(&mut self, handle: ServerHandle, report: LoadReport, now: Moment);

    /// Records another gate's in-flight counts for the same service; replaces its earlier counts.
    fn record_peer_counts(&mut self, gate: u64, counts: &[(ServerId, u32)], now: Moment);

    /// Appends this gate's in-flight count of each listed server, to be sent to other gates.
    fn own_counts(&self, counts: &mut Vec<(ServerId, u32)>);

    /// The server of a handle, or `None` if the handle is stale.
    fn server(&self, handle: ServerHandle) -> Option<ServerId>;

    /// The handle of a listed server.
    fn handle_of(&self, server: ServerId) -> Option<ServerHandle>;

    /// The server for which a load probe is most useful; `None` if no server is listed or the
    /// policy uses no load reports.
    fn probe_candidate(&self, now: Moment) -> Option<ServerHandle>;
}
