//! The gate's ledger of issued keys, and the runs under them.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use ggs_model::{Clock, GateId, Moment, RunVerdict};
use ggs_once::{
    FingerprintHasher, IdempotencyKey, KeyAdmission, KeyLimits, KeyOutcome, KeyRegistry,
    RequestFingerprint, RequestParts, RunPermit,
};
use ggs_relay::{ConnectionOptions, ConnectionPool, HttpTransport};
use ggs_settings::GateSettings;
use tokio::sync::Notify;
use tokio::sync::futures::Notified;

use crate::core::GateCore;

/// Bytes of all kept answers together.
const KEPT_BYTES: usize = 32 << 20;

/// Bytes of one kept answer.
const ANSWER_BYTES: usize = 80 << 10;

/// Connections to one other gate for requests that are passed on.
const PASS_CONNECTIONS: usize = 256;

/// Calls to the ledger's expiry in one sweep.
const EXPIRE_CALLS: usize = 64;

/// How often the end of all runs is checked.
const FINISH_CHECK: Duration = Duration::from_millis(10);

/// Keys of this run of the gate.
#[derive(Debug)]
pub(crate) struct KeyDesk {
    ledger: RefCell<KeyRegistry>,
    maker: FingerprintHasher,
    /// Told at the end of each run.
    ended: Notify,
    runs: Cell<usize>,
    /// Carries requests to the gates that issued their keys.
    pub(crate) transport: HttpTransport,
}

impl KeyDesk {
    /// A desk without used keys.
    pub(crate) fn new(settings: &GateSettings, gate: GateId) -> Self {
        let limits = KeyLimits {
            entries: settings.key_limit,
            kept_bytes: KEPT_BYTES,
            answer_bytes: ANSWER_BYTES,
            ttl: Duration::from_millis(settings.key_ttl_ms),
        };
        let pool = ConnectionPool::new(ConnectionOptions {
            connection_limit: PASS_CONNECTIONS,
            ..ConnectionOptions::default()
        });
        Self {
            ledger: RefCell::new(KeyRegistry::new(gate, limits)),
            maker: FingerprintHasher::default(),
            ended: Notify::new(),
            runs: Cell::new(0),
            transport: HttpTransport::new(pool),
        }
    }

    /// Issues a key.
    pub(crate) fn issue(&self, now: Moment) -> IdempotencyKey {
        self.ledger.borrow_mut().issue(now)
    }

    /// The digest of a request.
    pub(crate) fn fingerprint(&self, parts: &RequestParts<'_>) -> RequestFingerprint {
        self.maker.fingerprint(parts)
    }

    /// Says what a request may do.
    pub(crate) fn admit(
        &self,
        key: &IdempotencyKey,
        fingerprint: RequestFingerprint,
        now: Moment,
    ) -> KeyAdmission {
        self.ledger.borrow_mut().admit(key, fingerprint, now)
    }

    /// Completes at the end of any run that ends after this call.
    pub(crate) fn next_end(&self) -> Notified<'_> {
        self.ended.notified()
    }

    /// What is known of the effect of a key when a request with it was refused before it was looked
    /// up. Only the gate that issued the key knows that it was never used.
    pub(crate) fn refusal_verdict(&self, key: &IdempotencyKey, now: Moment) -> RunVerdict {
        if self.ledger.borrow_mut().is_unused(key, now) {
            RunVerdict::NotRun
        } else {
            RunVerdict::Unknown
        }
    }

    /// Forgets keys whose lives have ended; returns how many used ones are left.
    pub(crate) fn sweep(&self, now: Moment) -> usize {
        let mut ledger = self.ledger.borrow_mut();
        for _ in 0..EXPIRE_CALLS {
            ledger.expire(now);
        }
        ledger.len()
    }

    /// Waits until no run is left.
    pub(crate) async fn finished(&self) {
        while self.runs.get() > 0 {
            tokio::time::sleep(FINISH_CHECK).await;
        }
    }
}

/// A run under a key. Ends as unknown when dropped without an outcome.
#[derive(Debug)]
pub(crate) struct KeyRun {
    core: Rc<GateCore>,
    ticket: Option<RunPermit>,
}

impl KeyRun {
    /// Begins the run of a ticket.
    pub(crate) fn begin(core: &Rc<GateCore>, ticket: RunPermit) -> Self {
        let runs = &core.keys.runs;
        runs.set(runs.get() + 1);
        Self {
            core: Rc::clone(core),
            ticket: Some(ticket),
        }
    }

    /// Ends the run.
    pub(crate) fn end(mut self, outcome: KeyOutcome) {
        self.settle(outcome);
    }

    fn settle(&mut self, outcome: KeyOutcome) {
        let Some(ticket) = self.ticket.take() else {
            return;
        };
        let desk = &self.core.keys;
        let now = self.core.clock.now();
        desk.ledger.borrow_mut().finish(ticket, outcome, now);
        desk.runs.set(desk.runs.get() - 1);
        desk.ended.notify_waiters();
    }
}

impl Drop for KeyRun {
    fn drop(&mut self) {
        self.settle(KeyOutcome::Unknown);
    }
}
