//! Names of the HTTP headers that callers, gates and servers exchange.
//!
//! They are kept in one place so that all programs agree on them.

/// Names of the headers that greengageshelf adds to HTTP, in lower case.
#[derive(Clone, Copy, Debug)]
pub struct HeaderNames;

impl HeaderNames {
    /// Caller to gate: request class (`urgent`, `standard`, `export`).
    pub const CLASS: &str = "ggs-class";
    /// Caller to gate, gate to server: milliseconds left to answer.
    pub const DEADLINE: &str = "ggs-deadline-ms";
    /// Caller to gate, gate to server: idempotency key issued for a non-idempotent request.
    pub const KEY: &str = "ggs-key";
    /// Caller to gate, gate to server: retries that earlier hops of the call chain already made.
    pub const ATTEMPT: &str = "ggs-attempt";
    /// Gate to server and back: id of the attempt. A server that echoes it in its answer proves
    /// which request the answer belongs to; only connections of such a server are reused.
    pub const REQUEST_ID: &str = "ggs-request-id";
    /// Gate to gate: host of the gate that forwards a request with an idempotency key to the gate
    /// that issued the key.
    pub const PASSED_BY: &str = "ggs-passed-by";
    /// Gate to caller: whether the request took effect at a server (`not-run`, `ran`, `unknown`).
    pub const VERDICT: &str = "ggs-verdict";
    /// Gate to caller: reason of a failure, as a short fixed word.
    pub const REASON: &str = "ggs-reason";
    /// Gate to caller: milliseconds to wait before a retry.
    pub const RETRY_AFTER_MS: &str = "ggs-retry-after-ms";
    /// Gate to caller: the gate that answered.
    pub const GATE: &str = "ggs-gate";
    /// Server to gate: load report of the server, in the text form of `LoadReport`.
    pub const LOAD: &str = "ggs-load";
    /// Server to gate: incarnation of the server, 16 hexadecimal digits.
    pub const INCARNATION: &str = "ggs-incarnation";
    /// Server to gate: present if the server is draining before it stops.
    pub const LEAVING: &str = "ggs-leaving";
    /// Server to gate: present if the server refused the request without running it.
    pub const REFUSED: &str = "ggs-refused";
    /// Server to caller, through the gate: name of the server that answered.
    pub const SERVER: &str = "ggs-server";
}
