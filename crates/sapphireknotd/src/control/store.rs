//! Store calls of this host, with a record of whether the store answers.

use std::{future::Future, sync::Arc, time::Duration};

use async_trait::async_trait;
use opentelemetry::trace::{Span, Status};
use parking_lot::Mutex;
use sapphireknot::{quota::ReclaimGuard, time::MonoTime};
use sapphireknot_platform::{
    KeyValueStore, LeaseId, StoreError, StoreRevision, StoredEntry, SwapOutcome, SwapWrite,
};

use crate::{clock::HostClock, spans::start_span};

/// Whether the store answered the latest calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreObservation {
    /// Whether no call was answered since the latest unanswered one began.
    pub is_down: bool,
    /// When this was observed.
    pub observed: MonoTime,
}

#[derive(Debug, Default)]
struct CallRecord {
    last_answer: Option<MonoTime>,
    last_failure: Option<MonoTime>,
    /// Like `last_failure`, but kept when a later call is answered.
    failed_once: Option<MonoTime>,
    reclaim: ReclaimGuard,
}

/// Store that records whether it answers.
pub struct ObservedStore {
    inner: Arc<dyn KeyValueStore>,
    clock: HostClock,
    record: Mutex<CallRecord>,
}

impl ObservedStore {
    /// Wraps `inner`.
    pub fn new(inner: Arc<dyn KeyValueStore>, clock: HostClock) -> Self {
        Self { inner, clock, record: Mutex::default() }
    }

    /// The latest observation; none before the first call ended.
    pub fn observation(&self) -> Option<StoreObservation> {
        let record = self.record.lock();
        match record.last_failure {
            Some(observed) => Some(StoreObservation { is_down: true, observed }),
            None => record.last_answer.map(|it| StoreObservation { is_down: false, observed: it }),
        }
    }

    /// What this host reports of the store when its latest proof began at `proof`.
    ///
    /// After an outage the proof is old, and the reports alone keep keys in use. Until a newer proof is there the last
    /// report is repeated with its age, so that it ends by itself and no host loses the reports before it has the proof.
    pub fn report(&self, proof: Option<MonoTime>) -> Option<StoreObservation> {
        let seen = self.observation()?;
        let failed = self.record.lock().failed_once;
        match failed {
            Some(observed) if !seen.is_down && proof < Some(observed) => {
                Some(StoreObservation { is_down: true, observed })
            }
            _ => Some(seen),
        }
    }

    /// Whether a read that began at `began` may be used to reclaim grants of ended leases.
    pub fn may_reclaim(&self, began: MonoTime, grace: Duration) -> bool {
        self.record.lock().reclaim.may_reclaim(began, grace)
    }

    /// Runs one call in a span of its own and records whether it was answered.
    async fn observe<F, T>(&self, step: &'static str, call: F) -> Result<T, StoreError>
    where
        F: Future<Output = Result<T, StoreError>>,
    {
        let mut span = start_span(step);
        let began = self.clock.now();
        let result = call.await;
        self.record(began, &result);
        if let Err(err) = &result {
            span.set_status(Status::error(err.to_string()));
        }
        span.end();
        result
    }

    /// Records the end of a call that began at `began`.
    fn record<T>(&self, began: MonoTime, result: &Result<T, StoreError>) {
        let now = self.clock.now();
        let mut record = self.record.lock();
        match result {
            Ok(_) | Err(StoreError::Refused { .. }) => record.reclaim.record_answer(began),
            Err(StoreError::Unanswered { .. }) => record.reclaim.record_failure(),
        }
        match result {
            Ok(_) | Err(StoreError::Refused { .. }) => {
                record.last_answer = Some(now);
                record.last_failure = None;
            }
            // A call that was answered meanwhile shows that the store is up.
            Err(StoreError::Unanswered { .. }) if record.last_answer < Some(began) => {
                record.last_failure = Some(now);
                record.failed_once = Some(now);
            }
            Err(StoreError::Unanswered { .. }) => {}
        }
    }
}

#[async_trait]
impl KeyValueStore for ObservedStore {
    async fn get(&self, key: &str) -> Result<Option<StoredEntry>, StoreError> {
        self.observe("store get", self.inner.get(key)).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<StoredEntry>, StoreError> {
        self.observe("store list", self.inner.list(prefix)).await
    }

    async fn compare_and_swap(&self, write: SwapWrite) -> Result<SwapOutcome, StoreError> {
        self.observe("store compare and swap", self.inner.compare_and_swap(write)).await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.observe("store grant lease", self.inner.grant_lease(ttl)).await
    }

    async fn renew_leases(&self, leases: &[LeaseId]) -> Result<Vec<LeaseId>, StoreError> {
        self.observe("store renew leases", self.inner.renew_leases(leases)).await
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.observe("store revoke lease", self.inner.revoke_lease(lease)).await
    }

    async fn watch(
        &self,
        key: &str,
        known: StoreRevision,
        wait: Duration,
    ) -> Result<Option<Option<StoredEntry>>, StoreError> {
        self.observe("store watch", self.inner.watch(key, known, wait)).await
    }
}
