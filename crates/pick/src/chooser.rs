//! The trait between the request path and a policy, and its types.

use std::time::Duration;

use ggs_model::{LoadReport, Moment, RequestClass, ServerId};

/// Handle of a server inside one chooser; never reused for another run of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ServerHandle {
    /// Position in the chooser's table.
    pub index: u32,
    /// Number of servers that held the position before.
    pub generation: u32,
}

/// A server that a chooser may choose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerSpec {
    /// The run of the server.
    pub server: ServerId,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Whether it stands in the gate's own data centre.
    pub near: bool,
}

/// What is to be chosen for.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceRequest<'a> {
    /// Class of the request.
    pub class: RequestClass,
    /// Servers that earlier attempts of the request went to.
    pub tried: &'a [ServerHandle],
    /// The latest moment at which an answer is of use.
    pub deadline: Moment,
}

impl ChoiceRequest<'_> {
    /// Whether an earlier attempt went to the position `index`.
    pub(crate) fn has_tried(&self, index: usize) -> bool {
        self.tried
            .iter()
            .any(|handle| handle.index as usize == index)
    }
}

/// Why no server was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ChoiceRefusal {
    /// The service has no server that takes new work.
    NoServer,
    /// No server is expected to answer in time; worth asking again after the given time.
    NoCapacity {
        /// Time after which capacity is expected.
        retry_after: Duration,
    },
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The whole answer came.
    Answered,
    /// The server refused the request or failed it.
    Failed,
    /// The path to the server broke or went silent; says nothing about the server's speed.
    PathLost,
    /// The gate gave the attempt up, for example because its caller left.
    Abandoned,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// The server.
    pub handle: ServerHandle,
    /// Class of the request.
    pub class: RequestClass,
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// Time from the start of the attempt to its first answer byte, or to its failure.
    pub elapsed: Duration,
}

/// A policy that chooses servers for one service at one gate.
///
/// `choose` and `start_on` count the attempt as started; each started attempt is ended once with `finish`.
pub trait ServerChooser {
    /// Replaces the servers that may be chosen. Servers that stay keep their handles and what is known
    /// of them; those that are absent get no new attempts but still have theirs ended.
    fn replace_servers(&mut self, specs: &[ServerSpec], now: Moment);

    /// Chooses a server and counts an attempt as started on it.
    ///
    /// # Errors
    ///
    /// Says why no server may take the attempt.
    fn choose(
        &mut self,
        request: &ChoiceRequest<'_>,
        now: Moment,
    ) -> Result<ServerHandle, ChoiceRefusal>;

    /// Counts an attempt as started on a given server, for a new connection after a lost one.
    ///
    /// Returns false, and counts nothing, when the server may not be chosen.
    fn start_on(&mut self, handle: ServerHandle, class: RequestClass, now: Moment) -> bool;

    /// Ends an attempt that `choose` or `start_on` started.
    fn finish(&mut self, end: &AttemptEnd, now: Moment);

    /// Takes a load report from an answer or a paid probe.
    ///
    /// The report of an answer comes before the `finish` of its attempt, and counts the request that
    /// it answers.
    fn record_report(&mut self, handle: ServerHandle, report: LoadReport, now: Moment);

    /// Takes the in-flight counts that another gate sent for the same service.
    fn record_peer_counts(&mut self, gate: u64, counts: &[(ServerId, u32)], now: Moment);

    /// The gate's own in-flight counts, for other gates.
    fn own_counts(&self, counts: &mut Vec<(ServerId, u32)>);

    /// The server that a handle stands for.
    fn server(&self, handle: ServerHandle) -> Option<ServerId>;

    /// The handle of a server that may be chosen.
    fn handle_of(&self, server: ServerId) -> Option<ServerHandle>;

    /// The server that a paid probe would tell most about.
    fn probe_candidate(&self, now: Moment) -> Option<ServerHandle>;
}
