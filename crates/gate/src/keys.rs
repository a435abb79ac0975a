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
const MAX_KEPT_BYTES: usize = 32 << 20;

/// Bytes of one kept answer.
const MAX_ANSWER_BYTES: usize = 80 << 10;

/// Connections to one other gate for requests that are passed on.
const MAX_CONNECTIONS_PER_ISSUER: usize = 256;

/// Calls to the ledger's expiry in one sweep.
const EXPIRE_CALLS_PER_SWEEP: usize = 64;

/// How often the end of all runs is checked.
const FINISH_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Keys of this run of the gate.
#[derive(Debug)]
pub(crate) struct GateKeys {
    registry: RefCell<KeyRegistry>,
    hasher: FingerprintHasher,
    /// Told at the end of each run.
    run_ended: Notify,
    running_count: Cell<usize>,
    /// Carries requests to the gates that issued their keys.
    pub(crate) transport: HttpTransport,
}

impl GateKeys {
    /// A desk without used keys.
    pub(crate) fn new(settings: &GateSettings, gate: GateId) -> Self {
        let limits = KeyLimits {
            entries: settings.key_limit,
            kept_bytes: MAX_KEPT_BYTES,
            answer_bytes: MAX_ANSWER_BYTES,
            ttl: Duration::from_millis(settings.key_ttl_ms),
        };
        let pool = ConnectionPool::new(ConnectionOptions {
            connection_limit: MAX_CONNECTIONS_PER_ISSUER,
            ..ConnectionOptions::default()
        });
        Self {
            registry: RefCell::new(KeyRegistry::new(gate, limits)),
            hasher: FingerprintHasher::default(),
            run_ended: Notify::new(),
            running_count: Cell::new(0),
            transport: HttpTransport::new(pool),
        }
    }

    /// Issues a key.
    pub(crate) fn issue(&self, now: Moment) -> IdempotencyKey {
        self.registry.borrow_mut().issue(now)
    }

    /// The digest of a request.
    pub(crate) fn fingerprint(&self, parts: &RequestParts<'_>) -> RequestFingerprint {
        self.hasher.fingerprint(parts)
    }

    /// Says what a request may do.
    pub(crate) fn admit(
        &self,
        key: &IdempotencyKey,
        fingerprint: RequestFingerprint,
        now: Moment,
    ) -> KeyAdmission {
        self.registry.borrow_mut().admit(key, fingerprint, now)
    }

    /// Completes at the end of any run that ends after this call.
    pub(crate) fn next_run_end(&self) -> Notified<'_> {
        self.run_ended.notified()
    }

    /// What is known of the effect of a key when a request with it was refused before it was looked
    /// up. Only the gate that issued the key knows that it was never used.
    pub(crate) fn refusal_verdict(&self, key: &IdempotencyKey, now: Moment) -> RunVerdict {
        if self.registry.borrow_mut().is_unused(key, now) {
            RunVerdict::NotRun
        } else {
            RunVerdict::Unknown
        }
    }

    /// Forgets keys whose lives have ended; returns how many used ones are left.
    pub(crate) fn sweep(&self, now: Moment) -> usize {
        let mut registry = self.registry.borrow_mut();
        for _ in 0..EXPIRE_CALLS_PER_SWEEP {
            registry.expire(now);
        }
        registry.len()
    }

    /// Waits until no run is left.
    pub(crate) async fn all_finished(&self) {
        while self.running_count.get() > 0 {
            tokio::time::sleep(FINISH_POLL_INTERVAL).await;
        }
    }
}

/// A run under a key. Ends as unknown when dropped without an outcome.
#[derive(Debug)]
pub(crate) struct KeyRun {
    core: Rc<GateCore>,
    permit: Option<RunPermit>,
}

impl KeyRun {
    /// Begins the run of a ticket.
    pub(crate) fn begin(core: &Rc<GateCore>, permit: RunPermit) -> Self {
        let running_count = &core.keys.running_count;
        running_count.set(running_count.get() + 1);
        Self {
            core: Rc::clone(core),
            permit: Some(permit),
        }
    }

    /// Ends the run.
    pub(crate) fn end(mut self, outcome: KeyOutcome) {
        self.record_outcome(outcome);
    }

    fn record_outcome(&mut self, outcome: KeyOutcome) {
        let Some(permit) = self.permit.take() else {
            return;
        };
        let keys = &self.core.keys;
        let now = self.core.clock.now();
        keys.registry.borrow_mut().finish(permit, outcome, now);
        keys.running_count.set(keys.running_count.get() - 1);
        keys.run_ended.notify_waiters();
    }
}

impl Drop for KeyRun {
    fn drop(&mut self) {
        self.record_outcome(KeyOutcome::Unknown);
    }
}
