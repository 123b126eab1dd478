//! Store calls of this host, with a record of whether the store answers.

use std::{sync::Arc, time::Duration};

use async_trait::async_trait;
use parking_lot::Mutex;
use sapphireknot::time::MonoTime;
use sapphireknot_platform::{
    KeyValueStore, LeaseId, StoreError, StoreRevision, StoredEntry, SwapOutcome, SwapWrite,
};

use crate::clock::HostClock;

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

    /// Records the end of a call that began at `began`.
    fn record<T>(&self, began: MonoTime, result: Result<T, StoreError>) -> Result<T, StoreError> {
        let now = self.clock.now();
        let mut record = self.record.lock();
        match &result {
            Ok(_) | Err(StoreError::Refused { .. }) => {
                record.last_answer = Some(now);
                record.last_failure = None;
            }
            // A call that was answered meanwhile shows that the store is up.
            Err(StoreError::Unanswered { .. }) if record.last_answer < Some(began) => {
                record.last_failure = Some(now);
            }
            Err(StoreError::Unanswered { .. }) => {}
        }
        result
    }
}

#[async_trait]
impl KeyValueStore for ObservedStore {
    async fn get(&self, key: &str) -> Result<Option<StoredEntry>, StoreError> {
        let began = self.clock.now();
        self.record(began, self.inner.get(key).await)
    }

    async fn list(&self, prefix: &str) -> Result<Vec<StoredEntry>, StoreError> {
        let began = self.clock.now();
        self.record(began, self.inner.list(prefix).await)
    }

    async fn compare_and_swap(&self, write: SwapWrite) -> Result<SwapOutcome, StoreError> {
        let began = self.clock.now();
        self.record(began, self.inner.compare_and_swap(write).await)
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        let began = self.clock.now();
        self.record(began, self.inner.grant_lease(ttl).await)
    }

    async fn renew_leases(&self, leases: &[LeaseId]) -> Result<Vec<LeaseId>, StoreError> {
        let began = self.clock.now();
        self.record(began, self.inner.renew_leases(leases).await)
    }

    async fn revoke_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        let began = self.clock.now();
        self.record(began, self.inner.revoke_lease(lease).await)
    }

    async fn watch(
        &self,
        key: &str,
        known: StoreRevision,
        wait: Duration,
    ) -> Result<Option<Option<StoredEntry>>, StoreError> {
        let began = self.clock.now();
        self.record(began, self.inner.watch(key, known, wait).await)
    }
}
