//! Store client that records whether the store is reachable.

use std::{future::Future, sync::Arc, time::Duration};

use async_trait::async_trait;
use opentelemetry::trace::{Span, Status};
use parking_lot::Mutex;
use sapphireknot::{quota::ReclaimGuard, time::MonoTime};
use sapphireknot_platform::{
    KeyValueStore, LeaseId, StoreError, StoreRevision, StoredEntry, SwapOutcome, SwapWrite,
};

use crate::{clock::HostClock, spans::start_span};

/// Availability of the store as seen by this host.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct StoreObservation {
    /// Whether no call has been answered since the latest unanswered one began.
    pub is_down: bool,
    /// Time of the observation.
    pub observed: MonoTime,
}

#[derive(Debug, Default)]
struct CallRecord {
    last_answer: Option<MonoTime>,
    last_failure: Option<MonoTime>,
    /// Like `last_failure`, but not cleared by a later answer.
    last_outage_at: Option<MonoTime>,
    reclaim: ReclaimGuard,
}

/// Key-value store that records whether its calls are answered.
pub struct ObservedStore {
    inner: Arc<dyn KeyValueStore>,
    clock: HostClock,
    record: Mutex<CallRecord>,
}

impl ObservedStore {
    /// Wraps the store `inner`.
    pub fn new(inner: Arc<dyn KeyValueStore>, clock: HostClock) -> Self {
        Self { inner, clock, record: Mutex::default() }
    }

    /// Returns the latest observation, or `None` before the first call has ended.
    pub fn observation(&self) -> Option<StoreObservation> {
        let record = self.record.lock();
        match record.last_failure {
            Some(observed) => Some(StoreObservation { is_down: true, observed }),
            None => record.last_answer.map(|it| StoreObservation { is_down: false, observed: it }),
        }
    }

    /// Returns the observation to report to peers, given the start of the read behind the latest freshness proof.
    ///
    /// After an outage the proof is old, and only reports of the outage keep API keys valid. Until a newer proof
    /// arrives, the last report of the outage is repeated with its age, so that it expires by itself and no host loses
    /// the reports before it has the new proof.
    pub fn report(&self, proof: Option<MonoTime>) -> Option<StoreObservation> {
        let latest = self.observation()?;
        let last_outage_at = self.record.lock().last_outage_at;
        match last_outage_at {
            Some(observed) if !latest.is_down && proof < Some(observed) => {
                Some(StoreObservation { is_down: true, observed })
            }
            _ => Some(latest),
        }
    }

    /// Returns whether a read that began at `began` may be used to reclaim the grants of expired leases.
    pub fn may_reclaim(&self, began: MonoTime, grace: Duration) -> bool {
        self.record.lock().reclaim.may_reclaim(began, grace)
    }

    /// Runs one call in its own trace span and records whether it was answered.
    async fn observe<F, T>(&self, step: &'static str, call: F) -> Result<T, StoreError>
    where
        F: Future<Output = Result<T, StoreError>>,
    {
        let mut span = start_span(step);
        let began = self.clock.now();
        let result = call.await;
        self.record_result(began, &result);
        if let Err(err) = &result {
            span.set_status(Status::error(err.to_string()));
        }
        span.end();
        result
    }

    /// Records the result of a call that began at `began`.
    fn record_result<T>(&self, began: MonoTime, result: &Result<T, StoreError>) {
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
            // If another call was answered in the meantime, the store is up.
            Err(StoreError::Unanswered { .. }) if record.last_answer < Some(began) => {
                record.last_failure = Some(now);
                record.last_outage_at = Some(now);
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
