//! Header names that callers, gates and servers exchange.

/// Names of the headers that greengageshelf reads and writes, in lower case.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames;

impl HeaderNames {
    /// Caller to gate: class of the request (`urgent`, `standard`, `export`).
    pub const CLASS: &str = "ggs-class";
    /// Caller to gate, gate to server: milliseconds left to answer.
    pub const DEADLINE: &str = "ggs-deadline-ms";
    /// Caller to gate, gate to server: key issued for a non-idempotent request.
    pub const KEY: &str = "ggs-key";
    /// Caller to gate, gate to server: retries already made by outer hops for this call.
    pub const ATTEMPT: &str = "ggs-attempt";
    /// Gate to server and back: number of the attempt; a server that repeats it in its answer proves
    /// which request the answer belongs to, and only its connections are used again.
    pub const REQUEST_ID: &str = "ggs-request-id";
    /// Gate to gate: the host that passes a keyed request to the gate that issued its key.
    pub const PASSED_BY: &str = "ggs-passed-by";
    /// Gate to caller: what is known of the request's effect (`not-run`, `ran`, `unknown`).
    pub const VERDICT: &str = "ggs-verdict";
    /// Gate to caller: short reason of a failure.
    pub const REASON: &str = "ggs-reason";
    /// Gate to caller: milliseconds to wait before sending again.
    pub const RETRY_AFTER_MS: &str = "ggs-retry-after-ms";
    /// Gate to caller: the gate that answered.
    pub const GATE: &str = "ggs-gate";
    /// Server to gate: the server's load, as `LoadReport` prints it.
    pub const LOAD: &str = "ggs-load";
    /// Server to gate: the run of the server, 16 hexadecimal digits.
    pub const INCARNATION: &str = "ggs-incarnation";
    /// Server to gate: present when the server is leaving.
    pub const LEAVING: &str = "ggs-leaving";
    /// Server to gate: present when the server refused the request without running it.
    pub const REFUSED: &str = "ggs-refused";
    /// Server to caller, through the gate: names the server that answered.
    pub const SERVER: &str = "ggs-server";
}
