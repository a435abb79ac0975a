//! Idempotency keys that this gate process issued, and the runs of their requests.
//!
//! The registry decides whether a request may run. This module shares it between tasks, wakes
//! requests that wait for a run to end, and counts runs so that a draining gate can finish them.

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

/// Limit on all kept answers together, with their headers.
const MAX_KEPT_BYTES: usize = 32 << 20;

/// Limit on one kept answer: 64 KiB for the body, as that is the longest that the relay buffers,
/// and the rest for its headers.
const MAX_ANSWER_BYTES: usize = 80 << 10;

/// Limit on connections to one other gate, to forward requests to the issuers of their keys and to
/// have keys issued.
const MAX_CONNECTIONS_PER_GATE: usize = 256;

/// Calls to [`KeyRegistry::expire`] in one sweep; each removes a limited number of keys.
const EXPIRE_CALLS_PER_SWEEP: usize = 64;

/// Pause between two checks whether all runs have ended.
const RUNS_ENDED_CHECK_INTERVAL: Duration = Duration::from_millis(10);

/// The idempotency keys of this gate process.
#[derive(Debug)]
pub(crate) struct GateKeys {
    registry: RefCell<KeyRegistry>,
    hasher: FingerprintHasher,
    /// Notified at the end of each run.
    run_ended: Notify,
    /// Runs that have not ended.
    running_count: Cell<usize>,
    /// Sends requests to other gates: those that issued the keys, or that are to issue one.
    pub(crate) transport: HttpTransport,
}

impl GateKeys {
    /// Creates the registry of `gate`, without used keys.
    pub(crate) fn new(settings: &GateSettings, gate: GateId) -> Self {
        let limits = KeyLimits {
            entries: settings.key_limit,
            kept_bytes: MAX_KEPT_BYTES,
            answer_bytes: MAX_ANSWER_BYTES,
            ttl: Duration::from_millis(settings.key_ttl_ms),
        };
        let pool = ConnectionPool::new(ConnectionOptions {
            connection_limit: MAX_CONNECTIONS_PER_GATE,
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

    /// Fingerprint of a request, by which a key that is reused for another request is detected.
    pub(crate) fn fingerprint(&self, parts: &RequestParts<'_>) -> RequestFingerprint {
        self.hasher.fingerprint(parts)
    }

    /// Decides whether a request with `key` may run.
    pub(crate) fn admit(
        &self,
        key: &IdempotencyKey,
        fingerprint: RequestFingerprint,
        now: Moment,
    ) -> KeyAdmission {
        self.registry.borrow_mut().admit(key, fingerprint, now)
    }

    /// Completes when any run ends after this call. Call it before [`admit`](Self::admit), so that
    /// a run that ends in between is not missed.
    pub(crate) fn next_run_end(&self) -> Notified<'_> {
        self.run_ended.notified()
    }

    /// Verdict for a keyed request that was refused before its key was admitted. Only the gate that
    /// issued the key can know that it was never used.
    pub(crate) fn refusal_verdict(&self, key: &IdempotencyKey, now: Moment) -> RunVerdict {
        if self.registry.borrow_mut().is_unused(key, now) {
            RunVerdict::NotRun
        } else {
            RunVerdict::Unknown
        }
    }

    /// Removes expired keys; returns the number of used keys that are left.
    pub(crate) fn sweep(&self, now: Moment) -> usize {
        let mut registry = self.registry.borrow_mut();
        for _ in 0..EXPIRE_CALLS_PER_SWEEP {
            registry.expire(now);
        }
        registry.len()
    }

    /// Waits until all runs have ended.
    pub(crate) async fn all_runs_ended(&self) {
        while self.running_count.get() > 0 {
            tokio::time::sleep(RUNS_ENDED_CHECK_INTERVAL).await;
        }
    }
}

/// The run of a keyed request. If it is dropped without an outcome, the outcome is recorded as
/// unknown.
#[derive(Debug)]
pub(crate) struct KeyRun {
    core: Rc<GateCore>,
    permit: Option<RunPermit>,
}

impl KeyRun {
    /// Begins the run that `permit` allows.
    pub(crate) fn begin(core: &Rc<GateCore>, permit: RunPermit) -> Self {
        let running_count = &core.keys.running_count;
        running_count.set(running_count.get() + 1);
        Self {
            core: Rc::clone(core),
            permit: Some(permit),
        }
    }

    /// Ends the run with `outcome`.
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
